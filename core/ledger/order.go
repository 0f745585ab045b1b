package ledger

import (
	"time"

	"radishwell/core"
)

// Fencing numbers of orders: the second of the agent's start in the upper bits,
// the count of its orders in the lower. They stay below 2^53, so that engines
// which read JSON numbers as floating point keep them exact. The start time is
// there because an engine that restarts may forget the numbers it has seen; a
// later agent's numbers are then still the larger ones.
const fenceShift = 21

// barrierName is the item of the unload order that only raises the engine's
// fencing number. No catalogue entry can have it, since names are lower case.
const barrierName core.ModelName = "FENCE"

// OrderKind tells orders apart.
type OrderKind uint8

// Kinds of orders.
const (
	NoOrder OrderKind = iota
	LoadItem
	UnloadItem
)

// Order is one order for the engine; the field named by Kind is set.
type Order struct {
	Kind   OrderKind
	Load   core.LoadOrder
	Unload core.UnloadOrder
}

func (o Order) name() core.ModelName {
	switch o.Kind {
	case LoadItem:
		return o.Load.Name
	case UnloadItem:
		return o.Unload.Name
	}
	return ""
}

func (o Order) fence() core.Fence {
	if o.Kind == LoadItem {
		return o.Load.Fence
	}
	return o.Unload.Fence
}

// Reply is the engine's answer to an order.
type Reply struct {
	// Failed tells that the call failed with Fault. A call that got no answer
	// in time is core.EngineLost.
	Failed bool
	Fault  core.EngineFault
}

// Next returns the order to send now. It returns false while the last one's
// Answer is due or nothing is to be ordered. An order goes out alone, so that
// its fencing number is above all before it and at most one order of an agent
// that dies is unaccounted for.
func (l *Ledger) Next(now time.Time) (Order, bool) {
	if l.fenced || !l.seen || l.out.Kind != NoOrder {
		return Order{}, false
	}
	o, ok := l.choose(now)
	if !ok {
		return Order{}, false
	}
	l.step++
	l.out = o
	return o, true
}

func (l *Ledger) choose(now time.Time) (Order, bool) {
	if !l.confirmed {
		return l.chooseBarrier(now)
	}
	for _, it := range l.sorted() {
		if o, ok := l.unloadOrder(it, now); ok {
			return o, true
		}
	}
	for _, it := range l.sorted() {
		if o, ok := l.loadOrder(it, now); ok {
			return o, true
		}
	}
	if l.checks() && l.raisable() && !now.Before(l.barrierAt) {
		return l.barrierOrder(), true
	}
	return Order{}, false
}

// chooseBarrier raises the engine's number at the start and after its restart.
// Engines that don't check it have nothing to gain from it.
func (l *Ledger) chooseBarrier(now time.Time) (Order, bool) {
	if !l.checks() || l.barrier != 0 && !l.barrierLost || now.Before(l.barrierAt) {
		return Order{}, false
	}
	o := l.barrierOrder()
	l.barrier, l.barrierLost = o.Unload.Fence, false
	return o, true
}

func (l *Ledger) barrierOrder() Order {
	return Order{Kind: UnloadItem, Unload: core.UnloadOrder{Name: barrierName, Fence: l.nextFence()}}
}

// raisable reports that a lost order would be ruled out by a larger number, and
// that the engine hasn't taken one yet.
func (l *Ledger) raisable() bool {
	for _, g := range l.lost {
		if l.taken <= g.fence {
			return true
		}
	}
	return false
}

func (l *Ledger) unloadOrder(it *item, now time.Time) (Order, bool) {
	if it.phase != leaving || now.Before(it.again) || len(l.onBase(it.name)) > 0 {
		return Order{}, false
	}
	it.sent = true
	it.answered = false
	return Order{Kind: UnloadItem, Unload: core.UnloadOrder{Name: it.name, Fence: l.nextFence()}}, true
}

func (l *Ledger) loadOrder(it *item, now time.Time) (Order, bool) {
	due := it.phase == queued || it.phase == ordered && !it.answered
	if !due || now.Before(it.again) || !l.baseLoaded(it) {
		return Order{}, false
	}
	it.enter(ordered, now)
	it.sent = true
	it.loadAt = l.step + 1
	return Order{Kind: LoadItem, Load: core.LoadOrder{
		Name: it.name, Base: it.base, Fence: l.nextFence(), Accelerators: it.accs,
		Bytes: it.bytes, Source: it.source, GiveUp: it.giveUp,
	}}, true
}

func (l *Ledger) nextFence() core.Fence {
	l.fence++
	return l.fence
}

// Answer tells what became of the order that Next returned last.
func (l *Ledger) Answer(now time.Time, r Reply) {
	o := l.out
	if o.Kind == NoOrder {
		return
	}
	l.step++
	l.out = Order{}
	if r.Failed && r.Fault == core.EngineStale {
		// Numbers only grow and orders go out alone: a larger number seen by
		// the engine is another agent's.
		l.fenced = true
		return
	}
	if !r.Failed {
		l.taken = o.fence()
		l.takenAt = l.step
	}
	if o.name() == barrierName {
		l.answerBarrier(now, r)
		return
	}
	if r.Failed && r.Fault == core.EngineLost {
		l.lost = append(l.lost, lostOrder{
			name: o.name(), load: o.Kind == LoadItem, fence: o.fence(), until: now.Add(Settle),
		})
	}
	it := l.items[o.name()]
	if it == nil {
		return
	}
	it.again = now.Add(Resend)
	if o.Kind == LoadItem {
		it.loadAt = l.step
	}
	if !r.Failed {
		it.answered = true
		return
	}
	l.answerFailed(now, it, o, r.Fault)
}

func (l *Ledger) answerBarrier(now time.Time, r Reply) {
	l.barrierAt = now.Add(Resend)
	if !r.Failed || l.confirmed {
		return
	}
	if r.Fault == core.EngineLost {
		// It may have been taken, and then the next report shows the number. Taken
		// for one without effect, an engine whose answers are lost would never be
		// ordered anything.
		l.barrierLost = true
		return
	}
	l.barrier = 0
}

func (l *Ledger) answerFailed(now time.Time, it *item, o Order, f core.EngineFault) {
	if f == core.EngineLost || o.Kind == UnloadItem || it.phase != ordered {
		return
	}
	if f == core.EngineUnreached {
		it.enter(queued, now)
		it.again = now.Add(Resend)
		return
	}
	// Refused: this order brought nothing.
	if !it.shown {
		l.giveBack(it, now)
	}
}
