package route

import (
	"math"
	"slices"
	"time"

	"radishwell/core"
)

const (
	// fresh is the age up to which a load report is taken as it is. Answers
	// carry reports, so a busy host's is younger; 200 ms is about two round trips
	// between data centres plus the time an engine takes for a few tokens.
	fresh = 100 * time.Millisecond
	// halving is the age by which an old report loses half of its weight.
	halving = 2 * time.Second
	// unknownService stands in for the service time while none was measured.
	unknownService = time.Second
)

// option is a candidate with what the decision derives from it.
type option struct {
	Candidate
	reason Reason
	// load is the assumed number of requests at the host.
	load float64
	// wait is how long until a request handed over now starts.
	wait time.Duration
	// cold is the part of wait that loading takes.
	cold  time.Duration
	age   time.Duration
	stale bool
	aside bool
	here  bool
	// tight tells that the host has to unload something to make room.
	tight bool
	// rank orders equals: by request among holders, by target among the rest.
	rank uint64
}

// options derives the options of all candidates that may get work.
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
	o := option{Candidate: c, here: c.DataCentre == q.Here}
	o.age, o.stale = reportAge(now, c.Load)
	o.load = assumedLoad(c, o.age)
	o.cold = coldStart(now, q, c.Load)
	o.wait = o.cold + r.queueWait(q.Request.Target, c, o.load)
	o.tight = o.cold > 0 && c.Load.Free < q.Need && !c.Load.At.IsZero()
	o.aside = c.Health == Suspect || r.setAside(now, q.Request, c.Host)
	o.rank = score(r.Seed, string(q.Request.ID), string(c.Host))
	if o.cold > 0 {
		o.rank = score(0, q.Request.Target.Name(), string(c.Host))
	}
	return o
}

func reportAge(now time.Time, l Load) (time.Duration, bool) {
	if l.At.IsZero() {
		return 0, true
	}
	age := max(0, now.Sub(l.At))
	return age, age > fresh
}

// assumedLoad counts the requests at a host: what it reported, which loses
// weight with age, and what this process has sent since. Its own requests in
// flight are certain, however old the report is.
func assumedLoad(c Candidate, age time.Duration) float64 {
	own := float64(c.InFlight)
	if c.Load.At.IsZero() {
		return own
	}
	reported := float64(c.Load.Running + c.Load.Queued)
	weight := 1.0
	if age > fresh {
		weight = math.Exp2(-float64(age-fresh) / float64(halving))
	}
	return max(own, reported*weight+float64(c.Sent))
}

// coldStart foresees how long the target's load takes before it can run.
func coldStart(now time.Time, q Query, l Load) time.Duration {
	if q.Request.Target.Model == "" {
		return 0
	}
	cold := itemStart(now, l.Item, q.Costs.Item)
	if q.Request.Target.Base != "" {
		cold += itemStart(now, l.Base, q.Costs.Base)
	}
	return cold
}

// itemStart is the time until one item is loaded. A load that is past its time
// is taken to need a tenth of a whole one more, as is one without a time; it
// still goes before a load that has not begun.
func itemStart(now time.Time, i Item, costs [3]time.Duration) time.Duration {
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

// queueWait foresees how long a request waits behind others at a host. While the
// number of requests that the host runs at once is not known, one that reports
// no queue is taken to have as much room again as it uses.
func (r *Router) queueWait(t core.Target, c Candidate, load float64) time.Duration {
	if c.Load.At.IsZero() {
		return 0
	}
	slots := float64(r.slots(c))
	ahead := load - slots + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / slots * float64(r.service(t)))
}

// slots returns how many requests a host runs at once: what it ran when it last
// reported a queue, or twice what it runs now where it never did.
func (r *Router) slots(c Candidate) int {
	known, ok := r.widths.get(c.Host)
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
	r.widths.put(c.Host, known)
	return known
}
