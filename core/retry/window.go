package retry

import "time"

// windowSlots is how finely a Window keeps its past.
const windowSlots = 20

// Window is a retry budget over a sliding time: a ratio of the first
// attempts in it and a fixed number besides. It answers the load in which many
// requests fail together: without it each is sent several times, and what is
// left of the upstream drowns in repeats. Platforms that count the retries of
// all processes together give each a part of the fixed number.
//
// Set the exported fields before use. It is not safe for use by several
// goroutines.
type Window struct {
	// Ratio is retries for each first attempt, Spare the retries beyond.
	Ratio, Spare float64
	// Span is the time that slides.
	Span time.Duration

	firsts, repeats [windowSlots]float64
	// slot is the number of the newest slot, counted from the zero time.
	slot int64
}

// First notes a first attempt.
func (w *Window) First(now time.Time) { w.firsts[w.turn(now)]++ }

// Draw takes one retry from the budget, and tells whether it had one.
func (w *Window) Draw(now time.Time) bool {
	i := w.turn(now)
	if w.Left(now) < 1 {
		return false
	}
	w.repeats[i]++
	return true
}

// Left returns the retries that may still be made now.
func (w *Window) Left(now time.Time) float64 {
	w.turn(now)
	firsts, repeats := 0.0, 0.0
	for i := range windowSlots {
		firsts += w.firsts[i]
		repeats += w.repeats[i]
	}
	return w.Ratio*firsts + w.Spare - repeats
}

// turn empties the slots that have left the window and returns the newest.
func (w *Window) turn(now time.Time) int {
	slot := now.UnixNano() / int64(w.Span/windowSlots)
	for n := 0; w.slot < slot && n < windowSlots; n++ {
		w.slot++
		w.firsts[w.slot%windowSlots], w.repeats[w.slot%windowSlots] = 0, 0
	}
	w.slot = max(w.slot, slot)
	return int(w.slot % windowSlots)
}
