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

// naive counts what an engine might come to hold: what it has, and every order
// that may still reach it.
type naive struct {
	flight []ledger.Order
	ends   []time.Time
}

// sum is the naive ledger: a plain sum over what is and what may come.
func (n *naive) sum(st core.EngineState) []core.Bytes {
	sum := make([]core.Bytes, len(st.Capacity))
	counted := map[core.ModelName]bool{}
	add := func(name core.ModelName, accs []int, bytes core.Bytes) {
		if counted[name] {
			return
		}
		counted[name] = true
		for _, a := range accs {
			sum[a] += bytes
		}
	}
	for _, it := range st.Items {
		add(it.Name, it.Accelerators, it.Bytes)
	}
	for _, o := range n.flight {
		if o.Kind == ledger.LoadItem {
			add(o.Load.Name, o.Load.Accelerators, o.Load.Bytes)
		}
	}
	return sum
}

// TestAgainstNaiveSum plays random orders, lost answers and restarts. After
// each step the ledger promises at least what the engine has or may come to
// hold, and never more than there is; once all is quiet, the two agree.
func TestAgainstNaiveSum(t *testing.T) {
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 3))
		b := newBench(t, 80, 80)
		n := &naive{}
		for range 300 {
			b.random(r, n)
			promised := b.ledger.Promised()
			for a, least := range n.sum(b.state) {
				assert.Assert(t, promised[a] >= least, "seed %d: promises %s, may hold %s", seed, promised[a], least)
				assert.Assert(t, promised[a] <= b.state.Capacity[a], "seed %d: promises %s", seed, promised[a])
			}
		}
		b.quiet(n)
		assert.DeepEqual(t, b.ledger.Promised(), n.sum(b.state))
	}
}

var items = []ledger.Want{
	want("m1", 30), want("m2", 50), want("m3", 70),
	{Name: "m4", Bytes: 40 * core.GiB, Accelerators: 2},
	{Name: "a1", Base: "m1", Bytes: 5 * core.GiB},
	{Name: "a2", Base: "m4", Bytes: 20 * core.GiB},
}

func (b *bench) random(r *rand.Rand, n *naive) {
	w := items[r.IntN(len(items))]
	switch r.IntN(9) {
	case 0, 1:
		b.ledger.Load(b.now, w, nil)
	case 2:
		b.ledger.Unload(b.now, w.Name)
	case 3, 4:
		b.send(r, n)
	case 5:
		b.report()
	case 6:
		b.pass(time.Duration(r.IntN(4)) * time.Second)
		n.expire(b.now)
	case 7:
		b.end(r.IntN(4))
	case 8:
		n.arrive(b, r)
	}
}

// send lets an order arrive, get lost on its way or stay on it.
func (b *bench) send(r *rand.Rand, n *naive) {
	o, ok := b.ledger.Next(b.now)
	if !ok {
		return
	}
	switch r.IntN(4) {
	case 0:
		n.flight = append(n.flight, o)
		n.ends = append(n.ends, b.now.Add(ledger.Settle))
		b.fail(core.EngineLost)
	case 1:
		b.arrive(o)
		b.fail(core.EngineLost)
	default:
		b.arrive(o)
		b.ledger.Answer(b.now, ledger.Reply{})
	}
}

// arrive has an order's effect once, as an engine that ignores numbers does.
func (b *bench) arrive(o ledger.Order) {
	for _, it := range b.state.Items {
		if o.Kind == ledger.LoadItem && it.Name == o.Load.Name {
			return
		}
	}
	b.take(o)
}

func (n *naive) arrive(b *bench, r *rand.Rand) {
	if len(n.flight) == 0 {
		return
	}
	i := r.IntN(len(n.flight))
	b.arrive(n.flight[i])
	n.drop(i)
}

func (n *naive) drop(i int) {
	n.flight = slices.Delete(n.flight, i, i+1)
	n.ends = slices.Delete(n.ends, i, i+1)
}

func (n *naive) expire(now time.Time) {
	for i := len(n.ends) - 1; i >= 0; i-- {
		if !now.Before(n.ends[i]) {
			n.drop(i)
		}
	}
}

// end finishes the i-th item's load or unload.
func (b *bench) end(i int) {
	if i >= len(b.state.Items) {
		return
	}
	if b.state.Items[i].State == core.Unloading {
		b.state.Items = slices.Delete(slices.Clone(b.state.Items), i, i+1)
		return
	}
	b.state.Items[i].State = core.Loaded
}

func (b *bench) quiet(n *naive) {
	for range 20 {
		b.pass(ledger.Settle)
		n.expire(b.now)
		b.order()
		b.finish()
	}
}
