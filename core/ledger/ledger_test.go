package ledger_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/ledger"
)

var start = time.Date(2026, 1, 1, 20, 0, 0, 0, time.UTC)

// bench is a ledger with the engine it orders. Calls take no time.
type bench struct {
	t      *testing.T
	now    time.Time
	ledger ledger.Ledger
	state  core.EngineState
}

// newBench returns a rebuilt ledger over accelerators of the given GiB, and an
// engine that ignores fencing numbers.
func newBench(t *testing.T, gib ...int) *bench {
	t.Helper()
	b := &bench{t: t, now: start}
	b.ledger.Started = start
	b.state.Epoch = 1
	for _, n := range gib {
		b.state.Capacity = append(b.state.Capacity, core.Bytes(n)*core.GiB)
	}
	b.report()
	b.pass(ledger.Settle)
	b.report()
	assert.Assert(t, b.ledger.Rebuilt())
	return b
}

func (b *bench) pass(d time.Duration) { b.now = b.now.Add(d) }

func (b *bench) report() {
	b.ledger.Report(b.now, b.ledger.Ask(b.now), b.state)
}

// order sends all orders that are due; the engine takes them.
func (b *bench) order() []ledger.Order {
	var list []ledger.Order
	for {
		o, ok := b.ledger.Next(b.now)
		if !ok {
			return list
		}
		list = append(list, o)
		b.take(o)
		b.ledger.Answer(b.now, ledger.Reply{})
	}
}

func (b *bench) take(o ledger.Order) {
	if o.Kind == ledger.LoadItem {
		b.state.Items = append(b.state.Items, core.EngineItem{
			Name: o.Load.Name, Base: o.Load.Base, State: core.Loading,
			Accelerators: o.Load.Accelerators, Bytes: o.Load.Bytes,
		})
		return
	}
	b.set(o.Unload.Name, core.Unloading)
}

func (b *bench) set(name core.ModelName, s core.ItemState) {
	for i := range b.state.Items {
		if b.state.Items[i].Name == name {
			b.state.Items[i].State = s
		}
	}
}

// finish ends all loads and unloads and reports.
func (b *bench) finish() {
	var kept []core.EngineItem
	for _, it := range b.state.Items {
		if it.State == core.Unloading {
			continue
		}
		it.State = core.Loaded
		kept = append(kept, it)
	}
	b.state.Items = kept
	b.report()
}

func want(name core.ModelName, gib int) ledger.Want {
	return ledger.Want{Name: name, Bytes: core.Bytes(gib) * core.GiB}
}

func (b *bench) load(w ledger.Want, v ledger.Verdict) {
	b.t.Helper()
	assert.Equal(b.t, b.ledger.Load(b.now, w, nil), v, "load of %s", w.Name)
}

// have loads items one after the other.
func (b *bench) have(list ...ledger.Want) {
	b.t.Helper()
	for _, w := range list {
		b.load(w, ledger.Coming)
		b.order()
		b.pass(time.Second)
		b.finish()
		b.load(w, ledger.Ready)
	}
}

func (b *bench) begin(name core.ModelName) ledger.Use {
	b.t.Helper()
	u, ok := b.ledger.Begin(b.now, name)
	assert.Assert(b.t, ok, "use of %s", name)
	return u
}

// left checks which items the ledger is unloading.
func (b *bench) left(names ...core.ModelName) {
	b.t.Helper()
	var have []core.ModelName
	for _, it := range b.ledger.Items() {
		if it.State == core.Unloading {
			have = append(have, it.Name)
		}
	}
	assert.DeepEqual(b.t, have, names)
}

func TestLoad(t *testing.T) {
	t.Run("is idempotent", func(t *testing.T) {
		b := newBench(t, 80)
		b.load(want("m1", 30), ledger.Coming)
		b.load(want("m1", 30), ledger.Coming)
		assert.Equal(t, len(b.order()), 1)
		b.load(want("m1", 30), ledger.Coming)
		assert.Equal(t, len(b.order()), 0)
		b.finish()
		b.load(want("m1", 30), ledger.Ready)
	})
	t.Run("what the host could never hold is refused for good", func(t *testing.T) {
		b := newBench(t, 80, 80)
		b.load(want("m1", 81), ledger.TooLarge)
		b.load(ledger.Want{Name: "m1", Bytes: core.GiB, Accelerators: 3}, ledger.TooLarge)
	})
	t.Run("the fullest accelerator that has room is taken", func(t *testing.T) {
		b := newBench(t, 80, 80)
		b.have(want("m1", 30), want("m2", 30))
		assert.DeepEqual(t, b.ledger.Item("m2").Accelerators, []int{0})
		b.have(want("m3", 80))
	})
	t.Run("an adapter needs its base and lies with it", func(t *testing.T) {
		b := newBench(t, 80, 80)
		a := ledger.Want{Name: "a1", Base: "m1", Bytes: core.GiB}
		b.load(a, ledger.NoBase)
		b.have(ledger.Want{Name: "m1", Bytes: 30 * core.GiB, Accelerators: 2}, a)
		assert.DeepEqual(t, b.ledger.Item("a1").Accelerators, []int{0, 1})
		assert.DeepEqual(t, b.ledger.Promised(), []core.Bytes{31 * core.GiB, 31 * core.GiB})
	})
}

func TestEvict(t *testing.T) {
	three := []ledger.Want{want("m1", 25), want("m2", 25), want("m3", 25)}
	t.Run("the least recently used goes first", func(t *testing.T) {
		b := newBench(t, 80)
		b.have(three...)
		b.ledger.End(b.now, b.begin("m1"))
		b.load(want("m4", 25), ledger.Evicting)
		b.left("m2")
	})
	t.Run("the score goes before that", func(t *testing.T) {
		b := newBench(t, 80)
		b.have(three...)
		keep := func(n core.ModelName) float64 { return map[core.ModelName]float64{"m1": 3, "m2": 2, "m3": 1}[n] }
		assert.Equal(t, b.ledger.Load(b.now, want("m4", 25), keep), ledger.Evicting)
		b.left("m3")
	})
	t.Run("what is in use or pinned stays", func(t *testing.T) {
		b := newBench(t, 80)
		b.have(three...)
		b.begin("m1")
		b.begin("m2")
		keep := func(core.ModelName) float64 { return math.Inf(1) }
		assert.Equal(t, b.ledger.Load(b.now, want("m4", 25), keep), ledger.NoMemory)
		b.load(want("m4", 60), ledger.NoMemory)
		b.left()
	})
	t.Run("no more leaves than is needed", func(t *testing.T) {
		b := newBench(t, 80)
		b.have(three...)
		b.load(want("m4", 25), ledger.Evicting)
		b.load(want("m4", 25), ledger.Evicting)
		b.left("m1")
		b.order()
		b.finish()
		b.load(want("m4", 25), ledger.Coming)
	})
	t.Run("a base stays while an adapter on it is in use", func(t *testing.T) {
		b := newBench(t, 80)
		b.have(want("m1", 50), ledger.Want{Name: "a1", Base: "m1", Bytes: core.GiB})
		u := b.begin("a1")
		b.load(want("m2", 60), ledger.NoMemory)
		assert.Assert(t, !b.ledger.Unload(b.now, "m1"))
		b.ledger.End(b.now, u)
		b.load(want("m2", 60), ledger.Evicting)
		b.left("a1", "m1")
		first := b.order()
		assert.Equal(t, len(first), 1)
		assert.Equal(t, first[0].Unload.Name, core.ModelName("a1"))
		b.finish()
		assert.Equal(t, b.order()[0].Unload.Name, core.ModelName("m1"))
	})
	t.Run("all accelerators of a large model are cleared", func(t *testing.T) {
		b := newBench(t, 80, 80)
		b.have(want("m1", 50), want("m2", 50))
		b.load(ledger.Want{Name: "m3", Bytes: 60 * core.GiB, Accelerators: 2}, ledger.Evicting)
		b.left("m1", "m2")
	})
}

// An unload hangs. A model that waits for its memory waits for a while, then
// another idle one is evicted in its place; the memory of the one that hangs
// stays counted all the time.
func TestUnloadHangs(t *testing.T) {
	b := newBench(t, 80)
	b.have(want("m1", 40), want("m2", 40))
	b.load(want("m3", 40), ledger.Evicting)
	b.order()
	b.pass(ledger.Hang - time.Second)
	b.report()
	b.load(want("m3", 40), ledger.Evicting)
	b.left("m1")
	b.pass(time.Second)
	b.load(want("m3", 40), ledger.Evicting)
	b.left("m1", "m2")
	assert.Equal(t, b.ledger.Promised()[0], 80*core.GiB)
	b.order()
	b.finish()
	b.load(want("m3", 40), ledger.Coming)
}

// A site crew's burst asks for many models at once, and a few of them again and
// again. What is in use stays, the memory is never promised twice, and each
// model that can't be had is told so at once instead of waiting unseen.
func TestBurst(t *testing.T) {
	b := newBench(t, 80)
	b.have(want("m1", 40), want("m2", 40))
	b.begin("m1")
	b.begin("m2")
	for range 50 {
		b.load(want("m3", 20), ledger.NoMemory)
		b.load(want("m1", 40), ledger.Ready)
	}
	assert.Equal(t, len(b.order()), 0)
}

// The host is saturated: every load evicts another. One order is under way at a
// time, and after each step the promises fit.
func TestSaturation(t *testing.T) {
	b := newBench(t, 80)
	names := []core.ModelName{"m1", "m2", "m3", "m4", "m5"}
	for i := range 200 {
		b.ledger.Load(b.now, want(names[i%5], 50), nil)
		b.order()
		b.pass(time.Second)
		b.finish()
		assert.Assert(t, b.ledger.Promised()[0] <= 80*core.GiB)
	}
}

func TestReport(t *testing.T) {
	t.Run("an item that nobody ordered counts at once", func(t *testing.T) {
		b := newBench(t, 80)
		b.state.Items = []core.EngineItem{{Name: "x", State: core.Loaded, Accelerators: []int{0}, Bytes: 70 * core.GiB}}
		b.report()
		assert.Equal(t, b.ledger.Promised()[0], 70*core.GiB)
		b.load(want("m1", 20), ledger.Evicting)
	})
	t.Run("an older one than asked for last is ignored", func(t *testing.T) {
		b := newBench(t, 80)
		b.have(want("m1", 30))
		old := b.ledger.Ask(b.now)
		empty := b.state
		empty.Items = nil
		b.report()
		assert.Assert(t, !b.ledger.Report(b.now, old, empty))
		b.load(want("m1", 30), ledger.Ready)
	})
	t.Run("an ended use of before a restart changes nothing", func(t *testing.T) {
		b := newBench(t, 80)
		b.have(want("m1", 30))
		before := b.begin("m1")
		b.state.Epoch++
		b.report()
		b.begin("m1")
		b.ledger.End(b.now, before)
		assert.Equal(t, b.ledger.Item("m1").Users, 1)
	})
	t.Run("the engine's bytes count where they are more", func(t *testing.T) {
		b := newBench(t, 80)
		b.have(want("m1", 30))
		b.state.Items[0].Bytes = 35 * core.GiB
		b.report()
		assert.Equal(t, b.ledger.Promised()[0], 35*core.GiB)
	})
}
