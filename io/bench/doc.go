// Package bench sends load to a running system and reports what callers
// received: the outcome of every request, and latencies.
//
// The load is open-loop. The seed of an experiment determines before the run when
// each request is sent. A slow answer delays no later request, and latency counts
// from the time at which a request was due to be sent. A closed loop would send
// less while the system is slow and thus miss the longest waits (coordinated
// omission). The package also measures how late it sends requests and reports that
// together with the latencies.
//
// After the load the package compares the outcomes that callers received with
// what the stand-ins ran: no request that must not be repeated ran twice, and none
// that was refused as not run ran at all.
package bench
