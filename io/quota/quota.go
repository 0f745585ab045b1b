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
	// renewInterval is how often an entry renews the delegation of its parts to its
	// keeper, and delegateTime how long each renewal is valid. Two renewals may be
	// lost.
	renewInterval = 250 * time.Millisecond
	delegateTime  = 650 * time.Millisecond
	// findInterval is how often an entry that has just started looks for its keeper.
	findInterval = 20 * time.Millisecond
	// callTimeout bounds a call of a keeper. Entries are a few milliseconds apart.
	callTimeout = 150 * time.Millisecond
	// unknownRetry is the time after which callers are to retry if the keeper does not
	// know the customer yet.
	unknownRetry = 200 * time.Millisecond
	// maxTries bounds the calls of keepers for one request.
	maxTries = 3
)

// Quota is one entry's access to the counts of all entries. Set the exported fields
// before Start; its methods may be called from several goroutines.
type Quota struct {
	Self      follow.Member
	Clock     core.Clock
	Tolerance admit.Tolerance
	// Seed seeds the random draws of the keeper.
	Seed uint64
	// Ask calls another entry.
	Ask func(ctx context.Context, to peer.Target, in *wire.AllowanceCall) (*wire.AllowanceReply, error)
	// Before returns the entries that precede this one in the order in which all
	// entries look for the keeper; false while the entries are not known.
	Before func() ([]follow.Member, bool)
	// Entries returns the number of entries.
	Entries func() int
	// Allowance returns a customer's allowance, false if the customer is not known.
	// Limited reports whether any customer has a limit.
	Allowance func(core.OwnerName) (admit.Allowance, bool)
	Limited   func() bool

	mu      sync.Mutex
	keeper  admit.Keeper
	chooser admit.Chooser
	// current is the keeper, to which this entry's parts are delegated.
	current follow.Member
	// found is set once a keeper has been found since the start.
	found bool
	// returned are units that were given back here. They may be used here, or are
	// reported to the keeper with the next renewal.
	returned map[core.OwnerName]float64
	// released are reservations at upstreams that were given back, reported likewise.
	released map[core.HostName]*wire.AllowanceUse
}

var (
	_ core.Quotas = (*Quota)(nil)
	_ core.Pacer  = (*Quota)(nil)
)

// Start initialises the quota. It is called before all other methods.
func (q *Quota) Start() {
	q.current = q.Self
	q.keeper = admit.Keeper{Tolerance: q.Tolerance, Seed: q.Seed, Since: q.Clock.Now()}
	q.returned = map[core.OwnerName]float64{}
	q.released = map[core.HostName]*wire.AllowanceUse{}
}

// Run renews the delegation periodically until the context ends.
func (q *Quota) Run(ctx context.Context) error {
	pause := findInterval
	for loop.Sleep(ctx, pause) {
		pause = renewInterval
		if !q.Limited() {
			continue
		}
		q.Renew(ctx)
		if !q.hasKeeper() {
			// Until a keeper is found, the entry has its own parts only and refuses
			// callers for lack of more.
			pause = findInterval
		}
	}
	return nil
}

func (q *Quota) hasKeeper() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.found
}

// Take implements core.Quotas.
func (q *Quota) Take(ctx context.Context, customer core.OwnerName, units float64) *core.Refusal {
	if q.useReturned(customer, units) {
		return nil
	}
	return q.refusal(customer, q.askKeeper(ctx, &wire.AllowanceUse{Customer: string(customer), Take: units}))
}

// askKeeper has the keeper decide on one use, or decides by this entry's own parts if
// no keeper responds.
func (q *Quota) askKeeper(ctx context.Context, use *wire.AllowanceUse) *wire.AllowanceReply {
	if !q.hasKeeper() {
		q.Renew(ctx)
	}
	uses := []*wire.AllowanceUse{use}
	for range maxTries {
		if reply, err := q.call(ctx, q.currentKeeper(), uses); err == nil {
			return reply
		}
		q.Renew(ctx)
	}
	return q.decide(uses)
}

// Reserve implements core.Pacer.
func (q *Quota) Reserve(ctx context.Context, upstream core.HostName, rate float64, by time.Time) (at time.Time, ok bool) {
	use := &wire.AllowanceUse{Upstream: string(upstream), Rate: rate, Take: 1, Ahead: int64(by.Sub(q.Clock.Now()))}
	answers := q.askKeeper(ctx, use).GetAnswers()
	now := q.Clock.Now()
	if len(answers) == 0 {
		return now.Add(unknownRetry), false
	}
	return now.Add(time.Duration(answers[0].GetLeft())), answers[0].GetTaken()
}

// Release implements core.Pacer.
func (q *Quota) Release(upstream core.HostName, rate float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	u := q.released[upstream]
	if u == nil {
		u = &wire.AllowanceUse{Upstream: string(upstream)}
		q.released[upstream] = u
	}
	u.Rate, u.Back = rate, u.GetBack()+1
}

// refusal returns why the keeper's reply to a single use forbids it; nil if the use is
// allowed.
func (q *Quota) refusal(customer core.OwnerName, reply *wire.AllowanceReply) *core.Refusal {
	wait := unknownRetry
	if answers := reply.GetAnswers(); len(answers) > 0 {
		if answers[0].GetTaken() {
			return nil
		}
		wait = time.Duration(answers[0].GetLeft())
	}
	at := q.Clock.Now().Add(wait)
	return core.RefuseUntil(core.CodeRateLimit, "the customer "+string(customer)+" has used up its allowance", at)
}

// useReturned takes units from those that were given back here, if they suffice.
func (q *Quota) useReturned(customer core.OwnerName, units float64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.returned[customer] < units {
		return false
	}
	q.returned[customer] -= units
	return true
}

// Refund implements core.Quotas.
func (q *Quota) Refund(customer core.OwnerName, units float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.returned[customer] += units
}

func (q *Quota) currentKeeper() follow.Member {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.current
}

// Renew delegates this entry's parts to the first keeper that responds, and reports the
// units and reservations that were given back. Those units are lost if the call fails, since it may have
// arrived.
func (q *Quota) Renew(ctx context.Context) {
	for {
		before, known := q.Before()
		if !known {
			return
		}
		to := q.chooseKeeper(before)
		_, err := q.call(ctx, to, q.collectReturns())
		if err == nil {
			q.setKeeper(ctx, to)
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// chooseKeeper returns the keeper to try next.
func (q *Quota) chooseKeeper(before []follow.Member) follow.Member {
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

// collectReturns returns and clears the units and reservations to be reported as given
// back.
func (q *Quota) collectReturns() []*wire.AllowanceUse {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []*wire.AllowanceUse
	for customer, units := range q.returned {
		if units > 0 {
			out = append(out, &wire.AllowanceUse{Customer: string(customer), Back: units})
		}
	}
	clear(q.returned)
	for _, u := range q.released {
		out = append(out, u)
	}
	clear(q.released)
	return out
}

// setKeeper records the keeper that responded, and ends the delegation to the previous
// one.
func (q *Quota) setKeeper(ctx context.Context, to follow.Member) {
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
	callCtx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	in := &wire.AllowanceCall{Entry: string(q.Self.Name)}
	if _, err := q.Ask(callCtx, targetOf(old), in); err != nil {
		// The delegation ends when it expires.
		events.Fail(events.PeerUnreachable, err, "address", old.Control)
	}
}

func targetOf(m follow.Member) peer.Target { return peer.Target{Host: m.Name, Address: m.Control} }

// call sends uses to a keeper, or decides on them here if this entry is the keeper.
func (q *Quota) call(ctx context.Context, to follow.Member, uses []*wire.AllowanceUse) (*wire.AllowanceReply, error) {
	if to.Name == q.Self.Name {
		return q.decide(uses), nil
	}
	callCtx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	in := &wire.AllowanceCall{Entry: string(q.Self.Name), Leave: int64(delegateTime), Uses: uses}
	reply, err := q.Ask(callCtx, targetOf(to), in)
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	if ctx.Err() == nil || err == nil {
		// The delegation holds even if the call failed, since it may have arrived.
		q.keeper.Delegate(now, now.Add(delegateTime))
	}
	switch {
	case err != nil && ctx.Err() == nil:
		events.Fail(events.PeerUnreachable, err, "address", to.Control)
		q.chooser.RecordFailure(now, to.Name)
	case err == nil:
		q.chooser.RecordResponse(to.Name)
	}
	return reply, err
}

// Serve serves a call of another entry that considers this one the keeper.
func (q *Quota) Serve(c *wire.AllowanceCall) (*wire.AllowanceReply, error) {
	q.mu.Lock()
	now, from := q.Clock.Now(), core.HostName(c.GetEntry())
	if c.GetLeave() > 0 {
		q.keeper.Renew(now, from, now.Add(min(delegateTime, time.Duration(c.GetLeave()))))
	} else {
		q.keeper.EndLease(from)
	}
	q.mu.Unlock()
	return q.decide(c.GetUses()), nil
}

func (q *Quota) decide(uses []*wire.AllowanceUse) *wire.AllowanceReply {
	entries := q.Entries()
	out := &wire.AllowanceReply{}
	for _, u := range uses {
		if u.GetUpstream() != "" {
			out.Answers = append(out.Answers, q.decideReservation(u, entries))
			continue
		}
		out.Answers = append(out.Answers, q.decideUse(u, entries))
	}
	return out
}

// decideReservation decides on a request to an upstream that names a rate limit.
func (q *Quota) decideReservation(u *wire.AllowanceUse, entries int) *wire.AllowanceAnswer {
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

// decideUse decides on the use of a customer's allowance.
func (q *Quota) decideUse(u *wire.AllowanceUse, entries int) *wire.AllowanceAnswer {
	customer := core.OwnerName(u.GetCustomer())
	allowance, ok := q.Allowance(customer)
	switch {
	case !ok:
		return &wire.AllowanceAnswer{Left: int64(unknownRetry)}
	case !allowance.Limited():
		return &wire.AllowanceAnswer{Taken: true}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	if back := u.GetBack(); back > 0 {
		q.keeper.Refund(now, customer, allowance, entries, back)
	}
	if u.GetTake() <= 0 {
		return &wire.AllowanceAnswer{Taken: true}
	}
	at, taken := q.keeper.Take(now, customer, allowance, entries, u.GetTake())
	return &wire.AllowanceAnswer{Taken: taken, Left: int64(at.Sub(now))}
}
