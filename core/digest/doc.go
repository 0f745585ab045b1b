// Package digest is what an entry of a large fleet holds of the upstream hosts, as far
// as it heard it from their agents or from relays, with what has changed since an
// asker's last answer.
//
// A host's figures (queue, batch, prompt tokens being read) change with each request,
// the rest of its report with each order. So changes of the two are numbered apart, and
// an asker that has the report gets the figures only.
package digest
