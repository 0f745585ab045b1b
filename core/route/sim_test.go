package route_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"radishwell/core"
	"radishwell/core/eventq"
	"radishwell/core/route"
)

// t0 is the start of all simulations.
var t0 = time.Date(2030, 1, 1, 20, 0, 0, 0, time.UTC)

var ledger = core.Target{Service: "qalam", Model: "ledger"}

var costs = route.Costs{
	Item: [3]time.Duration{500 * time.Millisecond, 4 * time.Second, 20 * time.Second},
}

// router chooses the host for a request: the Router under test or one that it is
// compared with.
type router interface {
	choose(now time.Time, q route.Query, probe func(core.HostName) route.Load) core.HostName
	observe(now time.Time, r route.Report)
}

// planRouter follows the plans of a Router and probes hosts in the way an entry
// does.
type planRouter struct{ r *route.Router }

func (s planRouter) choose(now time.Time, q route.Query, probe func(core.HostName) route.Load) core.HostName {
	plan := s.r.Plan(now, q)
	for len(plan.Probe) > 0 {
		for _, h := range plan.Probe {
			at := slices.IndexFunc(q.Candidates, func(c route.Candidate) bool { return c.Host == h })
			q.Candidates[at].Load, q.Candidates[at].Sent = probe(h), 0
		}
		q.Probed = append(q.Probed, plan.Probe...)
		plan = s.r.Plan(now, q)
	}
	s.r.RecordSent(now, q.Request, plan.Hosts[0].Host)
	return plan.Hosts[0].Host
}

func (s planRouter) observe(now time.Time, r route.Report) { s.r.Observe(now, r) }

// randomRouter chooses a host at random.
type randomRouter struct{ rng *rand.Rand }

func (s randomRouter) choose(_ time.Time, q route.Query, _ func(core.HostName) route.Load) core.HostName {
	return q.Candidates[s.rng.IntN(len(q.Candidates))].Host
}

func (s randomRouter) observe(time.Time, route.Report) {}

// leastReported chooses the host with the least load in its last report.
type leastReported struct{}

func (leastReported) choose(_ time.Time, q route.Query, _ func(core.HostName) route.Load) core.HostName {
	return slices.MinFunc(q.Candidates, func(a, b route.Candidate) int {
		return a.Load.Running + a.Load.Queued - b.Load.Running - b.Load.Queued
	}).Host
}

func (leastReported) observe(time.Time, route.Report) {}

// simRequest is a request in the simulation.
type simRequest struct {
	core.Request
	entry int
	sent  time.Time
	// duration is how long the request runs on a host that is not slowed down.
	duration time.Duration
}

// simHost is an upstream with slots and one model.
type simHost struct {
	name    core.HostName
	slots   int
	running int
	queue   []simRequest
	// ready is when the model is loaded; zero before a load is requested.
	ready  time.Time
	loads  int
	served int
	cache  []uint64
	// slowdown returns the factor by which requests that start at a time are
	// slower.
	slowdown func(time.Time) float64
}

// cacheSize is how many prefixes an engine keeps, evicting the least recently
// used.
const cacheSize = 32

// lookup returns 1 if the prefix is in the host's cache and 0 otherwise, and
// makes it the most recently used.
func (h *simHost) lookup(prefix uint64) int {
	at := slices.Index(h.cache, prefix)
	if at >= 0 {
		h.cache = append(slices.Delete(h.cache, at, at+1), prefix)
		return 1
	}
	h.cache = append(h.cache, prefix)
	h.cache = h.cache[max(0, len(h.cache)-cacheSize):]
	return 0
}

func (h *simHost) load(now time.Time) route.Load {
	item := route.Item{Tier: core.TierStore, Running: h.running, Queued: len(h.queue)}
	switch {
	case h.ready.IsZero():
	case h.ready.After(now):
		item.State, item.Ready = core.Loading, h.ready
	default:
		item.State = core.Loaded
	}
	return route.Load{At: now, Running: h.running, Queued: len(h.queue), Item: item}
}

// simEntry is one entry with its routing state.
type simEntry struct {
	router   router
	lastLoad map[core.HostName]route.Load
	inFlight map[core.HostName]int
	sent     map[core.HostName]int
}

// simulation runs entries and hosts in simulated time.
type simulation struct {
	hosts   []*simHost
	entries []*simEntry
	events  eventq.Queue[func(now time.Time)]
	// latencies are the times from arrival to the end of the answer, in the order
	// of the answers; shortLatencies are those of the requests of 100 ms.
	latencies, shortLatencies []time.Duration
	inTime                    int
	// prefixHits counts the requests that found their longest prefix cached at
	// their host, by their shortest prefix.
	prefixHits map[uint64]int
}

func newSimulation(entries, hosts, loaded int, newRouter func(entry int) router) *simulation {
	p := &simulation{prefixHits: map[uint64]int{}}
	for i := range hosts {
		h := &simHost{name: core.HostName("h" + strconv.Itoa(i)), slots: 4}
		h.slowdown = func(time.Time) float64 { return 1 }
		if i < loaded {
			h.ready = t0.Add(-time.Hour)
		}
		p.hosts = append(p.hosts, h)
	}
	for i := range entries {
		e := &simEntry{router: newRouter(i), lastLoad: map[core.HostName]route.Load{}}
		e.inFlight, e.sent = map[core.HostName]int{}, map[core.HostName]int{}
		p.entries = append(p.entries, e)
	}
	return p
}

func newPlanRouter(entry int) router { return planRouter{&route.Router{Seed: uint64(entry)}} }

func newRandomRouter(entry int) router { return randomRouter{rand.New(rand.NewPCG(uint64(entry), 3))} }

func newLeastReported(int) router { return leastReported{} }

func (p *simulation) schedule(t time.Time, do func(now time.Time)) {
	p.events.Push(t, do)
}

func (p *simulation) run() {
	for p.events.Len() > 0 {
		now, do := p.events.Pop()
		do(now)
	}
}

// request returns a request for the ledger model with a deadline patience after
// its arrival.
func request(n int, at time.Time, patience time.Duration, prefixes ...uint64) core.Request {
	return core.Request{
		ID: core.RequestID(fmt.Sprint("r", n)), Target: ledger, Arrived: at,
		Deadline: at.Add(patience), Prefixes: prefixes,
	}
}

// send schedules the arrival of a request at an entry.
func (p *simulation) send(r core.Request, e int, duration time.Duration) {
	p.schedule(r.Arrived, func(now time.Time) { p.route(now, simRequest{Request: r, entry: e, duration: duration}) })
}

func (p *simulation) route(now time.Time, j simRequest) {
	e := p.entries[j.entry]
	q := route.Query{Request: j.Request, Costs: costs}
	for _, h := range p.hosts {
		q.Candidates = append(q.Candidates, route.Candidate{
			Host: h.name, Load: e.lastLoad[h.name], InFlight: e.inFlight[h.name], Sent: e.sent[h.name],
		})
	}
	name := e.router.choose(now, q, func(h core.HostName) route.Load {
		e.lastLoad[h], e.sent[h] = p.host(h).load(now), 0
		return e.lastLoad[h]
	})
	e.inFlight[name]++
	e.sent[name]++
	j.sent = now
	p.receive(now, p.host(name), j)
}

func (p *simulation) host(name core.HostName) *simHost {
	return p.hosts[slices.IndexFunc(p.hosts, func(h *simHost) bool { return h.name == name })]
}

// receive handles a request's arrival at a host, which loads the model if
// necessary.
func (p *simulation) receive(now time.Time, h *simHost, j simRequest) {
	for _, prefix := range j.Prefixes {
		hit := h.lookup(prefix)
		if prefix == j.Prefixes[len(j.Prefixes)-1] {
			p.prefixHits[j.Prefixes[0]] += hit
		}
	}
	if h.ready.IsZero() {
		h.loads++
		h.ready = now.Add(costs.Item[core.TierStore])
		p.schedule(h.ready, func(now time.Time) { p.start(now, h) })
	}
	h.queue = append(h.queue, j)
	p.start(now, h)
}

func (p *simulation) start(now time.Time, h *simHost) {
	for !h.ready.After(now) && h.running < h.slots && len(h.queue) > 0 {
		j := h.queue[0]
		h.queue = h.queue[1:]
		h.running++
		took := time.Duration(float64(j.duration) * h.slowdown(now))
		p.schedule(now.Add(took), func(now time.Time) { p.answer(now, h, j) })
	}
}

func (p *simulation) answer(now time.Time, h *simHost, j simRequest) {
	h.running--
	h.served++
	p.start(now, h)
	e := p.entries[j.entry]
	e.inFlight[h.name]--
	e.lastLoad[h.name], e.sent[h.name] = h.load(now), 0
	e.router.observe(now, route.Report{Host: h.name, Target: j.Target, Took: now.Sub(j.sent), Cost: int64(j.duration / (100 * time.Millisecond))})
	p.latencies = append(p.latencies, now.Sub(j.Arrived))
	if j.duration == 100*time.Millisecond {
		p.shortLatencies = append(p.shortLatencies, now.Sub(j.Arrived))
	}
	if !now.After(j.Deadline) {
		p.inTime++
	}
}

func quantile(latencies []time.Duration, q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(latencies))
	return sorted[int(q*float64(len(sorted)-1))]
}

func (p *simulation) loads() int {
	n := 0
	for _, h := range p.hosts {
		n += h.loads
	}
	return n
}

// stream sends a Poisson stream of requests through the entries in turn. The
// function prepare may change each request and returns its duration.
func (p *simulation) stream(seed uint64, perSecond float64, span time.Duration, prepare func(rng *rand.Rand, r *core.Request) time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 5))
	at := t0
	for n := 0; ; n++ {
		at = at.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		if at.Sub(t0) > span {
			return
		}
		r := request(n, at, 2*time.Second)
		duration := prepare(rng, &r)
		p.send(r, n%len(p.entries), duration)
	}
}
