package member

import (
	"cmp"
	"slices"
	"time"

	"radishwell/core"
)

// Judge returns what a host may be used for. A host that nothing is known of is
// live.
func (t *Table) Judge(now time.Time, name core.HostName) Verdict {
	h := t.hosts[name]
	if h == nil {
		return Verdict{State: Live, Reason: Unremarkable}
	}
	if h.listed == core.HostGone {
		return Verdict{State: Gone, Reason: NotListed}
	}
	if v, ok := h.leaving(now); ok {
		return v
	}
	switch {
	case h.failing:
		return Verdict{State: Suspect, Reason: Failing}
	case now.Before(h.holdUntil) && h.level > 1:
		return Verdict{State: Suspect, Reason: HeldBack, Until: h.holdUntil}
	}
	return Verdict{State: Live, Reason: Unremarkable}
}

// leaving tells whether the present life of the host's process is leaving. Of a
// process that was never heard of any mark may be meant.
func (h *host) leaving(now time.Time) (Verdict, bool) {
	if h.listed == core.HostLeaving {
		return Verdict{State: Leaving, Reason: ListedLeaving}, true
	}
	if h.saidLeaving != 0 && h.saidLeaving == h.incarnation {
		return Verdict{State: Leaving, Reason: SaidLeaving}, true
	}
	until := h.marks[h.incarnation]
	if h.incarnation == 0 {
		for _, expires := range h.marks {
			if expires.After(until) {
				until = expires
			}
		}
	}
	return Verdict{State: Leaving, Reason: MarkedLeaving, Until: until}, until.After(now)
}

// Choose returns those of the named hosts that may get work now: the live ones
// in the order given or, where there is none, the suspects, the one whose
// failure is longest ago first. So a model whose holders all lie in the lost
// half of a data centre is still tried where it may work again soonest.
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
		return cmp.Or(t.hosts[a].failedAt.Compare(t.hosts[b].failedAt), cmp.Compare(a, b))
	})
	return suspects
}

// Due returns, in the order of their names, the hosts that are to be probed
// now: suspects after their time, and hosts that said they were leaving, whose
// place another life may have taken. It counts them as probed; the outcome of
// each is to be given to Note.
func (t *Table) Due(now time.Time) []core.HostName {
	var due []core.HostName
	for name, h := range t.hosts {
		period, ok := h.probePeriod(now)
		if !ok || now.Before(h.probeAt) {
			continue
		}
		h.probeAt = now.Add(period)
		due = append(due, name)
	}
	slices.Sort(due)
	return due
}

// probePeriod returns how often a host is to be probed, if at all.
func (h *host) probePeriod(now time.Time) (time.Duration, bool) {
	if h.listed == core.HostGone || h.listed == core.HostLeaving {
		return 0, false
	}
	if _, leaving := h.leaving(now); leaving {
		return leavingProbe, true
	}
	return holdOf(max(1, h.level)), h.failing
}
