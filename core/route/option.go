package route

import (
	"slices"
	"time"

	"radishwell/core"
)

const (
	// maxFreshAge is the age up to which a load report counts in full. Reports
	// of busy hosts are younger because their answers carry them. Two round
	// trips between data centres plus the time of a few tokens take about 200
	// ms.
	maxFreshAge = 100 * time.Millisecond
	// reportHalfLife is the age by which a stale report loses half of its
	// weight.
	reportHalfLife = 2 * time.Second
	// defaultServiceTime is used while no service time has been measured.
	defaultServiceTime = time.Second
)

// option is a candidate with the values that a plan derives from it.
type option struct {
	Candidate
	reason Reason
	// load is the estimated number of requests at the host.
	load float64
	// wait is the expected time until a request sent now starts.
	wait time.Duration
	// loadTime is the part of wait that loading the target takes.
	loadTime time.Duration
	age      time.Duration
	stale    bool
	setAside bool
	local    bool
	// needsEviction is set if the host has to unload something to make room.
	needsEviction bool
	// rank breaks ties. It depends on the request for holders and on the target
	// for other hosts.
	rank uint64
}

// options returns the options of all candidates that may get the request.
func (r *Router) options(now time.Time, q Query) []option {
	list := make([]option, 0, len(q.Candidates))
	for _, c := range q.Candidates {
		if c.Health == Leaving || slices.Contains(q.Tried, c.Host) {
			continue
		}
		list = append(list, r.option(now, q, c))
	}
	return list
}

func (r *Router) option(now time.Time, q Query, c Candidate) option {
	o := option{Candidate: c, local: c.DataCentre == q.DataCentre}
	o.age, o.stale = reportAge(now, c.Load)
	o.load = estimatedLoad(c, o.age)
	o.loadTime = targetLoadTime(now, q, c.Load)
	o.wait = o.loadTime + r.queueWait(q.Request.Target, c, o.load)
	o.needsEviction = o.loadTime > 0 && c.Load.Free < q.Need && !c.Load.At.IsZero()
	o.setAside = c.Health == Suspect || r.isSetAside(now, q.Request, c.Host)
	o.rank = rendezvousScore(r.Seed, string(q.Request.ID), string(c.Host))
	if o.loadTime > 0 {
		o.rank = rendezvousScore(0, q.Request.Target.Name(), string(c.Host))
	}
	return o
}

func reportAge(now time.Time, l Load) (time.Duration, bool) {
	if l.At.IsZero() {
		return 0, true
	}
	age := max(0, now.Sub(l.At))
	return age, age > maxFreshAge
}

// estimatedLoad returns the number of requests at a host: those that it
// reported, with a weight that falls with age, and those that this process has
// sent since. The process's own requests in flight count in full, whatever the
// age of the report.
func estimatedLoad(c Candidate, age time.Duration) float64 {
	own := float64(c.InFlight)
	if c.Load.At.IsZero() {
		return own
	}
	reported := float64(c.Load.Running + c.Load.Queued)
	weight := 1.0
	if age > maxFreshAge {
		weight = core.Decay(age-maxFreshAge, reportHalfLife)
	}
	return max(own, reported*weight+float64(c.Sent))
}

// targetLoadTime estimates how long it takes until the target is loaded.
func targetLoadTime(now time.Time, q Query, l Load) time.Duration {
	if q.Request.Target.Model == "" {
		return 0
	}
	total := itemLoadTime(now, l.Item, q.Costs.Item)
	if q.Request.Target.Base != "" {
		total += itemLoadTime(now, l.Base, q.Costs.Base)
	}
	return total
}

// itemLoadTime returns the time until one item is loaded. A load that is
// overdue or has no expected end is assumed to need another tenth of a whole
// load, so it is still preferred to a load that has not begun.
func itemLoadTime(now time.Time, i Item, costs [3]time.Duration) time.Duration {
	whole := max(time.Millisecond, costs[min(int(i.Tier), len(costs)-1)])
	switch i.State {
	case core.Loaded:
		return 0
	case core.Loading:
		return max(whole/10, i.Ready.Sub(now))
	default:
		return whole
	}
}

// queueWait estimates how long a request waits behind others at a host. While
// the number of requests that the host runs at once is unknown, a host that
// reports no queue is assumed to have as many free slots as it uses.
func (r *Router) queueWait(t core.Target, c Candidate, load float64) time.Duration {
	if c.Load.At.IsZero() {
		return 0
	}
	slots := float64(r.slots(c))
	ahead := load - slots + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / slots * float64(r.meanServiceTime(t)))
}

// slots estimates how many requests a host runs at once: the number it ran when
// it last reported a queue, or more if it has run more since. If it has not
// reported a queue, that is twice the number it runs now.
func (r *Router) slots(c Candidate) int {
	known, ok := r.knownSlots.get(c.Host)
	switch {
	case c.Load.Queued > 0 && c.Load.Running > 0:
		known = c.Load.Running
	case c.Load.Running > known && ok:
		known = c.Load.Running
	case ok:
		return known
	default:
		return max(1, 2*c.Load.Running)
	}
	r.knownSlots.put(c.Host, known)
	return known
}
