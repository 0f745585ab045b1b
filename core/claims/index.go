package claims

import (
	"time"

	"radishwell/core"
	"radishwell/core/dedupe"
)

// entry is the latest claim of a key. It takes only 32 bytes, because a journal
// holds some hundred thousand keys.
type entry struct {
	fingerprint uint64
	claimant    uint64
	attempt     uint32
	agent       uint32
	expires     uint32
	segment     uint32
}

// index holds the latest claim of each key of one journal.
type index struct {
	entries map[dedupe.KeyID]entry
	// agents is the table that the agent field of entries refers to; agentNumbers
	// is its inverse.
	agents       []agentRef
	agentNumbers map[agentRef]uint32
}

// apply records a claim found in the segment with the given number. Segments are
// read in any order, so a claim from an older segment never replaces one from a
// newer one.
func (x *index) apply(c Claim, number uint64) {
	if x.entries == nil {
		x.entries = make(map[dedupe.KeyID]entry)
		x.agentNumbers = make(map[agentRef]uint32)
	}
	if old, ok := x.entries[c.ID]; ok && uint64(old.segment) > number {
		return
	}
	x.entries[c.ID] = entry{
		fingerprint: uint64(c.Fingerprint),
		claimant:    c.Claimant,
		attempt:     uint32(c.Attempt),
		agent:       x.agent(agentRef{c.Host, c.Incarnation}),
		expires:     uint32(c.Expires.Unix()),
		segment:     uint32(number),
	}
}

func (x *index) agent(a agentRef) uint32 {
	if n, ok := x.agentNumbers[a]; ok {
		return n
	}
	n := uint32(len(x.agents))
	x.agents = append(x.agents, a)
	x.agentNumbers[a] = n
	return n
}

// latest returns the latest claim of a key. It reports false if there is none or
// it has expired.
func (x *index) latest(now time.Time, id dedupe.KeyID) (Claim, bool) {
	e, ok := x.entries[id]
	if !ok || int64(e.expires) <= now.Unix() {
		return Claim{}, false
	}
	agent := x.agents[e.agent]
	return Claim{
		ID:          id,
		Fingerprint: core.Fingerprint(e.fingerprint),
		Claimant:    e.claimant,
		Attempt:     uint64(e.attempt),
		Host:        agent.Host,
		Incarnation: agent.Incarnation,
		Expires:     time.Unix(int64(e.expires), 0).UTC(),
	}, true
}

// sweep removes expired claims, and agents that no claim refers to.
func (x *index) sweep(now time.Time) {
	old := x.agents
	x.agents = nil
	x.agentNumbers = make(map[agentRef]uint32)
	for id, e := range x.entries {
		if int64(e.expires) <= now.Unix() {
			delete(x.entries, id)
			continue
		}
		e.agent = x.agent(old[e.agent])
		x.entries[id] = e
	}
}
