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

// t0 is when all plays begin.
var t0 = time.Date(2030, 1, 1, 20, 0, 0, 0, time.UTC)

var ledger = core.Target{Service: "qalam", Model: "ledger"}

var costs = route.Costs{
	Item: [3]time.Duration{500 * time.Millisecond, 4 * time.Second, 20 * time.Second},
}

// router is a router under test: it names the host for a request.
type router interface {
	choose(now time.Time, q route.Query, probe func(core.HostName) route.Load) core.HostName
	observe(now time.Time, r route.Report)
}

// real is the router, which asks for fresh loads as a shell does.
type real struct{ r *route.Router }

func (s real) choose(now time.Time, q route.Query, probe func(core.HostName) route.Load) core.HostName {
	plan := s.r.Plan(now, q)
	for len(plan.Probe) > 0 {
		for _, h := range plan.Probe {
			at := slices.IndexFunc(q.Candidates, func(c route.Candidate) bool { return c.Host == h })
			q.Candidates[at].Load, q.Candidates[at].Sent = probe(h), 0
		}
		q.Asked = append(q.Asked, plan.Probe...)
		plan = s.r.Plan(now, q)
	}
	s.r.Sent(now, q.Request, plan.Hosts[0].Host)
	return plan.Hosts[0].Host
}

func (s real) observe(now time.Time, r route.Report) { s.r.Observe(now, r) }

// random is the naive router.
type random struct{ rng *rand.Rand }

func (s random) choose(_ time.Time, q route.Query, _ func(core.HostName) route.Load) core.HostName {
	return q.Candidates[s.rng.IntN(len(q.Candidates))].Host
}

func (s random) observe(time.Time, route.Report) {}

// oldest is the other naive router: least loaded by the last report.
type oldest struct{}

func (oldest) choose(_ time.Time, q route.Query, _ func(core.HostName) route.Load) core.HostName {
	return slices.MinFunc(q.Candidates, func(a, b route.Candidate) int {
		return a.Load.Running + a.Load.Queued - b.Load.Running - b.Load.Queued
	}).Host
}

func (oldest) observe(time.Time, route.Report) {}

// job is a request in the play.
type job struct {
	core.Request
	entry int
	sent  time.Time
	took  time.Duration
}

// host is an upstream with slots and one model.
type host struct {
	name    core.HostName
	slots   int
	running int
	queue   []job
	// ready is when the model is loaded; zero while it is not asked for.
	ready  time.Time
	loads  int
	served int
	cache  []uint64
	// slow multiplies the times of requests that start at a time.
	slow func(time.Time) float64
}

// cacheSize is how many prefixes an engine keeps, the last used.
const cacheSize = 32

// find looks a prefix up in the host's cache, which holds it from now on.
func (h *host) find(prefix uint64) int {
	at := slices.Index(h.cache, prefix)
	if at >= 0 {
		h.cache = append(slices.Delete(h.cache, at, at+1), prefix)
		return 1
	}
	h.cache = append(h.cache, prefix)
	h.cache = h.cache[max(0, len(h.cache)-cacheSize):]
	return 0
}

func (h *host) load(now time.Time) route.Load {
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

// entry is one entry host with what it knows.
type entry struct {
	router   router
	known    map[core.HostName]route.Load
	inFlight map[core.HostName]int
	sent     map[core.HostName]int
}

// play is a fleet of entries and hosts in fake time.
type play struct {
	hosts   []*host
	entries []*entry
	events  eventq.Queue[func(now time.Time)]
	// waits are the times to the whole answer, in the order of the answers; short
	// those of the requests of 100 ms.
	waits, short []time.Duration
	good         int
	// found counts the requests that found their longest prefix at their host, by
	// their shortest prefix.
	found map[uint64]int
}

func newPlay(entries, hosts, loaded int, make func(entry int) router) *play {
	p := &play{found: map[uint64]int{}}
	for i := range hosts {
		h := &host{name: core.HostName("h" + strconv.Itoa(i)), slots: 4}
		h.slow = func(time.Time) float64 { return 1 }
		if i < loaded {
			h.ready = t0.Add(-time.Hour)
		}
		p.hosts = append(p.hosts, h)
	}
	for i := range entries {
		e := &entry{router: make(i), known: map[core.HostName]route.Load{}}
		e.inFlight, e.sent = map[core.HostName]int{}, map[core.HostName]int{}
		p.entries = append(p.entries, e)
	}
	return p
}

func ours(entry int) router { return real{&route.Router{Seed: uint64(entry)}} }

func naive(entry int) router { return random{rand.New(rand.NewPCG(uint64(entry), 3))} }

func oldReport(int) router { return oldest{} }

func (p *play) at(t time.Time, do func(now time.Time)) {
	p.events.Push(t, do)
}

func (p *play) run() {
	for p.events.Len() > 0 {
		now, do := p.events.Pop()
		do(now)
	}
}

// request is a request of 100 ms with a patience.
func request(n int, at time.Time, patience time.Duration, prefixes ...uint64) core.Request {
	return core.Request{
		ID: core.RequestID(fmt.Sprint("r", n)), Target: ledger, Arrived: at,
		Deadline: at.Add(patience), Prefixes: prefixes,
	}
}

// send lets a request arrive at an entry.
func (p *play) send(r core.Request, e int, took time.Duration) {
	p.at(r.Arrived, func(now time.Time) { p.route(now, job{Request: r, entry: e, took: took}) })
}

func (p *play) route(now time.Time, j job) {
	e := p.entries[j.entry]
	q := route.Query{Request: j.Request, Costs: costs}
	for _, h := range p.hosts {
		q.Candidates = append(q.Candidates, route.Candidate{
			Host: h.name, Load: e.known[h.name], InFlight: e.inFlight[h.name], Sent: e.sent[h.name],
		})
	}
	name := e.router.choose(now, q, func(h core.HostName) route.Load {
		e.known[h], e.sent[h] = p.host(h).load(now), 0
		return e.known[h]
	})
	e.inFlight[name]++
	e.sent[name]++
	j.sent = now
	p.take(now, p.host(name), j)
}

func (p *play) host(name core.HostName) *host {
	return p.hosts[slices.IndexFunc(p.hosts, func(h *host) bool { return h.name == name })]
}

// take is a request's arrival at a host, which loads the model if it must.
func (p *play) take(now time.Time, h *host, j job) {
	for _, x := range j.Prefixes {
		hit := h.find(x)
		if x == j.Prefixes[len(j.Prefixes)-1] {
			p.found[j.Prefixes[0]] += hit
		}
	}
	if h.ready.IsZero() {
		h.loads++
		h.ready = now.Add(costs.Item[core.TierStore])
		p.at(h.ready, func(now time.Time) { p.start(now, h) })
	}
	h.queue = append(h.queue, j)
	p.start(now, h)
}

func (p *play) start(now time.Time, h *host) {
	for !h.ready.After(now) && h.running < h.slots && len(h.queue) > 0 {
		j := h.queue[0]
		h.queue = h.queue[1:]
		h.running++
		took := time.Duration(float64(j.took) * h.slow(now))
		p.at(now.Add(took), func(now time.Time) { p.answer(now, h, j) })
	}
}

func (p *play) answer(now time.Time, h *host, j job) {
	h.running--
	h.served++
	p.start(now, h)
	e := p.entries[j.entry]
	e.inFlight[h.name]--
	e.known[h.name], e.sent[h.name] = h.load(now), 0
	e.router.observe(now, route.Report{Host: h.name, Target: j.Target, Took: now.Sub(j.sent), Cost: int64(j.took / (100 * time.Millisecond))})
	p.waits = append(p.waits, now.Sub(j.Arrived))
	if j.took == 100*time.Millisecond {
		p.short = append(p.short, now.Sub(j.Arrived))
	}
	if !now.After(j.Deadline) {
		p.good++
	}
}

func quantile(waits []time.Duration, q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(waits))
	return sorted[int(q*float64(len(sorted)-1))]
}

func (p *play) loads() int {
	n := 0
	for _, h := range p.hosts {
		n += h.loads
	}
	return n
}

// stream sends requests with exponential gaps through the entries in turn.
func (p *play) stream(seed uint64, perSecond float64, span time.Duration, each func(rng *rand.Rand, r *core.Request) time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 5))
	at := t0
	for n := 0; ; n++ {
		at = at.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		if at.Sub(t0) > span {
			return
		}
		r := request(n, at, 2*time.Second)
		took := each(rng, &r)
		p.send(r, n%len(p.entries), took)
	}
}
