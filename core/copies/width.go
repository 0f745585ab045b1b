package copies

import (
	"slices"
	"time"

	"radishwell/core"
)

const (
	// fullSpeed is the highest ratio of a load's duration to its duration alone at which it
	// counts as a load at full speed. From sharedSpeed on it counts as one that shared the
	// store's speed with others.
	fullSpeed   = 1.15
	sharedSpeed = 1.3
	// sharedRounds is the number of full-speed loads, as a multiple of the width, that are
	// required to try one more at once after loads were seen to share the store's speed.
	sharedRounds = 3
	// maxWidth is the largest width that is tried.
	maxWidth = 64
)

// Width estimates how many loads the weight store serves at once at full speed.
//
// With more loads at once than that, each load slows down in proportion, and the first one
// is ready no sooner than the last; one after another, the first would be ready in its time
// alone. With fewer, the store is partly idle.
//
// Set First before use. The zero Width assumes that the store serves one load at once.
type Width struct {
	// First is the assumed width until a load has been measured.
	First float64

	value float64
	// shared is set if loads were seen to share the store's speed, so that the estimate is
	// close.
	shared bool
	// full counts the full-speed loads during which about as many loads ran as the width
	// allows. Each call of set starts it again.
	full  float64
	loads map[core.HostName]*observedLoad
	// notedAt is when Note was last called.
	notedAt time.Time
}

// observedLoad is a load from the weight store.
type observedLoad struct {
	model core.ModelName
	// began is zero if the load was under way when it was first seen.
	began time.Time
	// alone is how long the load takes if no other runs.
	alone time.Duration
	// storeTime is the load's share of the store's time, if all loads at each moment had
	// equal shares.
	storeTime time.Duration
}

// Value returns how many loads may run at once.
func (w *Width) Value() int { return max(1, int(w.value+0.5)) }

// Adopt adopts the width that another process measured.
func (w *Width) Adopt(value float64) {
	if value >= 1 {
		w.value = min(value, maxWidth)
	}
}

// Note updates the estimate with the loads that are in progress. Those in progress at the
// first call began at an unknown time and are not measured.
func (w *Width) Note(now time.Time, hosts []*Host, alone func(core.ModelName) time.Duration) {
	if w.value == 0 {
		w.value = max(1, w.First)
	}
	first := w.notedAt.IsZero()
	w.advance(now)
	old := w.loads
	w.loads = map[core.HostName]*observedLoad{}
	for _, h := range hosts {
		l := old[h.ID]
		switch {
		case h.Loading != "" && h.Near(h.Loading) == core.TierStore:
			if l == nil || l.model != h.Loading {
				l = &observedLoad{model: h.Loading, alone: alone(h.Loading)}
				if !first && l.alone > 0 {
					l.began = now
				}
			}
			w.loads[h.ID] = l
			w.lowerIfSlow(now, l)
		case l != nil && slices.Contains(h.Held, l.model):
			w.finish(now, l)
		}
	}
}

// due returns when a load from the store should be done at the measured speed, the zero
// time if that is unknown.
func (w *Width) due(now time.Time, host core.HostName) time.Time {
	l := w.loads[host]
	if l == nil || l.began.IsZero() {
		return time.Time{}
	}
	done := min(now.Sub(l.began), time.Duration(float64(l.storeTime)*w.value))
	left := max(0, l.alone-done)
	return now.Add(time.Duration(float64(left) * max(1, float64(len(w.loads))/w.value)))
}

// advance credits the loads in progress with their shares of the time since the last call.
func (w *Width) advance(now time.Time) {
	if passed := now.Sub(w.notedAt); !w.notedAt.IsZero() && passed > 0 {
		for _, l := range w.loads {
			l.storeTime += passed / time.Duration(len(w.loads))
		}
	}
	w.notedAt = now
}

// lowerIfSlow lowers the width when a load takes longer than it would if the store had the
// speed of that width.
func (w *Width) lowerIfSlow(now time.Time, l *observedLoad) {
	if l.began.IsZero() || l.storeTime <= 0 || float64(now.Sub(l.began)) < sharedSpeed*float64(l.alone) {
		return
	}
	if most := float64(l.alone) / float64(l.storeTime); most < w.value {
		w.set(most)
		w.shared = true
	}
}

// finish measures a load that has ended. A full-speed load during which about as many loads
// ran as the width allows is evidence for a larger width.
func (w *Width) finish(now time.Time, l *observedLoad) {
	took := now.Sub(l.began)
	if l.began.IsZero() || l.storeTime <= 0 || float64(took) > fullSpeed*float64(l.alone) {
		return
	}
	concurrent := float64(took) / float64(l.storeTime)
	if concurrent < w.value-0.5 {
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

func (w *Width) set(value float64) { w.value, w.full = min(maxWidth, max(1, value)), 0 }
