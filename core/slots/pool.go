package slots

import (
	"time"

	"golang.org/x/time/rate"

	"radishwell/core"
)

const (
	// Lifetime is how long a slot is valid without renewal, and so how long a
	// crashed host keeps others from reading. Four renewals may be lost.
	Lifetime = 4 * time.Second
	// RenewAfter is the interval at which agents renew their slots and their
	// waiting requests.
	RenewAfter = 800 * time.Millisecond
)

// Request is an agent's request for a slot, or the renewal of a slot or
// request.
type Request struct {
	// ID identifies the load. Repeating a request with the same ID only renews
	// it.
	ID    string
	Host  core.HostName
	Owner core.OwnerName
	Class core.Class
	// Deadline is that of the most urgent request that waits for the load.
	Deadline time.Time
	Size     core.Bytes
	// Holding is set if the agent has the slot already and is reading.
	Holding bool
}

// Grant is a slot granted to an agent.
type Grant struct {
	ID      string
	Host    core.HostName
	Expires time.Time
}

// Pool grants the slots of one store limit at the decider. The exported fields
// are set before the first call. A Pool is not safe for concurrent use.
//
// Each method that returns grants returns those that follow from the event,
// including renewals.
type Pool struct {
	// Rate is the number of loads that the store starts per second; zero means
	// no limit.
	Rate float64
	// Parallel is the number of transfers that the store moves at full speed.
	Parallel int
	// DeciderSince is when this entry became the decider. The pool grants no
	// new slot until one Lifetime later. By then all holders of slots of the
	// previous decider have renewed them here or lost them. Without the wait, a
	// change of decider would double the transfers in flight.
	DeciderSince time.Time

	startLimiter *rate.Limiter
	held         map[string]*slot
	queue        waitQueue
	knee         kneeFinder
	// slotSeconds is the number of slots held, integrated over time. Its
	// increase during a transfer, divided by the duration, is the mean number
	// of slots held during it.
	slotSeconds   float64
	slotSecondsAt time.Time
}

type slot struct {
	request   Request
	expires   time.Time
	grantedAt time.Time
	// startSlotSeconds is the pool's slotSeconds when the slot was granted.
	startSlotSeconds float64
}

// Request handles a request or a renewal. A waiting request that is not renewed
// for a Lifetime is dropped.
func (p *Pool) Request(now time.Time, r Request) []Grant {
	p.init()
	if s := p.held[r.ID]; s != nil {
		s.expires = now.Add(Lifetime)
		return append(p.grantFree(now), Grant{ID: r.ID, Host: r.Host, Expires: s.expires})
	}
	if r.Holding {
		p.queue.remove(r.ID)
		return append(p.grantFree(now), p.grant(now, r))
	}
	p.queue.add(now, r)
	return p.grantFree(now)
}

// Release releases a slot or withdraws a waiting request. took is the duration
// of the transfer; zero if it failed or was cancelled, and for a waiting
// request.
func (p *Pool) Release(now time.Time, id string, took time.Duration) []Grant {
	p.init()
	p.queue.remove(id)
	if s := p.held[id]; s != nil {
		p.updateSlotSeconds(now)
		p.knee.observe(now, p.meanConcurrency(now, s), s.request.Size, took)
		delete(p.held, id)
	}
	return p.grantFree(now)
}

// Tick grants slots that have become free. It is called at the time that Next
// returns.
func (p *Pool) Tick(now time.Time) []Grant {
	p.init()
	return p.grantFree(now)
}

// Next returns when Tick is due; zero if no request waits.
func (p *Pool) Next(now time.Time) time.Time {
	if p.queue.len() == 0 {
		return time.Time{}
	}
	next := now.Add(RenewAfter)
	if open := p.DeciderSince.Add(Lifetime); now.Before(open) {
		return open
	}
	for _, s := range p.held {
		next = core.Earlier(next, s.expires)
	}
	if p.Rate > 0 && len(p.held) < p.Limit(now) {
		missing := max(0, 1-p.startLimiter.TokensAt(now))
		next = core.Earlier(next, now.Add(time.Duration(missing/p.Rate*float64(time.Second))+time.Millisecond))
	}
	return next
}

// Held returns the number of slots held.
func (p *Pool) Held() int { return len(p.held) }

// Waiting returns the number of requests that wait for a slot.
func (p *Pool) Waiting() int { return p.queue.len() }

// Limit returns the present limit of slots held at once.
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
	p.startLimiter = rate.NewLimiter(limit, 1)
}

// grantFree grants slots to waiting requests while any are free.
func (p *Pool) grantFree(now time.Time) []Grant {
	p.expire(now)
	var out []Grant
	if now.Before(p.DeciderSince.Add(Lifetime)) {
		return nil
	}
	for p.queue.len() > 0 && len(p.held) < p.Limit(now) && p.startLimiter.AllowN(now, 1) {
		out = append(out, p.grant(now, p.queue.pop()))
	}
	return out
}

func (p *Pool) grant(now time.Time, r Request) Grant {
	p.updateSlotSeconds(now)
	s := &slot{request: r, expires: now.Add(Lifetime), grantedAt: now, startSlotSeconds: p.slotSeconds}
	p.held[r.ID] = s
	return Grant{ID: r.ID, Host: r.Host, Expires: s.expires}
}

// updateSlotSeconds adds the time since the last update. It is called before
// the number of held slots changes.
func (p *Pool) updateSlotSeconds(now time.Time) {
	if !p.slotSecondsAt.IsZero() {
		p.slotSeconds += float64(len(p.held)) * now.Sub(p.slotSecondsAt).Seconds()
	}
	p.slotSecondsAt = now
}

// meanConcurrency returns how many slots were held on average while this one
// was, including itself.
func (p *Pool) meanConcurrency(now time.Time, s *slot) int {
	seconds := now.Sub(s.grantedAt).Seconds()
	if seconds <= 0 {
		return len(p.held)
	}
	return int((p.slotSeconds-s.startSlotSeconds)/seconds + 0.5)
}

func (p *Pool) expire(now time.Time) {
	for id, s := range p.held {
		if !now.Before(s.expires) {
			p.updateSlotSeconds(now)
			delete(p.held, id)
		}
	}
	p.queue.expire(now)
}
