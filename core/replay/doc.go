// Package replay plays recorded or generated arrivals against the decision of
// how long idle models stay loaded, and reports both measures for each policy:
// how long callers waited for cold starts, and how long accelerators idled.
//
// It replays that one decision with the time of the arrivals: no hosts, queues
// or failures, and memory for everything. Weeks take seconds.
package replay
