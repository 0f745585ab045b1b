// Package fleet holds what an entry knows of the upstream hosts of a managed platform, and
// chooses the host that runs a request.
//
// There are two sources of a host's state: the platform's registry, which lags by about a
// second, and the reports of the agent on the same host, which are fresh but may be
// missing. A View merges them: a host that either source calls leaving gets no new
// requests, and the models that a host holds are taken from the fresher of the two.
//
// An incarnation is one run of an upstream host, from its start to its end. The state of a
// host in a View belongs to one incarnation and does not carry over to the next. Which one
// runs at an address is guessed from the order of the registry's entries, to which any
// writer may add, until the host there says that it is another (address.go). A rate
// limit that a host sets applies to all entries together: they reserve a time for each
// request with one of them, the keeper (see core/admit).
package fleet
