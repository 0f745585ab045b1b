// Package member decides which upstream hosts may get work, from the platform's
// lagging list of hosts, the hosts' own signals and the contacts of the data path
// with them.
//
// It handles hosts that leave or vanish while requests stream in, hosts that flap,
// and the loss of half a data centre. Without it, each request would have to fail
// at a dead host before it is tried elsewhere, and a flapping host would get, and
// lose, a share of the work after every return.
//
// A suspicion only steers work. Only the platform's list proves that a host is
// gone, so that its grants may move: a host that one process can't reach may be
// serving others.
package member
