package buffer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/buffer"
)

var t0 = time.Unix(1000, 0)

func TestShares(t *testing.T) {
	a := buffer.Account{Bound: 1000}
	id := a.Open()
	assert.Assert(t, a.Admits(t0, 800) && !a.Admits(t0, 801))
	assert.Assert(t, a.Buffers(600) && !a.Buffers(601))
	a.Add(id, 700)
	assert.Assert(t, a.Admits(t0, 100) && !a.Buffers(0), "no more is buffered before requests are refused")
	a.Close(id)
	a.Close(id)
	assert.Equal(t, a.Used(), core.Bytes(0))
	unbounded := buffer.Account{}
	assert.Assert(t, unbounded.Admits(t0, 1<<60) && unbounded.Buffers(1<<60))
}

func TestVictim(t *testing.T) {
	a := buffer.Account{Bound: 1000}
	small, large, quick := a.Open(), a.Open(), a.Open()
	a.Add(small, 200)
	a.Add(large, 500)
	a.Add(quick, 900)
	a.Block(t0, small)
	a.Block(t0, large)
	now := t0.Add(3 * time.Second)
	a.Block(now, quick)
	id, held, ok := a.Victim(now)
	assert.Assert(t, ok && id == large && held == 500)
	a.Unblock(large)
	id, _, _ = a.Victim(now)
	assert.Equal(t, id, small, "a caller that has taken something is not slow")
	a.Close(quick)
	_, _, ok = a.Victim(now)
	assert.Assert(t, !ok, "nothing ends below the bound")
}

// Guards against slow callers that keep all others out though less than the bound is held.
func TestSlowCallersMakeWay(t *testing.T) {
	a := buffer.Account{Bound: 1000}
	id := a.Open()
	a.Add(id, 700)
	a.Block(t0, id)
	now := t0.Add(3 * time.Second)
	_, _, ok := a.Victim(now)
	assert.Assert(t, !ok)
	assert.Assert(t, !a.Admits(now, 200))
	got, _, ok := a.Victim(now)
	assert.Assert(t, ok && got == id)
	_, _, ok = a.Victim(now.Add(2 * time.Second))
	assert.Assert(t, !ok, "nobody was turned away since")
}

// Guards against bytes that are counted twice or released twice: random schedules.
func TestNothingIsCountedTwice(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	a := buffer.Account{Bound: 1 << 20}
	held := map[uint64]core.Bytes{}
	for range 20_000 {
		switch rng.IntN(4) {
		case 0:
			held[a.Open()] = 0
		case 1:
			id := uint64(rng.IntN(6000))
			a.Close(id)
			delete(held, id)
		default:
			id, n := uint64(rng.IntN(6000)), core.Bytes(rng.IntN(3000)-1000)
			a.Add(id, n)
			if old, ok := held[id]; ok {
				held[id] = max(0, old+n)
			}
		}
	}
	sum := core.Bytes(0)
	for _, n := range held {
		sum += n
	}
	assert.Equal(t, a.Used(), sum)
}
