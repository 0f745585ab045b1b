package slots

import (
	"time"

	"golang.org/x/time/rate"

	"radishwell/core"
)

const (
	// Lifetime is how long a slot is valid without renewal: the time for which a
	// host that died keeps others from reading. Four renewals may be lost.
	Lifetime = 4 * time.Second
	// RenewAfter is how often holders and waiting agents ask again.
	RenewAfter = 800 * time.Millisecond
)

// Ask is an agent's request for a slot, or its renewal.
type Ask struct {
	// ID identifies the load; asking again with it changes nothing.
	ID    string
	Host  core.HostName
	Owner core.OwnerName
	Class core.Class
	// Deadline is that of the most urgent request that waits for the load.
	Deadline time.Time
	Size     core.Bytes
	// Holding tells that the agent has the slot already and is reading.
	Holding bool
}

// Grant is a slot given to an agent.
type Grant struct {
	ID      string
	Host    core.HostName
	Expires time.Time
}

// Pool hands out the slots of one store limit at the decider. It is not safe
// for concurrent use. Fields are set before the first call.
//
// Each method returns the slots granted by the event, renewals included.
type Pool struct {
	// Rate is the number of loads the store starts a second; zero for no limit.
	Rate float64
	// Parallel is the number of transfers that the store moves at full speed.
	Parallel int
	// Begins is when this decider took office. It grants nothing new until a
	// slot's lifetime later: by then all holders of its predecessor's slots have
	// renewed them here or lost them. Without the wait, a change of decider would
	// double what is in flight.
	Begins time.Time

	starts *rate.Limiter
	held   map[string]*slot
	line   line
	knee   knee
	// area is the number of slots held, integrated over time in seconds: the
	// difference over a transfer gives how many ran beside it on average.
	area   float64
	areaAt time.Time
}

type slot struct {
	ask     Ask
	expires time.Time
	began   time.Time
	// area is the pool's area when the slot was granted.
	area float64
}

// Ask takes a request or a renewal. A waiting request that isn't repeated for a
// Lifetime is forgotten.
func (p *Pool) Ask(now time.Time, a Ask) []Grant {
	p.init()
	if s := p.held[a.ID]; s != nil {
		s.expires = now.Add(Lifetime)
		return append(p.fill(now), Grant{ID: a.ID, Host: a.Host, Expires: s.expires})
	}
	if a.Holding {
		p.line.remove(a.ID)
		return append(p.fill(now), p.hold(now, a))
	}
	p.line.put(now, a)
	return p.fill(now)
}

// Release takes a slot back. Took is how long the transfer took; zero where it
// failed or was given up, and also for a request that waits no more.
func (p *Pool) Release(now time.Time, id string, took time.Duration) []Grant {
	p.init()
	p.line.remove(id)
	if s := p.held[id]; s != nil {
		p.integrate(now)
		p.knee.measure(now, p.beside(now, s), s.ask.Size, took)
		delete(p.held, id)
	}
	return p.fill(now)
}

// Tick is called at the time that Next returns.
func (p *Pool) Tick(now time.Time) []Grant {
	p.init()
	return p.fill(now)
}

// Next returns when Tick is due; zero where nothing is waited for.
func (p *Pool) Next(now time.Time) time.Time {
	if p.line.len() == 0 {
		return time.Time{}
	}
	next := now.Add(RenewAfter)
	if open := p.Begins.Add(Lifetime); now.Before(open) {
		return open
	}
	for _, s := range p.held {
		next = earlier(next, s.expires)
	}
	if p.Rate > 0 && len(p.held) < p.Limit(now) {
		missing := max(0, 1-p.starts.TokensAt(now))
		next = earlier(next, now.Add(time.Duration(missing/p.Rate*float64(time.Second))+time.Millisecond))
	}
	return next
}

// Held returns the number of slots handed out.
func (p *Pool) Held() int { return len(p.held) }

// Waiting returns the number of requests without a slot.
func (p *Pool) Waiting() int { return p.line.len() }

// Limit returns the most slots that are handed out at present.
func (p *Pool) Limit(now time.Time) int { return p.knee.limit(now, p.Parallel) }

func (p *Pool) init() {
	if p.held != nil {
		return
	}
	p.held = make(map[string]*slot)
	limit := rate.Inf
	if p.Rate > 0 {
		limit = rate.Limit(p.Rate)
	}
	p.starts = rate.NewLimiter(limit, 1)
}

// fill grants slots while there are any.
func (p *Pool) fill(now time.Time) []Grant {
	p.expire(now)
	var out []Grant
	if now.Before(p.Begins.Add(Lifetime)) {
		return nil
	}
	for p.line.len() > 0 && len(p.held) < p.Limit(now) && p.starts.AllowN(now, 1) {
		out = append(out, p.hold(now, p.line.pop()))
	}
	return out
}

func (p *Pool) hold(now time.Time, a Ask) Grant {
	p.integrate(now)
	s := &slot{ask: a, expires: now.Add(Lifetime), began: now, area: p.area}
	p.held[a.ID] = s
	return Grant{ID: a.ID, Host: a.Host, Expires: s.expires}
}

// integrate brings the area up to now; it is called before the number of slots
// held changes.
func (p *Pool) integrate(now time.Time) {
	if !p.areaAt.IsZero() {
		p.area += float64(len(p.held)) * now.Sub(p.areaAt).Seconds()
	}
	p.areaAt = now
}

// beside returns how many slots were held on average while this one was.
func (p *Pool) beside(now time.Time, s *slot) int {
	seconds := now.Sub(s.began).Seconds()
	if seconds <= 0 {
		return len(p.held)
	}
	return int((p.area-s.area)/seconds + 0.5)
}

func (p *Pool) expire(now time.Time) {
	for id, s := range p.held {
		if !now.Before(s.expires) {
			p.integrate(now)
			delete(p.held, id)
		}
	}
	p.line.expire(now)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
