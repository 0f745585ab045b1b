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
	// runs are when the hosts run again that retries are held for.
	runs map[core.HostName]time.Time
}

func entryName(n int) core.HostName { return core.HostName("edge-" + strconv.Itoa(n)) }

func newEntryBudget(_ time.Time, name int, b bound) entryBudget {
	w := &windowBudget{spare: retry.Spare{Span: b.span}, share: share.Share{Self: entryName(name), Whole: b.spare}}
	w.Window = retry.Window{Ratio: b.ratio, Span: b.span, Spare: &w.spare}
	return w
}

func (w *windowBudget) recordFirst(now, sent time.Time) { w.RecordFirst(now, sent) }
func (w *windowBudget) settle(now time.Time)            { w.Settle(now) }
func (w *windowBudget) lose(now time.Time)              { w.Lose(now) }

func (w *windowBudget) abandon(now time.Time, own bool, runs time.Time) {
	if !own {
		w.Charge()
	}
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

func (w *windowBudget) take(now time.Time) (ok, own bool) {
	w.release(now)
	w.spare.Set(now, w.share.Part(now))
	if w.Take(now) {
		return true, true
	}
	return w.loans.Take(now), false
}

func (w *windowBudget) ask(now time.Time) int { return w.loans.Ask(now) }

func (w *windowBudget) lend(now time.Time, n int) int {
	w.release(now)
	w.spare.Set(now, w.share.Part(now))
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
	w.spare.Set(now, w.share.Part(now))
}
