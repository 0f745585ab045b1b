package warm

import (
	"math"
	"time"
)

const (
	// gapBins are the bins of times between uses: powers of the square root of
	// two from one second, up to eighteen hours. Longer gaps are left to the
	// times of day.
	gapBins = 32
	// slotTime is the length of a slot of the day. A quarter of an hour is what
	// an evening session's beginning varies by, and the most that a model loaded
	// too early idles for nothing.
	slotTime = 15 * time.Minute
	daySlots = int(24 * time.Hour / slotTime)
	// dayKinds tells days of work from the other two.
	dayKinds = 2
	// forget is what a day leaves of the weight of what was seen before it.
	forget = 0.8
	// gapForget is what one more gap leaves of the weight of earlier ones: about
	// the last hundred count. With the last thirty, the few long gaps among them
	// are too uneven a sample: the treasurers' week cost 6% more.
	gapForget = 0.99
	// priorGaps is the weight of not knowing: with so many gaps seen, half of the
	// decision is theirs. Without it one short gap would have a model kept as if
	// all were short.
	priorGaps = 3.0
	// priorDays is the same for days. Two evenings in a row are a habit worth a
	// quarter of an hour of an accelerator, one is not.
	priorDays = 1.0
)

// habit is what has been seen of one model's arrivals.
type habit struct {
	// gaps are the decayed counts of times between uses, longer those that are
	// beyond the last bin.
	gaps   [gapBins]float32
	longer float32
	// slots are the decayed counts of days on which a use began in a slot, days
	// those of days seen at all, by kind of day.
	slots [dayKinds][daySlots]float32
	days  [dayKinds]float32
	// today is the day that days counts last, slot the last slot counted, both
	// since the epoch.
	today int64
	slot  int64
}

// binOf returns the bin of a gap, gapBins where it is beyond the last.
func binOf(gap time.Duration) int {
	if gap <= time.Second {
		return 0
	}
	return min(gapBins, int(2*math.Log2(gap.Seconds())))
}

// binEnds are the ends of the bins in seconds.
var binEnds = func() (ends [gapBins]float64) {
	for b := range ends {
		ends[b] = math.Exp2(float64(b+1) / 2)
	}
	return ends
}()

// sawGap counts a time between uses.
func (h *habit) sawGap(gap time.Duration) {
	for i := range h.gaps {
		h.gaps[i] *= gapForget
	}
	h.longer *= gapForget
	if b := binOf(gap); b < gapBins {
		h.gaps[b]++
		return
	}
	h.longer++
}

// slotOf returns the slot of a time since the epoch, its kind of day and its
// place in the day. Days are those of UTC: a shift of the clock moves habits by
// an hour, which forgetting follows within days.
func slotOf(at time.Time) (slot int64, kind, place int) {
	slot = at.Unix() / int64(slotTime/time.Second)
	if d := at.UTC().Weekday(); d == time.Saturday || d == time.Sunday {
		kind = 1
	}
	return slot, kind, int(slot % int64(daySlots))
}

// turnDay lets each day that has begun since the last look weigh on its kind.
func (h *habit) turnDay(at time.Time) {
	day := at.Unix() / int64(24*time.Hour/time.Second)
	if h.today == 0 {
		h.today = day - 1
	}
	// A model that was not looked at for weeks has nothing left to forget.
	for first := max(h.today+1, day-60); first <= day; first++ {
		_, kind, _ := slotOf(time.Unix(first*int64(24*time.Hour/time.Second), 0))
		for i := range h.slots[kind] {
			h.slots[kind][i] *= forget
		}
		h.days[kind] = h.days[kind]*forget + 1
	}
	h.today = day
}

// sawUse counts a use's beginning in its slot of the day, once.
func (h *habit) sawUse(at time.Time) {
	h.turnDay(at)
	slot, kind, place := slotOf(at)
	if slot == h.slot {
		return
	}
	h.slot = slot
	h.slots[kind][place]++
}

// chance is how likely a use begins in a slot.
func (h *habit) chance(kind, place int) float64 {
	return min(1, float64(h.slots[kind][place])/(float64(h.days[kind])+priorDays))
}
