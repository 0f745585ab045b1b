package demand

import (
	"math"
	"time"

	"radishwell/core/copies"
)

const (
	// longWindow and shortWindow are the time constants of the moving averages of the
	// request rate. The long one retains a model with one request in ten seconds, and the
	// short one detects demand that changes within a few seconds.
	longWindow  = 20 * time.Second
	shortWindow = 4 * time.Second
	// minShortRate is the least short average that is used, which takes three requests
	// within its window.
	minShortRate = 0.6
	// minRate is the rate below which there is no demand: one request some minutes ago.
	minRate = 1e-4
)

// Arrivals counts requests for a model that have arrived. Hasty counts those of them with a
// target below hastyTarget.
type Arrivals struct {
	Count, Hasty int
	// Work is the engine time that they take, in seconds.
	Work float64
}

// Add returns the sum of both.
func (a Arrivals) Add(b Arrivals) Arrivals {
	return Arrivals{Count: a.Count + b.Count, Hasty: a.Hasty + b.Hasty, Work: a.Work + b.Work}
}

// average is an exponentially decaying average of a rate, per second.
type average struct {
	value     float64
	updatedAt time.Time
}

func (a *average) at(now time.Time, window time.Duration) float64 {
	if a.value == 0 {
		return 0
	}
	return a.value * math.Exp(-now.Sub(a.updatedAt).Seconds()/window.Seconds())
}

func (a *average) add(now time.Time, amount float64, window time.Duration) {
	a.value = a.at(now, window) + amount/window.Seconds()
	a.updatedAt = now
}

// rates holds the moving averages of one model.
type rates struct{ long, short, hasty, work average }

func (r *rates) add(now time.Time, a Arrivals) {
	r.long.add(now, float64(a.Count), longWindow)
	r.short.add(now, float64(a.Count), shortWindow)
	r.work.add(now, a.Work, shortWindow)
	if a.Hasty > 0 {
		r.hasty.add(now, float64(a.Hasty), longWindow)
	}
}

// rate returns the rate of requests per second. The short average is used only after
// several requests: a single one raises it to five times the long one, so that models with
// similar demand would displace each other in turn.
func (r *rates) rate(now time.Time) float64 {
	long, short := r.long.at(now, longWindow), r.short.at(now, shortWindow)
	if short < minShortRate {
		return long
	}
	return max(long, short)
}

// demand returns the demand for the planner, false if there is none.
func (r *rates) demand(now time.Time, waiting int) (copies.Demand, bool) {
	rate := r.rate(now)
	if rate < minRate && waiting == 0 {
		return copies.Demand{}, false
	}
	return copies.Demand{
		Rate: rate, Hasty: min(rate, r.hasty.at(now, longWindow)), Work: r.work.at(now, shortWindow), Waiting: waiting,
	}, true
}
