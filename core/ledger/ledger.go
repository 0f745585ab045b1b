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
	// MaxOrderDelay is how long an order may still reach an engine after its sender
	// has lost contact or has died, if the engine does not check fencing numbers.
	// Agent and engine share a host, so the order is either in the engine's own socket
	// buffer or lost. An engine that leaves it unread for longer has not answered any
	// report either.
	MaxOrderDelay = 10 * time.Second
	// ResendInterval is the delay before an order without visible effect is sent
	// again.
	ResendInterval = 2 * time.Second
	// UnloadTimeout is the timeout of an unload. After it, further items are evicted
	// instead of waiting for the memory.
	UnloadTimeout = 20 * time.Second
)

// phase is the state of an item in the ledger. An item reserves memory in every
// phase.
type phase uint8

const (
	// queued: the load is decided, but its order has not been sent.
	queued phase = iota
	// ordered: the load order was sent, but the engine hasn't reported the item.
	ordered
	// loading and loaded: as reported by the engine.
	loading
	loaded
	// unloading: the unload is decided, ordered or in progress.
	unloading
	// uncertain: the engine does not report the item, but an order whose answer was
	// lost may still load it.
	uncertain
)

// item is a model or adapter with reserved memory.
type item struct {
	name         core.ModelName
	base         core.ModelName
	bytes        core.Bytes
	accelerators []int
	phase        phase
	// source and giveUp are sent with the load order.
	source core.Tier
	giveUp time.Time
	// generation distinguishes this item from an earlier one of the same name.
	generation uint64
	users      int
	lastUsed   time.Time
	// since is when the item entered the phase.
	since time.Time
	// sent is set if the order of the current phase was sent, answered if the engine
	// accepted it.
	sent     bool
	answered bool
	// loadStep is the step at which a load order was last sent or answered.
	loadStep uint64
	// nextSend is the earliest time to send the order of the current phase.
	nextSend time.Time
	// reported is set if the last report had the item.
	reported bool
}

// lostOrder is an order whose answer was lost. It may still reach the engine.
type lostOrder struct {
	name    core.ModelName
	load    bool
	fence   core.Fence
	expires time.Time
}

// Ledger holds the memory reservations of one host. ChecksFence and Started must
// be set before first use. A Ledger is not safe for concurrent use.
type Ledger struct {
	// ChecksFence is set if the engine refuses orders with an old fencing number
	// (core.ServiceSpec.ChecksFence).
	ChecksFence bool
	// Started is when this agent acquired the host's exclusive address. No previous
	// agent process sends anything after it.
	Started time.Time

	items map[core.ModelName]*item
	lost  []lostOrder
	// capacity and epoch are from the last report; hasReport is set after the first.
	capacity  []core.Bytes
	epoch     uint64
	hasReport bool

	lastFence core.Fence
	// barrier is the fencing number that the engine must report before anything is
	// ordered. nextBarrier is the earliest time to send another barrier order.
	barrier core.Fence
	// barrierLost is set if the answer to the barrier order was lost.
	barrierLost bool
	nextBarrier time.Time
	confirmed   bool
	// ignoresFence is set if an engine that should check fencing numbers doesn't keep
	// them: a report requested after step acceptedStep had a number below
	// acceptedFence, the last one that the engine accepted.
	ignoresFence  bool
	acceptedFence core.Fence
	acceptedStep  uint64
	// superseded is set once a fencing number larger than ours was seen.
	superseded bool

	step           uint64
	lastTicket     uint64
	lastGeneration uint64
	inFlight       Order
}

// LoadRequest is a request to load an item.
type LoadRequest struct {
	Name core.ModelName
	// Base is the model an adapter is loaded on; empty for a model.
	Base core.ModelName
	// Bytes is the memory of the item on each of Accelerators accelerators (zero
	// counts as one). An adapter is placed on the accelerators of its base.
	Bytes        core.Bytes
	Accelerators int
	Source       core.Tier
	GiveUp       time.Time
}

// Verdict is the result of a request to load an item.
type Verdict uint8

// Verdicts.
const (
	// Ready: the item is loaded; Begin will succeed.
	Ready Verdict = iota
	// Loading: the load is decided or in progress.
	Loading
	// Evicting: idle items are being unloaded to make room. Call Load again after the
	// next report.
	Evicting
	// Unloading: the item itself is being unloaded. Call Load again once it is gone.
	Unloading
	// NoBase: the adapter's base isn't loaded and must be loaded first.
	NoBase
	// NoMemory: every item that could be evicted is in use or pinned.
	NoMemory
	// TooLarge: the accelerators of the host could never hold the item.
	TooLarge
	// NotReady: the ledger isn't rebuilt yet. Loaded items can be used.
	NotReady
	// Superseded: another agent controls this engine. The process must end.
	Superseded
)

// Score returns how much an idle item should be kept; the item with the lowest
// score is evicted first. math.Inf(1) pins an item for which a request waits.
type Score func(core.ModelName) float64

// Load requests an item and reports its state. It is idempotent. After Evicting
// and Loading, Next returns the orders.
func (l *Ledger) Load(now time.Time, w LoadRequest, keep Score) Verdict {
	if l.superseded {
		return Superseded
	}
	if it := l.items[w.Name]; it != nil {
		return l.loadExisting(now, it, w)
	}
	switch {
	case !l.Rebuilt():
		return NotReady
	case l.hasLostOrder(w.Name):
		return Unloading
	}
	p := placement{l: l, now: now, want: w, keep: keep}
	return p.place()
}

func (l *Ledger) loadExisting(now time.Time, it *item, w LoadRequest) Verdict {
	switch it.phase {
	case loaded:
		if l.baseLoaded(it) {
			return Ready
		}
		return NoBase
	case unloading:
		if it.sent || !it.reported {
			return Unloading
		}
		// The unload was never sent, so it can be dropped.
		it.enter(loaded, now)
		return Ready
	case uncertain:
		if l.hasLostUnload(it.name) || !l.Rebuilt() {
			return Unloading
		}
		it.source = w.Source
		it.giveUp = w.GiveUp
		it.enter(queued, now)
	}
	return Loading
}

func (it *item) enter(p phase, now time.Time) {
	if it.phase == p {
		return
	}
	it.phase = p
	it.since = now
	it.sent = false
	it.answered = false
	it.nextSend = now
}

// Unload starts the unload of an item and, first, of the adapters on it. It
// returns false and does nothing while requests or loading adapters use the item.
func (l *Ledger) Unload(now time.Time, name core.ModelName) bool {
	it := l.items[name]
	if it == nil || it.phase == unloading || it.phase == uncertain {
		return true
	}
	if it.users > 0 {
		return false
	}
	adapters := l.adaptersOf(name)
	for _, a := range adapters {
		if !a.idle() && a.phase != unloading && a.phase != uncertain {
			return false
		}
	}
	for _, a := range adapters {
		if a.phase == loaded {
			a.enter(unloading, now)
		}
	}
	if it.phase == queued && !it.reported {
		l.releaseReservation(it, now)
		return true
	}
	it.enter(unloading, now)
	return true
}

// releaseReservation removes an item that the engine doesn't report. If an order
// may still load it, the item becomes uncertain instead.
func (l *Ledger) releaseReservation(it *item, now time.Time) {
	if l.hasLostOrder(it.name) || l.inFlight.name() == it.name {
		it.enter(uncertain, now)
		return
	}
	delete(l.items, it.name)
}

func (it *item) idle() bool { return it.phase == loaded && it.users == 0 }

// Use is one use of a loaded item, from Begin to End.
type Use struct {
	Name       core.ModelName
	generation uint64
}

// Begin counts a request as a user of an item, and so of its base, until End. It
// returns false unless the item and its base are loaded and not being unloaded.
func (l *Ledger) Begin(now time.Time, name core.ModelName) (Use, bool) {
	it := l.items[name]
	if it == nil || it.phase != loaded || l.superseded || !l.baseLoaded(it) {
		return Use{}, false
	}
	it.users++
	it.lastUsed = now
	if b := l.items[it.base]; b != nil {
		b.lastUsed = now
	}
	return Use{Name: name, generation: it.generation}, true
}

// End ends a use. It ignores a use that an engine restart has already ended.
func (l *Ledger) End(now time.Time, u Use) {
	it := l.items[u.Name]
	if it == nil || it.generation != u.generation || it.users == 0 {
		return
	}
	it.users--
	it.lastUsed = now
	if b := l.items[it.base]; b != nil {
		b.lastUsed = now
	}
}

// Rebuilt reports whether the ledger may order loads: it knows what the engine
// holds, and no order of a previous agent process can still change that.
func (l *Ledger) Rebuilt() bool { return l.hasReport && l.confirmed && !l.superseded }

// ProvenAbsent reports whether the host certainly does not hold the item and no
// order in flight can still load it. Only then may its grant be released.
func (l *Ledger) ProvenAbsent(name core.ModelName) bool {
	return l.Rebuilt() && l.items[name] == nil && !l.hasLostOrder(name) && l.inFlight.name() != name
}

// Superseded reports whether another agent controls this engine.
func (l *Ledger) Superseded() bool { return l.superseded }

// Reserved returns the bytes reserved on each accelerator.
func (l *Ledger) Reserved() []core.Bytes {
	sum := make([]core.Bytes, len(l.capacity))
	for _, it := range l.items {
		for _, a := range it.accelerators {
			if a >= 0 && a < len(sum) {
				sum[a] += it.bytes
			}
		}
	}
	return sum
}

// Capacity returns the last reported bytes of each accelerator.
func (l *Ledger) Capacity() []core.Bytes { return slices.Clone(l.capacity) }

func (l *Ledger) sortedItems() []*item {
	names := slices.Sorted(maps.Keys(l.items))
	list := make([]*item, len(names))
	for i, n := range names {
		list[i] = l.items[n]
	}
	return list
}

func (l *Ledger) adaptersOf(base core.ModelName) []*item {
	var list []*item
	for _, it := range l.sortedItems() {
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

func (l *Ledger) fenceChecked() bool { return l.ChecksFence && !l.ignoresFence }

func (l *Ledger) hasLostOrder(name core.ModelName) bool {
	return slices.ContainsFunc(l.lost, func(g lostOrder) bool { return g.name == name })
}

func (l *Ledger) hasLostUnload(name core.ModelName) bool {
	return slices.ContainsFunc(l.lost, func(g lostOrder) bool { return g.name == name && !g.load })
}

// pinned is the score of an item that must not be evicted.
var pinned = math.Inf(1)
