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

// store is a weight store in fake time. Transfers share it: each moves at full
// speed while no more than parallel are in flight, and in proportion slower
// beyond that. With shared set, slowness takes from the whole; else from each.
type store struct {
	parallel int
	speed    float64 // bytes a second of a transfer by itself
	factor   float64 // 1 at full speed
	shared   bool
	moving   []*transfer
	moved    time.Time
	most     int
}

type transfer struct {
	left float64
	done func()
}

// each returns the present speed of one transfer.
func (s *store) each() float64 {
	n := float64(len(s.moving))
	if s.shared {
		return s.speed * min(1, s.factor*float64(s.parallel)/n)
	}
	return s.speed * s.factor * min(1, float64(s.parallel)/n)
}

// play is a fleet of agents that load from one store under a pool, by their
// local shares, or all at once.
type play struct {
	rng    *rand.Rand
	now    time.Time
	queue  eventq.Queue[func()]
	store  *store
	pool   *Pool
	locals []*Local
	loads  map[string]*load
	wakes  time.Time
	epoch  int // of the store's next completion
	done   []*load
}

type load struct {
	ask     Ask
	agent   int
	arrived time.Time
	began   time.Time
	ended   time.Time
	reading bool
	dead    bool
}

func newPlay(s *store, p *Pool) *play {
	s.factor, s.moved = 1, start
	if p != nil {
		p.Begins = start.Add(-Lifetime)
	}
	return &play{rng: rand.New(rand.NewPCG(7, 7)), now: start, store: s, pool: p, loads: make(map[string]*load)}
}

func (p *play) after(d time.Duration, do func()) {
	p.queue.Push(p.now.Add(max(0, d)), do)
}

func (p *play) run(d time.Duration) {
	end := p.now.Add(d)
	for next, ok := p.queue.NextTime(); ok && !next.After(end); next, ok = p.queue.NextTime() {
		var do func()
		p.now, do = p.queue.Pop()
		do()
	}
	p.now = end
}

// want has an agent need a load.
func (p *play) want(agent int, a Ask) *load {
	a.ID = fmt.Sprintf("load-%05d", len(p.loads))
	a.Host = core.HostName(fmt.Sprint("upstream-", agent))
	l := &load{ask: a, agent: agent, arrived: p.now}
	p.loads[a.ID] = l
	switch {
	case p.pool != nil:
		p.renew(l)
	case p.locals != nil:
		p.tryLocal(l)
	default:
		p.read(l)
	}
	return l
}

// renew asks for a slot or renews it, until the load has ended.
func (p *play) renew(l *load) {
	if l.dead || !l.ended.IsZero() || p.pool == nil {
		return
	}
	l.ask.Holding = l.reading
	p.grant(p.pool.Ask(p.now, l.ask))
	p.after(RenewAfter, func() { p.renew(l) })
}

func (p *play) grant(grants []Grant) {
	for _, g := range grants {
		if l := p.loads[g.ID]; !l.reading && !l.dead && l.ended.IsZero() {
			p.read(l)
		}
	}
	next := p.pool.Next(p.now)
	if next.IsZero() || (p.wakes.After(p.now) && !next.Before(p.wakes)) {
		return
	}
	p.wakes = next
	p.after(next.Sub(p.now), func() {
		if p.pool != nil {
			p.grant(p.pool.Tick(p.now))
		}
	})
}

func (p *play) tryLocal(l *load) {
	again, ok := p.locals[l.agent].Start(p.now)
	if ok {
		p.read(l)
		return
	}
	p.after(again.Sub(p.now)+time.Millisecond, func() { p.tryLocal(l) })
}

// read starts the transfer of a load.
func (p *play) read(l *load) {
	l.reading, l.began = true, p.now
	p.advance()
	p.store.moving = append(p.store.moving, &transfer{left: float64(l.ask.Size), done: func() { p.end(l) }})
	p.store.most = max(p.store.most, len(p.store.moving))
	p.plan()
}

func (p *play) end(l *load) {
	l.ended, l.reading = p.now, false
	p.done = append(p.done, l)
	took := p.now.Sub(l.began)
	switch {
	case l.dead:
	case p.pool != nil:
		p.grant(p.pool.Release(p.now, l.ask.ID, took))
	case p.locals != nil:
		p.locals[l.agent].End(l.ask.Size, took)
	}
}

// advance moves all transfers on to the present.
func (p *play) advance() {
	s := p.store
	moved := s.each() * p.now.Sub(s.moved).Seconds()
	s.moved = p.now
	for _, t := range s.moving {
		t.left -= moved
	}
}

// plan sets the event of the next completion.
func (p *play) plan() {
	p.epoch++
	epoch := p.epoch
	least := math.Inf(1)
	for _, t := range p.store.moving {
		least = min(least, t.left)
	}
	if len(p.store.moving) == 0 {
		return
	}
	p.after(time.Duration(least/p.store.each()*1e9)+1, func() {
		if p.epoch == epoch {
			p.complete()
		}
	})
}

func (p *play) complete() {
	p.advance()
	var over []*transfer
	p.store.moving = slices.DeleteFunc(p.store.moving, func(t *transfer) bool {
		if t.left > 0 {
			return false
		}
		over = append(over, t)
		return true
	})
	p.plan()
	for _, t := range over {
		t.done()
	}
}

func (p *play) slowTo(factor float64) {
	p.advance()
	p.store.factor = factor
	p.plan()
}

// waits returns the times from wish to end of the loads that keep accepts.
func waits(loads []*load, keep func(*load) bool) []time.Duration {
	var out []time.Duration
	for _, l := range loads {
		if keep(l) {
			out = append(out, l.ended.Sub(l.arrived))
		}
	}
	slices.Sort(out)
	return out
}

func all(*load) bool { return true }

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}
