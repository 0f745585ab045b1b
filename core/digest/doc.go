// Package digest holds the reports on the upstream hosts that an entry of a large fleet has
// received from their agents or from relays. It numbers changes, so that another entry that
// polls it gets only what has changed since its last response. An entry follows an agent if
// it polls the agent itself (see core/follow).
//
// A host's figures (queue, batch, prompt tokens in prefill) change with each request, and
// the rest of its report with each order. The changes of both are numbered separately, and
// an entry that already has the report gets only the figures.
package digest
