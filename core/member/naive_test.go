package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
)

// noSpread makes every hold its full length, so that the naive version can
// work it out.
type noSpread struct{}

func (noSpread) Uint64() uint64 { return 1 }

// entry is one event of a naive log.
type entry struct {
	at      time.Time
	host    core.HostName
	listed  core.HostState
	mark    core.Incarnation
	expires time.Time
	contact *Contact
}

// naive keeps all events and works every verdict out from the first one.
type naive struct{ log []entry }

// judge is the specification of Judge.
func (n *naive) judge(now time.Time, name core.HostName) State {
	own := n.of(name)
	lives, hold, level, failing := n.fold(own)
	var life core.Incarnation
	if len(lives) > 0 {
		life = lives[len(lives)-1]
	}
	listed := lastListed(own)
	switch {
	case listed == core.HostGone:
		return Gone
	case listed == core.HostLeaving || saidLeaving(own, lives) || marked(own, life, now):
		return Leaving
	case failing || level > 1 && now.Before(hold):
		return Suspect
	}
	return Live
}

// of returns a host's events since it was last listed anew.
func (n *naive) of(name core.HostName) []entry {
	var own []entry
	for _, e := range n.log {
		if e.host != name {
			continue
		}
		if e.listed != "" && lastListed(own) == core.HostGone && e.listed != core.HostGone || e.listed == core.HostGone {
			own = nil
		}
		if lastListed(own) != core.HostGone {
			own = append(own, e)
		}
	}
	return own
}

func lastListed(own []entry) core.HostState {
	var state core.HostState
	for _, e := range own {
		if e.listed != "" {
			state = e.listed
		}
	}
	return state
}

// current tells whether a contact is not of a life that another has followed.
func current(lives []core.Incarnation, c *Contact) bool {
	for i, life := range lives {
		if life == c.Incarnation && i < len(lives)-1 {
			return false
		}
	}
	return true
}

func saidLeaving(own []entry, lives []core.Incarnation) bool {
	var seen []core.Incarnation
	said := false
	for _, e := range own {
		if e.contact == nil || !e.contact.OK || !current(seen, e.contact) {
			continue
		}
		if life := e.contact.Incarnation; life != 0 && (len(seen) == 0 || seen[len(seen)-1] != life) {
			seen = append(seen, life)
			said = false
		}
		said = said || e.contact.Leaving && len(seen) > 0
	}
	return said
}

func marked(own []entry, life core.Incarnation, now time.Time) bool {
	for _, e := range own {
		if e.mark != 0 && (life == 0 || life == e.mark) && e.expires.After(now) {
			return true
		}
	}
	return false
}

// fold works out the lives and the suspicion of one host. Failures of several
// hosts at a time are left out: the differential test has three hosts.
func (n *naive) fold(own []entry) (lives []core.Incarnation, hold time.Time, level int, failing bool) {
	var lastOK, lastFail time.Time
	decayed := func(at time.Time) int { return max(0, level-int(at.Sub(lastFail)/decayPeriod)) }
	for _, e := range own {
		switch c := e.contact; {
		case c == nil || !current(lives, c):
		case c.OK:
			if c.Incarnation != 0 && (len(lives) == 0 || lives[len(lives)-1] != c.Incarnation) {
				lives = append(lives, c.Incarnation)
				if decayed(e.at) < freshLevel {
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
			hold = e.at.Add(min(firstHold<<(level-1), maxHold))
		}
	}
	return lives, hold, level, failing
}

// TestAgainstNaive compares the table, which keeps what it needs, with a log
// from which every verdict is worked out anew.
func TestAgainstNaive(t *testing.T) {
	for seed := range uint64(150) {
		r := rand.New(rand.NewPCG(seed, 7))
		table := &Table{Rand: rand.New(noSpread{})}
		n := &naive{}
		now := start
		for range 80 {
			now = now.Add(time.Duration(r.IntN(8000)) * time.Millisecond)
			name := core.HostName(fmt.Sprintf("qalam-%d", r.IntN(3)))
			e := n.random(r, now, name)
			n.log = append(n.log, e)
			give(table, e)
			for i := range 3 {
				name := core.HostName(fmt.Sprintf("qalam-%d", i))
				at := now.Add(time.Duration(r.IntN(3000)) * time.Millisecond)
				assert.Equal(t, table.Judge(at, name).State, n.judge(at, name), "seed %d, %s", seed, name)
			}
		}
	}
}

// random makes an event; lives are drawn so that earlier ones come back.
func (n *naive) random(r *rand.Rand, now time.Time, name core.HostName) entry {
	e := entry{at: now, host: name}
	life := core.Incarnation(r.IntN(4))
	switch k := r.IntN(20); {
	case k < 8:
		e.contact = &Contact{Host: name, OK: true, Incarnation: life, Leaving: r.IntN(8) == 0}
	case k < 16:
		e.contact = &Contact{Host: name, Incarnation: life, Since: now.Add(-time.Duration(r.IntN(4000)) * time.Millisecond)}
	case k == 16:
		e.mark = life + 1
		e.expires = now.Add(time.Duration(r.IntN(30000)) * time.Millisecond)
	default:
		states := []core.HostState{core.HostLive, core.HostLive, core.HostLeaving, core.HostGone}
		e.listed = states[r.IntN(len(states))]
	}
	return e
}

func give(t *Table, e entry) {
	switch {
	case e.contact != nil:
		t.Note(e.at, *e.contact)
	case e.mark != 0:
		t.Marked(e.at, e.host, e.mark, e.expires)
	case e.listed == core.HostGone:
		t.Unlisted(e.host)
	default:
		t.Listed(e.host, e.listed)
	}
}
