package demand

import (
	"math"
	"time"

	"radishwell/core/copies"
)

const (
	// longSpan and shortSpan are the times over which the rate of requests for a
	// model is averaged. The long one keeps a model in sight that is asked for once
	// in ten seconds, the short one sees demand that moves within a few seconds.
	longSpan  = 20 * time.Second
	shortSpan = 4 * time.Second
	// leastShort is the short average from which it counts: three requests within
	// it.
	leastShort = 0.6
	// leastRate is below what counts as demand: one request some minutes ago.
	leastRate = 1e-4
)

// Arrivals are requests for a model that have come.
type Arrivals struct {
	Count, Hasty int
	// Work is the part of one engine's time that they take, in seconds.
	Work float64
}

// Add returns the sum of two.
func (a Arrivals) Add(b Arrivals) Arrivals {
	return Arrivals{Count: a.Count + b.Count, Hasty: a.Hasty + b.Hasty, Work: a.Work + b.Work}
}

// average is a moving average of a rate, by the second.
type average struct {
	value float64
	at    time.Time
}

func (a *average) over(now time.Time, span time.Duration) float64 {
	if a.value == 0 {
		return 0
	}
	return a.value * math.Exp(-now.Sub(a.at).Seconds()/span.Seconds())
}

func (a *average) add(now time.Time, amount float64, span time.Duration) {
	a.value = a.over(now, span) + amount/span.Seconds()
	a.at = now
}

// rates are the averages of one model.
type rates struct{ long, short, hasty, work average }

func (r *rates) add(now time.Time, a Arrivals) {
	r.long.add(now, float64(a.Count), longSpan)
	r.short.add(now, float64(a.Count), shortSpan)
	r.work.add(now, a.Work, shortSpan)
	if a.Hasty > 0 {
		r.hasty.add(now, float64(a.Hasty), longSpan)
	}
}

// rate returns the requests a second. The short average counts only once several
// have come: by one request it rises to five times the long one, and models asked
// for alike would displace each other by turns.
func (r *rates) rate(now time.Time) float64 {
	long, short := r.long.over(now, longSpan), r.short.over(now, shortSpan)
	if short < leastShort {
		return long
	}
	return max(long, short)
}

// demand returns what the planner is told; false where there is none any more.
func (r *rates) demand(now time.Time, waiting int) (copies.Demand, bool) {
	rate := r.rate(now)
	if rate < leastRate && waiting == 0 {
		return copies.Demand{}, false
	}
	return copies.Demand{
		Rate: rate, Hasty: min(rate, r.hasty.over(now, longSpan)), Work: r.work.over(now, shortSpan), Waiting: waiting,
	}, true
}
