package queue

import (
	"time"
)

const (
	// paceWeight and serviceWeight are how much of a measure one new sample
	// replaces. Sixteen finishes follow a change of speed within two rounds of an
	// engine that runs eight at once; service times need less, since each sample
	// is a whole measure.
	paceWeight    = 1.0 / 16
	serviceWeight = 1.0 / 8
	// spread is how many mean deviations above the mean a service time is
	// foreseen at. Two leave some 5% of the work that was started late, when
	// times spread as an exponential does.
	spread = 2
	// doubt is how long an idle lane believes its measures before it lets one
	// request through whatever they say. Without it a lane whose engine was slow
	// once, and whose callers are all refused for that, never measures again.
	// One request a second is what a wrong guess may waste.
	doubt = time.Second
)

// pace measures how a lane drains, in seconds for each unit of cost.
type pace struct {
	// seconds and cost are decayed sums over the finishes that fell into times
	// with a backlog: their quotient is the time in which the lane gets through
	// one unit of cost, however many requests run side by side.
	seconds, cost float64
	// finishes is the decayed number of finishes in them.
	finishes float64
	// since is when the present interval began: the last finish, or when the
	// backlog began. It is zero while nothing waits for a place.
	since time.Time
	// open tells that there were places and yet items waited, since their owners'
	// or callers' limits held them.
	open bool
	// widest is how many ran at once at the most.
	widest int
	// mean and dev are the smoothed service time of one unit of cost and its
	// mean deviation.
	mean, dev float64
	// sampled is when the last service time was measured.
	sampled time.Time
}

// backlog tells that work waits from now on; ready is when the lane can start.
func (p *pace) backlog(now, ready time.Time) {
	p.open = false
	p.since = now
	if ready.After(now) {
		p.since = ready
	}
}

// empty tells that nothing waits for a place: the time until the next backlog
// says nothing about how fast one drains.
func (p *pace) empty() { p.since = time.Time{} }

// restart begins a new interval: what passed was spent on a load.
func (p *pace) restart(now time.Time) {
	if !p.since.IsZero() {
		p.since = now
	}
}

// held tells that there are places but limits hold all that waits. Without it a
// lane would seem as slow as the one owner who may run one request at a time,
// and others would be refused for a wait that they do not have.
func (p *pace) held() {
	p.empty()
	p.open = true
}

// drained folds one finish into the drain rate.
func (p *pace) drained(now time.Time, cost int64) {
	if p.since.IsZero() {
		return
	}
	gone := max(0, now.Sub(p.since).Seconds())
	p.seconds += gone - p.seconds*paceWeight
	p.cost += float64(cost) - p.cost*paceWeight
	p.finishes += 1 - p.finishes*paceWeight
	if now.After(p.since) {
		p.since = now
	}
}

// served folds one service time in. A sample from a request that was let through
// in doubt replaces what was believed.
func (p *pace) served(now time.Time, took time.Duration, cost int64, inDoubt bool) {
	each := took.Seconds() / float64(cost)
	p.sampled = now
	if p.mean == 0 || inDoubt {
		p.mean, p.dev = each, each/2
		return
	}
	diff := each - p.mean
	p.mean += diff * serviceWeight
	p.dev += (max(diff, -diff) - p.dev) * serviceWeight
}

// doubted reports whether an idle lane's measures are too old to refuse by.
func (p *pace) doubted(now time.Time) bool {
	quarter := time.Duration(p.mean / 4 * float64(time.Second))
	return now.Sub(p.sampled) >= max(doubt, quarter)
}

// service foresees how long a request of this cost runs, zero while unknown.
func (p *pace) service(cost int64) time.Duration {
	return seconds((p.mean + spread*p.dev) * float64(cost))
}

// wait foresees how long it takes to get through cost. While an upstream hangs,
// nothing finishes and the sums stand still; so the open interval since the last
// finish counts, as if it ended now with a request of mean cost, as soon as that
// gives the longer wait. It counts only while something runs: otherwise the lane
// waits for a load, and Queue.Ready tells how long.
func (p *pace) wait(now time.Time, cost int64, running int) time.Duration {
	if cost <= 0 {
		return 0
	}
	if p.cost == 0 {
		return seconds(p.mean * float64(cost) / float64(max(1, running, p.widest)))
	}
	each := p.seconds / p.cost
	if !p.since.IsZero() && running > 0 {
		open := max(0, now.Sub(p.since).Seconds())
		kept := 1 - paceWeight
		each = max(each, (p.seconds*kept+open)/(p.cost*kept+p.cost/p.finishes))
	}
	return seconds(each * float64(cost))
}

// longest bounds what is foreseen, so that times stay within their range.
const longest = 30 * 24 * time.Hour

func seconds(s float64) time.Duration {
	if s >= longest.Seconds() {
		return longest
	}
	return time.Duration(s * float64(time.Second))
}
