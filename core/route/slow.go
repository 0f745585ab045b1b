package route

import (
	"math"
	"slices"
	"time"

	"radishwell/core"
)

const (
	// leastSamples is how many reports a verdict needs. One slow answer is often
	// a long prompt; five in a row rarely are.
	leastSamples = 5
	// slowFactor is how far above the median of its set a host's pace must be.
	// Batching alone makes a factor of two between a full and an empty engine.
	slowFactor = 3
	// failing is the share of failures above which a host is set aside.
	failing = 0.5
	// sampleWeight is how much of an average one report replaces.
	sampleWeight = 1.0 / 8
	// asideStep is how long a host is set aside the first time; each further time
	// adds as much, up to asideMost. Ten seconds pass a short disturbance; the
	// growth keeps a host that stays slow from meeting callers every time.
	asideStep = 10 * time.Second
	asideMost = 5 * time.Minute
	// ramp is how long a host that comes back takes to get its whole part of the
	// requests, rampFirst the part it begins with. A host whose caches are empty
	// would be slow again if it got all of it at once.
	ramp      = 30 * time.Second
	rampFirst = 0.1
	// pardon is how long a host must do well before it counts as never aside.
	pardon = 10 * time.Minute
	// mostAside is the share of a set that may be aside at once. If more are
	// slow, the cause is load or the request, and setting hosts aside would put
	// the load of all on the few that remain.
	mostAside = 1.0 / 3
	// medianAge is how long a median is used before it is taken anew.
	medianAge = time.Second
)

// Result is how an attempt went, as far as the host's health goes.
type Result uint8

// Results. Refusals of a host that is full or may not serve are no failures.
const (
	// Served: the whole answer came.
	Served Result = iota
	// Broken: contact was lost, or the upstream failed.
	Broken
	// Overdue: no answer yet after Patience; Took is the time so far.
	Overdue
)

// Report is what an attempt tells of its host. Attempts that waited for a load
// are not reported, nor those that the caller cancelled.
type Report struct {
	Host   core.HostName
	Target core.Target
	Result Result
	Took   time.Duration
	// Cost is the work of the request, as in queue.Item; one where unknown.
	Cost int64
}

// speed is how fast a target is served over all its hosts.
type speed struct {
	// request is the mean time of a request, in seconds.
	request float64
	// unit is the mean logarithm of the seconds for a unit of cost. Logarithms
	// keep one long request among short ones from looking like a slow host.
	unit float64
}

// set is the hosts of one service.
type set struct {
	hosts  map[core.HostName]*health
	median float64
	// taken is when median was taken.
	taken time.Time
}

// health is what was seen of one host.
type health struct {
	// pace is the smoothed logarithm of the time per unit of cost over that of
	// the target; fails is the smoothed share of failures.
	pace    float64
	fails   float64
	samples int
	// until is when the host may get requests again, times how often it was set
	// aside without a pardon.
	until time.Time
	times int
}

// Observe takes a report in.
func (r *Router) Observe(now time.Time, p Report) {
	s := r.set(p.Target.Service)
	h, ok := s.hosts[p.Host]
	if !ok {
		h = &health{}
		s.hosts[p.Host] = h
	}
	if h.times > 0 && now.Sub(h.until) > pardon {
		h.times = 0
	}
	r.sample(h, p)
	if now.Sub(s.taken) >= medianAge {
		s.median, s.taken = medianPace(s.hosts), now
	}
	if h.bad(s.median) && s.mayLose(now) {
		h.setAside(now)
	}
}

func (r *Router) set(name core.ServiceName) *set {
	if r.sets == nil {
		r.sets = make(map[core.ServiceName]*set)
	}
	s, ok := r.sets[name]
	if !ok {
		s = &set{hosts: make(map[core.HostName]*health)}
		r.sets[name] = s
	}
	return s
}

// sample folds a report into the averages of the host and of the target.
func (r *Router) sample(h *health, p Report) {
	h.samples++
	if p.Result == Broken {
		h.fails += (1 - h.fails) * sampleWeight
		return
	}
	h.fails -= h.fails * sampleWeight
	took := max(time.Microsecond, p.Took).Seconds()
	unit := math.Log(took / float64(max(1, p.Cost)))
	known, ok := r.speeds.get(p.Target.Name())
	if !ok {
		known = speed{request: took, unit: unit}
	}
	h.pace += (unit - known.unit - h.pace) * sampleWeight
	if p.Result == Served {
		known.request += (took - known.request) * sampleWeight
		known.unit += (unit - known.unit) * sampleWeight
	}
	r.speeds.put(p.Target.Name(), known)
}

func (h *health) bad(median float64) bool {
	if h.samples < leastSamples {
		return false
	}
	return h.fails > failing || h.pace > median+math.Log(slowFactor)
}

// medianPace is the median over the hosts that have enough reports; zero, which
// is the pace of the target, where there are fewer than two.
func medianPace(hosts map[core.HostName]*health) float64 {
	paces := make([]float64, 0, len(hosts))
	for _, h := range hosts {
		if h.samples >= leastSamples {
			paces = append(paces, h.pace)
		}
	}
	if len(paces) < 2 {
		return 0
	}
	slices.Sort(paces)
	return paces[(len(paces)-1)/2]
}

// mayLose reports whether one more host may be set aside.
func (s *set) mayLose(now time.Time) bool {
	aside := 0
	for _, h := range s.hosts {
		if h.until.After(now) {
			aside++
		}
	}
	return float64(aside+1) <= max(1, mostAside*float64(len(s.hosts))) && len(s.hosts) > 1
}

// setAside begins a time without requests, after which the host is judged by
// what it does then.
func (h *health) setAside(now time.Time) {
	h.times++
	h.until = now.Add(min(asideMost, asideStep*time.Duration(h.times)))
	h.samples, h.fails, h.pace = 0, 0, 0
}

// setAside reports whether a host is kept from this request. While it comes back
// it gets a growing part of the requests, chosen by their ids.
func (r *Router) setAside(now time.Time, q core.Request, host core.HostName) bool {
	s, ok := r.sets[q.Target.Service]
	if !ok {
		return false
	}
	h, ok := s.hosts[host]
	if !ok || h.until.IsZero() {
		return false
	}
	back := now.Sub(h.until)
	if back < 0 {
		return true
	}
	if back >= ramp {
		return false
	}
	part := rampFirst + (1-rampFirst)*back.Seconds()/ramp.Seconds()
	draw := float64(score(r.Seed+1, string(q.ID), string(host))>>11) / (1 << 53)
	return draw >= part
}

// AsideUntil returns until when a host gets no requests; zero where it was never
// set aside.
func (r *Router) AsideUntil(service core.ServiceName, host core.HostName) time.Time {
	if s, ok := r.sets[service]; ok {
		if h, ok := s.hosts[host]; ok {
			return h.until
		}
	}
	return time.Time{}
}

// Patience returns when a request handed over at from should be reported as
// Overdue if it has not ended, zero while the target's speed is unknown. Without
// such reports a host that hangs is noticed only when its requests end.
func (r *Router) Patience(from time.Time, t core.Target, cost int64) time.Time {
	known, ok := r.speeds.get(t.Name())
	if !ok {
		return time.Time{}
	}
	each := math.Exp(known.unit) * float64(max(1, cost))
	return from.Add(time.Duration(slowFactor * each * float64(time.Second)))
}

// Forget drops what is known of a host that is gone.
func (r *Router) Forget(service core.ServiceName, host core.HostName) {
	s, ok := r.sets[service]
	if !ok {
		return
	}
	delete(s.hosts, host)
	if len(s.hosts) == 0 {
		delete(r.sets, service)
	}
}

// service returns how long a request for the target takes.
func (r *Router) service(t core.Target) time.Duration {
	known, ok := r.speeds.get(t.Name())
	if !ok || known.request == 0 {
		return unknownService
	}
	return time.Duration(known.request * float64(time.Second))
}
