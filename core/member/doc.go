// Package member decides which upstream hosts may get work, from the
// platform's lagging list of hosts, the hosts' own signals and what the data
// path sees of them.
//
// Load it answers: hosts that leave or vanish while requests stream in, hosts
// that come and go, and the loss of half a data centre. Without it, each
// request would have to fail at a dead host before it is tried elsewhere, and
// a host that flaps would take, and lose, a share of the work at every return.
//
// A suspicion steers work, no more. That a host is gone for good, so that its
// grants may move, is known only from the platform's list: a host that one
// process can't reach may be at work for others.
package member
