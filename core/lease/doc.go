// Package lease elects the decider: the one entry that writes grants.
//
// The lease is one platform object that is changed only by conditional updates. A
// Lease is the state machine of one contender. It returns the next call on the
// object and its time, processes the reply, and reports whether its process may
// decide and under which fencing number. The holder stops deciding well before
// another contender may take over. That can fail if the holder is paused between
// the check and a write. Its writes of grants are then still subject to the
// condition of each object, so the lease only saves work; it does not keep grants
// within their limits.
package lease
