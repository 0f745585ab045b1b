package replic

import (
	"fmt"
	"testing"

	"radishwell/core"
)

// catalogueSize is the expected number of models and adapters in two years.
const catalogueSize = 3470

// specSize is the approximate size of an adapter's spec.
const specSize = 220

func catalogue() *Replica {
	r := &Replica{}
	l := core.Listing{Version: catalogueSize}
	for i := range catalogueSize {
		l.Objects = append(l.Objects, object(i, core.Version(i+1)))
	}
	r.Join(ListDelta(l))
	return r
}

func object(i int, v core.Version) core.Object {
	return core.Object{
		Kind:    core.KindAdapter,
		Name:    fmt.Sprintf("adapter-%06d", i),
		UID:     fmt.Sprintf("uid-%d", i),
		Version: v,
		Spec:    make([]byte, specSize),
	}
}

// touch commits an update of object i to the replica.
func touch(r *Replica, i int) {
	from := r.Through()
	r.Join(WatchDelta(from, core.Change{Object: object(i%catalogueSize, from+1)}))
}

func BenchmarkSince(b *testing.B) {
	for _, behind := range []int{0, 1, 100, catalogueSize} {
		b.Run(fmt.Sprintf("behind=%d", behind), func(b *testing.B) {
			r := catalogue()
			for i := range catalogueSize {
				touch(r, i)
			}
			from := r.Through() - core.Version(behind)
			b.ReportAllocs()
			for b.Loop() {
				r.Since(from)
			}
			b.ReportMetric(float64(deltaBytes(r.Since(from))), "delta-bytes")
		})
	}
}

func BenchmarkJoin(b *testing.B) {
	b.Run("one-change", func(b *testing.B) {
		r := catalogue()
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			touch(r, i)
		}
	})
	b.Run("full", func(b *testing.B) {
		d := catalogue().Since(0)
		b.ReportAllocs()
		for b.Loop() {
			var r Replica
			r.Join(d)
		}
	})
}

// deltaBytes returns the size of a delta's names, versions and specs, which any encoding
// includes.
func deltaBytes(d Delta) int {
	n := 2 * versionBytes
	for _, o := range d.Objects {
		n += len(o.Name) + versionBytes + len(o.Spec) + 1
	}
	return n
}

const versionBytes = 8

// tagSet is the alternative that docs/design/replicas.md compares: a commutative replicated
// set of entries with unique tags and without tombstones. An update deletes the tags that
// it has seen and inserts a new one. Since deletions are not stored, operations must arrive
// in causal order and exactly once, and two replicas that have lost an operation must
// compare all their tags.
type tagSet struct{ byTag map[uint64]core.Object }

func (s *tagSet) update(seen []uint64, tag uint64, o core.Object) {
	for _, t := range seen {
		delete(s.byTag, t)
	}
	s.byTag[tag] = o
}

// repair makes the set equal to from and returns the bytes exchanged: all tags in one
// direction and the missing entries in the other.
func (s *tagSet) repair(from *tagSet) int {
	n := versionBytes * len(s.byTag)
	for tag, o := range from.byTag {
		if _, ok := s.byTag[tag]; ok {
			continue
		}
		s.byTag[tag] = o
		n += versionBytes + len(o.Name) + len(o.Spec)
	}
	for tag := range s.byTag {
		if _, ok := from.byTag[tag]; !ok {
			delete(s.byTag, tag)
			n += versionBytes
		}
	}
	return n
}

// BenchmarkRepair compares the cost of detecting and sending one update that a peer lacks,
// with versions and with tags.
func BenchmarkRepair(b *testing.B) {
	b.Run("versions", func(b *testing.B) {
		r := catalogue()
		peer := catalogue()
		n := 0
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			touch(r, i)
			d := r.Since(peer.Through())
			peer.Join(d)
			n = versionBytes + deltaBytes(d)
		}
		b.ReportMetric(float64(n), "exchanged-bytes")
	})
	b.Run("tags", func(b *testing.B) {
		source, peer := makeTagSet(), makeTagSet()
		n := 0
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			old := uint64(i + 1)
			tag := old + catalogueSize
			source.update([]uint64{old}, tag, object(i%catalogueSize, core.Version(tag)))
			n = peer.repair(source)
		}
		b.ReportMetric(float64(n), "exchanged-bytes")
	})
}

func makeTagSet() *tagSet {
	s := &tagSet{byTag: map[uint64]core.Object{}}
	for i := range catalogueSize {
		s.byTag[uint64(i+1)] = object(i, core.Version(i+1))
	}
	return s
}
