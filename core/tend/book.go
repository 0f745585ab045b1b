package tend

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// seenTime is how long an engine has to be listed without word of an agent before
	// anybody looks whether it has one: agents start with their engines.
	seenTime = 3 * time.Second
	// listEvery is how often the agents' records are read while there are engines that
	// may have none, and listAge how old the last reading may be for an engine to count
	// as one without. An agent that has started meanwhile shows within the two.
	listEvery = 2 * time.Second
	listAge   = 4 * time.Second
	// lookEvery is how often they are read by an entry that is not the holder.
	lookEvery = 8 * time.Second
)

// AgentWait is how long an agent waits before its first order where an entry has been the
// holder: until the entry has read the agent's record, or may believe in its lease no
// more, and then for as long as orders of two holders have to be apart.
const AgentWait = listAge + LeaseBelief + holderGap

// Times of the lease that an entry holds on the engines without agents of its data
// centre. The margin keeps the orders of two holders apart by more than holderGap, also
// when the first one acted at the last moment.
const (
	LeaseTerm   = 8 * time.Second
	LeaseMargin = 3500 * time.Millisecond
	LeaseBelief = LeaseTerm - LeaseMargin
	holderGap   = 3 * time.Second
)

// Book is what one entry knows of the engines of its data centre and their agents. The
// zero Book is ready for use; it is not safe for use by several goroutines.
type Book struct {
	// since is when an engine was first seen without word of an agent.
	since map[netip.AddrPort]time.Time
	// agents are the engines that have a record of an agent, as read at listed.
	agents map[netip.AddrPort]bool
	listed time.Time
	// lacks tells that some engine had no agent then.
	lacks bool
}

// See takes in the engines that are listed; heard tells of those whose agent has ever
// answered this entry.
func (b *Book) See(now time.Time, engines []netip.AddrPort, heard func(netip.AddrPort) bool) {
	old := b.since
	b.since = make(map[netip.AddrPort]time.Time, len(engines))
	for _, e := range engines {
		if heard(e) {
			continue
		}
		at, ok := old[e]
		if !ok {
			at = now
		}
		b.since[e] = at
	}
}

// Listed takes in the engines that have a record of an agent, as the store listed them
// at a time.
func (b *Book) Listed(at time.Time, agents []netip.AddrPort) {
	b.listed = at
	b.agents = make(map[netip.AddrPort]bool, len(agents))
	for _, a := range agents {
		b.agents[a] = true
	}
	b.lacks = len(b.Alone(at)) > 0
}

// Lacks tells whether some engine had no agent when the records were read last.
func (b *Book) Lacks() bool { return b.lacks }

// MustList tells whether the agents' records are to be read now, by the holder or by
// another.
func (b *Book) MustList(now time.Time, holds bool) bool {
	pause := lookEvery
	if holds {
		pause = listEvery
	}
	if now.Sub(b.listed) < pause {
		return false
	}
	for e, at := range b.since {
		if now.Sub(at) >= seenTime && !b.agents[e] {
			return true
		}
	}
	return false
}

// Alone returns the engines that have no agent, in order.
func (b *Book) Alone(now time.Time) []netip.AddrPort {
	if now.Sub(b.listed) > listAge {
		return nil
	}
	var out []netip.AddrPort
	for e, at := range b.since {
		if b.listed.Sub(at) >= seenTime && !b.agents[e] {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}
