package slots

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"radishwell/core"
	"radishwell/core/eventq"
)

var start = time.Date(2026, 3, 1, 20, 0, 0, 0, time.UTC)

// simStore is a weight store in simulated time. Each transfer moves at full
// speed while at most parallel are in progress, and proportionally slower
// beyond that. The slowdown factor applies to the total bandwidth if shared is
// set, and to each transfer otherwise.
type simStore struct {
	parallel     int
	speed        float64 // bytes per second of a single transfer
	factor       float64 // 1 at full speed
	shared       bool
	transfers    []*transfer
	updatedAt    time.Time
	maxTransfers int
}

type transfer struct {
	remaining float64
	done      func()
}

// transferSpeed returns the present speed of one transfer.
func (s *simStore) transferSpeed() float64 {
	n := float64(len(s.transfers))
	if s.shared {
		return s.speed * min(1, s.factor*float64(s.parallel)/n)
	}
	return s.speed * s.factor * min(1, float64(s.parallel)/n)
}

// simulation is a fleet of agents that load from one store with a pool, with
// local shares, or without limits.
type simulation struct {
	rng      *rand.Rand
	now      time.Time
	events   eventq.Queue[func()]
	store    *simStore
	pool     *Pool
	locals   []*Local
	loads    map[string]*simLoad
	nextTick time.Time
	epoch    int // of the store's next completion
	done     []*simLoad
}

type simLoad struct {
	request Request
	agent   int
	arrived time.Time
	began   time.Time
	ended   time.Time
	reading bool
	dead    bool
}

func newSimulation(s *simStore, p *Pool) *simulation {
	s.factor, s.updatedAt = 1, start
	if p != nil {
		p.DeciderSince = start.Add(-Lifetime)
	}
	return &simulation{rng: rand.New(rand.NewPCG(7, 7)), now: start, store: s, pool: p, loads: make(map[string]*simLoad)}
}

func (p *simulation) schedule(d time.Duration, do func()) {
	p.events.Push(p.now.Add(max(0, d)), do)
}

func (p *simulation) run(d time.Duration) {
	end := p.now.Add(d)
	for next, ok := p.events.NextTime(); ok && !next.After(end); next, ok = p.events.NextTime() {
		var do func()
		p.now, do = p.events.Pop()
		do()
	}
	p.now = end
}

// request makes an agent request a load.
func (p *simulation) request(agent int, r Request) *simLoad {
	r.ID = fmt.Sprintf("load-%05d", len(p.loads))
	r.Host = core.HostName(fmt.Sprint("upstream-", agent))
	l := &simLoad{request: r, agent: agent, arrived: p.now}
	p.loads[r.ID] = l
	switch {
	case p.pool != nil:
		p.renew(l)
	case p.locals != nil:
		p.tryLocal(l)
	default:
		p.startTransfer(l)
	}
	return l
}

// renew requests a slot or renews it until the load has ended.
func (p *simulation) renew(l *simLoad) {
	if l.dead || !l.ended.IsZero() || p.pool == nil {
		return
	}
	l.request.Holding = l.reading
	p.handleGrants(p.pool.Request(p.now, l.request))
	p.schedule(RenewAfter, func() { p.renew(l) })
}

func (p *simulation) handleGrants(grants []Grant) {
	for _, g := range grants {
		if l := p.loads[g.ID]; !l.reading && !l.dead && l.ended.IsZero() {
			p.startTransfer(l)
		}
	}
	next := p.pool.Next(p.now)
	if next.IsZero() || (p.nextTick.After(p.now) && !next.Before(p.nextTick)) {
		return
	}
	p.nextTick = next
	p.schedule(next.Sub(p.now), func() {
		if p.pool != nil {
			p.handleGrants(p.pool.Tick(p.now))
		}
	})
}

func (p *simulation) tryLocal(l *simLoad) {
	again, ok := p.locals[l.agent].Start(p.now)
	if ok {
		p.startTransfer(l)
		return
	}
	p.schedule(again.Sub(p.now)+time.Millisecond, func() { p.tryLocal(l) })
}

// startTransfer starts the transfer of a load.
func (p *simulation) startTransfer(l *simLoad) {
	l.reading, l.began = true, p.now
	p.advance()
	p.store.transfers = append(p.store.transfers, &transfer{remaining: float64(l.request.Size), done: func() { p.finish(l) }})
	p.store.maxTransfers = max(p.store.maxTransfers, len(p.store.transfers))
	p.scheduleCompletion()
}

func (p *simulation) finish(l *simLoad) {
	l.ended, l.reading = p.now, false
	p.done = append(p.done, l)
	took := p.now.Sub(l.began)
	switch {
	case l.dead:
	case p.pool != nil:
		p.handleGrants(p.pool.Release(p.now, l.request.ID, took))
	case p.locals != nil:
		p.locals[l.agent].End(l.request.Size, took)
	}
}

// advance moves all transfers on to the present time.
func (p *simulation) advance() {
	s := p.store
	moved := s.transferSpeed() * p.now.Sub(s.updatedAt).Seconds()
	s.updatedAt = p.now
	for _, t := range s.transfers {
		t.remaining -= moved
	}
}

// scheduleCompletion schedules the next completion of a transfer.
func (p *simulation) scheduleCompletion() {
	p.epoch++
	epoch := p.epoch
	least := math.Inf(1)
	for _, t := range p.store.transfers {
		least = min(least, t.remaining)
	}
	if len(p.store.transfers) == 0 {
		return
	}
	p.schedule(time.Duration(least/p.store.transferSpeed()*1e9)+1, func() {
		if p.epoch == epoch {
			p.complete()
		}
	})
}

func (p *simulation) complete() {
	p.advance()
	var finished []*transfer
	p.store.transfers = slices.DeleteFunc(p.store.transfers, func(t *transfer) bool {
		if t.remaining > 0 {
			return false
		}
		finished = append(finished, t)
		return true
	})
	p.scheduleCompletion()
	for _, t := range finished {
		t.done()
	}
}

func (p *simulation) setSpeed(factor float64) {
	p.advance()
	p.store.factor = factor
	p.scheduleCompletion()
}

// latencies returns the sorted times from request to end of the loads for which
// include returns true.
func latencies(loads []*simLoad, include func(*simLoad) bool) []time.Duration {
	var out []time.Duration
	for _, l := range loads {
		if include(l) {
			out = append(out, l.ended.Sub(l.arrived))
		}
	}
	slices.Sort(out)
	return out
}

func all(*simLoad) bool { return true }

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}
