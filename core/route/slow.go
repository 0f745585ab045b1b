package route

import (
	"math"
	"slices"
	"time"

	"radishwell/core"
)

const (
	// minSamples is how many reports are needed to judge a host. One slow
	// answer often has a long prompt; five in a row rarely do.
	minSamples = 5
	// slowFactor is how far above the median of its set the relative time of a
	// slow host lies. Batching alone makes a factor of two between a full and
	// an empty engine.
	slowFactor = 3
	// maxFailureRate is the share of failures above which a host is set aside.
	maxFailureRate = 0.5
	// sampleWeight is the weight of a new report in an average.
	sampleWeight = 1.0 / 8
	// asideStep is how long a host is set aside the first time. Each further
	// time adds as much, up to asideMax. Ten seconds cover a short disturbance,
	// and the growth keeps callers away from a host that stays slow.
	asideStep = 10 * time.Second
	asideMax  = 5 * time.Minute
	// rampTime is the time in which a host that returns grows from the share
	// rampStart to its full share of the requests. A host with empty caches
	// would be slow again if it got its full share at once.
	rampTime  = 30 * time.Second
	rampStart = 0.1
	// forgiveAfter is the time without being set aside after which earlier
	// times are no longer counted.
	forgiveAfter = 10 * time.Minute
	// maxAsideShare is the share of a set that may be set aside at once. If
	// more hosts are slow, the cause is the load or the requests, and setting
	// hosts aside would move all load to the few that remain.
	maxAsideShare = 1.0 / 3
	// medianInterval is how long a median is used before it is computed again.
	medianInterval = time.Second
)

// Result is the outcome of an attempt as far as the host's health is concerned.
type Result uint8

// The values of Result. Refusals by a host that is full or may not serve are
// not failures.
const (
	// Served means that the complete answer arrived.
	Served Result = iota
	// Broken means that the connection was lost or the upstream failed.
	Broken
	// Overdue means that no answer has arrived by the time that OverdueAt
	// returned. Took is the time so far.
	Overdue
)

// Report is the outcome of an attempt at a host. Attempts that waited for a
// load or were cancelled by the caller are not reported.
type Report struct {
	Host   core.HostName
	Target core.Target
	Result Result
	Took   time.Duration
	// Cost is the work of the request as in queue.Item; one if unknown.
	Cost int64
}

// targetSpeed is the speed at which a target is served over all its hosts.
type targetSpeed struct {
	// meanSeconds is the mean time of a request.
	meanSeconds float64
	// logUnitSeconds is the mean logarithm of the seconds per unit of cost.
	// Logarithms keep one long request among short ones from looking like a
	// slow host.
	logUnitSeconds float64
}

// hostSet holds the hosts of one service.
type hostSet struct {
	hosts  map[core.HostName]*hostStats
	median float64
	// medianAt is when median was computed.
	medianAt time.Time
}

// hostStats is the recent performance of one host.
type hostStats struct {
	// logRatio is the smoothed logarithm of the host's time per unit of cost
	// relative to that of the target. failureRate is the smoothed share of
	// failures.
	logRatio    float64
	failureRate float64
	samples     int
	// asideUntil is when the host may get requests again, and asideCount is how
	// often it was set aside without forgiveAfter passing in between.
	asideUntil time.Time
	asideCount int
}

// Observe records a report.
func (r *Router) Observe(now time.Time, p Report) {
	s := r.hostSet(p.Target.Service)
	h, ok := s.hosts[p.Host]
	if !ok {
		h = &hostStats{}
		s.hosts[p.Host] = h
	}
	if h.asideCount > 0 && now.Sub(h.asideUntil) > forgiveAfter {
		h.asideCount = 0
	}
	r.addSample(h, p)
	if now.Sub(s.medianAt) >= medianInterval {
		s.median, s.medianAt = medianLogRatio(s.hosts), now
	}
	if h.unhealthy(s.median) && s.maySetAside(now) {
		h.setAside(now)
	}
}

func (r *Router) hostSet(name core.ServiceName) *hostSet {
	if r.hostSets == nil {
		r.hostSets = make(map[core.ServiceName]*hostSet)
	}
	s, ok := r.hostSets[name]
	if !ok {
		s = &hostSet{hosts: make(map[core.HostName]*hostStats)}
		r.hostSets[name] = s
	}
	return s
}

// addSample adds a report to the averages of the host and of the target.
func (r *Router) addSample(h *hostStats, p Report) {
	h.samples++
	if p.Result == Broken {
		h.failureRate += (1 - h.failureRate) * sampleWeight
		return
	}
	h.failureRate -= h.failureRate * sampleWeight
	took := max(time.Microsecond, p.Took).Seconds()
	unit := math.Log(took / float64(max(1, p.Cost)))
	known, ok := r.speeds.get(p.Target.Name())
	if !ok {
		known = targetSpeed{meanSeconds: took, logUnitSeconds: unit}
	}
	h.logRatio += (unit - known.logUnitSeconds - h.logRatio) * sampleWeight
	if p.Result == Served {
		known.meanSeconds += (took - known.meanSeconds) * sampleWeight
		known.logUnitSeconds += (unit - known.logUnitSeconds) * sampleWeight
	}
	r.speeds.put(p.Target.Name(), known)
}

func (h *hostStats) unhealthy(median float64) bool {
	if h.samples < minSamples {
		return false
	}
	return h.failureRate > maxFailureRate || h.logRatio > median+math.Log(slowFactor)
}

// medianLogRatio returns the median over the hosts that have enough reports.
// With fewer than two of them it returns zero, the ratio of the target itself.
func medianLogRatio(hosts map[core.HostName]*hostStats) float64 {
	ratios := make([]float64, 0, len(hosts))
	for _, h := range hosts {
		if h.samples >= minSamples {
			ratios = append(ratios, h.logRatio)
		}
	}
	if len(ratios) < 2 {
		return 0
	}
	slices.Sort(ratios)
	return ratios[(len(ratios)-1)/2]
}

// maySetAside reports whether one more host may be set aside.
func (s *hostSet) maySetAside(now time.Time) bool {
	aside := 0
	for _, h := range s.hosts {
		if h.asideUntil.After(now) {
			aside++
		}
	}
	return float64(aside+1) <= max(1, maxAsideShare*float64(len(s.hosts))) && len(s.hosts) > 1
}

// setAside sets the host aside and discards its samples, so that it is judged
// afterwards by new ones only.
func (h *hostStats) setAside(now time.Time) {
	h.asideCount++
	h.asideUntil = now.Add(min(asideMax, asideStep*time.Duration(h.asideCount)))
	h.samples, h.failureRate, h.logRatio = 0, 0, 0
}

// isSetAside reports whether a host is set aside for this request. A host that
// returns gets a growing share of the requests, chosen by their IDs.
func (r *Router) isSetAside(now time.Time, q core.Request, host core.HostName) bool {
	s, ok := r.hostSets[q.Target.Service]
	if !ok {
		return false
	}
	h, ok := s.hosts[host]
	if !ok || h.asideUntil.IsZero() {
		return false
	}
	sinceReturn := now.Sub(h.asideUntil)
	if sinceReturn < 0 {
		return true
	}
	if sinceReturn >= rampTime {
		return false
	}
	share := rampStart + (1-rampStart)*sinceReturn.Seconds()/rampTime.Seconds()
	draw := float64(rendezvousScore(r.Seed+1, string(q.ID), string(host))>>11) / (1 << 53)
	return draw >= share
}

// AsideUntil returns until when a host is or was set aside; zero if it never
// was.
func (r *Router) AsideUntil(service core.ServiceName, host core.HostName) time.Time {
	if s, ok := r.hostSets[service]; ok {
		if h, ok := s.hosts[host]; ok {
			return h.asideUntil
		}
	}
	return time.Time{}
}

// OverdueAt returns when a request that was sent at the time from should be
// reported as Overdue if it has not ended, or zero while the target's speed is
// unknown. Without such reports a host that hangs is noticed only when its
// requests end.
func (r *Router) OverdueAt(from time.Time, t core.Target, cost int64) time.Time {
	known, ok := r.speeds.get(t.Name())
	if !ok {
		return time.Time{}
	}
	each := math.Exp(known.logUnitSeconds) * float64(max(1, cost))
	return from.Add(time.Duration(slowFactor * each * float64(time.Second)))
}

// Forget discards the record of a host that has left.
func (r *Router) Forget(service core.ServiceName, host core.HostName) {
	s, ok := r.hostSets[service]
	if !ok {
		return
	}
	delete(s.hosts, host)
	if len(s.hosts) == 0 {
		delete(r.hostSets, service)
	}
}

// meanServiceTime returns the mean time of a request for the target.
func (r *Router) meanServiceTime(t core.Target) time.Duration {
	known, ok := r.speeds.get(t.Name())
	if !ok || known.meanSeconds == 0 {
		return defaultServiceTime
	}
	return time.Duration(known.meanSeconds * float64(time.Second))
}
