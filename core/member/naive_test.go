package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
)

// noJitter makes every hold as long as it can be, so that the naive version can compute
// it.
type noJitter struct{}

func (noJitter) Uint64() uint64 { return 1 }

// event is one event of the log. Only the fields of its kind are set.
type event struct {
	at      time.Time
	host    core.HostName
	listed  core.HostState
	mark    core.Incarnation
	expires time.Time
	contact *Contact
}

// naive keeps all events and computes every state from the first one.
type naive struct{ log []event }

// judge is the specification of Judge.
func (n *naive) judge(now time.Time, name core.HostName) State {
	events := n.eventsOf(name)
	incarnations, hold, level, failing := n.replay(events)
	var incarnation core.Incarnation
	if len(incarnations) > 0 {
		incarnation = incarnations[len(incarnations)-1]
	}
	listed := lastListed(events)
	switch {
	case listed == core.HostGone:
		return Gone
	case listed == core.HostLeaving || reportedLeaving(events, incarnations) || marked(events, incarnation, now):
		return Leaving
	case failing || level > 1 && now.Before(hold):
		return Suspect
	}
	return Live
}

// eventsOf returns the events of a host since it was last listed after being gone.
func (n *naive) eventsOf(name core.HostName) []event {
	var events []event
	for _, e := range n.log {
		if e.host != name {
			continue
		}
		if e.listed != "" && lastListed(events) == core.HostGone && e.listed != core.HostGone || e.listed == core.HostGone {
			events = nil
		}
		if lastListed(events) != core.HostGone {
			events = append(events, e)
		}
	}
	return events
}

func lastListed(events []event) core.HostState {
	var state core.HostState
	for _, e := range events {
		if e.listed != "" {
			state = e.listed
		}
	}
	return state
}

// isCurrent reports whether a contact is not from a replaced incarnation.
func isCurrent(incarnations []core.Incarnation, c *Contact) bool {
	for i, incarnation := range incarnations {
		if incarnation == c.Incarnation && i < len(incarnations)-1 {
			return false
		}
	}
	return true
}

func reportedLeaving(events []event, incarnations []core.Incarnation) bool {
	var seen []core.Incarnation
	leaving := false
	for _, e := range events {
		if e.contact == nil || !e.contact.OK || !isCurrent(seen, e.contact) {
			continue
		}
		if incarnation := e.contact.Incarnation; incarnation != 0 && (len(seen) == 0 || seen[len(seen)-1] != incarnation) {
			seen = append(seen, incarnation)
			leaving = false
		}
		leaving = leaving || e.contact.Leaving && len(seen) > 0
	}
	return leaving
}

func marked(events []event, incarnation core.Incarnation, now time.Time) bool {
	for _, e := range events {
		if e.mark != 0 && (incarnation == 0 || incarnation == e.mark) && e.expires.After(now) {
			return true
		}
	}
	return false
}

// replay computes the incarnations and the suspicion of one host. It leaves out
// failures of several hosts at a time, since the differential test has only three
// hosts.
func (n *naive) replay(events []event) (incarnations []core.Incarnation, hold time.Time, level int, failing bool) {
	var lastOK, lastFail time.Time
	decayed := func(at time.Time) int { return max(0, level-int(at.Sub(lastFail)/decayInterval)) }
	for _, e := range events {
		switch c := e.contact; {
		case c == nil || !isCurrent(incarnations, c):
		case c.OK:
			if c.Incarnation != 0 && (len(incarnations) == 0 || incarnations[len(incarnations)-1] != c.Incarnation) {
				incarnations = append(incarnations, c.Incarnation)
				if decayed(e.at) < crashLoopLevel {
					hold = time.Time{}
				}
			}
			lastOK, failing = e.at, false
		case lastOK.After(c.Since):
		case failing && e.at.Before(hold):
			lastFail = e.at
		default:
			level = min(decayed(e.at)+1, maxLevel)
			lastFail, failing = e.at, true
			hold = e.at.Add(min(minHold<<(level-1), maxHold))
		}
	}
	return incarnations, hold, level, failing
}

// TestAgainstNaive compares the table with a log from which every state is
// computed from scratch.
func TestAgainstNaive(t *testing.T) {
	for seed := range uint64(150) {
		r := rand.New(rand.NewPCG(seed, 7))
		table := &Table{Rand: rand.New(noJitter{})}
		n := &naive{}
		now := start
		for range 80 {
			now = now.Add(time.Duration(r.IntN(8000)) * time.Millisecond)
			name := core.HostName(fmt.Sprintf("qalam-%d", r.IntN(3)))
			e := n.random(r, now, name)
			n.log = append(n.log, e)
			apply(table, e)
			for i := range 3 {
				name := core.HostName(fmt.Sprintf("qalam-%d", i))
				at := now.Add(time.Duration(r.IntN(3000)) * time.Millisecond)
				assert.Equal(t, table.Judge(at, name).State, n.judge(at, name), "seed %d, %s", seed, name)
			}
		}
	}
}

// random returns an event; incarnations are drawn so that earlier ones return.
func (n *naive) random(r *rand.Rand, now time.Time, name core.HostName) event {
	e := event{at: now, host: name}
	incarnation := core.Incarnation(r.IntN(4))
	switch k := r.IntN(20); {
	case k < 8:
		e.contact = &Contact{Host: name, OK: true, Incarnation: incarnation, Leaving: r.IntN(8) == 0}
	case k < 16:
		e.contact = &Contact{Host: name, Incarnation: incarnation, Since: now.Add(-time.Duration(r.IntN(4000)) * time.Millisecond)}
	case k == 16:
		e.mark = incarnation + 1
		e.expires = now.Add(time.Duration(r.IntN(30000)) * time.Millisecond)
	default:
		states := []core.HostState{core.HostLive, core.HostLive, core.HostLeaving, core.HostGone}
		e.listed = states[r.IntN(len(states))]
	}
	return e
}

func apply(t *Table, e event) {
	switch {
	case e.contact != nil:
		t.RecordContact(e.at, *e.contact)
	case e.mark != 0:
		t.MarkLeaving(e.at, e.host, e.mark, e.expires)
	case e.listed == core.HostGone:
		t.SetUnlisted(e.host)
	default:
		t.SetListed(e.host, e.listed)
	}
}
