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

// cluster simulates entries of several data centres that choose relays and call each other
// under faults.
type cluster struct {
	now     time.Time
	entries []*entry
	ranked  follow.Ranked
	agents  map[core.DataCentre]int
	// silent entries neither respond nor call. Unreachable ones call but do not respond.
	silent, unreachable map[core.HostName]bool
}

// entry is an entry of the simulated cluster. A call without a response takes callTime.
type entry struct {
	self    follow.Member
	chooser *follow.Chooser
	choice  follow.Choice
	// pendingCalls holds the calls without a response by the called entry, with the time
	// at which they fail.
	pendingCalls map[core.HostName]time.Time
	// updated is when it last received reports, from a relay or from the agents.
	updated time.Time
}

const (
	step     = 100 * time.Millisecond
	callTime = 700 * time.Millisecond
)

// newCluster returns a cluster with entries and agents that are spread evenly over data
// centres. The first two entries of each are larger than the others.
func newCluster(centres, entries, agents int) *cluster {
	w := &cluster{now: t0, agents: map[core.DataCentre]int{}, silent: map[core.HostName]bool{}, unreachable: map[core.HostName]bool{}}
	for i := range entries {
		dc := core.DataCentre(fmt.Sprintf("dc-%d", i%centres))
		capacity := 0.144
		if i < 2*centres {
			capacity = 0.8
		}
		m := follow.Member{Name: core.HostName(fmt.Sprintf("entry-%03d", i)), DataCentre: dc, Capacity: capacity}
		w.entries = append(w.entries, &entry{
			self: m, chooser: &follow.Chooser{Self: m, MaxDirect: 64, Started: t0}, pendingCalls: map[core.HostName]time.Time{},
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

// others returns the list of the other entries, as an entry reads it.
func (w *cluster) others(of follow.Member) follow.Ranked {
	out := maps.Clone(w.ranked)
	out[of.DataCentre] = slices.DeleteFunc(slices.Clone(out[of.DataCentre]), func(m follow.Member) bool { return m == of })
	return out
}

func (w *cluster) entry(name core.HostName) *entry {
	i := slices.IndexFunc(w.entries, func(e *entry) bool { return e.self.Name == name })
	return w.entries[i]
}

func (w *cluster) responds(name core.HostName) bool { return !w.silent[name] && !w.unreachable[name] }

// run advances the simulation.
func (w *cluster) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		for _, e := range w.entries {
			if !w.silent[e.self.Name] {
				w.tick(e)
			}
		}
	}
}

func (w *cluster) tick(e *entry) {
	others := w.others(e.self)
	e.choice = e.chooser.Choose(w.now, others, w.agents)
	if e.choice.Scope != follow.None {
		e.updated = w.now
	}
	for _, m := range e.choice.Relays {
		w.call(e, m)
	}
	for _, m := range e.chooser.Probes(w.now, others) {
		w.probe(e, m)
	}
}

// call polls a relay. A call without a response fails after callTime.
func (w *cluster) call(e *entry, m follow.Member) {
	failsAt, pending := e.pendingCalls[m.Name]
	switch {
	case pending && w.now.Before(failsAt):
	case pending:
		delete(e.pendingCalls, m.Name)
		e.chooser.NoteFailure(w.now, m.Name)
	case !w.responds(m.Name):
		e.pendingCalls[m.Name] = w.now.Add(callTime)
	default:
		e.chooser.NoteResponse(w.now, m.Name)
		called := w.entry(m.Name).chooser
		if e.choice.Relay() {
			called.NoteResponse(w.now, e.self.Name)
		} else {
			called.NotePolled(w.now)
			e.updated = w.now
		}
	}
}

func (w *cluster) probe(e *entry, m follow.Member) {
	if w.responds(m.Name) {
		e.chooser.NoteResponse(w.now, m.Name)
		return
	}
	e.chooser.NoteFailure(w.now, m.Name)
}

func (w *cluster) relays() []core.HostName {
	var out []core.HostName
	for _, e := range w.entries {
		if !w.silent[e.self.Name] && e.choice.Relay() {
			out = append(out, e.self.Name)
		}
	}
	return out
}

// wantUpdated asserts that all running entries have received reports within the given time.
func (w *cluster) wantUpdated(t *testing.T, within time.Duration) {
	t.Helper()
	for _, e := range w.entries {
		if !w.silent[e.self.Name] {
			assert.Assert(t, w.now.Sub(e.updated) <= within, "%s was last updated %v ago; %+v", e.self.Name, w.now.Sub(e.updated), e.choice)
		}
	}
}

// wantPlanner asserts that all relays agree on the planner.
func (w *cluster) wantPlanner(t *testing.T, name core.HostName) {
	t.Helper()
	for _, r := range w.relays() {
		e := w.entry(r)
		assert.Equal(t, e.chooser.Planner(w.now, e.choice.Relays).Name, name, "by %s", r)
	}
}

// sizes are those of the largest existing fleet and of the fleet to design for.
var sizes = []struct{ centres, entries, agents int }{{5, 103, 180}, {4, 400, 640}}

func eachSize(t *testing.T, test func(t *testing.T, w *cluster)) {
	for _, s := range sizes {
		t.Run(fmt.Sprint(s.entries+s.agents), func(t *testing.T) {
			w := newCluster(s.centres, s.entries, s.agents)
			w.run(2 * time.Second)
			test(t, w)
		})
	}
}

func TestOneRelayForEachDataCentre(t *testing.T) {
	eachSize(t, func(t *testing.T, w *cluster) {
		assert.Equal(t, len(w.relays()), len(w.agents))
		w.wantUpdated(t, 2*step)
		w.wantPlanner(t, "entry-000")
		for _, e := range w.entries {
			if !e.choice.Relay() {
				assert.Equal(t, len(e.choice.Relays), 1)
			}
		}
	})
}

// Guards against stale state after the loss of a relay that is also the planner. The
// entries of its data centre route by the last reports until they notice. Then they poll
// the next entry by rank, which follows the agents from then on.
func TestRelayIsReplaced(t *testing.T) {
	eachSize(t, func(t *testing.T, w *cluster) {
		w.silent["entry-000"] = true
		w.run(1200 * time.Millisecond)
		w.wantUpdated(t, 3*step)
		w.wantPlanner(t, "entry-001")
		w.run(3 * time.Second)
		assert.Equal(t, len(w.relays()), len(w.agents))
	})
}

// Guards against two relays in one data centre that each follow all of its agents, after a
// relay has stalled and recovered. The one that replaced it must cease to be a relay.
func TestRelayComesBack(t *testing.T) {
	eachSize(t, func(t *testing.T, w *cluster) {
		w.silent["entry-000"] = true
		w.run(5 * time.Second)
		w.silent["entry-000"] = false
		w.run(20 * time.Second)
		assert.Equal(t, len(w.relays()), len(w.agents))
		w.wantPlanner(t, "entry-000")
		w.wantUpdated(t, 2*step)
	})
}

// Guards against stale state when a tenth of all entries fail at once, with all large ones
// of a data centre among them.
func TestTenthIsLost(t *testing.T) {
	eachSize(t, func(t *testing.T, w *cluster) {
		for i, e := range w.entries {
			if i%10 == 0 || i < len(w.entries)/10 && e.self.DataCentre == "dc-1" {
				w.silent[e.self.Name] = true
			}
		}
		w.run(4 * time.Second)
		w.wantUpdated(t, 3*step)
	})
}

// Guards against agents that nobody follows when all entries of their data centre are cut
// off. The first of the other relays must follow these agents.
func TestDataCentreWithoutEntries(t *testing.T) {
	eachSize(t, func(t *testing.T, w *cluster) {
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
		w.wantUpdated(t, 2*step)
	})
}

// Guards against stale state when a relay can make calls but receives none, for instance
// during a one-way network failure. Others must stop polling it.
func TestUnreachableRelay(t *testing.T) {
	eachSize(t, func(t *testing.T, w *cluster) {
		w.unreachable["entry-000"] = true
		w.run(1500 * time.Millisecond)
		w.wantUpdated(t, 3*step)
	})
}

// Guards against repeated delays by a host that was removed and is still listed.
// After the first failure, nobody must wait for it again.
func TestLostMemberDelaysNobody(t *testing.T) {
	eachSize(t, func(t *testing.T, w *cluster) {
		w.silent["entry-000"] = true
		w.run(3 * time.Second)
		for range 300 {
			w.run(step)
			w.wantUpdated(t, 3*step)
		}
	})
}

func TestSmallFleet(t *testing.T) {
	c := &follow.Chooser{Self: follow.Member{Name: "a", DataCentre: "dc-1"}, MaxDirect: 64}
	choose := func(agents int) follow.Scope {
		return c.Choose(t0.Add(time.Minute), nil, map[core.DataCentre]int{"dc-1": agents}).Scope
	}
	t.Run("each entry follows all agents", func(t *testing.T) { assert.Equal(t, choose(64), follow.All) })
	t.Run("none before any is listed", func(t *testing.T) {
		assert.Equal(t, c.Choose(t0, nil, nil).Scope, follow.None)
	})
	t.Run("beyond the limit it is the relay of its data centre", func(t *testing.T) { assert.Equal(t, choose(65), follow.Centres) })
	t.Run("slightly fewer hosts change nothing", func(t *testing.T) { assert.Equal(t, choose(50), follow.Centres) })
	t.Run("with far fewer hosts it follows all agents again", func(t *testing.T) { assert.Equal(t, choose(47), follow.All) })
}

// Guards against entries that each follow all agents of their data centre for a moment
// because all start at the same time and none knows the others yet.
func TestStartWaitsForOthers(t *testing.T) {
	c := &follow.Chooser{Self: follow.Member{Name: "b", DataCentre: "dc-1"}, MaxDirect: 1, Started: t0}
	agents := map[core.DataCentre]int{"dc-1": 36}
	assert.Equal(t, c.Choose(t0.Add(100*time.Millisecond), nil, agents).Scope, follow.None)
	other := follow.Member{Name: "a", DataCentre: "dc-1"}
	got := c.Choose(t0.Add(200*time.Millisecond), follow.Rank([]follow.Member{other}), agents)
	assert.Assert(t, slices.Equal(got.Relays, []follow.Member{other}))
	c = &follow.Chooser{Self: c.Self, MaxDirect: 1, Started: t0}
	assert.Equal(t, c.Choose(t0.Add(time.Second), nil, agents).Scope, follow.Centres)
}
