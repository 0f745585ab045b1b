package copies

import (
	"slices"
	"time"

	"radishwell/core"
)

const (
	// fullSpeed is by how much longer than alone a load may take and count as one at full
	// speed, and sharedSpeed from where on it counts as one that shared the store's.
	fullSpeed   = 1.15
	sharedSpeed = 1.3
	// sharedRounds is how many times as many loads as are allowed at once have to be at full
	// speed before one more is tried, once loads were seen to share.
	sharedRounds = 3
	// mostWidth bounds the loads at once that are tried.
	mostWidth = 64
)

// Width finds out how many loads the weight store serves at once at full speed.
//
// It answers the load of several models that are waited for while the store serves fewer
// at once than are ordered: each then takes as many times as long, and the first is there
// no sooner than the last. Loads one after another would have the first there in its own
// time. A store that serves more than are ordered stands half idle.
//
// Set First before use. The zero Width takes the store to serve one load at once.
type Width struct {
	// First is what is assumed before any load was seen.
	First float64

	value float64
	// shared tells that loads were seen to share the store's speed, so that it is near.
	shared bool
	// full counts the loads at full speed beside as many as are allowed.
	full  float64
	loads map[core.HostName]*seenLoad
	at    time.Time
}

// seenLoad is a load from the weight store that has been followed from its beginning.
type seenLoad struct {
	model core.ModelName
	began time.Time
	alone time.Duration
	// share is the part of the store that the load had, summed over time, if all loads
	// had equal parts.
	share time.Duration
}

// Value returns how many loads may run at once.
func (w *Width) Value() int { return max(1, int(w.value+0.5)) }

// Learn takes over what another process found out.
func (w *Width) Learn(value float64) {
	if value >= 1 {
		w.value = min(value, mostWidth)
	}
}

// Note takes in which loads are in progress. Those that are in progress at the first call
// began at a time that is not known, and are not measured.
func (w *Width) Note(now time.Time, hosts []*Host, alone func(core.ModelName) time.Duration) {
	if w.value == 0 {
		w.value = max(1, w.First)
	}
	first := w.at.IsZero()
	w.pass(now)
	old := w.loads
	w.loads = map[core.HostName]*seenLoad{}
	for _, h := range hosts {
		l := old[h.ID]
		switch {
		case h.Loading != "" && h.Near(h.Loading) == core.TierStore:
			if l == nil || l.model != h.Loading {
				l = &seenLoad{model: h.Loading, alone: alone(h.Loading)}
				if !first && l.alone > 0 {
					l.began = now
				}
			}
			w.loads[h.ID] = l
			w.slow(now, l)
		case l != nil && slices.Contains(h.Held, l.model):
			w.done(now, l)
		}
	}
}

// due returns when a load from the store should be done at the speed that was found out;
// the zero time where that is not known.
func (w *Width) due(now time.Time, host core.HostName) time.Time {
	l := w.loads[host]
	if l == nil || l.began.IsZero() {
		return time.Time{}
	}
	done := min(now.Sub(l.began), time.Duration(float64(l.share)*w.value))
	left := max(0, l.alone-done)
	return now.Add(time.Duration(float64(left) * max(1, float64(len(w.loads))/w.value)))
}

// pass lets time pass for the loads in progress.
func (w *Width) pass(now time.Time) {
	if passed := now.Sub(w.at); !w.at.IsZero() && passed > 0 {
		for _, l := range w.loads {
			l.share += passed / time.Duration(len(w.loads))
		}
	}
	w.at = now
}

// slow lowers the width while a load takes longer than it would with the store's speed
// at that width.
func (w *Width) slow(now time.Time, l *seenLoad) {
	if l.began.IsZero() || l.share <= 0 || float64(now.Sub(l.began)) < sharedSpeed*float64(l.alone) {
		return
	}
	if most := float64(l.alone) / float64(l.share); most < w.value {
		w.set(most)
		w.shared = true
	}
}

// done measures a load that has ended. One at full speed beside as many others as are
// allowed shows that there may be more.
func (w *Width) done(now time.Time, l *seenLoad) {
	took := now.Sub(l.began)
	if l.began.IsZero() || l.share <= 0 || float64(took) > fullSpeed*float64(l.alone) {
		return
	}
	beside := float64(took) / float64(l.share)
	if beside < w.value-0.5 {
		return
	}
	w.full++
	switch {
	case w.shared && w.full >= sharedRounds*w.value:
		w.set(w.value + 1)
	case !w.shared && w.full >= w.value:
		w.set(2 * w.value)
	}
}

func (w *Width) set(value float64) { w.value, w.full = min(mostWidth, max(1, value)), 0 }
