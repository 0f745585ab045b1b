package retry

import "time"

const (
	// windowBuckets is the number of buckets into which a Window divides its span.
	windowBuckets = 20
	// retryBuckets is the number of buckets over which retries count: the span, the bucket in
	// progress, and the time from when a retry is taken until it arrives at its upstream, which
	// may be that of a connection and of loading an adapter.
	retryBuckets = windowBuckets + 1 + windowBuckets/4
)

// Window is a retry budget over a sliding window: a ratio of the first attempts
// in the window plus a fixed number. Without a budget, requests that fail
// together are each sent several times, and the repeats take up the remaining
// capacity of the upstream. A platform that counts the retries of all processes
// together gives each process a part of the fixed number.
//
// No span of that length at the upstreams has more retries than the budget: a retry counts for
// a quarter of the span longer than a first attempt.
//
// The exported fields are set before use. A Window is not safe for concurrent
// use.
type Window struct {
	// Ratio is the number of retries per first attempt, and Spare the fixed
	// number of further retries.
	Ratio, Spare float64
	// Span is the length of the window.
	Span time.Duration
	// SpareFrom is when Spare begins to apply. A process that has just started does not know
	// what its predecessor spent, so for one Span it has only what its own requests earn.
	SpareFrom time.Time

	attempts [windowBuckets]float64
	retries  [retryBuckets]float64
	// newest is the number of the newest bucket, counted from the Unix epoch.
	newest int64
}

// RecordFirst records a first attempt.
func (w *Window) RecordFirst(now time.Time) {
	w.advance(now)
	w.attempts[w.newest%windowBuckets]++
}

// Take takes one retry from the budget and reports whether there was one.
func (w *Window) Take(now time.Time) bool {
	if w.Remaining(now) < 1 {
		return false
	}
	w.retries[w.newest%retryBuckets]++
	return true
}

// Remaining returns the number of retries that the budget allows now.
func (w *Window) Remaining(now time.Time) float64 {
	f := w.Figures(now)
	return w.Ratio*f.Attempts + f.Spare - f.Retries
}

// Figures are what a budget is made of at one moment: the first attempts and the retries that
// count in its window, and the further retries that it allows.
type Figures struct{ Attempts, Retries, Spare float64 }

// Figures returns what the budget is made of now.
func (w *Window) Figures(now time.Time) Figures {
	w.advance(now)
	f := Figures{Spare: w.Spare}
	if now.Before(w.SpareFrom) {
		f.Spare = 0
	}
	for _, n := range w.attempts {
		f.Attempts += n
	}
	for _, n := range w.retries {
		f.Retries += n
	}
	return f
}

// advance empties the buckets that have left the window.
func (w *Window) advance(now time.Time) {
	bucket := now.UnixNano() / int64(w.Span/windowBuckets)
	for n := 0; w.newest < bucket && n < retryBuckets; n++ {
		w.newest++
		w.attempts[w.newest%windowBuckets], w.retries[w.newest%retryBuckets] = 0, 0
	}
	w.newest = max(w.newest, bucket)
}
