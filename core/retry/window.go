package retry

import "time"

const (
	// windowBuckets is the number of buckets into which a Window divides its span.
	windowBuckets = 100
	// loanBuckets is the number of buckets within which a process sends the retries that another
	// lent it.
	loanBuckets = windowBuckets / 10
	// lateBuckets is how many buckets later than it was taken a retry without an answer may
	// arrive: half of the span after it was sent.
	lateBuckets = windowBuckets/2 + loanBuckets
	// attemptBuckets and retryBuckets are the numbers of buckets kept.
	attemptBuckets = 2 * windowBuckets
	retryBuckets   = windowBuckets + lateBuckets + 1
)

// Window is one process's part of a retry budget that a platform counts over all processes and in
// sliding windows: a ratio of the requests, and a fixed number. Without a budget, requests that fail
// together are each sent several times, and the repeats take up the remaining capacity of the
// upstream.
//
// The platform counts the requests of the window itself, or of the one before it if there are more.
// A Window uses half of each. The sum of the parts is then within the bound whichever requests came
// to which process and when, and a process that starts need not know what its predecessor used: that
// was paid from requests that the new one has not seen.
//
// A retry counts in all windows in which it may arrive: from when it is taken until it is settled, or
// for more than half of the span after it was lost. One whose host may not have read it is Held before.
// Until then it may arrive in a window that has no requests at all, so a process has no more of them
// than its part of the fixed number, whatever its requests have earned. What a process does not need it may
// lend, so that failures at few processes can use what is earned at all.
//
// The exported fields are set before use. A Window is not safe for concurrent use.
type Window struct {
	// Ratio is the number of retries per request over all processes.
	Ratio float64
	// Span is the length of the platform's window.
	Span time.Duration
	// Spare is this process's part of the fixed number, which several windows may share.
	Spare *Spare

	// attempts and retries are rings by bucket. A retry is in the bucket of the latest time at which
	// it can have arrived.
	attempts [attemptBuckets]float64
	retries  [retryBuckets]float64
	// unknown is a ring by bucket of the requests that pay none.
	unknown [attemptBuckets]float64
	// inFlight counts the retries that are neither settled nor lost.
	inFlight float64
	// newest is the number of the newest bucket, counted from the Unix epoch.
	newest int64
}

// RecordFirst records a request that is known to have been sent between a time and now.
func (w *Window) RecordFirst(now, sentSince time.Time) {
	w.advance(now)
	if at := w.bucket(sentSince); at > w.newest-attemptBuckets {
		w.attempts[min(at, w.newest)%attemptBuckets]++
		return
	}
	w.unknown[w.newest%attemptBuckets]++
}

// RecordUnknown records a request that may have been sent at any time. It pays no retries.
func (w *Window) RecordUnknown(now time.Time) {
	w.advance(now)
	w.unknown[w.newest%attemptBuckets]++
}

// Take takes one retry from the budget and reports whether there was one. Each retry that was taken
// is ended by one of Return, Settle and Lose.
func (w *Window) Take(now time.Time) bool {
	if w.Remaining(now) < 1 {
		return false
	}
	w.inFlight++
	return true
}

// Charge takes a retry that another process has lent, if this one may have one more in flight, and reports
// whether it may. It is ended as one that Take took.
func (w *Window) Charge(now time.Time) bool {
	if w.InFlightLeft(now) < 1 {
		return false
	}
	w.inFlight++
	return true
}

// InFlightLeft returns the number of further retries that may be neither settled nor lost: each of them may
// arrive in any later window, however few requests that has.
func (w *Window) InFlightLeft(now time.Time) float64 {
	w.Spare.advance(w.bucket(now))
	return w.Spare.later() - w.inFlight
}

// Return gives back a retry that was not sent, or that another process counts.
func (w *Window) Return(now time.Time) {
	w.advance(now)
	w.inFlight--
}

// Settle ends a retry that has arrived, since it was answered.
func (w *Window) Settle(now time.Time) { w.end(now, 0) }

// Lose ends a retry without an answer, which may yet arrive at a host that runs.
func (w *Window) Lose(now time.Time) { w.end(now, lateBuckets) }

// EndLent ends a retry that another process lent until a time, and that cannot arrive any more: the lender
// counts it until half of the span after that.
func (w *Window) EndLent(now, until time.Time) {
	if now.After(until.Add(w.Span / 2)) {
		w.Settle(now)
		return
	}
	w.Return(now)
}

// Lend takes up to n retries, but no more than half of what is left, for another process, which
// sends them within LoanTime of its ask. It returns how many.
func (w *Window) Lend(now time.Time, n int) int {
	lent := max(0, min(n, int(w.Remaining(now)/2)))
	w.count(lent, lateBuckets)
	return lent
}

// LoanTime returns how long after it asked for them a process may send the retries that another lent it,
// given the span of the platform's window.
func LoanTime(span time.Duration) time.Duration { return span * loanBuckets / windowBuckets }

func (w *Window) end(now time.Time, late int64) {
	w.advance(now)
	w.inFlight--
	w.count(1, late)
}

// count counts n retries that arrive so many buckets after the newest at the latest.
func (w *Window) count(n int, late int64) { w.retries[(w.newest+late)%retryBuckets] += float64(n) }

// Remaining returns the number of retries that the budget allows now: the least that is left in any
// window that a retry may arrive in, those of which no request is known yet among them.
func (w *Window) Remaining(now time.Time) float64 {
	w.advance(now)
	w.Spare.advance(w.newest)
	// A window that begins in a bucket has, with the one before it, all requests from the following
	// bucket of the window before on.
	const firstOffset = 1 - windowBuckets
	attempts, retries, least := 0.0, w.inFlight, w.Spare.later()-w.inFlight
	for at := w.newest + lateBuckets + firstOffset + 1; at <= w.newest; at++ {
		attempts += w.attempts[at%attemptBuckets]
	}
	for at := w.newest + lateBuckets; at >= w.newest-windowBuckets; at-- {
		retries += w.retries[at%retryBuckets]
		if first := at + firstOffset; first <= w.newest {
			attempts += w.attempts[first%attemptBuckets]
		}
		least = min(least, w.Ratio/2*attempts+w.Spare.at(at)-retries)
	}
	return least
}

// Figures are what a budget is made of at one moment: the requests known to have been sent in the window and in the
// one before it, those read in them of which it is not known, the retries that may be in the window and those of them
// that are neither settled nor lost, and the fixed number for it.
type Figures struct{ Attempts, Unknown, Retries, InFlight, Spare float64 }

// Figures returns what the budget is made of now, for the window that ends now.
func (w *Window) Figures(now time.Time) Figures {
	w.advance(now)
	w.Spare.advance(w.newest)
	f := Figures{Retries: w.inFlight, InFlight: w.inFlight, Spare: w.Spare.at(w.newest - windowBuckets)}
	for i, n := range w.attempts {
		f.Attempts += n
		f.Unknown += w.unknown[i]
	}
	for _, n := range w.retries {
		f.Retries += n
	}
	return f
}

func (w *Window) bucket(at time.Time) int64 { return bucketOf(at, w.Span) }

func bucketOf(at time.Time, span time.Duration) int64 {
	return at.UnixNano() / int64(span/windowBuckets)
}

// advance empties the buckets that have left the windows.
func (w *Window) advance(now time.Time) {
	bucket := w.bucket(now)
	w.newest = max(w.newest, bucket-attemptBuckets)
	for w.newest < bucket {
		w.newest++
		w.attempts[w.newest%attemptBuckets], w.unknown[w.newest%attemptBuckets] = 0, 0
		w.retries[(w.newest+lateBuckets)%retryBuckets] = 0
	}
}
