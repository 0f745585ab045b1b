// Package parts finds the parts of prompts that crash upstreams.
//
// A part may crash each upstream that writes an answer on it, at once or after some time, in requests
// that have nothing else in common, while sound requests share all their other parts. So a crash counts
// against the parts of all requests that were at the upstream, and only answers that end whole speak for a part: the
// upstream of a stream in progress may still end under it. The parts that explain the crashes best are
// refused; parts that were in the same crashes only are not. Until crashes in trials prove it, requests
// with a refused part run in trials (package strike), of which there are few once it has crashed
// boundCrashes upstreams.
//
// The records are soft state: they spread between processes, expire, and are merged in any order.
package parts
