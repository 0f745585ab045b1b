package cached

import (
	"net/netip"
	"sync"

	"radishwell/core"
)

// Engine identifies one incarnation of an engine.
type Engine struct {
	Address netip.AddrPort
	ID      core.HostName
	Born    int64
}

// Update is a change of what an engine keeps.
type Update struct {
	Engine
	Delta
}

// Book holds what the engines of a fleet keep. The zero Book is empty. It is safe for concurrent
// use.
type Book struct {
	mu      sync.RWMutex
	engines map[netip.AddrPort]*record
	// last is the number of the last change.
	last uint64
}

type record struct {
	Engine
	set  Set
	last uint64
}

// Apply records a change. It reports false if changes before this one are missing: what is known of
// another incarnation, or of none, does not become that of this one by a change that is not whole.
func (b *Book) Apply(u Update) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.engines[u.Address]
	if u.Empty() || r != nil && u.Born != 0 && u.Born < r.Born {
		return true // nothing new, or of an incarnation that has ended
	}
	if r == nil || r.Engine != u.Engine {
		if !u.Whole {
			return false
		}
		if b.engines == nil {
			b.engines = map[netip.AddrPort]*record{}
		}
		r = &record{Engine: u.Engine}
		b.engines[u.Address] = r
	}
	b.last++
	r.last = b.last
	r.set.Apply(b.last, u.Delta)
	return true
}

// Since returns what has changed after the change with a number, and the number of the last one.
func (b *Book) Since(number uint64) (last uint64, list []Update) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, r := range b.engines {
		if r.last > number {
			list = append(list, Update{Engine: r.Engine, Delta: r.set.Since(number)})
		}
	}
	return b.last, list
}

// Retain forgets the engines at addresses that are not accepted.
func (b *Book) Retain(accept func(netip.AddrPort) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for address := range b.engines {
		if !accept(address) {
			delete(b.engines, address)
		}
	}
}

// Leading returns how many of the parts that a prompt begins with an engine keeps, by the hashes of
// the parts. known is false if nothing is known of this incarnation.
func (b *Book) Leading(e Engine, parts []uint64) (n int, known bool) {
	if b == nil {
		return 0, false
	}
	b.mu.RLock()
	defer b.mu.RUnlock()
	r := b.engines[e.Address]
	if r == nil || r.Engine != e {
		return 0, false
	}
	for n < len(parts) && r.set.Has(Key(parts[n])) {
		n++
	}
	return n, true
}
