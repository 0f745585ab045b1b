package ledger

import (
	"slices"
	"time"

	"radishwell/core"
)

// Ticket belongs to one request for the engine's state. A report proves an item
// absent only if it was requested after the orders for the item were answered.
type Ticket struct {
	number    uint64
	step      uint64
	requested time.Time
}

// NewTicket must be called right before the engine's state is requested. Only the
// report of the newest ticket is accepted, so that reports are processed in the
// order in which the engine made them.
func (l *Ledger) NewTicket(now time.Time) Ticket {
	l.lastTicket++
	l.step++
	return Ticket{number: l.lastTicket, step: l.step, requested: now}
}

// Report processes the engine's state. It returns false for a report that is
// ignored because a newer one was requested.
func (l *Ledger) Report(now time.Time, t Ticket, st core.EngineState) bool {
	if t.number != l.lastTicket {
		return false
	}
	l.checkFence(st)
	if l.superseded {
		return true
	}
	restarted := l.hasReport && st.Epoch != l.epoch
	l.capacity = slices.Clone(st.Capacity)
	l.epoch = st.Epoch
	l.hasReport = true
	if restarted {
		l.handleRestart(st)
	}
	l.detectIgnoredFence(t, st)
	l.dropExpiredOrders(t, st)
	l.updateItems(now, t, st)
	l.updateConfirmed(t, st)
	return true
}

// checkFence sets the first fencing number at the first report, and checks in each
// later report whether another agent has sent a larger one.
func (l *Ledger) checkFence(st core.EngineState) {
	if l.items == nil {
		l.items = map[core.ModelName]*item{}
	}
	if !l.hasReport {
		start := core.Fence(max(l.Started.Unix(), 0))
		l.lastFence = max(st.Fence>>fenceShift+1, start) << fenceShift
		return
	}
	if l.fenceChecked() && st.Fence > l.lastFence {
		l.superseded = true
	}
}

// handleRestart handles a new engine process. Its items are compared as always.
// Requests in the old process have ended, and a fencing number that the engine has
// forgotten must be raised again before anything is ordered.
func (l *Ledger) handleRestart(st core.EngineState) {
	l.acceptedFence = 0
	for _, it := range l.items {
		it.users = 0
		l.lastGeneration++
		it.generation = l.lastGeneration
	}
	if l.fenceChecked() && st.Fence < l.barrier {
		l.confirmed = false
		l.barrier = 0
	}
}

// detectIgnoredFence detects an engine that accepts orders but doesn't report
// their fencing numbers. It can't be relied on to check them, and is treated as
// one that does not.
func (l *Ledger) detectIgnoredFence(t Ticket, st core.EngineState) {
	if l.acceptedStep < t.step && st.Fence < l.acceptedFence {
		l.ignoresFence = true
	}
}

// dropExpiredOrders drops lost orders that could no longer take effect when the
// report was made: they can't reach the engine any more, or it would refuse them.
// The report shows whatever effect they had.
func (l *Ledger) dropExpiredOrders(t Ticket, st core.EngineState) {
	if l.fenceChecked() {
		l.dropLost(func(g lostOrder) bool { return st.Fence > g.fence })
		return
	}
	l.dropLost(func(g lostOrder) bool { return !t.requested.Before(g.expires) })
}

func (l *Ledger) dropLost(over func(lostOrder) bool) {
	l.lost = slices.DeleteFunc(l.lost, over)
}

// updateConfirmed decides whether orders may begin. An engine that checks numbers
// must report ours, so that it refuses late orders of a previous agent process.
// For other engines, a report must have been requested after the time in which a
// late order could still arrive.
func (l *Ledger) updateConfirmed(t Ticket, st core.EngineState) {
	switch {
	case l.confirmed:
	case l.fenceChecked():
		l.confirmed = l.barrier != 0 && st.Fence >= l.barrier
	default:
		l.confirmed = !t.requested.Before(l.Started.Add(MaxOrderDelay))
	}
}

func (l *Ledger) updateItems(now time.Time, t Ticket, st core.EngineState) {
	for _, it := range l.items {
		it.reported = false
	}
	for _, e := range st.Items {
		if e.State != core.Absent {
			l.updateItem(now, e)
		}
	}
	for _, it := range l.sortedItems() {
		if !it.reported {
			l.handleMissing(now, t, it)
		}
	}
}

// updateItem updates an item that the engine holds. An item that is new to the
// ledger counts at once, whoever ordered it.
func (l *Ledger) updateItem(now time.Time, e core.EngineItem) {
	it := l.items[e.Name]
	if it == nil {
		l.lastGeneration++
		it = &item{name: e.Name, generation: l.lastGeneration, since: now, lastUsed: now, phase: loading}
		l.items[e.Name] = it
	}
	it.reported = true
	it.base = e.Base
	it.accelerators = slices.Clone(e.Accelerators)
	it.bytes = max(it.bytes, e.Bytes)
	if it.phase == unloading {
		return
	}
	switch e.State {
	case core.Loading:
		it.enter(loading, now)
	case core.Loaded:
		if it.phase != loaded {
			it.lastUsed = now
		}
		it.enter(loaded, now)
	case core.Unloading:
		it.enter(unloading, now)
		it.sent = true
		it.nextSend = now.Add(ResendInterval)
	}
}

// handleMissing handles an item that the engine doesn't report.
func (l *Ledger) handleMissing(now time.Time, t Ticket, it *item) {
	switch {
	case it.phase == queued:
		return
	case l.inFlight.name() == it.name:
		// The engine may have received the order in flight after it made the report.
		return
	case it.loadStep > t.step:
		// The load order was sent or answered after the report was requested.
		return
	case it.phase == ordered && !it.answered:
		// The answer was lost. The order is sent again until one is answered.
		return
	}
	it.users = 0
	l.releaseReservation(it, now)
}
