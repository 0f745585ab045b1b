package ledger_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/ledger"
)

// naive counts what an engine may come to hold: the items it has, and every order
// that may still reach it.
type naive struct {
	inFlight []ledger.Order
	expiries []time.Time
}

// sum is the naive ledger: a plain sum over current and possible items.
func (n *naive) sum(st core.EngineState) []core.Bytes {
	sum := make([]core.Bytes, len(st.Capacity))
	counted := map[core.ModelName]bool{}
	add := func(name core.ModelName, accelerators []int, bytes core.Bytes) {
		if counted[name] {
			return
		}
		counted[name] = true
		for _, a := range accelerators {
			sum[a] += bytes
		}
	}
	for _, it := range st.Items {
		add(it.Name, it.Accelerators, it.Bytes)
	}
	for _, o := range n.inFlight {
		if o.Kind == ledger.LoadItem {
			add(o.Load.Name, o.Load.Accelerators, o.Load.Bytes)
		}
	}
	return sum
}

// TestAgainstNaiveSum runs random orders, lost answers and restarts. After each
// step the ledger must reserve at least what the engine holds or may come to hold,
// and never more than its capacity. Once all orders have ended, the two sums must
// agree.
func TestAgainstNaiveSum(t *testing.T) {
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 3))
		f := newFixture(t, 80, 80)
		n := &naive{}
		for range 300 {
			f.randomStep(r, n)
			reserved := f.ledger.Reserved()
			for a, least := range n.sum(f.state) {
				assert.Assert(t, reserved[a] >= least, "seed %d: reserved %s, may hold %s", seed, reserved[a], least)
				assert.Assert(t, reserved[a] <= f.state.Capacity[a], "seed %d: reserved %s", seed, reserved[a])
			}
		}
		f.settle(n)
		assert.DeepEqual(t, f.ledger.Reserved(), n.sum(f.state))
	}
}

var items = []ledger.LoadRequest{
	request("m1", 30), request("m2", 50), request("m3", 70),
	{Name: "m4", Bytes: 40 * core.GiB, Accelerators: 2},
	{Name: "a1", Base: "m1", Bytes: 5 * core.GiB},
	{Name: "a2", Base: "m4", Bytes: 20 * core.GiB},
}

func (f *fixture) randomStep(r *rand.Rand, n *naive) {
	w := items[r.IntN(len(items))]
	switch r.IntN(9) {
	case 0, 1:
		f.ledger.Load(f.now, w, nil)
	case 2:
		f.ledger.Unload(f.now, w.Name)
	case 3, 4:
		f.sendOrder(r, n)
	case 5:
		f.report()
	case 6:
		f.advance(time.Duration(r.IntN(4)) * time.Second)
		n.expire(f.now)
	case 7:
		f.completeItem(r.IntN(4))
	case 8:
		n.deliverLost(f, r)
	}
}

// sendOrder delivers an order, delays or loses it on its way, or delivers it and
// loses the answer.
func (f *fixture) sendOrder(r *rand.Rand, n *naive) {
	o, ok := f.ledger.Next(f.now)
	if !ok {
		return
	}
	switch r.IntN(4) {
	case 0:
		n.inFlight = append(n.inFlight, o)
		n.expiries = append(n.expiries, f.now.Add(ledger.MaxOrderDelay))
		f.failOrder(core.EngineLost)
	case 1:
		f.applyOnce(o)
		f.failOrder(core.EngineLost)
	default:
		f.applyOnce(o)
		f.ledger.Answer(f.now, ledger.Reply{})
	}
}

// applyOnce applies an order once, as an engine that ignores fencing numbers does.
func (f *fixture) applyOnce(o ledger.Order) {
	for _, it := range f.state.Items {
		if o.Kind == ledger.LoadItem && it.Name == o.Load.Name {
			return
		}
	}
	f.apply(o)
}

func (n *naive) deliverLost(f *fixture, r *rand.Rand) {
	if len(n.inFlight) == 0 {
		return
	}
	i := r.IntN(len(n.inFlight))
	f.applyOnce(n.inFlight[i])
	n.drop(i)
}

func (n *naive) drop(i int) {
	n.inFlight = slices.Delete(n.inFlight, i, i+1)
	n.expiries = slices.Delete(n.expiries, i, i+1)
}

func (n *naive) expire(now time.Time) {
	for i := len(n.expiries) - 1; i >= 0; i-- {
		if !now.Before(n.expiries[i]) {
			n.drop(i)
		}
	}
}

// completeItem completes the load or unload of the i-th item.
func (f *fixture) completeItem(i int) {
	if i >= len(f.state.Items) {
		return
	}
	if f.state.Items[i].State == core.Unloading {
		f.state.Items = slices.Delete(slices.Clone(f.state.Items), i, i+1)
		return
	}
	f.state.Items[i].State = core.Loaded
}

func (f *fixture) settle(n *naive) {
	for range 20 {
		f.advance(ledger.MaxOrderDelay)
		n.expire(f.now)
		f.sendOrders()
		f.completeAll()
	}
}
