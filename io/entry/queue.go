package entry

import (
	"context"
	"time"

	"radishwell/core"
	"radishwell/core/admit"
	"radishwell/core/queue"
	"radishwell/io/events"
	"radishwell/io/front"
	"radishwell/io/loop"
	"radishwell/io/meter"
)

// awaitTurn admits a request and waits until it may start. It returns nil if the request
// has started; release must be called then.
func (e *Entry) awaitTurn(ctx context.Context, c *front.Call) *core.Refusal {
	t, refusal := e.enqueue(c)
	if refusal != nil {
		return refusal
	}
	select {
	case <-t.decided:
		return t.refusal
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-t.decided:
		// The request started or was refused at the same moment. If it started, the
		// caller of awaitTurn releases it.
		return t.refusal
	default:
	}
	e.queue.Remove(t.request.ID)
	e.refuse(t, core.Refuse(core.CodeCancelled, "the caller went away"))
	return t.refusal
}

func (e *Entry) enqueue(c *front.Call) (*waiter, *core.Refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	if refusal := e.book.Refuse(now, c.Request.Fingerprint); refusal != nil {
		events.Log(events.RequestQuarantined, "request", c.Request.ID, "fingerprint", c.Request.Fingerprint)
		return nil, refusal
	}
	bounds := e.bounds(c)
	if refusal := e.admit.Check(now, c.Request, bounds); refusal != nil {
		return nil, refusal
	}
	t := &waiter{request: c.Request, decided: make(chan struct{})}
	e.waiters[c.Request.ID] = t
	e.lane(c.Request.Target)
	pushed := e.queue.Push(now, queue.Item{
		ID: c.Request.ID, Lane: c.Request.Target.Name(), Owner: c.Request.Owner, Caller: c.Request.Caller,
		Class: c.Request.Class, Deadline: c.Request.Deadline, Cost: cost(c.Request), Size: c.Request.Size,
	})
	e.refuseAll(pushed.Displaced)
	if pushed.Refusal != nil {
		delete(e.waiters, c.Request.ID)
		return nil, pushed.Refusal
	}
	// A request that the queue refuses is not counted against its owner's rate.
	e.admit.Take(now, c.Request, bounds)
	e.schedule(now)
	loop.Wake(e.alarm)
	return t, nil
}

func cost(r core.Request) int64 { return max(1, int64(r.Tokens)) }

func (e *Entry) bounds(c *front.Call) admit.Bounds {
	b := admit.Bounds{Owner: c.Account.Limits, Caller: c.Account.CallerLimits, Target: c.Entry.Limits, Share: e.Share()}
	if p, ok := e.Snapshot().Pool(c.Request.Target.Service); ok {
		b.Service = p.Limits
	}
	return b
}

func (e *Entry) lane(t core.Target) *lane {
	l := e.lanes[t.Name()]
	if l == nil {
		l = &lane{target: t}
		e.lanes[t.Name()] = l
	}
	return l
}

// schedule starts the requests that may start and refuses those that have expired. The
// lock is held.
func (e *Entry) schedule(now time.Time) {
	e.refuseAll(e.queue.Expire(now))
	for {
		item, ok := e.queue.Pop(now, e.freePlaces)
		e.refuseAll(e.queue.Expire(now))
		if !ok {
			return
		}
		e.start(now, e.waiters[item.ID])
	}
}

// holds maps each scope of an exhausted concurrency limit to the part of the queue that
// it holds back.
var holds = map[admit.Scope]queue.Hold{
	admit.Owner: queue.HoldOwner, admit.Caller: queue.HoldCaller, admit.Target: queue.HoldLane, admit.Service: queue.HoldLane,
}

// holdFor returns the part of the queue that concurrency limits hold back because of an
// item, queue.Go if the item may start. An item that may not start keeps its place.
func (e *Entry) holdFor(i queue.Item) queue.Hold {
	scope, blocked := e.admit.Blocked(i.ID)
	if !blocked {
		return queue.Go
	}
	return holds[scope]
}

// freePlaces returns how many more requests of a lane may be in progress.
func (e *Entry) freePlaces(name string) int {
	l := e.lanes[name]
	window := minWindow
	// Listing the hosts makes membership judge each of them, so it is done only for a
	// limit that needs their number.
	if entry, ok := e.Snapshot().Entry(l.target); ok && entry.Limits.Concurrency > 0 {
		window = max(window, windowFactor*entry.Limits.Concurrency*len(e.Hosts(l.target)))
	}
	return window - l.running
}

// start lets a waiting request start.
func (e *Entry) start(now time.Time, t *waiter) {
	if t == nil || t.refusal != nil {
		return
	}
	e.admit.Start(now, t.request.ID)
	e.lane(t.request.Target).running++
	e.running[t.request.Class]++
	delete(e.waiters, t.request.ID)
	e.Meter.Hop(meter.EntryQueue, t.request.Arrived, now)
	close(t.decided)
}

func (e *Entry) refuseAll(refused []queue.Refused) {
	for _, r := range refused {
		if t := e.waiters[r.Item.ID]; t != nil {
			e.refuse(t, r.Refusal)
		}
	}
}

// refuse refuses a waiting request.
func (e *Entry) refuse(t *waiter, refusal *core.Refusal) {
	if t.refusal != nil {
		return
	}
	t.refusal = refusal
	delete(e.waiters, t.request.ID)
	e.admit.Done(e.Clock.Now(), t.request.ID)
	close(t.decided)
}

// release frees a request's place after its end.
func (e *Entry) release(c *front.Call, refusal *core.Refusal, cold bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	end := queue.Served
	switch {
	case refusal != nil:
		end = queue.Failed
	case cold:
		end = queue.ServedCold
	}
	e.queue.Finish(now, c.Request.ID, end)
	e.admit.Done(now, c.Request.ID)
	e.lane(c.Request.Target).running--
	e.running[c.Request.Class]--
	e.schedule(now)
	loop.Wake(e.alarm)
}
