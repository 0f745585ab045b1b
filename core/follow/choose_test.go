package follow_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/follow"
)

var t0 = time.Unix(1000, 0)

// world is entries of several data centres that choose whom to ask, and call each
// other under faults.
type world struct {
	now     time.Time
	entries []*entry
	ranked  follow.Ranked
	agents  map[core.DataCentre]int
	// silent are entries that neither answer nor ask, deaf those that ask but do not
	// answer.
	silent, deaf map[core.HostName]bool
}

// entry is one of them. A call that is not answered takes callTime.
type entry struct {
	self    follow.Member
	chooser *follow.Chooser
	choice  follow.Choice
	// busy is until when it waits for an answer, of whom.
	busy map[core.HostName]time.Time
	// fed is when it last heard of the hosts, from a relay or their agents.
	fed time.Time
}

const (
	step     = 100 * time.Millisecond
	callTime = 700 * time.Millisecond
)

// newWorld makes entries and agents that are spread evenly over data centres. The
// first two entries of each are larger than the others.
func newWorld(centres, entries, agents int) *world {
	w := &world{now: t0, agents: map[core.DataCentre]int{}, silent: map[core.HostName]bool{}, deaf: map[core.HostName]bool{}}
	for i := range entries {
		dc := core.DataCentre(fmt.Sprintf("dc-%d", i%centres))
		capacity := 0.144
		if i < 2*centres {
			capacity = 0.8
		}
		m := follow.Member{Name: core.HostName(fmt.Sprintf("entry-%03d", i)), DataCentre: dc, Capacity: capacity}
		w.entries = append(w.entries, &entry{
			self: m, chooser: &follow.Chooser{Self: m, MostDirect: 64, Started: t0}, busy: map[core.HostName]time.Time{},
		})
	}
	all := make([]follow.Member, 0, entries)
	for _, e := range w.entries {
		all = append(all, e.self)
	}
	w.ranked = follow.Rank(all)
	for i := range agents {
		w.agents[core.DataCentre(fmt.Sprintf("dc-%d", i%centres))]++
	}
	return w
}

// others returns what an entry reads of all others.
func (w *world) others(of follow.Member) follow.Ranked {
	out := maps.Clone(w.ranked)
	out[of.DataCentre] = slices.DeleteFunc(slices.Clone(out[of.DataCentre]), func(m follow.Member) bool { return m == of })
	return out
}

func (w *world) entry(name core.HostName) *entry {
	i := slices.IndexFunc(w.entries, func(e *entry) bool { return e.self.Name == name })
	return w.entries[i]
}

func (w *world) answers(name core.HostName) bool { return !w.silent[name] && !w.deaf[name] }

// run lets time pass.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		for _, e := range w.entries {
			if !w.silent[e.self.Name] {
				w.turn(e)
			}
		}
	}
}

func (w *world) turn(e *entry) {
	others := w.others(e.self)
	e.choice = e.chooser.Choose(w.now, others, w.agents)
	if e.choice.Scope != follow.None {
		e.fed = w.now
	}
	for _, m := range e.choice.Relays {
		w.call(e, m)
	}
	for _, m := range e.chooser.Check(w.now, others) {
		w.sign(e, m)
	}
}

// call asks a relay; one that does not answer is found out after callTime.
func (w *world) call(e *entry, m follow.Member) {
	due, waiting := e.busy[m.Name]
	switch {
	case waiting && w.now.Before(due):
	case waiting:
		delete(e.busy, m.Name)
		e.chooser.Failed(w.now, m.Name)
	case !w.answers(m.Name):
		e.busy[m.Name] = w.now.Add(callTime)
	default:
		e.chooser.Heard(w.now, m.Name)
		called := w.entry(m.Name).chooser
		if e.choice.Relay() {
			called.Heard(w.now, e.self.Name)
		} else {
			called.Asked(w.now)
			e.fed = w.now
		}
	}
}

func (w *world) sign(e *entry, m follow.Member) {
	if w.answers(m.Name) {
		e.chooser.Heard(w.now, m.Name)
		return
	}
	e.chooser.Failed(w.now, m.Name)
}

func (w *world) relays() []core.HostName {
	var out []core.HostName
	for _, e := range w.entries {
		if !w.silent[e.self.Name] && e.choice.Relay() {
			out = append(out, e.self.Name)
		}
	}
	return out
}

// wantFed asserts that all entries that run have heard of the hosts within a time.
func (w *world) wantFed(t *testing.T, within time.Duration) {
	t.Helper()
	for _, e := range w.entries {
		if !w.silent[e.self.Name] {
			assert.Assert(t, w.now.Sub(e.fed) <= within, "%s last heard %v ago; %+v", e.self.Name, w.now.Sub(e.fed), e.choice)
		}
	}
}

// wantPlanner asserts that all relays call the same entry the planner.
func (w *world) wantPlanner(t *testing.T, name core.HostName) {
	t.Helper()
	for _, r := range w.relays() {
		e := w.entry(r)
		assert.Equal(t, e.chooser.Planner(w.now, e.choice.Relays).Name, name, "by %s", r)
	}
}

// sizes are the largest fleet that runs and the one to design for.
var sizes = []struct{ centres, entries, agents int }{{5, 103, 180}, {4, 400, 640}}

func eachSize(t *testing.T, test func(t *testing.T, w *world)) {
	for _, s := range sizes {
		t.Run(fmt.Sprint(s.entries+s.agents), func(t *testing.T) {
			w := newWorld(s.centres, s.entries, s.agents)
			w.run(2 * time.Second)
			test(t, w)
		})
	}
}

func TestOneRelayForEachDataCentre(t *testing.T) {
	eachSize(t, func(t *testing.T, w *world) {
		assert.Equal(t, len(w.relays()), len(w.agents))
		w.wantFed(t, 2*step)
		w.wantPlanner(t, "entry-000")
		for _, e := range w.entries {
			if !e.choice.Relay() {
				assert.Equal(t, len(e.choice.Relays), 1)
			}
		}
	})
}

// A relay loses power, and with it the planner. Its data centre's entries route by what
// they heard last until they find out, then ask the next by rank, which follows the
// agents from then on.
func TestRelayIsReplaced(t *testing.T) {
	eachSize(t, func(t *testing.T, w *world) {
		w.silent["entry-000"] = true
		w.run(1200 * time.Millisecond)
		w.wantFed(t, 3*step)
		w.wantPlanner(t, "entry-001")
		w.run(3 * time.Second)
		assert.Equal(t, len(w.relays()), len(w.agents))
	})
}

// A relay freezes and wakes again. The one that stood in for it steps back: two that
// stay would each follow all agents of the data centre.
func TestRelayComesBack(t *testing.T) {
	eachSize(t, func(t *testing.T, w *world) {
		w.silent["entry-000"] = true
		w.run(5 * time.Second)
		w.silent["entry-000"] = false
		w.run(20 * time.Second)
		assert.Equal(t, len(w.relays()), len(w.agents))
		w.wantPlanner(t, "entry-000")
		w.wantFed(t, 2*step)
	})
}

// A tenth of all entries are lost at once, all large ones of a data centre among them.
func TestTenthIsLost(t *testing.T) {
	eachSize(t, func(t *testing.T, w *world) {
		for i, e := range w.entries {
			if i%10 == 0 || i < len(w.entries)/10 && e.self.DataCentre == "dc-1" {
				w.silent[e.self.Name] = true
			}
		}
		w.run(4 * time.Second)
		w.wantFed(t, 3*step)
	})
}

// A data centre's entries are all cut off while its engines live. The first of the other
// relays follows their agents.
func TestDataCentreWithoutEntries(t *testing.T) {
	eachSize(t, func(t *testing.T, w *world) {
		for _, e := range w.entries {
			if e.self.DataCentre == "dc-1" {
				w.silent[e.self.Name] = true
			}
		}
		w.run(90 * time.Second)
		followed := 0
		for _, r := range w.relays() {
			if w.entry(r).choice.Follows("dc-1") {
				followed++
			}
		}
		assert.Equal(t, followed, 1)
		w.wantFed(t, 2*step)
	})
}

// A relay takes calls no more, but makes them: it is cut one way. Others stop asking
// it, and no part of the fleet is left without word.
func TestDeafRelay(t *testing.T) {
	eachSize(t, func(t *testing.T, w *world) {
		w.deaf["entry-000"] = true
		w.run(1500 * time.Millisecond)
		w.wantFed(t, 3*step)
	})
}

// A host was removed for good and is still listed. After the first time, nobody waits
// for it again.
func TestLostMemberDelaysNobody(t *testing.T) {
	eachSize(t, func(t *testing.T, w *world) {
		w.silent["entry-000"] = true
		w.run(3 * time.Second)
		for range 300 {
			w.run(step)
			w.wantFed(t, 3*step)
		}
	})
}

func TestSmallFleet(t *testing.T) {
	c := &follow.Chooser{Self: follow.Member{Name: "a", DataCentre: "dc-1"}, MostDirect: 64}
	choose := func(agents int) follow.Scope {
		return c.Choose(t0.Add(time.Minute), nil, map[core.DataCentre]int{"dc-1": agents}).Scope
	}
	t.Run("each entry follows all agents", func(t *testing.T) { assert.Equal(t, choose(64), follow.All) })
	t.Run("but none before any is listed", func(t *testing.T) {
		assert.Equal(t, c.Choose(t0, nil, nil).Scope, follow.None)
	})
	t.Run("beyond the limit it leads its data centre", func(t *testing.T) { assert.Equal(t, choose(65), follow.Centres) })
	t.Run("a few hosts less change nothing", func(t *testing.T) { assert.Equal(t, choose(50), follow.Centres) })
	t.Run("many less do", func(t *testing.T) { assert.Equal(t, choose(47), follow.All) })
}

// All entries start at the same time, and none has read yet of the others. Each would
// follow all agents of its data centre for a moment.
func TestStartWaitsForOthers(t *testing.T) {
	c := &follow.Chooser{Self: follow.Member{Name: "b", DataCentre: "dc-1"}, MostDirect: 1, Started: t0}
	agents := map[core.DataCentre]int{"dc-1": 36}
	assert.Equal(t, c.Choose(t0.Add(100*time.Millisecond), nil, agents).Scope, follow.None)
	other := follow.Member{Name: "a", DataCentre: "dc-1"}
	got := c.Choose(t0.Add(200*time.Millisecond), follow.Rank([]follow.Member{other}), agents)
	assert.Assert(t, slices.Equal(got.Relays, []follow.Member{other}))
	c = &follow.Chooser{Self: c.Self, MostDirect: 1, Started: t0}
	assert.Equal(t, c.Choose(t0.Add(time.Second), nil, agents).Scope, follow.Centres)
}
