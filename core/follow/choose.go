package follow

import (
	"maps"
	"slices"
	"time"

	"radishwell/core"
	"radishwell/core/retry"
)

const (
	// backShare is the part of MostDirect below which an entry that has used relays
	// follows all agents again, so that a fleet of about that size does not change over
	// with each host that comes or goes.
	backShare = 0.75
	// askedTime is how long an entry that was asked stays a relay. Others ask several
	// times a second.
	askedTime = 2 * time.Second
	// heardTime is how long a relay that answered counts as there. An answer that is
	// held back takes a third of it.
	heardTime = time.Second
	// firstAside is how long a member that did not answer is left for others, and
	// mostAside the longest after several times: a host that was removed for good is
	// still listed.
	firstAside = time.Second
	mostAside  = 16 * time.Second
	// checkAhead is how many members are asked for a sign of life at once when one before
	// them did not answer: more than a rack holds.
	checkAhead = 24
	// settleTime is how long an entry that has just started leaves the place of a
	// relay to others that it may not have read of yet. All entries start at about the
	// same time, and each would follow the agents of its data centre for a moment.
	settleTime = 700 * time.Millisecond
)

// Scope is which agents an entry follows itself.
type Scope uint8

// Scopes.
const (
	// All agents.
	All Scope = iota
	// Centres are those of the data centres in Choice.Centres.
	Centres
	// None: the entry asks a relay.
	None
)

// Choice is from whom an entry hears now.
type Choice struct {
	Scope Scope
	// Centres are the data centres whose agents it follows, where Scope says so.
	Centres []core.DataCentre
	// Relays are the entries that it asks.
	Relays []Member
}

var scopeNames = [...]string{"all", "data-centres", "none"}

// String returns the scope's name.
func (s Scope) String() string { return scopeNames[s] }

// Follows tells whether the entry follows the agents of a data centre itself.
func (c Choice) Follows(dc core.DataCentre) bool {
	return c.Scope == All || c.Scope == Centres && slices.Contains(c.Centres, dc)
}

// Relay tells whether the entry is a relay.
func (c Choice) Relay() bool { return c.Scope == Centres }

// Chooser chooses for one entry. Set the exported fields before use. It is not safe
// for use by several goroutines.
type Chooser struct {
	Self Member
	// MostDirect is how many agents an entry follows itself. Beyond it the reports cost
	// entries more processor time than the requests do.
	MostDirect int
	// Started is when the entry started.
	Started time.Time

	indirect bool
	asked    time.Time
	others   map[core.HostName]*other
}

// other is what is known of another entry by own calls.
type other struct {
	heard time.Time
	// until is when it may be chosen again after it did not answer; failures is how
	// often that was in a row.
	until    time.Time
	failures int
}

func (c *Chooser) other(name core.HostName) *other {
	if c.others == nil {
		c.others = map[core.HostName]*other{}
	}
	o := c.others[name]
	if o == nil {
		o = &other{}
		c.others[name] = o
	}
	return o
}

// Asked notes that another entry asked this one for what it follows.
func (c *Chooser) Asked(now time.Time) { c.asked = now }

// Heard notes an answer, or a call that shows that a relay is there.
func (c *Chooser) Heard(now time.Time, name core.HostName) {
	o := c.other(name)
	o.heard, o.failures, o.until = now, 0, time.Time{}
}

// Failed notes that a member did not answer.
func (c *Chooser) Failed(now time.Time, name core.HostName) {
	o := c.other(name)
	o.until = now.Add(retry.Backoff(firstAside, mostAside, o.failures))
	o.failures++
}

// Aside tells whether a member is left for others since it did not answer. It is
// chosen again only after it has answered a check, so that a member which stays
// silent delays nothing more.
func (c *Chooser) Aside(m Member) bool {
	o := c.others[m.Name]
	return o != nil && o.failures > 0
}

// Check returns the members that are to be asked for a sign of life now, apart from
// the calls of the present choice: those set aside that would be chosen if they
// answered, and, just after one did not, some that come next. Where many are lost at
// once, one after the other would be called and waited for.
func (c *Chooser) Check(now time.Time, others Ranked) []Member {
	var out []Member
	for _, list := range others {
		out = append(out, c.checkCentre(now, list)...)
	}
	return out
}

func (c *Chooser) checkCentre(now time.Time, list []Member) []Member {
	var out []Member
	ahead := 0
	for _, m := range list {
		o := c.others[m.Name]
		switch {
		case m.DataCentre == c.Self.DataCentre && c.Self.Before(m):
			return out
		case c.Aside(m):
			if o.failures == 1 {
				ahead = checkAhead
			}
			if !now.Before(o.until) {
				out = append(out, m)
			}
		case ahead == 0:
			return out
		default:
			ahead--
			if o == nil || now.Sub(o.heard) >= heardTime && !now.Before(o.until) {
				c.other(m.Name).until = now.Add(firstAside)
				out = append(out, m)
			}
		}
	}
	return out
}

// Choose returns from whom to hear, given all other entries and the number of agents in
// each data centre.
func (c *Chooser) Choose(now time.Time, others Ranked, agents map[core.DataCentre]int) Choice {
	if len(agents) == 0 {
		// Nothing is listed yet. Called direct until then, each entry of a large fleet would
		// begin to follow all agents with the first list.
		return Choice{Scope: None}
	}
	if !c.leavesDirect(agents) {
		return Choice{Scope: All}
	}
	own := others[c.Self.DataCentre]
	first, ok := c.first(own)
	leads := !ok || c.Self.Before(first)
	asked := now.Sub(c.asked) < askedTime
	alone := len(own) == 0 && now.Sub(c.Started) < settleTime
	switch {
	case alone && !asked:
		return Choice{Scope: None}
	case !leads && !asked:
		return Choice{Scope: None, Relays: []Member{first}}
	}
	out := Choice{Scope: Centres, Centres: []core.DataCentre{c.Self.DataCentre}}
	for _, dc := range slices.Sorted(maps.Keys(others)) {
		if m, ok := c.first(others[dc]); ok && (dc != c.Self.DataCentre || !leads) {
			out.Relays = append(out.Relays, m)
		}
	}
	out.Centres = append(out.Centres, c.orphans(out.Relays, agents)...)
	return out
}

// leavesDirect tells whether there are too many agents for each entry to follow all.
func (c *Chooser) leavesDirect(agents map[core.DataCentre]int) bool {
	count := 0
	for _, n := range agents {
		count += n
	}
	c.indirect = count > c.MostDirect || c.indirect && float64(count) >= backShare*float64(c.MostDirect)
	return c.indirect
}

// orphans returns the data centres that have agents and no entry that answers. The
// first of all relays follows these as well: their hosts may be sound while the
// entries there are cut off or lost.
func (c *Chooser) orphans(relays []Member, agents map[core.DataCentre]int) []core.DataCentre {
	led := map[core.DataCentre]bool{c.Self.DataCentre: true}
	for _, m := range relays {
		if m.Before(c.Self) {
			return nil
		}
		led[m.DataCentre] = true
	}
	var out []core.DataCentre
	for _, dc := range slices.Sorted(maps.Keys(agents)) {
		if !led[dc] {
			out = append(out, dc)
		}
	}
	return out
}

// first returns the first by rank that is not set aside; false for none.
func (c *Chooser) first(list []Member) (Member, bool) {
	i := slices.IndexFunc(list, func(m Member) bool { return !c.Aside(m) })
	if i < 0 {
		return Member{}, false
	}
	return list[i], true
}

// Planner returns the entry that plans, as a relay sees it: the first by rank of the
// relays that are there, itself included.
func (c *Chooser) Planner(now time.Time, relays []Member) Member {
	best := c.Self
	for _, m := range relays {
		if o := c.others[m.Name]; o != nil && now.Sub(o.heard) < heardTime && m.Before(best) {
			best = m
		}
	}
	return best
}
