// Package parts finds the parts of prompts that crash upstreams.
//
// A part may crash each upstream that begins to write an answer on it, in requests that have
// nothing else in common, while sound requests share all their other parts. So a crash counts
// against the parts of the requests that had not begun at the upstream for some time when it
// ended, and a request that has begun and goes on speaks for all of its parts. The parts that
// explain the crashes best are refused; parts that were in the same crashes only are not. Until
// crashes in trials prove it, requests with a refused part run in trials (package strike).
//
// The records are soft state: they spread between processes, expire, and are merged in any order.
package parts
