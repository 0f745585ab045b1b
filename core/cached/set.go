package cached

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"radishwell/core"
)

const (
	// maxCached bounds the parts that are known of one engine, and maxLog the changes that are
	// remembered: whoever has missed more is told all of it.
	maxCached, maxLog = 512, 256
)

// Hash identifies a part of prompts of a model or adapter.
func Hash(model core.ModelName, adapter, part string) uint64 {
	var room [128]byte
	key := append(append(room[:0], model...), '/')
	key = append(append(key, adapter...), '/')
	return xxhash.Sum64(append(key, part...))
}

// Key is the part of a hash that is told to other processes.
func Key(hash uint64) uint32 { return uint32(hash) }

// Delta is how a Set has changed.
type Delta struct {
	// Whole is set if Added is all that is kept.
	Whole          bool
	Added, Dropped []uint32
}

// Empty reports whether nothing has changed.
func (d *Delta) Empty() bool { return !d.Whole && len(d.Added)+len(d.Dropped) == 0 }

// Set is the set of parts that one incarnation of an engine keeps. The zero Set is empty. It is not
// safe for concurrent use.
type Set struct {
	has map[uint32]bool
	// log holds the changes after floor, oldest first.
	log   []change
	floor uint64
}

type change struct {
	number  uint64
	key     uint32
	dropped bool
}

// Has reports whether a part is kept.
func (s *Set) Has(key uint32) bool { return s.has[key] }

// Len returns the number of parts.
func (s *Set) Len() int { return len(s.has) }

// Put records that a part is kept. Numbers of changes grow.
func (s *Set) Put(number uint64, key uint32) {
	if s.has[key] || len(s.has) >= maxCached {
		return
	}
	if s.has == nil {
		s.has = map[uint32]bool{}
	}
	s.has[key] = true
	s.note(change{number: number, key: key})
}

// Drop records that a part is no longer kept.
func (s *Set) Drop(number uint64, key uint32) {
	if s.has[key] {
		delete(s.has, key)
		s.note(change{number: number, key: key, dropped: true})
	}
}

// Reset forgets everything.
func (s *Set) Reset(number uint64) { *s = Set{floor: number} }

func (s *Set) note(c change) {
	s.log = append(s.log, c)
	if len(s.log) > maxLog {
		s.floor = s.log[maxLog/2-1].number
		s.log = slices.Delete(s.log, 0, maxLog/2)
	}
}

// Since returns what has changed after the change with a number, everything if that is zero or too
// long ago.
func (s *Set) Since(number uint64) (d Delta) {
	if number == 0 || number < s.floor {
		d.Whole = true
		for key := range s.has {
			d.Added = append(d.Added, key)
		}
		return d
	}
	at, _ := slices.BinarySearchFunc(s.log, number+1, func(c change, n uint64) int {
		if c.number < n {
			return -1
		}
		return 1
	})
	for _, c := range s.log[at:] {
		switch {
		case c.dropped == s.has[c.key]: // it has changed back since
		case c.dropped:
			d.Dropped = append(d.Dropped, c.key)
		default:
			d.Added = append(d.Added, c.key)
		}
	}
	return d
}

// Apply records another process's changes.
func (s *Set) Apply(number uint64, d Delta) {
	if d.Whole {
		s.Reset(number)
	}
	for _, key := range d.Dropped {
		s.Drop(number, key)
	}
	for _, key := range d.Added {
		s.Put(number, key)
	}
}
