// Package lease elects the decider: the one entry that writes grants.
//
// The lease is one platform object that is changed by conditional update only.
// A Lease is the state machine of one contender. It names the next call to make
// and when, is told the answer, and says whether its host may decide and under
// which fencing number. A holder stops believing well before any other
// contender may take over. Where that fails because the holder was paused
// between asking and acting, its writes of grants still meet the conditional
// update of each object, so the lease saves work and is not what keeps grants
// within their limits.
package lease
