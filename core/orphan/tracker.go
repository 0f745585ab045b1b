package orphan

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// agentStartGrace is how long an engine has to be listed without a response of an agent
	// before its record is looked up, since agents start together with their engines.
	agentStartGrace = 3 * time.Second
	// listInterval is the interval at which the holder reads the agents' records while
	// there are engines that may have no agent. listTTL is the maximum age of the last read
	// at which an engine still counts as one without an agent. An agent that has started in
	// the meantime is noticed within the two.
	listInterval = 2 * time.Second
	listTTL      = 4 * time.Second
	// otherListInterval is the interval for an entry that is not the holder.
	otherListInterval = 8 * time.Second
)

// AgentWait is how long an agent waits before its first order if an entry has been the
// holder. It covers the time until the entry has read the agent's record or can no longer
// rely on its lease, and the required gap between the orders of two holders.
const AgentWait = listTTL + LeaseValidity + holderGap

// The following are the times of the lease that an entry holds on the engines without
// agents in its data centre. The margin keeps the orders of two holders apart by more than
// holderGap, even if the previous one sends an order at the last moment.
const (
	LeaseTerm     = 8 * time.Second
	LeaseMargin   = 3500 * time.Millisecond
	LeaseValidity = LeaseTerm - LeaseMargin
	holderGap     = 3 * time.Second
)

// Tracker tracks the engines of an entry's data centre and their agents. The zero Tracker is
// ready for use. It is not safe for concurrent use.
type Tracker struct {
	// unresponsiveSince is when each engine was first seen without a response of an agent.
	unresponsiveSince map[netip.AddrPort]time.Time
	// agents are the engines that have an agent's record, as read at listed.
	agents map[netip.AddrPort]bool
	listed time.Time
	// anyWithoutAgent is set if some engine had no agent at that time.
	anyWithoutAgent bool
}

// SetEngines records the engines that are listed. The function responded reports whether the
// agent of an engine has ever responded to this entry.
func (t *Tracker) SetEngines(now time.Time, engines []netip.AddrPort, responded func(netip.AddrPort) bool) {
	old := t.unresponsiveSince
	t.unresponsiveSince = make(map[netip.AddrPort]time.Time, len(engines))
	for _, e := range engines {
		if responded(e) {
			continue
		}
		at, ok := old[e]
		if !ok {
			at = now
		}
		t.unresponsiveSince[e] = at
	}
}

// NoteRestore records that the store was restored from a copy, which may lack records of
// agents. Agents write them again within the time that they have to respond.
func (t *Tracker) NoteRestore() {
	clear(t.unresponsiveSince)
	t.listed = time.Time{}
}

// SetRecords records the engines that have an agent's record, as the store listed them at
// the given time. Records are never deleted, so one that is missing later was lost.
func (t *Tracker) SetRecords(at time.Time, agents []netip.AddrPort) {
	t.listed = at
	if t.agents == nil {
		t.agents = make(map[netip.AddrPort]bool, len(agents))
	}
	for _, a := range agents {
		t.agents[a] = true
	}
	t.anyWithoutAgent = len(t.WithoutAgent(at)) > 0
}

// AnyWithoutAgent reports whether some engine had no agent when the records were last read.
func (t *Tracker) AnyWithoutAgent() bool { return t.anyWithoutAgent }

// MustReadRecords reports whether the agents' records have to be read now. If holds is set,
// this entry is the holder.
func (t *Tracker) MustReadRecords(now time.Time, holds bool) bool {
	interval := otherListInterval
	if holds {
		interval = listInterval
	}
	if now.Sub(t.listed) < interval {
		return false
	}
	return len(t.Unresponsive(now)) > 0
}

// Unresponsive returns the engines that may have no agent: none has responded for long enough, and none
// has a record that is known.
func (t *Tracker) Unresponsive(now time.Time) (out []netip.AddrPort) {
	for e, at := range t.unresponsiveSince {
		if now.Sub(at) >= agentStartGrace && !t.agents[e] {
			out = append(out, e)
		}
	}
	return out
}

// WithoutAgent returns the engines that have no agent, sorted by address.
func (t *Tracker) WithoutAgent(now time.Time) []netip.AddrPort {
	if now.Sub(t.listed) > listTTL {
		return nil
	}
	var out []netip.AddrPort
	for e, at := range t.unresponsiveSince {
		if t.listed.Sub(at) >= agentStartGrace && !t.agents[e] {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}
