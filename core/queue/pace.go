package queue

import (
	"time"
)

const (
	// minFinishes and roundsKept bound the number of finishes that the drain rate
	// remembers: two rounds of the requests that run at once, so that it follows a
	// change of speed. Within a round finishes come in groups, and a shorter memory
	// takes the pauses between them for the rate.
	minFinishes = 16
	roundsKept  = 2
	// serviceWeight is the weight of a new sample in the estimate of service times,
	// which need few samples because each is a whole measurement.
	serviceWeight = 1.0 / 8
	// deviations is how many mean deviations above the mean an estimated
	// service time lies. With two, some 5% of the work that starts at the last
	// possible time misses its deadline if service times are exponentially
	// distributed.
	deviations = 2
	// staleAfter is how long the estimates of an idle lane are used to refuse
	// requests before one request is admitted regardless. Without it, a lane
	// whose engine was slow once would refuse all callers and never measure
	// again. A wrong guess wastes at most one request a second.
	staleAfter = time.Second
)

// drainEstimator estimates how fast a track drains, in seconds per unit of
// cost.
type drainEstimator struct {
	// drainSeconds and drainCost are decayed sums over the requests that
	// finished during a backlog. Their quotient is the time in which the track
	// serves one unit of cost, however many requests run in parallel.
	drainSeconds, drainCost float64
	// finishes is the decayed number of finishes in these sums.
	finishes float64
	// intervalStart is the time of the last finish, or the start of the backlog
	// if that is later. It is zero while nothing waits for a slot.
	intervalStart time.Time
	// heldByLimits is set if slots are free and items wait only because of
	// limits of their owners or callers.
	heldByLimits bool
	// lacksRoom is set if the resource had no room for a waiting item since the last start. The
	// time until it has some counts towards the drain rate, also while none of the lane's own
	// items runs.
	lacksRoom bool
	// maxRunning is the largest number of items that ran at once.
	maxRunning int
	// serviceMean and serviceDev are the smoothed service time of one unit of
	// cost and its mean deviation.
	serviceMean, serviceDev float64
	// lastSample is when the last service time was measured.
	lastSample time.Time
}

// beginBacklog records that work waits from now on; ready is when the lane can
// start it.
func (d *drainEstimator) beginBacklog(now, ready time.Time) {
	d.heldByLimits = false
	d.intervalStart = now
	if ready.After(now) {
		d.intervalStart = ready
	}
}

// endBacklog records that nothing waits for a slot. The time until the next
// backlog does not count towards the drain rate.
func (d *drainEstimator) endBacklog() { d.intervalStart = time.Time{} }

// restartInterval excludes the time since the last finish from the drain rate
// because it was spent on a load.
func (d *drainEstimator) restartInterval(now time.Time) {
	if !d.intervalStart.IsZero() {
		d.intervalStart = now
	}
}

// markHeld records that slots are free but limits hold all waiting items.
// Without it a lane would seem as slow as an owner that is limited to one
// request at a time, and the requests of others would be refused for a wait
// that they do not have.
func (d *drainEstimator) markHeld() {
	d.endBacklog()
	d.heldByLimits = true
}

// recordFinish adds one finished request to the drain rate.
func (d *drainEstimator) recordFinish(now time.Time, cost int64) {
	if d.intervalStart.IsZero() {
		return
	}
	elapsed := max(0, now.Sub(d.intervalStart).Seconds())
	keep := d.keep()
	d.drainSeconds = d.drainSeconds*keep + elapsed
	d.drainCost = d.drainCost*keep + float64(cost)
	d.finishes = d.finishes*keep + 1
	if now.After(d.intervalStart) {
		d.intervalStart = now
	}
}

// keep returns the weight of the sums when a finish is added to them.
func (d *drainEstimator) keep() float64 {
	return 1 - 1/float64(max(minFinishes, roundsKept*d.maxRunning))
}

// firstRound returns what the sums lack of one round of the requests that run at once, as if
// these took the mean service time side by side: the time until the first of them ends tells how
// long each takes, and not how many end in it.
func (d *drainEstimator) firstRound() (seconds, cost float64) {
	missing := float64(d.maxRunning) - d.finishes
	if missing <= 0 {
		return 0, 0
	}
	cost = missing * d.drainCost / d.finishes
	return cost * d.serviceMean / float64(d.maxRunning), cost
}

// recordService adds one service time. The sample of a probe replaces the
// estimate.
func (d *drainEstimator) recordService(now time.Time, took time.Duration, cost int64, probe bool) {
	each := took.Seconds() / float64(cost)
	d.lastSample = now
	if d.serviceMean == 0 || probe {
		d.serviceMean, d.serviceDev = each, each/2
		return
	}
	diff := each - d.serviceMean
	d.serviceMean += diff * serviceWeight
	d.serviceDev += (max(diff, -diff) - d.serviceDev) * serviceWeight
}

// stale reports whether the estimates of an idle lane are too old to refuse
// requests by.
func (d *drainEstimator) stale(now time.Time) bool {
	quarter := time.Duration(d.serviceMean / 4 * float64(time.Second))
	return now.Sub(d.lastSample) >= max(staleAfter, quarter)
}

// serviceTime estimates how long a request of the given cost runs. It is zero
// while unknown.
func (d *drainEstimator) serviceTime(cost int64) time.Duration {
	return seconds((d.serviceMean + deviations*d.serviceDev) * float64(cost))
}

// drainTime estimates how long it takes to serve the given cost. While an
// upstream hangs, nothing finishes and the sums do not change, so the open
// interval since the last finish is counted as if a request of mean cost ended
// now, once that gives the longer time. It is counted only while something
// runs or the resource lacks room; otherwise the lane waits for a load, whose
// end is set by Queue.SetReady.
func (d *drainEstimator) drainTime(now time.Time, cost int64, running int) time.Duration {
	if cost <= 0 {
		return 0
	}
	if d.drainCost == 0 {
		return seconds(d.serviceMean * float64(cost) / float64(max(1, running, d.maxRunning)))
	}
	moreSeconds, moreCost := d.firstRound()
	total, of := d.drainSeconds+moreSeconds, d.drainCost+moreCost
	each := total / of
	if !d.intervalStart.IsZero() && (running > 0 || d.lacksRoom) {
		elapsed := max(0, now.Sub(d.intervalStart).Seconds())
		keep := d.keep()
		each = max(each, (total*keep+elapsed)/(of*keep+d.drainCost/d.finishes))
	}
	return seconds(each * float64(cost))
}

// maxForecast bounds all estimates so that times stay within their range.
const maxForecast = 30 * 24 * time.Hour

func seconds(s float64) time.Duration {
	if s >= maxForecast.Seconds() {
		return maxForecast
	}
	return time.Duration(s * float64(time.Second))
}
