package member

import (
	"cmp"
	"slices"
	"time"

	"radishwell/core"
)

// Judge returns the state of a host. An unknown host is live.
func (t *Table) Judge(now time.Time, name core.HostName) Verdict {
	h := t.hosts[name]
	if h == nil {
		return Verdict{State: Live, Reason: Unremarkable}
	}
	if h.listed == core.HostGone {
		return Verdict{State: Gone, Reason: NotListed}
	}
	if v, ok := h.leavingVerdict(now); ok {
		return v
	}
	switch {
	case h.failing:
		return Verdict{State: Suspect, Reason: Failing}
	case now.Before(h.holdUntil) && h.failureLevel > 1:
		return Verdict{State: Suspect, Reason: HeldBack, Until: h.holdUntil}
	}
	return Verdict{State: Live, Reason: Unremarkable}
}

// leavingVerdict reports whether the current incarnation of the host's process is
// leaving, and why. While the incarnation is unknown, a mark of any incarnation
// counts.
func (h *host) leavingVerdict(now time.Time) (Verdict, bool) {
	if h.listed == core.HostLeaving {
		return Verdict{State: Leaving, Reason: ListedLeaving}, true
	}
	if h.leavingIncarnation != 0 && h.leavingIncarnation == h.incarnation {
		return Verdict{State: Leaving, Reason: SaidLeaving}, true
	}
	until := h.leavingMarks[h.incarnation]
	if h.incarnation == 0 {
		for _, expires := range h.leavingMarks {
			if expires.After(until) {
				until = expires
			}
		}
	}
	return Verdict{State: Leaving, Reason: MarkedLeaving, Until: until}, until.After(now)
}

// Choose returns those of the named hosts that may get work now: the live ones in
// the given order or, if there are none, the suspects, the one with the oldest
// failure first. So a model whose holders are all in the lost half of a data
// centre is still tried on the host that may recover first.
func (t *Table) Choose(now time.Time, names []core.HostName) []core.HostName {
	var live, suspects []core.HostName
	for _, name := range names {
		switch t.Judge(now, name).State {
		case Live:
			live = append(live, name)
		case Suspect:
			suspects = append(suspects, name)
		}
	}
	if len(live) > 0 {
		return live
	}
	slices.SortStableFunc(suspects, func(a, b core.HostName) int {
		return cmp.Or(t.hosts[a].lastFailure.Compare(t.hosts[b].lastFailure), cmp.Compare(a, b))
	})
	return suspects
}

// DueProbes returns the sorted names of the hosts to probe now: suspects whose
// hold has passed, and hosts that are leaving, whose process may have been
// replaced. It counts them as probed. The result of each probe must be passed to
// RecordContact.
func (t *Table) DueProbes(now time.Time) []core.HostName {
	var due []core.HostName
	for name, h := range t.hosts {
		period, ok := h.probeInterval(now)
		if !ok || now.Before(h.probeAt) {
			continue
		}
		h.probeAt = now.Add(period)
		due = append(due, name)
	}
	slices.Sort(due)
	return due
}

// probeInterval returns how often a host is to be probed, and false if it is not.
func (h *host) probeInterval(now time.Time) (time.Duration, bool) {
	if h.listed == core.HostGone || h.listed == core.HostLeaving {
		return 0, false
	}
	if _, leaving := h.leavingVerdict(now); leaving {
		return leavingProbeInterval, true
	}
	return holdTime(max(1, h.failureLevel)), h.failing
}
