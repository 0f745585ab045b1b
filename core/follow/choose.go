package follow

import (
	"maps"
	"slices"
	"time"

	"radishwell/core"
	"radishwell/core/retry"
)

const (
	// directShare is the fraction of MaxDirect below which an entry that has used relays
	// follows all agents again. It prevents a fleet of about that size from switching with
	// each host that joins or leaves.
	directShare = 0.75
	// relayHold is how long an entry stays a relay after it was last polled. Other entries
	// poll several times a second.
	relayHold = 2 * time.Second
	// responseTTL is how long a relay counts as available after a response. A response that
	// is held until there is news takes a third of it.
	responseTTL = time.Second
	// minBackoff is how long a member that did not respond is avoided at first, and
	// maxBackoff is the longest after several failures, since a host that was removed may
	// still be listed.
	minBackoff = time.Second
	maxBackoff = 16 * time.Second
	// probeAhead is how many members are probed at once after one before them did not
	// respond. It is more than a rack holds.
	probeAhead = 24
	// startupGrace is how long an entry that has just started does not become a relay
	// unless it is polled, since it may not know the other entries yet. All entries start
	// at about the same time, and each would follow the agents of its data centre for a
	// moment.
	startupGrace = 700 * time.Millisecond
)

// Scope says which agents an entry follows itself.
type Scope uint8

// Scopes.
const (
	// All means all agents.
	All Scope = iota
	// Centres means the agents of the data centres in Choice.Centres.
	Centres
	// None means that the entry follows no agents and polls a relay.
	None
)

// Choice is the set of agents and relays from which an entry receives reports.
type Choice struct {
	Scope Scope
	// Centres lists the data centres whose agents the entry follows if Scope is Centres.
	Centres []core.DataCentre
	// Relays are the entries that it polls.
	Relays []Member
}

var scopeNames = [...]string{"all", "data-centres", "none"}

// String returns the scope's name.
func (s Scope) String() string { return scopeNames[s] }

// Follows reports whether the entry follows the agents of a data centre itself.
func (c Choice) Follows(dc core.DataCentre) bool {
	return c.Scope == All || c.Scope == Centres && slices.Contains(c.Centres, dc)
}

// Relay reports whether the entry is a relay.
func (c Choice) Relay() bool { return c.Scope == Centres }

// Chooser makes the choice for one entry. Set the exported fields before use. It is not
// safe for concurrent use.
type Chooser struct {
	Self Member
	// MaxDirect is the maximum number of agents that an entry follows itself. With more,
	// the reports take more of an entry's processor time than the requests do.
	MaxDirect int
	// Started is when the entry started.
	Started time.Time

	relayed    bool
	lastPolled time.Time
	peers      map[core.HostName]*peer
}

// peer is the state of another entry, as seen by this entry's own calls.
type peer struct {
	lastResponse time.Time
	// retryAt is when the entry may be chosen again after it did not respond, and failures
	// is the number of consecutive failures.
	retryAt  time.Time
	failures int
}

func (c *Chooser) peer(name core.HostName) *peer {
	if c.peers == nil {
		c.peers = map[core.HostName]*peer{}
	}
	p := c.peers[name]
	if p == nil {
		p = &peer{}
		c.peers[name] = p
	}
	return p
}

// NotePolled records that another entry polled this one.
func (c *Chooser) NotePolled(now time.Time) { c.lastPolled = now }

// NoteResponse records a response of a relay, or a call from it.
func (c *Chooser) NoteResponse(now time.Time, name core.HostName) {
	p := c.peer(name)
	p.lastResponse, p.failures, p.retryAt = now, 0, time.Time{}
}

// NoteFailure records that a member did not respond.
func (c *Chooser) NoteFailure(now time.Time, name core.HostName) {
	p := c.peer(name)
	p.retryAt = now.Add(retry.Backoff(minBackoff, maxBackoff, p.failures))
	p.failures++
}

// IsAvoided reports whether a member is avoided because it did not respond. It is chosen
// again only after it has responded to a probe, so that a member that stays unresponsive
// causes no further delay.
func (c *Chooser) IsAvoided(m Member) bool {
	p := c.peers[m.Name]
	return p != nil && p.failures > 0
}

// Probes returns the members to probe now, separately from the calls of the current choice:
// the avoided ones that would be chosen if they responded and, just after one did not
// respond, some that come next. If many entries fail at once, they would otherwise be
// called and waited for one after the other.
func (c *Chooser) Probes(now time.Time, others Ranked) []Member {
	var out []Member
	for _, list := range others {
		out = append(out, c.probesOf(now, list)...)
	}
	return out
}

func (c *Chooser) probesOf(now time.Time, list []Member) []Member {
	var out []Member
	ahead := 0
	for _, m := range list {
		p := c.peers[m.Name]
		switch {
		case m.DataCentre == c.Self.DataCentre && c.Self.Before(m):
			return out
		case c.IsAvoided(m):
			if p.failures == 1 {
				ahead = probeAhead
			}
			if !now.Before(p.retryAt) {
				out = append(out, m)
			}
		case ahead == 0:
			return out
		default:
			ahead--
			if p == nil || now.Sub(p.lastResponse) >= responseTTL && !now.Before(p.retryAt) {
				c.peer(m.Name).retryAt = now.Add(minBackoff)
				out = append(out, m)
			}
		}
	}
	return out
}

// Choose returns which agents to follow and which relays to poll, given all other entries
// and the number of agents in each data centre.
func (c *Chooser) Choose(now time.Time, others Ranked, agents map[core.DataCentre]int) Choice {
	if len(agents) == 0 {
		// Nothing is listed yet. If this entry followed agents directly until the first
		// list arrives, each entry of a large fleet would begin to follow all agents with
		// it.
		return Choice{Scope: None}
	}
	if !c.useRelays(agents) {
		return Choice{Scope: All}
	}
	own := others[c.Self.DataCentre]
	first, ok := c.first(own)
	isFirst := !ok || c.Self.Before(first)
	polled := now.Sub(c.lastPolled) < relayHold
	alone := len(own) == 0 && now.Sub(c.Started) < startupGrace
	switch {
	case alone && !polled:
		return Choice{Scope: None}
	case !isFirst && !polled:
		return Choice{Scope: None, Relays: []Member{first}}
	}
	out := Choice{Scope: Centres, Centres: []core.DataCentre{c.Self.DataCentre}}
	for _, dc := range slices.Sorted(maps.Keys(others)) {
		if m, ok := c.first(others[dc]); ok && (dc != c.Self.DataCentre || !isFirst) {
			out.Relays = append(out.Relays, m)
		}
	}
	out.Centres = append(out.Centres, c.uncovered(out.Relays, agents)...)
	return out
}

// useRelays reports whether there are too many agents for each entry to follow all of them.
func (c *Chooser) useRelays(agents map[core.DataCentre]int) bool {
	count := 0
	for _, n := range agents {
		count += n
	}
	c.relayed = count > c.MaxDirect || c.relayed && float64(count) >= directShare*float64(c.MaxDirect)
	return c.relayed
}

// uncovered returns the data centres that have agents but no entry that responds. The first
// of all relays follows these too, since their hosts may be healthy while the entries there
// are cut off or down.
func (c *Chooser) uncovered(relays []Member, agents map[core.DataCentre]int) []core.DataCentre {
	covered := map[core.DataCentre]bool{c.Self.DataCentre: true}
	for _, m := range relays {
		if m.Before(c.Self) {
			return nil
		}
		covered[m.DataCentre] = true
	}
	var out []core.DataCentre
	for _, dc := range slices.Sorted(maps.Keys(agents)) {
		if !covered[dc] {
			out = append(out, dc)
		}
	}
	return out
}

// first returns the first member by rank that is not avoided, false if there is none.
func (c *Chooser) first(list []Member) (Member, bool) {
	i := slices.IndexFunc(list, func(m Member) bool { return !c.IsAvoided(m) })
	if i < 0 {
		return Member{}, false
	}
	return list[i], true
}

// Planner returns the entry that a relay considers to be the planner: the first by rank of
// the available relays, including itself.
func (c *Chooser) Planner(now time.Time, relays []Member) Member {
	best := c.Self
	for _, m := range relays {
		if p := c.peers[m.Name]; p != nil && now.Sub(p.lastResponse) < responseTTL && m.Before(best) {
			best = m
		}
	}
	return best
}
