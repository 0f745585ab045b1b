package ledger

import (
	"maps"
	"math"
	"slices"
	"time"

	"radishwell/core"
)

// Thresholds of the ledger.
const (
	// Settle is how long an order may still reach an engine after its sender
	// has lost contact or has died, where the engine does not check fencing
	// numbers. Agent and engine share a host, so the order is in the engine's
	// own socket buffer or nowhere; an engine that leaves it unread for longer
	// than this has answered no report either.
	Settle = 10 * time.Second
	// Resend is the pause before an order that shows no effect is sent again.
	Resend = 2 * time.Second
	// Hang is when an unload is no longer expected to free its memory soon, so
	// that further items are evicted instead of waiting for it.
	Hang = 20 * time.Second
)

// phase is where an item stands in the ledger. In every phase it counts.
type phase uint8

const (
	// queued: the load is decided, its order has not been sent.
	queued phase = iota
	// ordered: the load order was sent; the engine hasn't shown the item.
	ordered
	// loading and loaded: as the engine shows.
	loading
	loaded
	// leaving: the unload is decided, sent or under way.
	leaving
	// unsettled: the engine shows no such item, but an order whose answer was
	// lost may still bring it.
	unsettled
)

// item is one promise of memory.
type item struct {
	name  core.ModelName
	base  core.ModelName
	bytes core.Bytes
	accs  []int
	phase phase
	// source and giveUp go into the load order.
	source core.Tier
	giveUp time.Time
	// life tells this item from an earlier one of the same name.
	life  uint64
	users int
	used  time.Time
	// since is when the phase was entered.
	since time.Time
	// sent tells that the present phase's order went out, answered that the
	// engine took it.
	sent     bool
	answered bool
	// loadAt is the step at which a load order was last sent or answered.
	loadAt uint64
	// again is when the present phase's order may be sent (again).
	again time.Time
	// shown tells that the last report had the item.
	shown bool
}

// lostOrder is an order whose answer was lost: it may reach the engine later.
type lostOrder struct {
	name  core.ModelName
	load  bool
	fence core.Fence
	until time.Time
}

// Ledger holds the memory promises of one host. ChecksFence and Started are set
// before first use. It is not safe for concurrent use.
type Ledger struct {
	// ChecksFence tells that the engine refuses orders with an old fencing
	// number (core.ServiceSpec.ChecksFence).
	ChecksFence bool
	// Started is when this agent took the host's exclusive address; no
	// predecessor sends anything after it.
	Started time.Time

	items map[core.ModelName]*item
	lost  []lostOrder
	// capacity and epoch are from the last report; seen is false before it.
	capacity []core.Bytes
	epoch    uint64
	seen     bool

	fence core.Fence
	// barrier is the number that the engine must show before anything is
	// ordered; barrierAt is when it may be raised again.
	barrier core.Fence
	// barrierLost tells that the answer to the order that raises it was lost.
	barrierLost bool
	barrierAt   time.Time
	confirmed   bool
	// ignores tells that an engine said to check numbers doesn't keep them: a
	// report asked for after step takenAt was below the number taken then.
	ignores bool
	taken   core.Fence
	takenAt uint64
	// fenced tells that a larger number than ours was seen.
	fenced bool

	step   uint64
	ticket uint64
	lives  uint64
	out    Order
}

// Want is an item to load.
type Want struct {
	Name core.ModelName
	// Base is the model an adapter is loaded on; empty for a model.
	Base core.ModelName
	// Bytes is what the item holds on each of Accelerators accelerators, one
	// where zero. An adapter lies on its base's accelerators.
	Bytes        core.Bytes
	Accelerators int
	Source       core.Tier
	GiveUp       time.Time
}

// Verdict answers a wish to load.
type Verdict uint8

// Verdicts.
const (
	// Ready: the item is loaded; Begin will take a use.
	Ready Verdict = iota
	// Coming: the load is decided or under way.
	Coming
	// Evicting: idle items are being unloaded to make room; ask again after the
	// next report.
	Evicting
	// Leaving: the item itself is being unloaded; ask again once it is gone.
	Leaving
	// NoBase: the adapter's base isn't loaded; load that first.
	NoBase
	// NoMemory: everything that could make room is in use or wanted.
	NoMemory
	// TooLarge: the host could never hold the item.
	TooLarge
	// NotReady: the ledger isn't rebuilt yet; resident items can be used.
	NotReady
	// Fenced: another agent orders this engine. The process must end.
	Fenced
)

// Score tells how much an idle item should be kept; the lowest goes first.
// math.Inf(1) keeps it: a request waits for it.
type Score func(core.ModelName) float64

// Load asks for an item. It is idempotent: called again it tells how far the
// item has come. Evicting and Coming leave orders for Next.
func (l *Ledger) Load(now time.Time, w Want, keep Score) Verdict {
	if l.fenced {
		return Fenced
	}
	if it := l.items[w.Name]; it != nil {
		return l.existing(now, it, w)
	}
	switch {
	case !l.Rebuilt():
		return NotReady
	case l.isLost(w.Name):
		return Leaving
	}
	p := placing{l: l, now: now, want: w, keep: keep}
	return p.place()
}

func (l *Ledger) existing(now time.Time, it *item, w Want) Verdict {
	switch it.phase {
	case loaded:
		if l.baseLoaded(it) {
			return Ready
		}
		return NoBase
	case leaving:
		if it.sent || !it.shown {
			return Leaving
		}
		// The unload was never sent, so it is simply not done.
		it.enter(loaded, now)
		return Ready
	case unsettled:
		if l.lostUnload(it.name) || !l.Rebuilt() {
			return Leaving
		}
		it.source = w.Source
		it.giveUp = w.GiveUp
		it.enter(queued, now)
	}
	return Coming
}

func (it *item) enter(p phase, now time.Time) {
	if it.phase == p {
		return
	}
	it.phase = p
	it.since = now
	it.sent = false
	it.answered = false
	it.again = now
}

// Unload asks that an item leaves. It returns false, and does nothing, while
// requests or loading adapters use it. Adapters on it leave first.
func (l *Ledger) Unload(now time.Time, name core.ModelName) bool {
	it := l.items[name]
	if it == nil || it.phase == leaving || it.phase == unsettled {
		return true
	}
	if it.users > 0 {
		return false
	}
	adapters := l.onBase(name)
	for _, a := range adapters {
		if !a.idle() && a.phase != leaving && a.phase != unsettled {
			return false
		}
	}
	for _, a := range adapters {
		if a.phase == loaded {
			a.enter(leaving, now)
		}
	}
	if it.phase == queued && !it.shown {
		l.giveBack(it, now)
		return true
	}
	it.enter(leaving, now)
	return true
}

// giveBack ends a promise that the engine doesn't show, unless an order that
// may still bring the item is about.
func (l *Ledger) giveBack(it *item, now time.Time) {
	if l.isLost(it.name) || l.out.name() == it.name {
		it.enter(unsettled, now)
		return
	}
	delete(l.items, it.name)
}

func (it *item) idle() bool { return it.phase == loaded && it.users == 0 }

// Use is one use of a loaded item, from Begin to End.
type Use struct {
	Name core.ModelName
	life uint64
}

// Begin counts a request in an item, and so in its base, until End. It returns
// false unless the item is loaded and not leaving.
func (l *Ledger) Begin(now time.Time, name core.ModelName) (Use, bool) {
	it := l.items[name]
	if it == nil || it.phase != loaded || l.fenced || !l.baseLoaded(it) {
		return Use{}, false
	}
	it.users++
	it.used = now
	if b := l.items[it.base]; b != nil {
		b.used = now
	}
	return Use{Name: name, life: it.life}, true
}

// End ends a use. A use that an engine's restart has ended already is ignored.
func (l *Ledger) End(now time.Time, u Use) {
	it := l.items[u.Name]
	if it == nil || it.life != u.life || it.users == 0 {
		return
	}
	it.users--
	it.used = now
	if b := l.items[it.base]; b != nil {
		b.used = now
	}
}

// Rebuilt reports whether the ledger may order loads: it knows what the engine
// holds and that no order of a predecessor can still change it.
func (l *Ledger) Rebuilt() bool { return l.seen && l.confirmed && !l.fenced }

// Clear reports whether the host certainly neither holds the item nor will by
// an order that is still about. It is the proof to release a grant on.
func (l *Ledger) Clear(name core.ModelName) bool {
	return l.Rebuilt() && l.items[name] == nil && !l.isLost(name) && l.out.name() != name
}

// Superseded reports that another agent orders this engine.
func (l *Ledger) Superseded() bool { return l.fenced }

// Promised returns the bytes promised on each accelerator.
func (l *Ledger) Promised() []core.Bytes {
	sum := make([]core.Bytes, len(l.capacity))
	for _, it := range l.items {
		for _, a := range it.accs {
			if a >= 0 && a < len(sum) {
				sum[a] += it.bytes
			}
		}
	}
	return sum
}

// Capacity returns the bytes of each accelerator as last reported.
func (l *Ledger) Capacity() []core.Bytes { return slices.Clone(l.capacity) }

func (l *Ledger) sorted() []*item {
	names := slices.Sorted(maps.Keys(l.items))
	list := make([]*item, len(names))
	for i, n := range names {
		list[i] = l.items[n]
	}
	return list
}

func (l *Ledger) onBase(base core.ModelName) []*item {
	var list []*item
	for _, it := range l.sorted() {
		if it.base == base {
			list = append(list, it)
		}
	}
	return list
}

func (l *Ledger) baseLoaded(it *item) bool {
	if it.base == "" {
		return true
	}
	b := l.items[it.base]
	return b != nil && b.phase == loaded
}

func (l *Ledger) checks() bool { return l.ChecksFence && !l.ignores }

func (l *Ledger) isLost(name core.ModelName) bool {
	return slices.ContainsFunc(l.lost, func(g lostOrder) bool { return g.name == name })
}

func (l *Ledger) lostUnload(name core.ModelName) bool {
	return slices.ContainsFunc(l.lost, func(g lostOrder) bool { return g.name == name && !g.load })
}

// pinned is the score of an item that must stay.
var pinned = math.Inf(1)
