package cached_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core/cached"
)

var engine = cached.Engine{Address: netip.MustParseAddrPort("10.0.0.1:80"), ID: "i-1", Born: 5}

func hash(i int) uint64 { return cached.Hash("m", "", fmt.Sprint("part-", i)) }

// wantSame asserts that two sets have the same of the first parts.
func wantSame(t *testing.T, got, want *cached.Set, parts int) {
	t.Helper()
	assert.Equal(t, got.Len(), want.Len())
	for i := range parts {
		key := cached.Key(hash(i))
		assert.Equal(t, got.Has(key), want.Has(key))
	}
}

// TestChangesAreLost: changes are told to a process that misses some of them, because calls fail, it
// is frozen, or it starts again. It must know the same as the one that tells as soon as a call succeeds.
func TestChangesAreLost(t *testing.T) {
	const parts = 40
	for seed := range uint64(30) {
		r := rand.New(rand.NewPCG(seed, 7))
		var from, to cached.Set
		seen, number := uint64(0), uint64(0)
		for range 3000 {
			number++
			key := cached.Key(hash(r.IntN(parts)))
			switch r.IntN(40) {
			case 0:
				from.Reset(number)
			default:
				if r.IntN(2) == 0 {
					from.Put(number, key)
				} else {
					from.Drop(number, key)
				}
			}
			switch r.IntN(8) {
			case 0:
				to.Apply(number, from.Since(seen))
				seen = number
				wantSame(t, &to, &from, parts)
			case 1:
				if r.IntN(20) == 0 {
					to, seen = cached.Set{}, 0
				}
			}
		}
	}
}

func TestBook(t *testing.T) {
	whole := func(e cached.Engine, keys ...uint32) cached.Update {
		return cached.Update{Engine: e, Delta: cached.Delta{Whole: true, Added: keys}}
	}
	leading := func(b *cached.Book, e cached.Engine, parts ...int) int {
		var list []uint64
		for _, i := range parts {
			list = append(list, hash(i))
		}
		n, known := b.Leading(e, list)
		if !known {
			return -1
		}
		return n
	}
	t.Run("the parts that a prompt begins with", func(t *testing.T) {
		b := &cached.Book{}
		assert.Equal(t, leading(b, engine, 0), -1)
		b.Apply(whole(engine, cached.Key(hash(0)), cached.Key(hash(2))))
		assert.Equal(t, leading(b, engine, 0, 1, 2), 1)
		assert.Equal(t, leading(b, engine, 1, 2), 0)
	})
	t.Run("told on", func(t *testing.T) {
		var a, b cached.Book
		a.Apply(whole(engine, cached.Key(hash(0))))
		last, list := a.Since(0)
		assert.Assert(t, b.Apply(list[0]))
		a.Apply(cached.Update{Engine: engine, Delta: cached.Delta{Dropped: []uint32{cached.Key(hash(0))}, Added: []uint32{cached.Key(hash(1))}}})
		_, list = a.Since(last)
		assert.Assert(t, len(list) == 1 && !list[0].Whole && b.Apply(list[0]))
		assert.Assert(t, leading(&b, engine, 0) == 0 && leading(&b, engine, 1) == 1)
	})
	t.Run("engines that are gone", func(t *testing.T) {
		b := &cached.Book{}
		b.Apply(whole(engine, cached.Key(hash(0))))
		b.Retain(func(netip.AddrPort) bool { return false })
		assert.Equal(t, leading(b, engine, 0), -1)
	})
}

// TestIDIsReused: an engine starts again under its id and keeps nothing. What the incarnation before
// kept must count no longer, whichever of the two is told of last.
func TestIDIsReused(t *testing.T) {
	next := engine
	next.Born = 9
	for _, late := range []bool{false, true} {
		var b cached.Book
		old := cached.Update{Engine: engine, Delta: cached.Delta{Whole: true, Added: []uint32{cached.Key(hash(0))}}}
		b.Apply(old)
		assert.Assert(t, !b.Apply(cached.Update{Engine: next, Delta: cached.Delta{Added: []uint32{cached.Key(hash(1))}}}), "a part of the account is missing")
		b.Apply(cached.Update{Engine: next, Delta: cached.Delta{Whole: true}})
		if late {
			b.Apply(old)
		}
		n, known := b.Leading(next, []uint64{hash(0)})
		assert.Assert(t, known && n == 0)
		_, known = b.Leading(engine, []uint64{hash(0)})
		assert.Assert(t, !known)
	}
}

// TestManyWants: callers name a new part with each request, by the thousand. What is told to agents at a
// time, and kept, must not grow with them, and parts that are still wanted must come back.
func TestManyWants(t *testing.T) {
	var w cached.Wants
	seen, most := uint64(0), 0
	for i := range 20_000 {
		w.Note([]uint64{hash(100 + i), hash(1)})
		var keys []uint32
		if i%50 == 0 {
			seen, keys = w.Since(seen)
			most = max(most, len(keys))
		}
	}
	_, keys := w.Since(0)
	assert.Assert(t, most <= 512 && len(keys) <= 512, "%d and %d parts", most, len(keys))
	w.Note([]uint64{hash(1)})
	_, keys = w.Since(0)
	assert.Assert(t, slices.Contains(keys, cached.Key(hash(1))))
}

// FuzzApply: another process tells anything, which must be bounded and not end this one.
func FuzzApply(f *testing.F) {
	f.Add([]byte{1, 2, 3}, true)
	f.Fuzz(func(t *testing.T, data []byte, whole bool) {
		var s cached.Set
		for i := range 600 {
			var d cached.Delta
			for j, b := range data {
				if j%2 == 0 {
					d.Added = append(d.Added, uint32(i)<<8|uint32(b))
				} else {
					d.Dropped = append(d.Dropped, uint32(i)<<8|uint32(b))
				}
			}
			d.Whole = whole && i%7 == 0
			s.Apply(uint64(i), d)
		}
		assert.Assert(t, s.Len() <= 512)
	})
}

// BenchmarkLeading is the cost of one host in a decision.
func BenchmarkLeading(b *testing.B) {
	var book cached.Book
	u := cached.Update{Engine: engine, Delta: cached.Delta{Whole: true}}
	for i := range 100 {
		u.Added = append(u.Added, cached.Key(hash(i)))
	}
	book.Apply(u)
	parts := []uint64{hash(3), hash(1000)}
	b.ReportAllocs()
	for b.Loop() {
		book.Leading(engine, parts)
	}
}
