// Package replay simulates policies that decide how long idle models stay loaded.
// It replays recorded or generated arrivals, and reports for each policy how long
// callers waited for cold starts and how long accelerators held idle models.
//
// Only that decision is simulated, in the time of the trace. There are no hosts,
// queues or failures, and memory is unlimited. Weeks are simulated in seconds.
package replay
