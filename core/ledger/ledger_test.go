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

// fixture is a ledger with the engine it controls. Calls take no time.
type fixture struct {
	t      *testing.T
	now    time.Time
	ledger ledger.Ledger
	state  core.EngineState
}

// newFixture returns a rebuilt ledger over accelerators of the given sizes in GiB,
// and an engine that ignores fencing numbers.
func newFixture(t *testing.T, gib ...int) *fixture {
	t.Helper()
	f := &fixture{t: t, now: start}
	f.ledger.Started = start
	f.state.Epoch = 1
	for _, n := range gib {
		f.state.Capacity = append(f.state.Capacity, core.Bytes(n)*core.GiB)
	}
	f.report()
	f.advance(ledger.MaxOrderDelay)
	f.report()
	assert.Assert(t, f.ledger.Rebuilt())
	return f
}

func (f *fixture) advance(d time.Duration) { f.now = f.now.Add(d) }

func (f *fixture) report() {
	f.ledger.Report(f.now, f.ledger.NewTicket(f.now), f.state)
}

// sendOrders sends all orders that are due, and the engine executes them.
func (f *fixture) sendOrders() []ledger.Order {
	var list []ledger.Order
	for {
		o, ok := f.ledger.Next(f.now)
		if !ok {
			return list
		}
		list = append(list, o)
		f.apply(o)
		f.ledger.Answer(f.now, ledger.Reply{})
	}
}

func (f *fixture) apply(o ledger.Order) {
	if o.Kind == ledger.LoadItem {
		f.state.Items = append(f.state.Items, core.EngineItem{
			Name: o.Load.Name, Base: o.Load.Base, State: core.Loading,
			Accelerators: o.Load.Accelerators, Bytes: o.Load.Bytes,
		})
		return
	}
	f.setState(o.Unload.Name, core.Unloading)
}

func (f *fixture) setState(name core.ModelName, s core.ItemState) {
	for i := range f.state.Items {
		if f.state.Items[i].Name == name {
			f.state.Items[i].State = s
		}
	}
}

// completeAll completes all loads and unloads and reports the state.
func (f *fixture) completeAll() {
	var remaining []core.EngineItem
	for _, it := range f.state.Items {
		if it.State == core.Unloading {
			continue
		}
		it.State = core.Loaded
		remaining = append(remaining, it)
	}
	f.state.Items = remaining
	f.report()
}

func request(name core.ModelName, gib int) ledger.LoadRequest {
	return ledger.LoadRequest{Name: name, Bytes: core.Bytes(gib) * core.GiB}
}

func (f *fixture) assertLoad(w ledger.LoadRequest, v ledger.Verdict) {
	f.t.Helper()
	assert.Equal(f.t, f.ledger.Load(f.now, w, nil), v, "load of %s", w.Name)
}

// loadAll loads items one after the other.
func (f *fixture) loadAll(list ...ledger.LoadRequest) {
	f.t.Helper()
	for _, w := range list {
		f.assertLoad(w, ledger.Loading)
		f.sendOrders()
		f.advance(time.Second)
		f.completeAll()
		f.assertLoad(w, ledger.Ready)
	}
}

func (f *fixture) beginUse(name core.ModelName) ledger.Use {
	f.t.Helper()
	u, ok := f.ledger.Begin(f.now, name)
	assert.Assert(f.t, ok, "use of %s", name)
	return u
}

// assertUnloading checks which items the ledger is unloading.
func (f *fixture) assertUnloading(names ...core.ModelName) {
	f.t.Helper()
	var unloading []core.ModelName
	for _, it := range f.ledger.Items() {
		if it.State == core.Unloading {
			unloading = append(unloading, it.Name)
		}
	}
	assert.DeepEqual(f.t, unloading, names)
}

func TestLoad(t *testing.T) {
	t.Run("is idempotent", func(t *testing.T) {
		f := newFixture(t, 80)
		f.assertLoad(request("m1", 30), ledger.Loading)
		f.assertLoad(request("m1", 30), ledger.Loading)
		assert.Equal(t, len(f.sendOrders()), 1)
		f.assertLoad(request("m1", 30), ledger.Loading)
		assert.Equal(t, len(f.sendOrders()), 0)
		f.completeAll()
		f.assertLoad(request("m1", 30), ledger.Ready)
	})
	t.Run("an item larger than the host is refused as too large", func(t *testing.T) {
		f := newFixture(t, 80, 80)
		f.assertLoad(request("m1", 81), ledger.TooLarge)
		f.assertLoad(ledger.LoadRequest{Name: "m1", Bytes: core.GiB, Accelerators: 3}, ledger.TooLarge)
	})
	t.Run("the fullest accelerator that has room is taken", func(t *testing.T) {
		f := newFixture(t, 80, 80)
		f.loadAll(request("m1", 30), request("m2", 30))
		assert.DeepEqual(t, f.ledger.Item("m2").Accelerators, []int{0})
		f.loadAll(request("m3", 80))
	})
	t.Run("an adapter needs its base and shares its accelerators", func(t *testing.T) {
		f := newFixture(t, 80, 80)
		a := ledger.LoadRequest{Name: "a1", Base: "m1", Bytes: core.GiB}
		f.assertLoad(a, ledger.NoBase)
		f.loadAll(ledger.LoadRequest{Name: "m1", Bytes: 30 * core.GiB, Accelerators: 2}, a)
		assert.DeepEqual(t, f.ledger.Item("a1").Accelerators, []int{0, 1})
		assert.DeepEqual(t, f.ledger.Reserved(), []core.Bytes{31 * core.GiB, 31 * core.GiB})
	})
}

func TestEvict(t *testing.T) {
	three := []ledger.LoadRequest{request("m1", 25), request("m2", 25), request("m3", 25)}
	t.Run("the least recently used item is evicted first", func(t *testing.T) {
		f := newFixture(t, 80)
		f.loadAll(three...)
		f.ledger.End(f.now, f.beginUse("m1"))
		f.assertLoad(request("m4", 25), ledger.Evicting)
		f.assertUnloading("m2")
	})
	t.Run("the score takes precedence over the last use", func(t *testing.T) {
		f := newFixture(t, 80)
		f.loadAll(three...)
		keep := func(n core.ModelName) float64 { return map[core.ModelName]float64{"m1": 3, "m2": 2, "m3": 1}[n] }
		assert.Equal(t, f.ledger.Load(f.now, request("m4", 25), keep), ledger.Evicting)
		f.assertUnloading("m3")
	})
	t.Run("items in use or pinned are not evicted", func(t *testing.T) {
		f := newFixture(t, 80)
		f.loadAll(three...)
		f.beginUse("m1")
		f.beginUse("m2")
		keep := func(core.ModelName) float64 { return math.Inf(1) }
		assert.Equal(t, f.ledger.Load(f.now, request("m4", 25), keep), ledger.NoMemory)
		f.assertLoad(request("m4", 60), ledger.NoMemory)
		f.assertUnloading()
	})
	t.Run("no more items are evicted than needed", func(t *testing.T) {
		f := newFixture(t, 80)
		f.loadAll(three...)
		f.assertLoad(request("m4", 25), ledger.Evicting)
		f.assertLoad(request("m4", 25), ledger.Evicting)
		f.assertUnloading("m1")
		f.sendOrders()
		f.completeAll()
		f.assertLoad(request("m4", 25), ledger.Loading)
	})
	t.Run("a base is not evicted while an adapter on it is in use", func(t *testing.T) {
		f := newFixture(t, 80)
		f.loadAll(request("m1", 50), ledger.LoadRequest{Name: "a1", Base: "m1", Bytes: core.GiB})
		u := f.beginUse("a1")
		f.assertLoad(request("m2", 60), ledger.NoMemory)
		assert.Assert(t, !f.ledger.Unload(f.now, "m1"))
		f.ledger.End(f.now, u)
		f.assertLoad(request("m2", 60), ledger.Evicting)
		f.assertUnloading("a1", "m1")
		first := f.sendOrders()
		assert.Equal(t, len(first), 1)
		assert.Equal(t, first[0].Unload.Name, core.ModelName("a1"))
		f.completeAll()
		assert.Equal(t, f.sendOrders()[0].Unload.Name, core.ModelName("m1"))
	})
	t.Run("all accelerators of a large model are cleared", func(t *testing.T) {
		f := newFixture(t, 80, 80)
		f.loadAll(request("m1", 50), request("m2", 50))
		f.assertLoad(ledger.LoadRequest{Name: "m3", Bytes: 60 * core.GiB, Accelerators: 2}, ledger.Evicting)
		f.assertUnloading("m1", "m2")
	})
}

// An unload hangs. A model that waits for the memory must wait for a while; then
// another idle model is evicted instead. The memory of the hanging unload must
// stay reserved throughout.
func TestUnloadHangs(t *testing.T) {
	f := newFixture(t, 80)
	f.loadAll(request("m1", 40), request("m2", 40))
	f.assertLoad(request("m3", 40), ledger.Evicting)
	f.sendOrders()
	f.advance(ledger.UnloadTimeout - time.Second)
	f.report()
	f.assertLoad(request("m3", 40), ledger.Evicting)
	f.assertUnloading("m1")
	f.advance(time.Second)
	f.assertLoad(request("m3", 40), ledger.Evicting)
	f.assertUnloading("m1", "m2")
	assert.Equal(t, f.ledger.Reserved()[0], 80*core.GiB)
	f.sendOrders()
	f.completeAll()
	f.assertLoad(request("m3", 40), ledger.Loading)
}

// A burst requests many models at once, a few of them repeatedly. Models in use
// must stay, memory must not be reserved twice, and a model without room must be
// refused at once instead of waiting.
func TestBurst(t *testing.T) {
	f := newFixture(t, 80)
	f.loadAll(request("m1", 40), request("m2", 40))
	f.beginUse("m1")
	f.beginUse("m2")
	for range 50 {
		f.assertLoad(request("m3", 20), ledger.NoMemory)
		f.assertLoad(request("m1", 40), ledger.Ready)
	}
	assert.Equal(t, len(f.sendOrders()), 0)
}

// The host is saturated: every load evicts another model. One order is in flight
// at a time, and the reservations must fit after each step.
func TestSaturation(t *testing.T) {
	f := newFixture(t, 80)
	names := []core.ModelName{"m1", "m2", "m3", "m4", "m5"}
	for i := range 200 {
		f.ledger.Load(f.now, request(names[i%5], 50), nil)
		f.sendOrders()
		f.advance(time.Second)
		f.completeAll()
		assert.Assert(t, f.ledger.Reserved()[0] <= 80*core.GiB)
	}
}

func TestReport(t *testing.T) {
	t.Run("an item that nobody ordered counts at once", func(t *testing.T) {
		f := newFixture(t, 80)
		f.state.Items = []core.EngineItem{{Name: "x", State: core.Loaded, Accelerators: []int{0}, Bytes: 70 * core.GiB}}
		f.report()
		assert.Equal(t, f.ledger.Reserved()[0], 70*core.GiB)
		f.assertLoad(request("m1", 20), ledger.Evicting)
	})
	t.Run("a report older than the newest request is ignored", func(t *testing.T) {
		f := newFixture(t, 80)
		f.loadAll(request("m1", 30))
		old := f.ledger.NewTicket(f.now)
		empty := f.state
		empty.Items = nil
		f.report()
		assert.Assert(t, !f.ledger.Report(f.now, old, empty))
		f.assertLoad(request("m1", 30), ledger.Ready)
	})
	t.Run("the end of a use from before a restart changes nothing", func(t *testing.T) {
		f := newFixture(t, 80)
		f.loadAll(request("m1", 30))
		before := f.beginUse("m1")
		f.state.Epoch++
		f.report()
		f.beginUse("m1")
		f.ledger.End(f.now, before)
		assert.Equal(t, f.ledger.Item("m1").Users, 1)
	})
	t.Run("the engine's bytes count where they are more", func(t *testing.T) {
		f := newFixture(t, 80)
		f.loadAll(request("m1", 30))
		f.state.Items[0].Bytes = 35 * core.GiB
		f.report()
		assert.Equal(t, f.ledger.Reserved()[0], 35*core.GiB)
	})
}
