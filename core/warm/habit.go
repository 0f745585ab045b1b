package warm

import (
	"math"
	"time"
)

const (
	// gapBins is the number of histogram bins for the times between uses. Their bounds are
	// powers of the square root of two from one second up to eighteen hours. Longer gaps
	// are covered by the times of day.
	gapBins = 32
	// slotTime is the length of a slot of the day. The start of an evening session varies
	// by a quarter of an hour, and a model that is loaded too early is idle for no longer
	// than that.
	slotTime = 15 * time.Minute
	daySlots = int(24 * time.Hour / slotTime)
	// dayKinds is the number of kinds of days: working days and weekends.
	dayKinds = 2
	// dayDecay is the factor by which the weight of earlier observations shrinks each day.
	dayDecay = 0.8
	// gapDecay is the factor by which the weight of earlier gaps shrinks with each new one,
	// so that about the last hundred count. With the last thirty, the few long gaps among
	// them are too uneven a sample: the generated trace replay.Evenings of core/replay cost
	// 6% more.
	gapDecay = 0.99
	// priorGaps is the weight of the prior: once so many gaps have been seen, half of the
	// decision depends on them. Without it, one short gap would make the model be kept as
	// if all gaps were short.
	priorGaps = 3.0
	// priorDays is the same for days. Two evenings in a row justify a quarter of an hour of
	// an accelerator, one does not.
	priorDays = 1.0
)

// habit holds the statistics of one model's arrivals.
type habit struct {
	// gaps are the decayed counts of times between uses, and beyondLast is that of gaps
	// beyond the last bin.
	gaps       [gapBins]float32
	beyondLast float32
	// slots are the decayed counts of days on which a use began in a slot, and days are
	// those of all days, by kind of day.
	slots [dayKinds][daySlots]float32
	days  [dayKinds]float32
	// lastDay is the last day that days includes, and lastSlot is the last slot counted,
	// both since the Unix epoch.
	lastDay  int64
	lastSlot int64
}

// binOf returns the bin of a gap, gapBins if it is beyond the last bin.
func binOf(gap time.Duration) int {
	if gap <= time.Second {
		return 0
	}
	return min(gapBins, int(2*math.Log2(gap.Seconds())))
}

// binEnds are the upper bounds of the bins in seconds.
var binEnds = func() (ends [gapBins]float64) {
	for b := range ends {
		ends[b] = math.Exp2(float64(b+1) / 2)
	}
	return ends
}()

// recordGap counts a time between uses.
func (h *habit) recordGap(gap time.Duration) {
	for i := range h.gaps {
		h.gaps[i] *= gapDecay
	}
	h.beyondLast *= gapDecay
	if b := binOf(gap); b < gapBins {
		h.gaps[b]++
		return
	}
	h.beyondLast++
}

// slotOf returns the slot of a time since the Unix epoch, its kind of day and its index in
// the day. Days are in UTC. A change to or from daylight saving time moves habits by an
// hour, to which the decaying counts adapt within days.
func slotOf(at time.Time) (slot int64, kind, index int) {
	slot = at.Unix() / int64(slotTime/time.Second)
	if d := at.UTC().Weekday(); d == time.Saturday || d == time.Sunday {
		kind = 1
	}
	return slot, kind, int(slot % int64(daySlots))
}

// advanceDays applies the decay for each day that has begun since the last call to the
// counts for its kind of day.
func (h *habit) advanceDays(at time.Time) {
	day := at.Unix() / int64(24*time.Hour/time.Second)
	if h.lastDay == 0 {
		h.lastDay = day - 1
	}
	// For a model without a call for weeks, earlier days no longer have any weight.
	for first := max(h.lastDay+1, day-60); first <= day; first++ {
		_, kind, _ := slotOf(time.Unix(first*int64(24*time.Hour/time.Second), 0))
		for i := range h.slots[kind] {
			h.slots[kind][i] *= dayDecay
		}
		h.days[kind] = h.days[kind]*dayDecay + 1
	}
	h.lastDay = day
}

// recordUse counts the beginning of a use in its slot of the day, once per slot.
func (h *habit) recordUse(at time.Time) {
	h.advanceDays(at)
	slot, kind, index := slotOf(at)
	if slot == h.lastSlot {
		return
	}
	h.lastSlot = slot
	h.slots[kind][index]++
}

// probability returns the probability that a use begins in a slot.
func (h *habit) probability(kind, index int) float64 {
	return min(1, float64(h.slots[kind][index])/(float64(h.days[kind])+priorDays))
}
