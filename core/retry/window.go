package retry

import "time"

// windowBuckets is the number of buckets into which a Window divides its span.
const windowBuckets = 20

// Window is a retry budget over a sliding window: a ratio of the first attempts
// in the window plus a fixed number. Without a budget, requests that fail
// together are each sent several times, and the repeats take up the remaining
// capacity of the upstream. A platform that counts the retries of all processes
// together gives each process a part of the fixed number.
//
// The exported fields are set before use. A Window is not safe for concurrent
// use.
type Window struct {
	// Ratio is the number of retries per first attempt, and Spare the fixed
	// number of further retries.
	Ratio, Spare float64
	// Span is the length of the window.
	Span time.Duration

	attempts, retries [windowBuckets]float64
	// newest is the number of the newest bucket, counted from the Unix epoch.
	newest int64
}

// RecordFirst records a first attempt.
func (w *Window) RecordFirst(now time.Time) { w.attempts[w.advance(now)]++ }

// Take takes one retry from the budget and reports whether there was one.
func (w *Window) Take(now time.Time) bool {
	i := w.advance(now)
	if w.Remaining(now) < 1 {
		return false
	}
	w.retries[i]++
	return true
}

// Remaining returns the number of retries that the budget allows now.
func (w *Window) Remaining(now time.Time) float64 {
	w.advance(now)
	attempts, retries := 0.0, 0.0
	for i := range windowBuckets {
		attempts += w.attempts[i]
		retries += w.retries[i]
	}
	return w.Ratio*attempts + w.Spare - retries
}

// advance empties the buckets that have left the window and returns the index
// of the newest one.
func (w *Window) advance(now time.Time) int {
	bucket := now.UnixNano() / int64(w.Span/windowBuckets)
	for n := 0; w.newest < bucket && n < windowBuckets; n++ {
		w.newest++
		w.attempts[w.newest%windowBuckets], w.retries[w.newest%windowBuckets] = 0, 0
	}
	w.newest = max(w.newest, bucket)
	return int(w.newest % windowBuckets)
}
