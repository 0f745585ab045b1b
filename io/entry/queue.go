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

// await admits a request and waits for its turn. It returns nil when the
// request may go on; release must be called then.
func (e *Entry) await(ctx context.Context, c *front.Call) *core.Refusal {
	t, refusal := e.enter(c)
	if refusal != nil {
		return refusal
	}
	select {
	case <-t.given:
		return t.refusal
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-t.given:
		// The turn came at the same moment; it is handed back by the caller.
		return t.refusal
	default:
	}
	e.queue.Remove(t.request.ID)
	e.drop(t, core.Refuse(core.CodeCancelled, "the caller went away"))
	return t.refusal
}

func (e *Entry) enter(c *front.Call) (*turn, *core.Refusal) {
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
	t := &turn{request: c.Request, given: make(chan struct{})}
	e.turns[c.Request.ID] = t
	e.lane(c.Request.Target)
	pushed := e.queue.Push(now, queue.Item{
		ID: c.Request.ID, Lane: c.Request.Target.Name(), Owner: c.Request.Owner, Caller: c.Request.Caller,
		Class: c.Request.Class, Deadline: c.Request.Deadline, Cost: cost(c.Request), Size: c.Request.Size,
	})
	e.refuseAll(pushed.Displaced)
	if pushed.Refusal != nil {
		delete(e.turns, c.Request.ID)
		return nil, pushed.Refusal
	}
	// A request that the queue refuses has used none of its owner's rate.
	e.admit.Take(now, c.Request, bounds)
	e.schedule(now)
	loop.Poke(e.alarm)
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

// schedule gives turns to the requests that may go on. The lock is held.
func (e *Entry) schedule(now time.Time) {
	e.refuseAll(e.queue.Expire(now))
	for {
		item, ok := e.queue.Pop(now, e.free)
		e.refuseAll(e.queue.Expire(now))
		if !ok {
			return
		}
		e.give(now, e.turns[item.ID])
	}
}

// holds are how far a concurrency limit that is in use reaches in the queue.
var holds = map[admit.Scope]queue.Hold{
	admit.Owner: queue.HoldOwner, admit.Caller: queue.HoldCaller, admit.Target: queue.HoldLane, admit.Service: queue.HoldLane,
}

// may tells the queue whether a request may start as far as concurrency limits
// go. One that may not keeps its place.
func (e *Entry) may(i queue.Item) queue.Hold {
	scope, blocked := e.admit.Blocked(i.ID)
	if !blocked {
		return queue.Go
	}
	return holds[scope]
}

// free tells how many more requests of a lane may be in progress.
func (e *Entry) free(name string) int {
	l := e.lanes[name]
	window := leastWindow
	// Membership judges the hosts at each call; only a limit asks how many.
	if entry, ok := e.Snapshot().Entry(l.target); ok && entry.Limits.Concurrency > 0 {
		window = max(window, windowFactor*entry.Limits.Concurrency*len(e.Hosts(l.target)))
	}
	return window - l.running
}

// give lets a request go on.
func (e *Entry) give(now time.Time, t *turn) {
	if t == nil || t.refusal != nil {
		return
	}
	e.admit.Start(now, t.request.ID)
	e.lane(t.request.Target).running++
	e.running[t.request.Class]++
	delete(e.turns, t.request.ID)
	e.Meter.Hop(meter.EntryQueue, t.request.Arrived, now)
	close(t.given)
}

func (e *Entry) refuseAll(list []queue.Refused) {
	for _, r := range list {
		if t := e.turns[r.Item.ID]; t != nil {
			e.drop(t, r.Refusal)
		}
	}
}

// drop refuses a request that waits.
func (e *Entry) drop(t *turn, refusal *core.Refusal) {
	if t.refusal != nil {
		return
	}
	t.refusal = refusal
	delete(e.turns, t.request.ID)
	e.admit.Done(e.Clock.Now(), t.request.ID)
	close(t.given)
}

// release returns a request's place after its end.
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
	loop.Poke(e.alarm)
}
