package driver_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/io/driver"
	"radishwell/io/events"
	"radishwell/wire"
)

func TestMain(m *testing.M) {
	events.Discard()
	m.Run()
}

type bubbleClock struct{}

func (bubbleClock) Now() time.Time { return time.Now() }

// engine is an upstream with the platform's rules of orders.
type engine struct {
	mu       sync.Mutex
	state    core.UpstreamState
	loadTime time.Duration
	// down has reports fail, deaf has orders lost, to be carried out by replay.
	down, deaf bool
	// elsewhere has orders met by another life.
	elsewhere bool
	// nameless keeps its reports from telling its life.
	nameless bool
	// slow, if set, is how long its reports are on their way.
	slow   func() time.Duration
	lost   []core.UpstreamOrder
	orders []string
	// refused counts the orders that rested on another count.
	refused int
	fences  []core.Fence
	// most is the largest number of models and adapters it ever held.
	most int
}

func newEngine(models ...core.ModelName) *engine {
	e := &engine{loadTime: 2 * time.Second, state: core.UpstreamState{ID: "i-1", Born: 1}}
	for _, m := range models {
		e.state.Models = append(e.state.Models, core.HeldModel{Model: m})
	}
	return e
}

func (e *engine) State(context.Context) (core.UpstreamState, error) {
	s, err := e.now()
	if e.slow != nil {
		time.Sleep(e.slow())
	}
	return s, err
}

func (e *engine) now() (core.UpstreamState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return core.UpstreamState{}, &core.EngineError{Fault: core.EngineUnreached}
	}
	s := e.state
	s.Models = slices.Clone(s.Models)
	if e.nameless {
		s.ID, s.Born = "", 0
	}
	return s, nil
}

func (e *engine) Order(_ context.Context, o core.UpstreamOrder) (core.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.deaf {
		e.lost = append(e.lost, o)
		return 0, &core.EngineError{Fault: core.EngineLost}
	}
	return e.take(o), nil
}

// replay carries out the orders that were lost, and returns what became of them.
func (e *engine) replay() []core.OrderResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []core.OrderResult
	for _, o := range e.lost {
		out = append(out, e.take(o))
	}
	e.lost = nil
	return out
}

func (e *engine) take(o core.UpstreamOrder) core.OrderResult {
	switch {
	case o.Instance != e.state.ID, e.elsewhere:
		return core.OrderOtherInstance
	case e.state.Busy || o.AfterOrders != e.state.Orders:
		e.refused++
		return core.OrderConflict
	}
	e.state.Orders++
	e.fences = append(e.fences, o.Fence)
	i := slices.IndexFunc(e.state.Models, func(m core.HeldModel) bool { return m.Model == o.Model })
	verb := "load"
	if o.Unload {
		verb = "unload"
	}
	e.orders = append(e.orders, strings.TrimSuffix(verb+" "+string(o.Model)+"/"+o.Adapter, "/"))
	switch {
	case o.Adapter != "" && o.Unload:
		e.state.Models[i].Adapters = slices.DeleteFunc(slices.Clone(e.state.Models[i].Adapters), func(a string) bool { return a == o.Adapter })
	case o.Adapter != "":
		e.state.Models[i].Adapters = append(slices.Clone(e.state.Models[i].Adapters), o.Adapter)
	case o.Unload:
		e.state.Models = slices.Delete(slices.Clone(e.state.Models), i, i+1)
	default:
		e.state.Busy = true
		time.AfterFunc(e.loadTime, func() { e.loaded(o.Model) })
	}
	e.count()
	return core.OrderAccepted
}

func (e *engine) loaded(m core.ModelName) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.state.Busy {
		return // it was restarted meanwhile
	}
	e.state.Busy = false
	e.state.Models = append(slices.Clone(e.state.Models), core.HeldModel{Model: m})
	e.count()
}

func (e *engine) count() {
	n := 0
	for _, m := range e.state.Models {
		n += 1 + len(m.Adapters)
	}
	e.most = max(e.most, n)
}

func (e *engine) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

func (e *engine) accepted() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// drive runs a driver of the engine in a bubble of synthetic time.
func drive(t *testing.T, e *engine, play func(d *driver.Driver)) {
	t.Helper()
	driveFrom(t, e, false, play)
}

// driveFrom runs a driver beside the engine, or on another host.
func driveFrom(t *testing.T, e *engine, remote bool, play func(d *driver.Driver)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := &driver.Driver{
			Remote: remote,
			Self:   "side-1", Upstream: e, Clock: bubbleClock{}, Fence: func() (core.Fence, bool) { return 7, true },
		}
		d.Start()
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- d.Run(ctx) }()
		time.Sleep(500 * time.Millisecond)
		play(d)
		stop()
		assert.NilError(t, <-ended)
	})
}

// limits are those of an upstream with room for two models of ten, each with
// two adapters of one, and three places for adapters.
func limits() *wire.UpstreamLimits {
	out := &wire.UpstreamLimits{Memory: 24, AdapterPlaces: 3}
	for _, m := range []string{"a", "b", "c"} {
		out.Sizes = append(out.Sizes, &wire.ModelSize{Model: m, Weights: 10, Adapter: 1})
	}
	return out
}

// call is an entry's question, asked again until the agent follows an entry.
func call(t *testing.T, d *driver.Driver, entry string) *wire.UpstreamReply {
	t.Helper()
	for {
		r, err := d.ServeUpstream(&wire.UpstreamCall{Entry: entry, Control: entry + ":1"})
		assert.NilError(t, err)
		if r.GetPlanner() != "" {
			return r
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func goal(t *testing.T, d *driver.Driver, entry, load string, evict ...string) *wire.GoalReply {
	t.Helper()
	r, err := d.ServeGoal(&wire.GoalCall{Entry: entry, Instance: "i-1", Load: load, Evict: evict, Limits: limits()})
	assert.NilError(t, err)
	return r
}

func models(r *wire.UpstreamReply) []string {
	var out []string
	for _, m := range r.GetReport().GetModels() {
		out = append(out, m.GetModel())
	}
	return out
}

func TestGoal(t *testing.T) {
	t.Run("evicts, then loads", func(t *testing.T) {
		e := newEngine("a", "b")
		drive(t, e, func(d *driver.Driver) {
			call(t, d, "edge-1")
			assert.Assert(t, goal(t, d, "edge-1", "c", "b").GetTaken())
			assert.DeepEqual(t, models(call(t, d, "edge-1")), []string{"a"})
			assert.Equal(t, len(e.accepted()), 0, "entries learn of it before the unload")
			time.Sleep(4 * time.Second)
			assert.DeepEqual(t, e.accepted(), []string{"unload b", "load c"})
			assert.DeepEqual(t, models(call(t, d, "edge-1")), []string{"a", "c"})
		})
	})
	t.Run("gives up nothing that is in use, where it was chosen for that", func(t *testing.T) {
		// The planner finds a model idle by what it heard half a second ago. A request
		// for it has come meanwhile; the upstream waited for its end, for seconds, and
		// callers of both models waited with it.
		e := newEngine("a", "b")
		drive(t, e, func(d *driver.Driver) {
			call(t, d, "edge-1")
			use := func(count uint32) {
				_, err := d.ServeUpstream(&wire.UpstreamCall{
					Entry: "edge-1", Control: "edge-1:1", Active: []*wire.ModelActive{{Model: "b", Count: count}},
				})
				assert.NilError(t, err)
			}
			idle := &wire.GoalCall{Entry: "edge-1", Instance: "i-1", Load: "c", Evict: []string{"b"}, Limits: limits(), Idle: true}
			_, err := d.ServeGoal(idle)
			assert.NilError(t, err)
			use(1)
			time.Sleep(4 * time.Second)
			assert.Equal(t, len(e.accepted()), 0)
			use(0)
			assert.DeepEqual(t, models(call(t, d, "edge-1")), []string{"a", "b"})
			r, err := d.ServeGoal(idle)
			assert.NilError(t, err)
			assert.Assert(t, r.GetTaken())
			time.Sleep(4 * time.Second)
			assert.DeepEqual(t, e.accepted(), []string{"unload b", "load c"})
		})
	})
	t.Run("begins at once", func(t *testing.T) {
		// Callers wait for the model; up to the next look at an idle upstream nothing
		// happened, for a sixth of a second.
		e := newEngine("a")
		drive(t, e, func(d *driver.Driver) {
			call(t, d, "edge-1")
			time.Sleep(time.Second)
			goal(t, d, "edge-1", "b")
			synctest.Wait()
			assert.DeepEqual(t, e.accepted(), []string{"load b"})
		})
	})
	t.Run("of an entry that is not followed is refused", func(t *testing.T) {
		// Two entries believe that they plan. Both goals carried out, the upstream
		// would load and unload by turns.
		e := newEngine("a")
		drive(t, e, func(d *driver.Driver) {
			call(t, d, "edge-2")
			call(t, d, "edge-1")
			assert.Assert(t, !goal(t, d, "edge-2", "b").GetTaken())
			assert.Assert(t, goal(t, d, "edge-1", "b").GetTaken())
		})
	})
	t.Run("entries that start together have one planner", func(t *testing.T) {
		// Followed at once, each of five entries would plan for a moment, by what it
		// alone knows.
		drive(t, newEngine("a"), func(d *driver.Driver) {
			for _, name := range []string{"edge-3", "edge-2", "edge-1"} {
				r, err := d.ServeUpstream(&wire.UpstreamCall{Entry: name})
				assert.NilError(t, err)
				assert.Equal(t, r.GetPlanner(), "")
			}
			time.Sleep(time.Second)
			assert.Equal(t, call(t, d, "edge-3").GetPlanner(), "edge-1")
		})
	})
	t.Run("a life that the registry still lists is not its own", func(t *testing.T) {
		// The upstream was started anew and the registry lists the old life for some
		// seconds; orders meant for that one would all be refused.
		e := newEngine("a")
		e.state.ID, e.state.Born = "", 2
		drive(t, e, func(d *driver.Driver) {
			for instance, born := range map[string]int64{"i-old": 1, "i-new": 2} {
				_, err := d.ServeUpstream(&wire.UpstreamCall{Entry: "edge-1", Instance: instance, Born: born})
				assert.NilError(t, err)
			}
			assert.Equal(t, call(t, d, "edge-1").GetReport().GetInstance(), "i-new")
		})
	})
	t.Run("is followed from another entry once the first is gone", func(t *testing.T) {
		e := newEngine("a")
		drive(t, e, func(d *driver.Driver) {
			call(t, d, "edge-1")
			for range 8 {
				time.Sleep(300 * time.Millisecond)
				call(t, d, "edge-2")
			}
			assert.Equal(t, call(t, d, "edge-2").GetPlanner(), "edge-2")
			assert.Assert(t, goal(t, d, "edge-2", "b").GetTaken())
		})
	})
	t.Run("that does not fit is given up", func(t *testing.T) {
		// The planner's view is old: the upstream holds more than it thinks. An
		// upstream that loads more than it has room for crashes.
		e := newEngine("a", "b")
		drive(t, e, func(d *driver.Driver) {
			call(t, d, "edge-1")
			assert.Assert(t, goal(t, d, "edge-1", "c").GetTaken())
			time.Sleep(6 * time.Second)
			assert.Equal(t, len(e.accepted()), 0)
		})
	})
	t.Run("of another life is refused", func(t *testing.T) {
		e := newEngine("a")
		drive(t, e, func(d *driver.Driver) {
			call(t, d, "edge-1")
			r, err := d.ServeGoal(&wire.GoalCall{Entry: "edge-1", Instance: "i-0", Load: "b", Limits: limits()})
			assert.NilError(t, err)
			assert.Assert(t, !r.GetTaken())
		})
	})
	t.Run("that the upstream refuses leaves it free for another", func(t *testing.T) {
		// The order met another life of the upstream. Taken for a load in progress, it
		// kept the agent from any other goal and adapter for a second and a half.
		e := newEngine("a")
		drive(t, e, func(d *driver.Driver) {
			call(t, d, "edge-1")
			e.set(func() { e.elsewhere = true })
			goal(t, d, "edge-1", "b")
			time.Sleep(300 * time.Millisecond)
			assert.Assert(t, !call(t, d, "edge-1").GetReport().GetBusy())
			e.set(func() { e.elsewhere = false })
			assert.Assert(t, goal(t, d, "edge-1", "b").GetTaken())
		})
	})
	t.Run("wastes no time between its parts", func(t *testing.T) {
		// Two models go and one comes, and each part waited for the next look at the
		// upstream: callers who wait for the model had a tenth of a second more to wait.
		e := newEngine("a", "b")
		drive(t, e, func(d *driver.Driver) {
			call(t, d, "edge-1")
			goal(t, d, "edge-1", "c", "a", "b")
			time.Sleep(110 * time.Millisecond)
			assert.DeepEqual(t, e.accepted(), []string{"unload a", "unload b", "load c"})
		})
	})
	t.Run("waits for a fencing number", func(t *testing.T) {
		e := newEngine("a")
		synctest.Test(t, func(t *testing.T) {
			var fence atomic.Uint64
			d := &driver.Driver{
				Self: "side-1", Upstream: e, Clock: bubbleClock{},
				Fence: func() (core.Fence, bool) { return core.Fence(fence.Load()), fence.Load() > 0 },
			}
			d.Start()
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go func() { _ = d.Run(ctx) }()
			time.Sleep(time.Second)
			call(t, d, "edge-1")
			goal(t, d, "edge-1", "b")
			time.Sleep(time.Second)
			assert.Equal(t, len(e.accepted()), 0)
			fence.Store(9)
			time.Sleep(time.Second)
			e.set(func() { assert.DeepEqual(t, e.fences, []core.Fence{9}) })
			stop()
			synctest.Wait()
		})
	})
}

// Orders get no answer and are carried out seconds later, after newer ones. A
// load that comes late on top of another would fill the upstream beyond its room.
func TestLostOrders(t *testing.T) {
	e := newEngine("a", "b")
	drive(t, e, func(d *driver.Driver) {
		e.set(func() { e.deaf = true })
		call(t, d, "edge-1")
		goal(t, d, "edge-1", "c", "b")
		time.Sleep(time.Second)
		e.set(func() { e.deaf = false })
		time.Sleep(6 * time.Second)
		for _, r := range e.replay() {
			assert.Equal(t, r, core.OrderConflict)
		}
		assert.DeepEqual(t, e.accepted(), []string{"unload b", "load c"})
	})
}

// The upstream crashes in the middle of a load and starts again under its id,
// with nothing. The agent must not take the old load for one that goes on.
func TestBornAgainDuringLoad(t *testing.T) {
	e := newEngine("a")
	drive(t, e, func(d *driver.Driver) {
		call(t, d, "edge-1")
		goal(t, d, "edge-1", "b")
		time.Sleep(time.Second)
		e.set(func() { e.state = core.UpstreamState{ID: "i-1", Born: 2} })
		time.Sleep(time.Second)
		r := call(t, d, "edge-1")
		assert.Assert(t, !r.GetReport().GetBusy())
		assert.Equal(t, len(models(r)), 0)
		assert.Assert(t, goal(t, d, "edge-1", "b").GetTaken())
		time.Sleep(4 * time.Second)
		assert.DeepEqual(t, models(call(t, d, "edge-1")), []string{"b"})
	})
}

// named is an entry's question that names the upstream's life.
func named(t *testing.T, d *driver.Driver, life string) *wire.UpstreamReply {
	t.Helper()
	call(t, d, "edge-1")
	r, err := d.ServeUpstream(&wire.UpstreamCall{Entry: "edge-1", Control: "edge-1:1", Instance: life})
	assert.NilError(t, err)
	return r
}

// The hosts lose power and start again under new names, and so do the agents. An
// entry still names the old life of a host. Loads for callers who wait were ordered
// of it again and again, each refused, until its registry entry had lapsed.
func TestNamelessLives(t *testing.T) {
	t.Run("a refused order tells that the life has ended", func(t *testing.T) {
		e := newEngine()
		e.nameless, e.state.ID = true, "i-2"
		drive(t, e, func(d *driver.Driver) {
			named(t, d, "i-1")
			assert.Assert(t, goal(t, d, "edge-1", "b").GetTaken())
			time.Sleep(300 * time.Millisecond)
			r := named(t, d, "i-1").GetReport()
			assert.Equal(t, r.GetInstance(), "")
			assert.DeepEqual(t, r.GetEnded(), []string{"i-1"})
			assert.Assert(t, !goal(t, d, "edge-1", "b").GetTaken())
			assert.Equal(t, named(t, d, "i-2").GetReport().GetInstance(), "i-2")
		})
	})
	t.Run("a count of orders that begins anew tells it", func(t *testing.T) {
		e := newEngine("a")
		e.nameless = true
		e.state.Orders = 4
		drive(t, e, func(d *driver.Driver) {
			assert.Equal(t, named(t, d, "i-1").GetReport().GetInstance(), "i-1")
			e.set(func() { e.state = core.UpstreamState{ID: "i-2"} })
			time.Sleep(300 * time.Millisecond)
			assert.DeepEqual(t, named(t, d, "i-1").GetReport().GetEnded(), []string{"i-1"})
		})
	})
	t.Run("a refused order for an adapter tells it", func(t *testing.T) {
		e := newEngine("a")
		e.nameless, e.state.ID = true, "i-2"
		drive(t, e, func(d *driver.Driver) {
			named(t, d, "i-1")
			r, err := d.ServeAdapter(&wire.AdapterCall{Instance: "i-1", Model: "a", Adapter: "x", Wait: int64(time.Second), Limits: limits()})
			assert.NilError(t, err)
			assert.Assert(t, !r.GetLoaded())
			assert.DeepEqual(t, named(t, d, "i-1").GetReport().GetEnded(), []string{"i-1"})
		})
	})
}

// A host reads a long prompt that another entry sent. Entries that hear of it half a
// second later send theirs on top, which then come late.
func TestReadingIsToldAtOnce(t *testing.T) {
	e := newEngine("a")
	drive(t, e, func(d *driver.Driver) {
		seen := call(t, d, "edge-1").GetChange()
		e.set(func() { e.state.PrefillTokens, e.state.Running = 9000, 1 })
		began := time.Now()
		r, err := d.ServeUpstream(&wire.UpstreamCall{Entry: "edge-1", Seen: seen, Wait: int64(2 * time.Second)})
		assert.NilError(t, err)
		assert.Equal(t, r.GetReport().GetReading(), int64(9000))
		assert.Assert(t, time.Since(began) < 200*time.Millisecond)
	})
}

// Callers wait for adapters while the agent also reads its upstream's report at its
// own pace. A report that was overtaken by a newer one counts fewer orders; taken
// for another life's, it made entries turn away from a host that served well.
func TestReportsThatOvertake(t *testing.T) {
	e := newEngine("a")
	e.nameless = true
	var reports atomic.Int64
	e.slow = func() time.Duration {
		if reports.Add(1)%3 == 0 {
			return 30 * time.Millisecond
		}
		return time.Millisecond
	}
	drive(t, e, func(d *driver.Driver) {
		named(t, d, "i-1")
		for i := range 20 {
			go func() {
				_, _ = d.ServeAdapter(&wire.AdapterCall{Instance: "i-1", Model: "a", Adapter: string(rune('f' + i)), Wait: int64(time.Second), Limits: limits()})
			}()
			time.Sleep(25 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		r := named(t, d, "i-1").GetReport()
		assert.Equal(t, len(r.GetEnded()), 0)
		assert.Equal(t, r.GetInstance(), "i-1")
	})
}

// Everything was restarted, and an entry's question is held back while nothing
// changes. The agent chose its planner only at the next question, so the first
// loads began half a second later than they could.
func TestPlannerIsToldAtOnce(t *testing.T) {
	e := newEngine("a")
	drive(t, e, func(d *driver.Driver) {
		first, err := d.ServeUpstream(&wire.UpstreamCall{Entry: "edge-1", Control: "edge-1:1"})
		assert.NilError(t, err)
		began := time.Now()
		r, err := d.ServeUpstream(&wire.UpstreamCall{Entry: "edge-1", Seen: first.GetChange(), Wait: int64(2 * time.Second)})
		assert.NilError(t, err)
		assert.Equal(t, r.GetPlanner(), "edge-1")
		assert.Assert(t, time.Since(began) < 600*time.Millisecond)
	})
}

// An upstream crashes. Its agent found out half a second later, at the third look
// at its usual pace.
func TestCrashIsToldSoon(t *testing.T) {
	e := newEngine("a")
	drive(t, e, func(d *driver.Driver) {
		seen := call(t, d, "edge-1").GetChange()
		e.set(func() { e.down = true })
		began := time.Now()
		r, err := d.ServeUpstream(&wire.UpstreamCall{Entry: "edge-1", Seen: seen, Wait: int64(2 * time.Second)})
		assert.NilError(t, err)
		assert.Assert(t, r.GetReport().GetLost())
		assert.Assert(t, time.Since(began) < 300*time.Millisecond, "%v", time.Since(began))
	})
}

func TestReport(t *testing.T) {
	t.Run("a question is held back until something changes", func(t *testing.T) {
		e := newEngine("a")
		drive(t, e, func(d *driver.Driver) {
			seen := call(t, d, "edge-1").GetChange()
			began := time.Now()
			e.set(func() { e.state.Leaving = true })
			r, err := d.ServeUpstream(&wire.UpstreamCall{Entry: "edge-1", Seen: seen, Wait: int64(time.Minute)})
			assert.NilError(t, err)
			assert.Assert(t, r.GetReport().GetLeaving())
			assert.Assert(t, time.Since(began) < 300*time.Millisecond)
		})
	})
	t.Run("and answered without a change in time", func(t *testing.T) {
		e := newEngine("a")
		drive(t, e, func(d *driver.Driver) {
			seen := call(t, d, "edge-1").GetChange()
			r, err := d.ServeUpstream(&wire.UpstreamCall{Entry: "edge-1", Seen: seen, Wait: int64(500 * time.Millisecond)})
			assert.NilError(t, err)
			assert.Equal(t, r.GetChange(), seen)
		})
	})
	t.Run("an upstream out of reach is said to be", func(t *testing.T) {
		e := newEngine("a")
		drive(t, e, func(d *driver.Driver) {
			e.set(func() { e.down = true })
			time.Sleep(2 * time.Second)
			assert.Assert(t, !call(t, d, "edge-1").GetReport().GetReachable())
			e.set(func() { e.down = false })
			time.Sleep(time.Second)
			assert.Assert(t, call(t, d, "edge-1").GetReport().GetReachable())
		})
	})
	t.Run("entries learn of each other", func(t *testing.T) {
		e := newEngine("a")
		drive(t, e, func(d *driver.Driver) {
			call(t, d, "edge-1")
			r, err := d.ServeUpstream(&wire.UpstreamCall{
				Entry: "edge-2", Control: "edge-2:1", Others: true, Demands: []*wire.ModelDemand{{Model: "m", Rate: 3}},
			})
			assert.NilError(t, err)
			assert.Equal(t, len(r.GetEntries()), 2)
			assert.Equal(t, r.GetPlannerControl(), "edge-1:1")
			assert.Equal(t, r.GetOthers()[0].GetEntry(), "edge-1")
			r, err = d.ServeUpstream(&wire.UpstreamCall{Entry: "edge-1", Control: "edge-1:1", SeenEntries: r.GetEntriesVersion(), Others: true})
			assert.NilError(t, err)
			assert.Equal(t, len(r.GetEntries()), 0)
			assert.Equal(t, r.GetOthers()[0].GetDemands()[0].GetRate(), 3.0)
		})
	})
}

func fetch(t *testing.T, d *driver.Driver, model, adapter string) *wire.AdapterReply {
	t.Helper()
	r, err := d.ServeAdapter(&wire.AdapterCall{
		Instance: "i-1", Model: model, Adapter: adapter, Wait: int64(time.Second), Limits: limits(),
	})
	assert.NilError(t, err)
	return r
}

func TestAdapters(t *testing.T) {
	t.Run("loaded once for all who ask", func(t *testing.T) {
		e := newEngine("a")
		drive(t, e, func(d *driver.Driver) {
			ended := make(chan bool, 5)
			for range 5 {
				go func() { ended <- fetch(t, d, "a", "x").GetLoaded() }()
			}
			for range 5 {
				assert.Assert(t, <-ended)
			}
			assert.DeepEqual(t, e.accepted(), []string{"load a/x"})
		})
	})
	t.Run("the one whose last request is longest ago makes room", func(t *testing.T) {
		e := newEngine("a", "b")
		drive(t, e, func(d *driver.Driver) {
			for _, name := range []string{"x", "y", "z"} {
				assert.Assert(t, fetch(t, d, "a", name).GetLoaded())
				time.Sleep(time.Second)
			}
			_, err := d.ServeUpstream(&wire.UpstreamCall{Entry: "edge-1", Used: []string{"a/x"}})
			assert.NilError(t, err)
			assert.Assert(t, fetch(t, d, "b", "w").GetLoaded())
			assert.DeepEqual(t, e.accepted(), []string{"load a/x", "load a/y", "load a/z", "unload a/y", "load b/w"})
			assert.Assert(t, e.most <= 5)
		})
	})
	t.Run("not while a load holds up orders", func(t *testing.T) {
		// Each try would be an order that the upstream refuses, for six seconds.
		e := newEngine("a")
		drive(t, e, func(d *driver.Driver) {
			call(t, d, "edge-1")
			goal(t, d, "edge-1", "b")
			time.Sleep(time.Second)
			r := fetch(t, d, "a", "x")
			assert.Assert(t, !r.GetLoaded() && r.GetReason() != "")
			assert.DeepEqual(t, e.accepted(), []string{"load b"})
		})
	})
	t.Run("of a model that is not held", func(t *testing.T) {
		drive(t, newEngine("a"), func(d *driver.Driver) {
			assert.Assert(t, !fetch(t, d, "c", "x").GetLoaded())
		})
	})
}

// An entry orders an engine that has no agent. The engine's reports are a tenth of a
// second old when they come; an order sent at once after another rested on one that did
// not know of it, and was refused, or counted room that was taken.
func TestRemoteOrdersKnowOfEachOther(t *testing.T) {
	e := newEngine("a", "b")
	e.slow = func() time.Duration { return 100 * time.Millisecond }
	driveFrom(t, e, true, func(d *driver.Driver) {
		for _, name := range []string{"x", "y", "z", "w"} {
			assert.Assert(t, fetch(t, d, "a", name).GetLoaded(), name)
		}
		call(t, d, "edge-1")
		assert.Assert(t, goal(t, d, "edge-1", "c", "b").GetTaken())
		time.Sleep(5 * time.Second)
		e.set(func() { assert.Equal(t, e.refused, 0) })
		e.set(func() { assert.Assert(t, e.most <= 5) })
		assert.DeepEqual(t, models(call(t, d, "edge-1")), []string{"a", "c"})
	})
}
