// Package bench drives load at a running system and reports what its callers
// got: every outcome counted, and latencies that leave nothing out.
//
// The load is open-loop. An experiment's seed decides before the run when each
// request is sent; a slow answer delays no later request, and latency counts
// from the moment at which a request should have been sent. A closed loop would
// send less while the system is slow and so leave out the worst waits
// (coordinated omission). How late the tool itself sends is measured and
// reported beside the latencies.
//
// After the load the package compares what callers were told with what the
// stand-ins ran: nothing that may not be repeated ran twice, and nothing that
// was refused as not run ran at all.
package bench
