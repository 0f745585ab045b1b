// Package fleet holds what an entry knows of the upstream hosts of a managed platform, and
// chooses the host that runs a request.
//
// There are two sources of a host's state: the platform's registry, which lags by about a
// second, and the report of the agent beside the host, which is fresh but may be missing. A
// View merges them: a host that either source calls leaving gets no new requests, and the
// models that a host holds are taken from the fresher of the two.
package fleet
