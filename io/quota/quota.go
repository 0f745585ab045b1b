package quota

import (
	"context"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/admit"
	"radishwell/core/follow"
	"radishwell/io/events"
	"radishwell/io/loop"
	"radishwell/io/peer"
	"radishwell/wire"
)

const (
	// renewEvery is how often an entry renews what it has left with its keeper, and
	// leaveFor until when it leaves it each time: two renewals may be lost.
	renewEvery = 250 * time.Millisecond
	leaveFor   = 650 * time.Millisecond
	// findEvery is how often an entry that has just started looks for its keeper.
	findEvery = 20 * time.Millisecond
	// askTime bounds a call of a keeper. Entries are a few milliseconds apart.
	askTime = 150 * time.Millisecond
	// unknownLeft is when to come back where a keeper does not know the customer yet.
	unknownLeft = 200 * time.Millisecond
	// mostTries is how many keepers one request asks.
	mostTries = 3
)

// Quota is one entry's use of customers' allowances. Set the exported fields before
// Start; its methods may be called from several goroutines.
type Quota struct {
	Self      follow.Member
	Clock     core.Clock
	Tolerance admit.Tolerance
	// Seed seeds draws.
	Seed uint64
	// Ask calls another entry.
	Ask func(ctx context.Context, to peer.Target, in *wire.AllowanceCall) (*wire.AllowanceReply, error)
	// Before returns the entries that are asked before this one, in the order that all
	// entries share; false while the entries are not known.
	Before func() ([]follow.Member, bool)
	// Entries returns the number of entries.
	Entries func() int
	// Allowance returns a customer's allowance, false where it is not known. Limited
	// tells whether any customer has a limit.
	Allowance func(core.OwnerName) (admit.Allowance, bool)
	Limited   func() bool

	mu      sync.Mutex
	keeper  admit.Keeper
	chooser admit.Chooser
	// current is the entry that this one's parts are left with.
	current follow.Member
	// found tells that a keeper has been found since the start.
	found bool
	// held are units that were given back and are told with the next renewal.
	held map[core.OwnerName]float64
	// unsent are reservations at upstreams that were released, to be told likewise.
	unsent map[core.HostName]*wire.AllowanceUse
}

var (
	_ core.Quotas = (*Quota)(nil)
	_ core.Pacer  = (*Quota)(nil)
)

// Start makes the quota ready for calls.
func (q *Quota) Start() {
	q.current = q.Self
	q.keeper = admit.Keeper{Tolerance: q.Tolerance, Seed: q.Seed, Since: q.Clock.Now()}
	q.held = map[core.OwnerName]float64{}
	q.unsent = map[core.HostName]*wire.AllowanceUse{}
}

// Run renews again and again until the context ends.
func (q *Quota) Run(ctx context.Context) error {
	pause := findEvery
	for loop.Sleep(ctx, pause) {
		pause = renewEvery
		if !q.Limited() {
			continue
		}
		q.Renew(ctx)
		if !q.hasFound() {
			// An entry has its own parts only, and its callers are refused for it.
			pause = findEvery
		}
	}
	return nil
}

func (q *Quota) hasFound() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.found
}

// Take implements core.Quotas.
func (q *Quota) Take(ctx context.Context, customer core.OwnerName, units float64) *core.Refusal {
	if q.takeHeld(customer, units) {
		return nil
	}
	return q.refusal(customer, q.ask(ctx, &wire.AllowanceUse{Customer: string(customer), Take: units}))
}

// ask has the keeper decide on one use, or this entry by its own part where none answers.
func (q *Quota) ask(ctx context.Context, use *wire.AllowanceUse) *wire.AllowanceReply {
	if !q.hasFound() {
		q.Renew(ctx)
	}
	uses := []*wire.AllowanceUse{use}
	for range mostTries {
		if reply, err := q.call(ctx, q.keeperNow(), uses); err == nil {
			return reply
		}
		q.Renew(ctx)
	}
	return q.serve(uses)
}

// Reserve implements core.Pacer.
func (q *Quota) Reserve(ctx context.Context, upstream core.HostName, rate float64, by time.Time) (at time.Time, ok bool) {
	use := &wire.AllowanceUse{Upstream: string(upstream), Rate: rate, Take: 1, Ahead: int64(by.Sub(q.Clock.Now()))}
	answers := q.ask(ctx, use).GetAnswers()
	now := q.Clock.Now()
	if len(answers) == 0 {
		return now.Add(unknownLeft), false
	}
	return now.Add(time.Duration(answers[0].GetLeft())), answers[0].GetTaken()
}

// Release implements core.Pacer.
func (q *Quota) Release(upstream core.HostName, rate float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	u := q.unsent[upstream]
	if u == nil {
		u = &wire.AllowanceUse{Upstream: string(upstream)}
		q.unsent[upstream] = u
	}
	u.Rate, u.Back = rate, u.GetBack()+1
}

// refusal returns why the one use that was asked for may not be made; nil where it may.
func (q *Quota) refusal(customer core.OwnerName, reply *wire.AllowanceReply) *core.Refusal {
	left := unknownLeft
	if answers := reply.GetAnswers(); len(answers) > 0 {
		if answers[0].GetTaken() {
			return nil
		}
		left = time.Duration(answers[0].GetLeft())
	}
	at := q.Clock.Now().Add(left)
	return core.RefuseUntil(core.CodeRateLimit, "the customer "+string(customer)+" has used up its allowance", at)
}

func (q *Quota) takeHeld(customer core.OwnerName, units float64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.held[customer] < units {
		return false
	}
	q.held[customer] -= units
	return true
}

// Refund implements core.Quotas.
func (q *Quota) Refund(customer core.OwnerName, units float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.held[customer] += units
}

func (q *Quota) keeperNow() follow.Member {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.current
}

// Renew leaves this entry's parts with the first keeper that answers, and gives it the
// units back that were not used. Units are lost where the call fails: it may have arrived.
func (q *Quota) Renew(ctx context.Context) {
	for {
		before, known := q.Before()
		if !known {
			return
		}
		to := q.choose(before)
		_, err := q.call(ctx, to, q.takeBack())
		if err == nil {
			q.follow(ctx, to)
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// choose returns the keeper to try next.
func (q *Quota) choose(before []follow.Member) follow.Member {
	q.mu.Lock()
	defer q.mu.Unlock()
	order := make([]core.HostName, 0, len(before)+1)
	for _, m := range before {
		order = append(order, m.Name)
	}
	name := q.chooser.Choose(q.Clock.Now(), append(order, q.Self.Name))
	for _, m := range before {
		if m.Name == name {
			return m
		}
	}
	return q.Self
}

// takeBack returns the units that were given back.
func (q *Quota) takeBack() []*wire.AllowanceUse {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []*wire.AllowanceUse
	for customer, units := range q.held {
		if units > 0 {
			out = append(out, &wire.AllowanceUse{Customer: string(customer), Back: units})
		}
	}
	clear(q.held)
	for _, u := range q.unsent {
		out = append(out, u)
	}
	clear(q.unsent)
	return out
}

// follow notes the keeper that answered, and takes the parts back from the one before.
func (q *Quota) follow(ctx context.Context, to follow.Member) {
	q.mu.Lock()
	old := q.current
	q.current, q.found = to, true
	q.mu.Unlock()
	if old.Name == to.Name {
		return
	}
	events.Log(events.KeeperChanged, "keeper", to.Name, "before", old.Name)
	if old.Name == q.Self.Name {
		return
	}
	call, stop := context.WithTimeout(ctx, askTime)
	defer stop()
	in := &wire.AllowanceCall{Entry: string(q.Self.Name)}
	if _, err := q.Ask(call, target(old), in); err != nil {
		// The parts come back by their deadline.
		events.Fail(events.PeerUnreachable, err, "address", old.Control)
	}
}

func target(m follow.Member) peer.Target { return peer.Target{Host: m.Name, Address: m.Control} }

// call asks a keeper, this entry itself where it is the keeper.
func (q *Quota) call(ctx context.Context, to follow.Member, uses []*wire.AllowanceUse) (*wire.AllowanceReply, error) {
	if to.Name == q.Self.Name {
		return q.serve(uses), nil
	}
	ask, stop := context.WithTimeout(ctx, askTime)
	defer stop()
	in := &wire.AllowanceCall{Entry: string(q.Self.Name), Leave: int64(leaveFor), Uses: uses}
	reply, err := q.Ask(ask, target(to), in)
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	if ctx.Err() == nil || err == nil {
		// A call that failed may have arrived all the same.
		q.keeper.Elsewhere(now, now.Add(leaveFor))
	}
	switch {
	case err != nil && ctx.Err() == nil:
		events.Fail(events.PeerUnreachable, err, "address", to.Control)
		q.chooser.Failed(now, to.Name)
	case err == nil:
		q.chooser.Heard(to.Name)
	}
	return reply, err
}

// Serve answers another entry that takes this one for the keeper.
func (q *Quota) Serve(c *wire.AllowanceCall) (*wire.AllowanceReply, error) {
	q.mu.Lock()
	now, from := q.Clock.Now(), core.HostName(c.GetEntry())
	if c.GetLeave() > 0 {
		q.keeper.Renew(now, from, now.Add(min(leaveFor, time.Duration(c.GetLeave()))))
	} else {
		q.keeper.Leave(from)
	}
	q.mu.Unlock()
	return q.serve(c.GetUses()), nil
}

func (q *Quota) serve(uses []*wire.AllowanceUse) *wire.AllowanceReply {
	entries := q.Entries()
	out := &wire.AllowanceReply{}
	for _, u := range uses {
		if u.GetUpstream() != "" {
			out.Answers = append(out.Answers, q.reserve(u, entries))
			continue
		}
		out.Answers = append(out.Answers, q.use(u, entries))
	}
	return out
}

// reserve answers the use of an upstream that names a rate limit.
func (q *Quota) reserve(u *wire.AllowanceUse, entries int) *wire.AllowanceAnswer {
	q.mu.Lock()
	defer q.mu.Unlock()
	now, upstream := q.Clock.Now(), core.HostName(u.GetUpstream())
	if back := u.GetBack(); back > 0 {
		q.keeper.Release(now, upstream, u.GetRate(), entries, back)
	}
	if u.GetTake() <= 0 {
		return &wire.AllowanceAnswer{Taken: true}
	}
	at, taken := q.keeper.Reserve(now, upstream, u.GetRate(), entries, now.Add(time.Duration(u.GetAhead())))
	return &wire.AllowanceAnswer{Taken: taken, Left: int64(at.Sub(now))}
}

func (q *Quota) use(u *wire.AllowanceUse, entries int) *wire.AllowanceAnswer {
	customer := core.OwnerName(u.GetCustomer())
	allowance, ok := q.Allowance(customer)
	switch {
	case !ok:
		return &wire.AllowanceAnswer{Left: int64(unknownLeft)}
	case !allowance.Limited():
		return &wire.AllowanceAnswer{Taken: true}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	if back := u.GetBack(); back > 0 {
		q.keeper.Put(now, customer, allowance, entries, back)
	}
	if u.GetTake() <= 0 {
		return &wire.AllowanceAnswer{Taken: true}
	}
	at, taken := q.keeper.Take(now, customer, allowance, entries, u.GetTake())
	return &wire.AllowanceAnswer{Taken: taken, Left: int64(at.Sub(now))}
}
