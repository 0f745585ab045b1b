package retry_test

import (
	"strconv"
	"time"

	"radishwell/core"
	"radishwell/core/retry"
	"radishwell/core/share"
)

// windowBudget is an entry with a Window and a part of the spare retries.
type windowBudget struct {
	retry.Window
	spare retry.Spare
	share share.Share
	loans retry.Loans
	held  retry.Held
	gate  retry.Gate
	// readBy, if set, returns when hosts have read what was sent to them by a time.
	readBy func(sent time.Time) time.Time
	// runs are when the hosts run again that retries are held for.
	runs map[core.HostName]time.Time
}

func entryName(n int) core.HostName { return core.HostName("edge-" + strconv.Itoa(n)) }

func newEntryBudget(_ time.Time, name int, b bound) entryBudget {
	w := &windowBudget{spare: retry.Spare{Span: b.span}, share: share.Share{Self: entryName(name), Whole: b.spare}}
	w.Window = retry.Window{Ratio: b.ratio, Span: b.span, Spare: &w.spare}
	return w
}

func (w *windowBudget) recordFirst(now, sentSince time.Time) {
	if sentSince.IsZero() {
		w.RecordUnknown(now)
		return
	}
	w.RecordFirst(now, sentSince)
}

func (w *windowBudget) settle(now time.Time) { w.Settle(now) }
func (w *windowBudget) lose(now time.Time)   { w.Lose(now) }

func (w *windowBudget) abandon(now, runs time.Time) {
	if w.runs == nil {
		w.runs = map[core.HostName]time.Time{}
	}
	host := core.HostName("i-" + strconv.Itoa(len(w.runs)))
	w.runs[host] = runs
	w.held.Hold([]retry.Unread{{Host: host, Ended: now}})
}

func (w *windowBudget) release(now time.Time) {
	w.held.Release(now, &w.Window, func(u retry.Unread) bool { return now.After(w.runs[u.Host]) })
}

// updateSpare updates the part of the spare retries.
func (w *windowBudget) updateSpare(now time.Time) {
	w.spare.Set(now, w.gate.Part(now, w.share.Part(now), func(since time.Time) bool {
		return w.readBy == nil || now.After(w.readBy(since))
	}))
}

func (w *windowBudget) take(now time.Time) (ok, own bool) {
	w.release(now)
	w.updateSpare(now)
	switch {
	case w.Take(now):
		return true, true
	case w.loans.Left(now) > 0 && w.Charge(now):
		return w.loans.Take(now), false
	}
	return false, false
}

func (w *windowBudget) lentUntil() time.Time { return w.loans.Until() }

func (w *windowBudget) endLent(now, until time.Time, answered bool) {
	if answered {
		w.EndLent(now, until)
		return
	}
	w.Lose(now)
}

func (w *windowBudget) ask(now time.Time) int { return w.loans.Ask(now) }

func (w *windowBudget) lend(now time.Time, n int) int {
	w.release(now)
	w.updateSpare(now)
	return w.Lend(now, n)
}

func (w *windowBudget) borrow(now time.Time, lent int, asked time.Time) {
	w.loans.Add(now, lent, asked.Add(retry.LoanTime(w.Span)))
}

func (w *windowBudget) meet(now time.Time, listed []int, others map[int]entryBudget) {
	for _, n := range listed {
		w.share.Count(entryName(n))
	}
	w.share.List(now, false)
	for n, other := range others {
		other.(*windowBudget).share.Count(w.share.Self)
		w.share.Confirm(entryName(n))
	}
	w.updateSpare(now)
}
