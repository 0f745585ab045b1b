package ledger

import (
	"slices"
	"time"

	"radishwell/core"
)

// Ticket belongs to one call for the engine's state. A report proves an item
// absent only if it was asked for after the orders for it were answered.
type Ticket struct {
	number uint64
	step   uint64
	asked  time.Time
}

// Ask must be called right before the engine is asked for its state. Only the
// newest ticket's report is taken, so that reports are taken in the order in
// which the engine made them.
func (l *Ledger) Ask(now time.Time) Ticket {
	l.ticket++
	l.step++
	return Ticket{number: l.ticket, step: l.step, asked: now}
}

// Report takes the engine's state. It returns false for one that is ignored
// because a newer one was asked for.
func (l *Ledger) Report(now time.Time, t Ticket, st core.EngineState) bool {
	if t.number != l.ticket {
		return false
	}
	l.begin(st)
	if l.fenced {
		return true
	}
	restarted := l.seen && st.Epoch != l.epoch
	l.capacity = slices.Clone(st.Capacity)
	l.epoch = st.Epoch
	l.seen = true
	if restarted {
		l.restart(st)
	}
	l.listen(t, st)
	l.settle(t, st)
	l.compare(now, t, st)
	l.confirm(t, st)
	return true
}

// begin sets the fencing number at the first report and finds out at each
// whether another agent has given a larger one.
func (l *Ledger) begin(st core.EngineState) {
	if l.items == nil {
		l.items = map[core.ModelName]*item{}
	}
	if !l.seen {
		start := core.Fence(max(l.Started.Unix(), 0))
		l.fence = max(st.Fence>>fenceShift+1, start) << fenceShift
		return
	}
	if l.checks() && st.Fence > l.fence {
		l.fenced = true
	}
}

// restart handles an engine process that is another than before. Its items are
// compared as always; requests that were in the old one are over, and a number
// that it has forgotten must be raised again before anything is ordered.
func (l *Ledger) restart(st core.EngineState) {
	l.taken = 0
	for _, it := range l.items {
		it.users = 0
		l.lives++
		it.life = l.lives
	}
	if l.checks() && st.Fence < l.barrier {
		l.confirmed = false
		l.barrier = 0
	}
}

// listen finds out that an engine takes orders but doesn't show their numbers.
// It can't be relied on to check them, and is treated as one that does not.
func (l *Ledger) listen(t Ticket, st core.EngineState) {
	if l.takenAt < t.step && st.Fence < l.taken {
		l.ignores = true
	}
}

// settle drops lost orders that can no longer reach the engine, or that it
// would refuse, since before the report was made. So the report shows whatever
// they have done.
func (l *Ledger) settle(t Ticket, st core.EngineState) {
	if l.checks() {
		l.dropLost(func(g lostOrder) bool { return st.Fence > g.fence })
		return
	}
	l.dropLost(func(g lostOrder) bool { return !t.asked.Before(g.until) })
}

func (l *Ledger) dropLost(over func(lostOrder) bool) {
	l.lost = slices.DeleteFunc(l.lost, over)
}

// confirm tells when orders may begin. With an engine that checks numbers: once
// it shows ours, so that a predecessor's late order is refused. With others:
// once a report was asked for after the time in which a late order could still
// reach the engine.
func (l *Ledger) confirm(t Ticket, st core.EngineState) {
	switch {
	case l.confirmed:
	case l.checks():
		l.confirmed = l.barrier != 0 && st.Fence >= l.barrier
	default:
		l.confirmed = !t.asked.Before(l.Started.Add(Settle))
	}
}

func (l *Ledger) compare(now time.Time, t Ticket, st core.EngineState) {
	for _, it := range l.items {
		it.shown = false
	}
	for _, e := range st.Items {
		if e.State != core.Absent {
			l.show(now, e)
		}
	}
	for _, it := range l.sorted() {
		if !it.shown {
			l.missing(now, t, it)
		}
	}
}

// show takes an item that the engine has. One that the ledger didn't know is
// counted at once, whoever ordered it.
func (l *Ledger) show(now time.Time, e core.EngineItem) {
	it := l.items[e.Name]
	if it == nil {
		l.lives++
		it = &item{name: e.Name, life: l.lives, since: now, used: now, phase: loading}
		l.items[e.Name] = it
	}
	it.shown = true
	it.base = e.Base
	it.accs = slices.Clone(e.Accelerators)
	it.bytes = max(it.bytes, e.Bytes)
	if it.phase == leaving {
		return
	}
	switch e.State {
	case core.Loading:
		it.enter(loading, now)
	case core.Loaded:
		if it.phase != loaded {
			it.used = now
		}
		it.enter(loaded, now)
	case core.Unloading:
		it.enter(leaving, now)
		it.sent = true
		it.again = now.Add(Resend)
	}
}

// missing decides about a promise that the engine doesn't show.
func (l *Ledger) missing(now time.Time, t Ticket, it *item) {
	switch {
	case it.phase == queued:
		return
	case l.out.name() == it.name:
		// The order under way may have been read after the report was made.
		return
	case it.loadAt > t.step:
		// The load order was sent or answered after the report was asked for.
		return
	case it.phase == ordered && !it.answered:
		// The answer was lost: the order is sent again until one is answered.
		return
	}
	it.users = 0
	l.giveBack(it, now)
}
