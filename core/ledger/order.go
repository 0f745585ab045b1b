package ledger

import (
	"time"

	"radishwell/core"
)

// fenceShift is the position of the agent's start, in Unix seconds, in the fencing
// numbers of orders. The lower bits count the orders. The numbers stay below 2^53,
// so that engines which read JSON numbers as floating point keep them exact. They
// include the start time because an engine that restarts may forget the numbers it
// has seen; the numbers of a later agent are still the larger ones.
const fenceShift = 21

// barrierName is the item of the barrier order: an unload order that only raises
// the engine's fencing number. No catalogue entry can have this name, since names
// are lower case.
const barrierName core.ModelName = "FENCE"

// OrderKind is the kind of an order.
type OrderKind uint8

// Order kinds.
const (
	NoOrder OrderKind = iota
	LoadItem
	UnloadItem
)

// Order is one order to the engine; the field selected by Kind is set.
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
	// Failed is set if the call failed with Fault. A call without an answer in time
	// has the fault core.EngineLost.
	Failed bool
	Fault  core.EngineFault
}

// Next returns the order to send now. It returns false while the answer to the
// last order is pending or if there is nothing to order. Orders are sent one at a
// time, so that each fencing number is above all earlier ones and at most one
// order of an agent that dies is unaccounted for.
func (l *Ledger) Next(now time.Time) (Order, bool) {
	if l.superseded || !l.hasReport || l.inFlight.Kind != NoOrder {
		return Order{}, false
	}
	o, ok := l.chooseOrder(now)
	if !ok {
		return Order{}, false
	}
	l.step++
	l.inFlight = o
	return o, true
}

func (l *Ledger) chooseOrder(now time.Time) (Order, bool) {
	if !l.confirmed {
		return l.chooseBarrier(now)
	}
	for _, it := range l.sortedItems() {
		if o, ok := l.unloadOrder(it, now); ok {
			return o, true
		}
	}
	for _, it := range l.sortedItems() {
		if o, ok := l.loadOrder(it, now); ok {
			return o, true
		}
	}
	if l.fenceChecked() && l.needsBarrier() && !now.Before(l.nextBarrier) {
		return l.barrierOrder(), true
	}
	return Order{}, false
}

// chooseBarrier raises the engine's fencing number when the agent starts and after
// the engine restarts. An engine that doesn't check numbers does not need it.
func (l *Ledger) chooseBarrier(now time.Time) (Order, bool) {
	if !l.fenceChecked() || l.barrier != 0 && !l.barrierLost || now.Before(l.nextBarrier) {
		return Order{}, false
	}
	o := l.barrierOrder()
	l.barrier, l.barrierLost = o.Unload.Fence, false
	return o, true
}

func (l *Ledger) barrierOrder() Order {
	return Order{Kind: UnloadItem, Unload: core.UnloadOrder{Name: barrierName, Fence: l.nextFence()}}
}

// needsBarrier reports whether a lost order would be ruled out by a larger fencing
// number that the engine hasn't accepted yet.
func (l *Ledger) needsBarrier() bool {
	for _, g := range l.lost {
		if l.acceptedFence <= g.fence {
			return true
		}
	}
	return false
}

func (l *Ledger) unloadOrder(it *item, now time.Time) (Order, bool) {
	if it.phase != unloading || now.Before(it.nextSend) || len(l.adaptersOf(it.name)) > 0 {
		return Order{}, false
	}
	it.sent = true
	it.answered = false
	return Order{Kind: UnloadItem, Unload: core.UnloadOrder{Name: it.name, Fence: l.nextFence()}}, true
}

func (l *Ledger) loadOrder(it *item, now time.Time) (Order, bool) {
	due := it.phase == queued || it.phase == ordered && !it.answered
	if !due || now.Before(it.nextSend) || !l.baseLoaded(it) {
		return Order{}, false
	}
	it.enter(ordered, now)
	it.sent = true
	it.loadStep = l.step + 1
	return Order{Kind: LoadItem, Load: core.LoadOrder{
		Name: it.name, Base: it.base, Fence: l.nextFence(), Accelerators: it.accelerators,
		Bytes: it.bytes, Source: it.source, GiveUp: it.giveUp,
	}}, true
}

func (l *Ledger) nextFence() core.Fence {
	l.lastFence++
	return l.lastFence
}

// Answer records the reply to the order that Next returned last.
func (l *Ledger) Answer(now time.Time, r Reply) {
	o := l.inFlight
	if o.Kind == NoOrder {
		return
	}
	l.step++
	l.inFlight = Order{}
	if r.Failed && r.Fault == core.EngineStale {
		// Numbers only grow and orders are sent one at a time, so a larger number comes
		// from another agent.
		l.superseded = true
		return
	}
	if !r.Failed {
		l.acceptedFence = o.fence()
		l.acceptedStep = l.step
	}
	if o.name() == barrierName {
		l.answerBarrier(now, r)
		return
	}
	if r.Failed && r.Fault == core.EngineLost {
		l.lost = append(l.lost, lostOrder{
			name: o.name(), load: o.Kind == LoadItem, fence: o.fence(), expires: now.Add(MaxOrderDelay),
		})
	}
	it := l.items[o.name()]
	if it == nil {
		return
	}
	it.nextSend = now.Add(ResendInterval)
	if o.Kind == LoadItem {
		it.loadStep = l.step
	}
	if !r.Failed {
		it.answered = true
		return
	}
	l.answerFailed(now, it, o, r.Fault)
}

func (l *Ledger) answerBarrier(now time.Time, r Reply) {
	l.nextBarrier = now.Add(ResendInterval)
	if !r.Failed || l.confirmed {
		return
	}
	if r.Fault == core.EngineLost {
		// The engine may have accepted the order; the next report then shows the number.
		// If the order were counted as one without effect, an engine whose answers are
		// lost would never be ordered anything.
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
		it.nextSend = now.Add(ResendInterval)
		return
	}
	// The engine refused the order, so it loaded nothing.
	if !it.reported {
		l.releaseReservation(it, now)
	}
}
