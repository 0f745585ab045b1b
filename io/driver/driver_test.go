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

type syntheticClock struct{}

func (syntheticClock) Now() time.Time { return time.Now() }

// fakeUpstream is an upstream that applies the platform's rules for orders.
type fakeUpstream struct {
	mu       sync.Mutex
	state    core.UpstreamState
	loadTime time.Duration
	// down makes reports fail; loseOrders makes orders get lost, so that replay can
	// carry them out later.
	down, loseOrders bool
	// otherIncarnation makes another incarnation of the upstream respond to orders.
	otherIncarnation bool
	// nameless omits the incarnation from reports.
	nameless bool
	// reportDelay, if set, returns how long a report takes to arrive.
	reportDelay func() time.Duration
	lost        []core.UpstreamOrder
	orders      []string
	// refused counts the orders that were conditional on another number of orders.
	refused int
	fences  []core.Fence
	// maxHeld is the largest number of models and adapters held at once.
	maxHeld int
}

func newUpstream(models ...core.ModelName) *fakeUpstream {
	e := &fakeUpstream{loadTime: 2 * time.Second, state: core.UpstreamState{ID: "i-1", Born: 1}}
	for _, m := range models {
		e.state.Models = append(e.state.Models, core.HeldModel{Model: m})
	}
	return e
}

func (e *fakeUpstream) State(context.Context) (core.UpstreamState, error) {
	s, err := e.report()
	if e.reportDelay != nil {
		time.Sleep(e.reportDelay())
	}
	return s, err
}

func (e *fakeUpstream) report() (core.UpstreamState, error) {
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

func (e *fakeUpstream) Identity(context.Context, string) (core.HostName, error) { return "", nil }

func (e *fakeUpstream) Order(_ context.Context, o core.UpstreamOrder) (core.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loseOrders {
		e.lost = append(e.lost, o)
		return 0, &core.EngineError{Fault: core.EngineLost}
	}
	return e.apply(o), nil
}

// replay carries out the orders that were lost and returns their results.
func (e *fakeUpstream) replay() []core.OrderResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []core.OrderResult
	for _, o := range e.lost {
		out = append(out, e.apply(o))
	}
	e.lost = nil
	return out
}

func (e *fakeUpstream) apply(o core.UpstreamOrder) core.OrderResult {
	switch {
	case o.Incarnation != e.state.ID, e.otherIncarnation:
		return core.OrderOtherIncarnation
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
		time.AfterFunc(e.loadTime, func() { e.finishLoad(o.Model) })
	}
	e.updateMax()
	return core.OrderAccepted
}

func (e *fakeUpstream) finishLoad(m core.ModelName) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.state.Busy {
		return // the upstream has been restarted during the load
	}
	e.state.Busy = false
	e.state.Models = append(slices.Clone(e.state.Models), core.HeldModel{Model: m})
	e.updateMax()
}

func (e *fakeUpstream) updateMax() {
	n := 0
	for _, m := range e.state.Models {
		n += 1 + len(m.Adapters)
	}
	e.maxHeld = max(e.maxHeld, n)
}

func (e *fakeUpstream) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

func (e *fakeUpstream) accepted() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// runDriver runs a driver on the upstream's host in a synctest bubble.
func runDriver(t *testing.T, e *fakeUpstream, test func(d *driver.Driver)) {
	t.Helper()
	runDriverAt(t, e, false, test)
}

// runDriverAt runs a driver on the upstream's host or, if remote is set, on another host,
// in a synctest bubble.
func runDriverAt(t *testing.T, e core.Managed, remote bool, test func(d *driver.Driver)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := &driver.Driver{
			Remote: remote,
			Self:   "agent-1", Upstream: e, Clock: syntheticClock{}, Fence: func() (core.Fence, bool) { return 7, true },
		}
		d.Start()
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- d.Run(ctx) }()
		time.Sleep(500 * time.Millisecond)
		test(d)
		stop()
		assert.NilError(t, <-ended)
	})
}

// limits returns the limits of an upstream that has memory for two models of size 10,
// each with two adapters of size 1, and places for three adapters.
func limits() *wire.UpstreamLimits {
	out := &wire.UpstreamLimits{Memory: 24, AdapterPlaces: 3}
	for _, m := range []string{"a", "b", "c"} {
		out.Sizes = append(out.Sizes, &wire.ModelSize{Model: m, Weights: 10, Adapter: 1})
	}
	return out
}

// call has an entry poll the driver until the driver has chosen a planner.
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

func sendGoal(t *testing.T, d *driver.Driver, entry, load string, evict ...string) *wire.GoalReply {
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
		e := newUpstream("a", "b")
		runDriver(t, e, func(d *driver.Driver) {
			call(t, d, "entry-1")
			assert.Assert(t, sendGoal(t, d, "entry-1", "c", "b").GetTaken())
			assert.DeepEqual(t, models(call(t, d, "entry-1")), []string{"a"})
			assert.Equal(t, len(e.accepted()), 0, "entries learn of it before the unload")
			time.Sleep(4 * time.Second)
			assert.DeepEqual(t, e.accepted(), []string{"unload b", "load c"})
			assert.DeepEqual(t, models(call(t, d, "entry-1")), []string{"a", "c"})
		})
	})
	t.Run("evicts no model in use if it was chosen as idle", func(t *testing.T) {
		// The planner considers a model idle according to reports that are half a second
		// old, although the model has got a request since. The upstream would wait for
		// the end of that request, for seconds, and so would the callers of both models.
		e := newUpstream("a", "b")
		runDriver(t, e, func(d *driver.Driver) {
			call(t, d, "entry-1")
			use := func(count uint32) {
				_, err := d.ServeUpstream(&wire.UpstreamCall{
					Entry: "entry-1", Control: "entry-1:1", Active: []*wire.ModelActive{{Model: "b", Count: count}},
				})
				assert.NilError(t, err)
			}
			idle := &wire.GoalCall{Entry: "entry-1", Instance: "i-1", Load: "c", Evict: []string{"b"}, Limits: limits(), Idle: true}
			_, err := d.ServeGoal(idle)
			assert.NilError(t, err)
			use(1)
			time.Sleep(4 * time.Second)
			assert.Equal(t, len(e.accepted()), 0)
			use(0)
			assert.DeepEqual(t, models(call(t, d, "entry-1")), []string{"a", "b"})
			r, err := d.ServeGoal(idle)
			assert.NilError(t, err)
			assert.Assert(t, r.GetTaken())
			time.Sleep(4 * time.Second)
			assert.DeepEqual(t, e.accepted(), []string{"unload b", "load c"})
		})
	})
	t.Run("begins at once", func(t *testing.T) {
		// The test guards against a goal that waits for the next poll of an idle
		// upstream, about 150 ms later, while callers wait for the model.
		e := newUpstream("a")
		runDriver(t, e, func(d *driver.Driver) {
			call(t, d, "entry-1")
			time.Sleep(time.Second)
			sendGoal(t, d, "entry-1", "b")
			synctest.Wait()
			assert.DeepEqual(t, e.accepted(), []string{"load b"})
		})
	})
	t.Run("of an entry that is not the planner is refused", func(t *testing.T) {
		// If two entries considered themselves the planner and both goals were carried
		// out, the upstream would load and unload in alternation.
		e := newUpstream("a")
		runDriver(t, e, func(d *driver.Driver) {
			call(t, d, "entry-2")
			call(t, d, "entry-1")
			assert.Assert(t, !sendGoal(t, d, "entry-2", "b").GetTaken())
			assert.Assert(t, sendGoal(t, d, "entry-1", "b").GetTaken())
		})
	})
	t.Run("entries that start together have one planner", func(t *testing.T) {
		// Without a delay before the choice, each entry would be the planner for a
		// moment and plan by its own demand alone.
		runDriver(t, newUpstream("a"), func(d *driver.Driver) {
			for _, name := range []string{"entry-3", "entry-2", "entry-1"} {
				r, err := d.ServeUpstream(&wire.UpstreamCall{Entry: name})
				assert.NilError(t, err)
				assert.Equal(t, r.GetPlanner(), "")
			}
			time.Sleep(time.Second)
			assert.Equal(t, call(t, d, "entry-3").GetPlanner(), "entry-1")
		})
	})
	t.Run("an ended incarnation that the registry still lists is ignored", func(t *testing.T) {
		// After a restart of the upstream the registry lists the old incarnation for some
		// seconds. Orders sent to that incarnation would all be refused.
		e := newUpstream("a")
		e.state.ID, e.state.Born = "", 2
		runDriver(t, e, func(d *driver.Driver) {
			for instance, born := range map[string]int64{"i-old": 1, "i-new": 2} {
				_, err := d.ServeUpstream(&wire.UpstreamCall{Entry: "entry-1", Instance: instance, Born: born})
				assert.NilError(t, err)
			}
			assert.Equal(t, call(t, d, "entry-1").GetReport().GetInstance(), "i-new")
		})
	})
	t.Run("is accepted from another entry once the planner is gone", func(t *testing.T) {
		e := newUpstream("a")
		runDriver(t, e, func(d *driver.Driver) {
			call(t, d, "entry-1")
			for range 8 {
				time.Sleep(300 * time.Millisecond)
				call(t, d, "entry-2")
			}
			assert.Equal(t, call(t, d, "entry-2").GetPlanner(), "entry-2")
			assert.Assert(t, sendGoal(t, d, "entry-2", "b").GetTaken())
		})
	})
	t.Run("that does not fit is dropped", func(t *testing.T) {
		// The planner's view is outdated: the upstream holds more than it knows of. An
		// upstream that loads more than it has room for crashes.
		e := newUpstream("a", "b")
		runDriver(t, e, func(d *driver.Driver) {
			call(t, d, "entry-1")
			assert.Assert(t, sendGoal(t, d, "entry-1", "c").GetTaken())
			time.Sleep(6 * time.Second)
			assert.Equal(t, len(e.accepted()), 0)
		})
	})
	t.Run("for another incarnation is refused", func(t *testing.T) {
		e := newUpstream("a")
		runDriver(t, e, func(d *driver.Driver) {
			call(t, d, "entry-1")
			r, err := d.ServeGoal(&wire.GoalCall{Entry: "entry-1", Instance: "i-0", Load: "b", Limits: limits()})
			assert.NilError(t, err)
			assert.Assert(t, !r.GetTaken())
		})
	})
	t.Run("that the upstream refuses is dropped", func(t *testing.T) {
		// Another incarnation of the upstream refuses the order. If the agent took the
		// order for a load in progress, it would accept no other goal or adapter for a
		// second and a half.
		e := newUpstream("a")
		runDriver(t, e, func(d *driver.Driver) {
			call(t, d, "entry-1")
			e.set(func() { e.otherIncarnation = true })
			sendGoal(t, d, "entry-1", "b")
			time.Sleep(300 * time.Millisecond)
			assert.Assert(t, !call(t, d, "entry-1").GetReport().GetBusy())
			e.set(func() { e.otherIncarnation = false })
			assert.Assert(t, sendGoal(t, d, "entry-1", "b").GetTaken())
		})
	})
	t.Run("sends its orders without pauses", func(t *testing.T) {
		// The test guards against orders that each wait for the next poll: with two
		// unloads and a load, callers of the model would wait a tenth of a second longer.
		e := newUpstream("a", "b")
		runDriver(t, e, func(d *driver.Driver) {
			call(t, d, "entry-1")
			sendGoal(t, d, "entry-1", "c", "a", "b")
			time.Sleep(110 * time.Millisecond)
			assert.DeepEqual(t, e.accepted(), []string{"unload a", "unload b", "load c"})
		})
	})
	t.Run("waits for a fencing number", func(t *testing.T) {
		e := newUpstream("a")
		synctest.Test(t, func(t *testing.T) {
			var fence atomic.Uint64
			d := &driver.Driver{
				Self: "agent-1", Upstream: e, Clock: syntheticClock{},
				Fence: func() (core.Fence, bool) { return core.Fence(fence.Load()), fence.Load() > 0 },
			}
			d.Start()
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go func() { _ = d.Run(ctx) }()
			time.Sleep(time.Second)
			call(t, d, "entry-1")
			sendGoal(t, d, "entry-1", "b")
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

// TestLostOrders: orders get no response and arrive seconds later, after newer ones. A
// late load on top of another one would overfill the upstream's memory.
func TestLostOrders(t *testing.T) {
	e := newUpstream("a", "b")
	runDriver(t, e, func(d *driver.Driver) {
		e.set(func() { e.loseOrders = true })
		call(t, d, "entry-1")
		sendGoal(t, d, "entry-1", "c", "b")
		time.Sleep(time.Second)
		e.set(func() { e.loseOrders = false })
		time.Sleep(6 * time.Second)
		for _, r := range e.replay() {
			assert.Equal(t, r, core.OrderConflict)
		}
		assert.DeepEqual(t, e.accepted(), []string{"unload b", "load c"})
	})
}

// TestBornAgainDuringLoad: the upstream crashes during a load and restarts empty under
// the same id. The agent must not take the old load for one in progress.
func TestBornAgainDuringLoad(t *testing.T) {
	e := newUpstream("a")
	runDriver(t, e, func(d *driver.Driver) {
		call(t, d, "entry-1")
		sendGoal(t, d, "entry-1", "b")
		time.Sleep(time.Second)
		e.set(func() { e.state = core.UpstreamState{ID: "i-1", Born: 2} })
		time.Sleep(time.Second)
		r := call(t, d, "entry-1")
		assert.Assert(t, !r.GetReport().GetBusy())
		assert.Equal(t, len(models(r)), 0)
		assert.Assert(t, sendGoal(t, d, "entry-1", "b").GetTaken())
		time.Sleep(4 * time.Second)
		assert.DeepEqual(t, models(call(t, d, "entry-1")), []string{"b"})
	})
}

// callNaming makes a poll of an entry that names the upstream's incarnation.
func callNaming(t *testing.T, d *driver.Driver, incarnation string) *wire.UpstreamReply {
	t.Helper()
	call(t, d, "entry-1")
	r, err := d.ServeUpstream(&wire.UpstreamCall{Entry: "entry-1", Control: "entry-1:1", Instance: incarnation})
	assert.NilError(t, err)
	return r
}

// TestNamelessLives: hosts and agents lose power and restart under new names, while an
// entry still names a host's old incarnation. The test guards against orders that are
// sent to the old incarnation again and again, each refused, until its registry entry
// lapses.
func TestNamelessLives(t *testing.T) {
	t.Run("a refused order ends the incarnation", func(t *testing.T) {
		e := newUpstream()
		e.nameless, e.state.ID = true, "i-2"
		runDriver(t, e, func(d *driver.Driver) {
			callNaming(t, d, "i-1")
			assert.Assert(t, sendGoal(t, d, "entry-1", "b").GetTaken())
			time.Sleep(300 * time.Millisecond)
			r := callNaming(t, d, "i-1").GetReport()
			assert.Equal(t, r.GetInstance(), "")
			assert.DeepEqual(t, r.GetEnded(), []string{"i-1"})
			assert.Assert(t, !sendGoal(t, d, "entry-1", "b").GetTaken())
			assert.Equal(t, callNaming(t, d, "i-2").GetReport().GetInstance(), "i-2")
		})
	})
	t.Run("a restarted count of orders ends the incarnation", func(t *testing.T) {
		e := newUpstream("a")
		e.nameless = true
		e.state.Orders = 4
		runDriver(t, e, func(d *driver.Driver) {
			assert.Equal(t, callNaming(t, d, "i-1").GetReport().GetInstance(), "i-1")
			e.set(func() { e.state = core.UpstreamState{ID: "i-2"} })
			time.Sleep(300 * time.Millisecond)
			assert.DeepEqual(t, callNaming(t, d, "i-1").GetReport().GetEnded(), []string{"i-1"})
		})
	})
	t.Run("a refused order for an adapter ends the incarnation", func(t *testing.T) {
		e := newUpstream("a")
		e.nameless, e.state.ID = true, "i-2"
		runDriver(t, e, func(d *driver.Driver) {
			callNaming(t, d, "i-1")
			r, err := d.ServeAdapter(&wire.AdapterCall{Instance: "i-1", Model: "a", Adapter: "x", Wait: int64(time.Second), Limits: limits()})
			assert.NilError(t, err)
			assert.Assert(t, !r.GetLoaded())
			assert.DeepEqual(t, callNaming(t, d, "i-1").GetReport().GetEnded(), []string{"i-1"})
		})
	})
}

// TestReadingIsReportedAtOnce: a host reads a long prompt from one entry. Other entries
// that learn of it only half a second later would send their requests to the same host,
// where they start late.
func TestReadingIsReportedAtOnce(t *testing.T) {
	e := newUpstream("a")
	runDriver(t, e, func(d *driver.Driver) {
		seen := call(t, d, "entry-1").GetChange()
		e.set(func() { e.state.PrefillTokens, e.state.Running = 9000, 1 })
		began := time.Now()
		r, err := d.ServeUpstream(&wire.UpstreamCall{Entry: "entry-1", Seen: seen, Wait: int64(2 * time.Second)})
		assert.NilError(t, err)
		assert.Equal(t, r.GetReport().GetReading(), int64(9000))
		assert.Assert(t, time.Since(began) < 200*time.Millisecond)
	})
}

// TestReorderedReports: reports are read both for loads of adapters and by the agent's
// own polls. A report that arrives after a newer one counts fewer orders. If it were
// taken for that of another incarnation, entries would avoid a healthy host.
func TestReorderedReports(t *testing.T) {
	e := newUpstream("a")
	e.nameless = true
	var reports atomic.Int64
	e.reportDelay = func() time.Duration {
		if reports.Add(1)%3 == 0 {
			return 30 * time.Millisecond
		}
		return time.Millisecond
	}
	runDriver(t, e, func(d *driver.Driver) {
		callNaming(t, d, "i-1")
		for i := range 20 {
			go func() {
				_, _ = d.ServeAdapter(&wire.AdapterCall{Instance: "i-1", Model: "a", Adapter: string(rune('f' + i)), Wait: int64(time.Second), Limits: limits()})
			}()
			time.Sleep(25 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		r := callNaming(t, d, "i-1").GetReport()
		assert.Equal(t, len(r.GetEnded()), 0)
		assert.Equal(t, r.GetInstance(), "i-1")
	})
}

// TestPlannerIsReportedAtOnce: after a restart of the whole fleet, an entry's poll is
// held until something changes. If the agent chose its planner only at the next poll, the
// first loads would begin half a second late.
func TestPlannerIsReportedAtOnce(t *testing.T) {
	e := newUpstream("a")
	runDriver(t, e, func(d *driver.Driver) {
		first, err := d.ServeUpstream(&wire.UpstreamCall{Entry: "entry-1", Control: "entry-1:1"})
		assert.NilError(t, err)
		began := time.Now()
		r, err := d.ServeUpstream(&wire.UpstreamCall{Entry: "entry-1", Seen: first.GetChange(), Wait: int64(2 * time.Second)})
		assert.NilError(t, err)
		assert.Equal(t, r.GetPlanner(), "entry-1")
		assert.Assert(t, time.Since(began) < 600*time.Millisecond)
	})
}

// TestCrashIsToldSoon guards against an agent that notices a crash of its upstream half a
// second late, by the third failed read at the idle poll interval.
func TestCrashIsToldSoon(t *testing.T) {
	e := newUpstream("a")
	runDriver(t, e, func(d *driver.Driver) {
		seen := call(t, d, "entry-1").GetChange()
		e.set(func() { e.down = true })
		began := time.Now()
		r, err := d.ServeUpstream(&wire.UpstreamCall{Entry: "entry-1", Seen: seen, Wait: int64(2 * time.Second)})
		assert.NilError(t, err)
		assert.Assert(t, r.GetReport().GetLost())
		assert.Assert(t, time.Since(began) < 300*time.Millisecond, "%v", time.Since(began))
	})
}

func TestReport(t *testing.T) {
	t.Run("a poll is held until something changes", func(t *testing.T) {
		e := newUpstream("a")
		runDriver(t, e, func(d *driver.Driver) {
			seen := call(t, d, "entry-1").GetChange()
			began := time.Now()
			e.set(func() { e.state.Leaving = true })
			r, err := d.ServeUpstream(&wire.UpstreamCall{Entry: "entry-1", Seen: seen, Wait: int64(time.Minute)})
			assert.NilError(t, err)
			assert.Assert(t, r.GetReport().GetLeaving())
			assert.Assert(t, time.Since(began) < 300*time.Millisecond)
		})
	})
	t.Run("a poll returns after its wait without a change", func(t *testing.T) {
		e := newUpstream("a")
		runDriver(t, e, func(d *driver.Driver) {
			seen := call(t, d, "entry-1").GetChange()
			r, err := d.ServeUpstream(&wire.UpstreamCall{Entry: "entry-1", Seen: seen, Wait: int64(500 * time.Millisecond)})
			assert.NilError(t, err)
			assert.Equal(t, r.GetChange(), seen)
		})
	})
	t.Run("an unreachable upstream is reported as such", func(t *testing.T) {
		e := newUpstream("a")
		runDriver(t, e, func(d *driver.Driver) {
			e.set(func() { e.down = true })
			time.Sleep(2 * time.Second)
			assert.Assert(t, !call(t, d, "entry-1").GetReport().GetReachable())
			e.set(func() { e.down = false })
			time.Sleep(time.Second)
			assert.Assert(t, call(t, d, "entry-1").GetReport().GetReachable())
		})
	})
	t.Run("entries learn of each other", func(t *testing.T) {
		e := newUpstream("a")
		runDriver(t, e, func(d *driver.Driver) {
			_, err := d.ServeUpstream(&wire.UpstreamCall{Entry: "entry-1", Control: "entry-1:1", TellsDemands: true})
			assert.NilError(t, err)
			call(t, d, "entry-3")
			r, err := d.ServeUpstream(&wire.UpstreamCall{
				Entry: "entry-2", Control: "entry-2:1", Others: true, TellsDemands: true, Demands: []*wire.ModelDemand{{Model: "m", Rate: 3}},
			})
			assert.NilError(t, err)
			assert.Equal(t, len(r.GetEntries()), 3)
			assert.Equal(t, r.GetPlannerControl(), "entry-1:1")
			assert.Equal(t, len(r.GetOthers()), 1, "entry-3 tells its demand to other agents")
			assert.Equal(t, r.GetOthers()[0].GetEntry(), "entry-1")
			r, err = d.ServeUpstream(&wire.UpstreamCall{Entry: "entry-1", Control: "entry-1:1", SeenEntries: r.GetEntriesVersion(), Others: true})
			assert.NilError(t, err)
			assert.Equal(t, len(r.GetEntries()), 0)
			assert.Equal(t, r.GetOthers()[0].GetDemands()[0].GetRate(), 3.0)
		})
	})
}

func loadAdapter(t *testing.T, d *driver.Driver, model, adapter string) *wire.AdapterReply {
	t.Helper()
	r, err := d.ServeAdapter(&wire.AdapterCall{
		Instance: "i-1", Model: model, Adapter: adapter, Wait: int64(time.Second), Limits: limits(),
	})
	assert.NilError(t, err)
	return r
}

func TestAdapters(t *testing.T) {
	t.Run("loaded once for concurrent calls", func(t *testing.T) {
		e := newUpstream("a")
		runDriver(t, e, func(d *driver.Driver) {
			ended := make(chan bool, 5)
			for range 5 {
				go func() { ended <- loadAdapter(t, d, "a", "x").GetLoaded() }()
			}
			for range 5 {
				assert.Assert(t, <-ended)
			}
			assert.DeepEqual(t, e.accepted(), []string{"load a/x"})
		})
	})
	t.Run("the least recently used one is evicted", func(t *testing.T) {
		e := newUpstream("a", "b")
		runDriver(t, e, func(d *driver.Driver) {
			for _, name := range []string{"x", "y", "z"} {
				assert.Assert(t, loadAdapter(t, d, "a", name).GetLoaded())
				time.Sleep(time.Second)
			}
			_, err := d.ServeUpstream(&wire.UpstreamCall{Entry: "entry-1", Used: []string{"a/x"}})
			assert.NilError(t, err)
			assert.Assert(t, loadAdapter(t, d, "b", "w").GetLoaded())
			assert.DeepEqual(t, e.accepted(), []string{"load a/x", "load a/y", "load a/z", "unload a/y", "load b/w"})
			assert.Assert(t, e.maxHeld <= 5)
		})
	})
	t.Run("refused while a model load is in progress", func(t *testing.T) {
		// Each attempt would be an order that the upstream refuses, for six seconds.
		e := newUpstream("a")
		runDriver(t, e, func(d *driver.Driver) {
			call(t, d, "entry-1")
			sendGoal(t, d, "entry-1", "b")
			time.Sleep(time.Second)
			r := loadAdapter(t, d, "a", "x")
			assert.Assert(t, !r.GetLoaded() && r.GetReason() != "")
			assert.DeepEqual(t, e.accepted(), []string{"load b"})
		})
	})
	t.Run("refused for a model that is not held", func(t *testing.T) {
		runDriver(t, newUpstream("a"), func(d *driver.Driver) {
			assert.Assert(t, !loadAdapter(t, d, "c", "x").GetLoaded())
		})
	})
}

// TestRemoteOrdersSeeEarlierOrders: an entry sends orders to an upstream that has no
// agent, whose reports are a tenth of a second old when they arrive. The test guards
// against an order that is based on a report from before the previous order: it would be
// refused, or would count memory as free that is taken.
func TestRemoteOrdersSeeEarlierOrders(t *testing.T) {
	e := newUpstream("a", "b")
	e.reportDelay = func() time.Duration { return 100 * time.Millisecond }
	runDriverAt(t, e, true, func(d *driver.Driver) {
		for _, name := range []string{"x", "y", "z", "w"} {
			assert.Assert(t, loadAdapter(t, d, "a", name).GetLoaded(), name)
		}
		call(t, d, "entry-1")
		assert.Assert(t, sendGoal(t, d, "entry-1", "c", "b").GetTaken())
		time.Sleep(5 * time.Second)
		e.set(func() { assert.Equal(t, e.refused, 0) })
		e.set(func() { assert.Assert(t, e.maxHeld <= 5) })
		assert.DeepEqual(t, models(call(t, d, "entry-1")), []string{"a", "c"})
	})
}
