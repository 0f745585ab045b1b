package proxy

import (
	"context"
	"strconv"
	"time"

	"radishwell/core"
	"radishwell/core/queue"
	"radishwell/core/turn"
	"radishwell/io/loop"
	"radishwell/io/meter"
)

const (
	// maxReturns bounds the lanes whose callers' returns are spread.
	maxReturns = 4096
	// minReturnGap is the least time between the returns of two callers.
	minReturnGap = time.Millisecond
)

// waiter is a request that waits for its turn. Proxy.mu guards its fields.
type waiter struct {
	// id is the item's in the queue: unlike those of requests it is unique in this process.
	id   core.RequestID
	call *call
	// leaves is when the request may wait no longer.
	leaves time.Time
	// late is set if the request can no longer be in time and waits behind those that can.
	late bool
	// decided is closed once target or refusal is set.
	decided chan struct{}
	target  *target
	fetch   bool
	refusal *core.Refusal
	// asks receives the next ask for room at a host. askedAt is the host while the ask waits,
	// empty otherwise; startBy is when the request starts in any case, and askAgain when it may
	// ask again.
	asks              chan roomAsk
	askedAt           core.HostName
	startBy, askAgain time.Time
}

func (w *waiter) done() bool { return w.target != nil || w.refusal != nil }

// waitingRoom holds the requests that wait at this entry. Proxy.mu guards it.
type waitingRoom struct {
	queue   queue.Queue
	waiters map[core.RequestID]*waiter
	lastID  uint64
	// asking counts the asks for room that wait.
	asking int
	// sendsAtOnce is set if no request waits for room at hosts.
	sendsAtOnce bool
	// ranks remembers which requests come for each service, and returns when refused callers
	// return to each lane.
	ranks   map[core.ServiceName]*turn.Ranks
	returns map[string]*turn.Returns
	// looks counts the examined requests of each lane in the current round, which was begun at
	// lastRound. nextRound is the latest time of the next one. refused are the requests that were
	// found to be refused in it.
	looks                map[string]int
	lastRound, nextRound time.Time
	refused              []*waiter
	// overdue are the requests that were found to be late in the round.
	overdue []*waiter
	// alarm receives a value when nextRound may have changed.
	alarm chan struct{}
}

func (p *Proxy) startWaitingRoom() {
	p.waitingRoom = waitingRoom{
		queue: queue.Queue{Strict: true, CheckHold: p.checkHold}, waiters: map[core.RequestID]*waiter{},
		ranks: map[core.ServiceName]*turn.Ranks{}, returns: map[string]*turn.Returns{},
		looks: map[string]int{}, alarm: make(chan struct{}, 1),
	}
	p.Meter.Waiting(p.Held)
}

// Held returns the number of requests that wait at this entry.
func (p *Proxy) Held() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Len()
}

// HoldForRoom sets whether requests wait at this entry until hosts have room beside more urgent
// ones. Otherwise they are sent or refused on arrival. Requests that wait keep their places.
func (p *Proxy) HoldForRoom(hold bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sendsAtOnce = !hold
	p.wake()
}

// UsePaces sets whether the measured paces of engines affect the choice of hosts.
func (p *Proxy) UsePaces(use bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.UsePaces(use)
	p.wake()
}

// lane returns the name of the resource that the request waits for.
func (c *call) lane() string { return string(c.service.Name) + "/" + string(c.query.Model) }

// awaitTurn returns the host that the request is sent to, once it is its turn. fetch is set if
// the request's adapter has to be loaded there first.
func (c *call) awaitTurn(ctx context.Context) (t *target, fetch bool, refusal *core.Refusal) {
	p := c.proxy
	w := p.enqueue(c)
	decided := c.awaitDecision(ctx, w)
	p.mu.Lock()
	if !w.done() {
		p.remove(w)
		w.refusal = c.expired(ctx)
	}
	p.endAsk(w) // nothing asks for it any more
	p.mu.Unlock()
	if decided {
		return w.target, w.fetch, w.refusal
	}
	if w.target != nil {
		c.abandon(w.target) // it was its turn at the same moment
		return nil, false, c.expired(ctx)
	}
	return nil, false, w.refusal
}

// enqueue decides on a request at once if none waits for the same resource. Otherwise, or if it
// cannot start, it waits.
func (p *Proxy) enqueue(c *call) *waiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	p.lastID++
	w := &waiter{
		id: core.RequestID(strconv.FormatUint(p.lastID, 10)), call: c, leaves: c.callerLeavesAt().Add(-refusalMargin),
		decided: make(chan struct{}), asks: make(chan roomAsk, 1),
	}
	if !p.drainAt.IsZero() {
		w.leaves = core.Earlier(w.leaves, p.drainAt)
	}
	c.place = p.queue.LaneLen(c.lane())
	if c.place == 0 && p.settle(now, w, c.look(now)) {
		return w
	}
	w.late = c.verdict == turn.HoldLate
	if !p.push(now, w) {
		return w
	}
	if c.place > 0 {
		c.noteWaiting(now, forRoom)
		p.runRound(now)
	}
	p.roundBy(w.leaves)
	loop.Wake(p.alarm)
	return w
}

// lateClass is the class of requests that can no longer be in time.
const lateClass = core.Class(core.PriorityLevels - 1)

// push has a request wait among those that can be in time, or behind them if it is late or the
// queue foresees that it will be. It refuses the request, and returns false, if the queue is full.
// The caller holds mu.
func (p *Proxy) push(now time.Time, w *waiter) bool {
	for {
		pushed := p.queue.Push(now, w.call.item(w))
		for _, r := range pushed.Displaced {
			p.refuse(p.waiters[r.Item.ID], p.waiters[r.Item.ID].call.turnedAway(r.Refusal))
		}
		switch {
		case pushed.Refusal == nil:
			p.waiters[w.id] = w
			return true
		case w.late:
			p.refuse(w, w.call.turnedAway(pushed.Refusal))
			return false
		}
		w.late = true
	}
}

// putBehind moves a request that waits behind those that can be in time. The caller holds mu.
func (p *Proxy) putBehind(now time.Time, w *waiter) {
	if w.done() {
		return
	}
	p.queue.Remove(w.id)
	delete(p.waiters, w.id)
	w.late = true
	p.push(now, w)
}

// item returns the request as an item of the queue. A request that may have run, or that is late,
// keeps its place until its caller leaves, whatever the queue foresees: that comes from the few
// requests of one entry, and is good enough to tell who can be in time, not who will be served.
func (c *call) item(w *waiter) queue.Item {
	i := queue.Item{
		ID: w.id, Lane: c.lane(), Class: core.Class(c.rank), Cost: int64(c.own/time.Millisecond) + int64(c.query.Answer),
		Size: core.Bytes(len(c.body)), Deadline: w.leaves,
	}
	switch {
	case w.late:
		i.Class, i.Deadline = lateClass, time.Time{}
	case c.route.Target > 0 && !c.proxy.sendsAtOnce:
		i.Deadline = core.Earlier(w.leaves, c.arrived.Add(core.TimeAllowed(c.route.Target)))
	}
	if c.customer != nil {
		i.Owner = c.customer.Name
	}
	if shared := c.query.Parts; len(shared) > 1 {
		i.Caller = core.CallerName(shared[len(shared)-2].ID)
	}
	if c.started || c.ran > 0 {
		i.Class, i.Deadline = 0, time.Time{}
	}
	return i
}

// settle applies what becomes of a request, and reports whether it is decided. The caller holds
// mu.
func (p *Proxy) settle(now time.Time, w *waiter, next prospect) bool {
	c := w.call
	switch {
	case next.refusal != nil:
		p.refuse(w, next.refusal)
		return true
	case next.reason != notWaiting:
		c.noteWaiting(now, next.reason)
		p.roundBy(next.startBy)
		w.startBy = next.startBy
		if next.reason == forRoom {
			p.askForRoom(now, w, next)
		}
		return false
	}
	w.target, w.fetch, w.refusal = c.start(now, next.choice)
	if w.refusal != nil {
		p.refuse(w, w.refusal)
		return true
	}
	c.noteWaiting(now, notWaiting)
	close(w.decided)
	return true
}

// roundBy makes the next round come at the given time at the latest, if it is not zero. The
// caller holds mu.
func (p *Proxy) roundBy(at time.Time) {
	if !at.IsZero() {
		p.nextRound = core.Earlier(p.nextRound, at)
	}
}

// refuse refuses a request that has not been decided. The caller holds mu.
func (p *Proxy) refuse(w *waiter, refusal *core.Refusal) {
	delete(p.waiters, w.id)
	p.queue.Finish(p.Clock.Now(), w.call.turnID, queue.Failed)
	w.call.turnID = ""
	w.refusal = refusal
	w.call.noteWaiting(p.Clock.Now(), notWaiting)
	close(w.decided)
}

// remove removes a request whose caller has left. The caller holds mu.
func (p *Proxy) remove(w *waiter) {
	p.queue.Remove(w.id)
	delete(p.waiters, w.id)
	w.call.noteWaiting(p.Clock.Now(), notWaiting)
}

// turnedAway returns the refusal of a request that the queue refuses.
func (c *call) turnedAway(by *core.Refusal) *core.Refusal {
	if c.ran > 0 {
		return c.lost()
	}
	now := c.proxy.Clock.Now()
	c.verdict = turn.Refuse
	return core.RefuseUntil(by.Code, by.Reason, c.spreadReturn(now, core.Later(now.Add(retryPause), by.RetryAt), 1))
}

// spreadReturn returns when the caller is to return, given when there should be room for it at
// the number of hosts: after those that were refused before it.
func (c *call) spreadReturn(now, room time.Time, hosts int) time.Time {
	p := c.proxy
	lane := c.lane()
	r := p.returns[lane]
	if r == nil {
		if len(p.returns) >= maxReturns {
			clear(p.returns)
		}
		r = &turn.Returns{}
		p.returns[lane] = r
	}
	entries := 1
	if p.Entries != nil {
		entries = p.Entries()
	}
	gap := p.view.PrefillTime() * time.Duration(entries) / time.Duration(max(1, hosts))
	return r.At(room, max(gap, minReturnGap), c.retryAt(c.deadline.Sub(now)))
}

// noteWaiting records why the request waits from now on. Requests that wait for a copy of their
// model count as demand for it. The caller holds the proxy's mu.
func (c *call) noteWaiting(now time.Time, reason waitReason) {
	switch c.waits {
	case forCopy:
		c.waitTime += now.Sub(c.waitsSince)
	case forRoom:
		c.heldTime += now.Sub(c.waitsSince)
	}
	before := c.waits
	c.waits, c.waitsSince = reason, now
	switch {
	case before == notWaiting && reason != notWaiting && len(c.query.Tried) > 0:
		c.triesAgainAt = now.Add(retryPause)
		c.proxy.roundBy(c.triesAgainAt)
	case reason == notWaiting:
		c.triesAgainAt = time.Time{}
	}
	if before != forCopy && reason == forCopy {
		c.refund()
	}
	if (before == forCopy) == (reason == forCopy) || c.query.Model == "" {
		return
	}
	if reason == forCopy {
		c.proxy.demand.AddWaiting(c.query.Model, 1)
		c.proxy.Kick()
		return
	}
	c.proxy.demand.AddWaiting(c.query.Model, -1)
	c.setContinuing(false)
}

// endTurn records that a request that had waited has got its first answer, or did not.
func (c *call) endTurn(end queue.End) {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.turnID == "" {
		return
	}
	if end == queue.Served && c.waitTime > 0 {
		end = queue.ServedCold
	}
	p.queue.Finish(p.Clock.Now(), c.turnID, end)
	c.turnID = ""
	p.wake()
}

// recordTurn counts how the request came to its turn.
func (c *call) recordTurn(r *core.Refusal) {
	outcome := meter.TurnAtOnce
	switch {
	case r != nil && c.verdict == turn.Refuse:
		outcome = meter.TurnRefused
	case c.heldTime > 0:
		outcome = meter.TurnHeld
	case c.waitTime > 0:
		outcome = meter.TurnAfterLoad
	}
	c.proxy.Meter.Turn(outcome, c.heldTime)
}
