package proxy

import (
	"cmp"
	"context"
	"time"

	"radishwell/core/queue"
	"radishwell/core/turn"
	"radishwell/io/loop"
)

const (
	// maxLooks bounds the requests of a lane that are examined in one round. Those behind them
	// are examined once these have started.
	maxLooks = 32
	// minRoundGap is the least time between two rounds. Reports and ends of requests come
	// hundreds of times a second.
	minRoundGap = 10 * time.Millisecond
	// anyNumber is the number of requests of a lane that may start, which checkHold decides.
	anyNumber = 1 << 20
)

// checkHold reports whether the queue's next item may start. The caller holds mu.
func (p *Proxy) checkHold(i queue.Item) queue.Hold {
	w := p.waiters[i.ID]
	switch {
	case w.done():
		return queue.HoldCaller // it was examined before in this round
	case p.looks[i.Lane] >= maxLooks:
		return queue.HoldRoom
	}
	p.looks[i.Lane]++
	next := w.call.look(p.lastRound)
	switch {
	case next.refusal != nil:
		w.refusal = next.refusal
		p.refused = append(p.refused, w)
		return queue.HoldCaller
	case next.reason == forRoom && w.call.verdict == turn.HoldLate && !w.late:
		w.late = true
		p.overdue = append(p.overdue, w)
		return queue.HoldCaller
	case next.reason == notWaiting && w.awaitsRoom(p.lastRound, next):
		return queue.HoldRoom
	case next.reason == notWaiting:
		return queue.Go
	}
	p.settle(p.lastRound, w, next)
	if next.reason == forRoom {
		return queue.HoldRoom
	}
	return queue.HoldCaller
}

// runRound starts the requests whose turn it is, in the queue's order, and refuses those that
// cannot be served in time. The caller holds mu.
func (p *Proxy) runRound(now time.Time) {
	p.lastRound, p.nextRound = now, now.Add(recheckInterval)
	p.refuseLeaving(now)
	if p.queue.Len() == 0 {
		return
	}
	clear(p.looks)
	for {
		item, ok := p.queue.Pop(now, func(string) int { return anyNumber })
		for _, r := range p.queue.Expire(now) {
			w := p.waiters[r.Item.ID]
			if w.late {
				p.refuse(w, w.call.turnedAway(r.Refusal))
				continue
			}
			p.putBehind(now, w)
		}
		again := len(p.refused)+len(p.overdue) > 0
		for _, w := range p.overdue {
			p.putBehind(now, w)
		}
		p.overdue = p.overdue[:0]
		for _, w := range p.refused {
			p.queue.Remove(w.id)
			p.refuse(w, w.refusal)
		}
		p.refused = p.refused[:0]
		if ok {
			p.startWaiter(now, p.waiters[item.ID])
		}
		if !ok && !again {
			return
		}
	}
}

// takeTurn gives a request that the queue has started its turn, which endTurn or refuse ends. The
// caller holds mu.
func (p *Proxy) takeTurn(w *waiter) {
	delete(p.waiters, w.id)
	w.call.turnID = w.id
}

// startWaiter starts a request whose turn it is.
func (p *Proxy) startWaiter(now time.Time, w *waiter) {
	p.takeTurn(w)
	if !p.settle(now, w, w.call.look(now)) {
		// Nothing changed since the queue was told that it may start.
		p.refuse(w, w.call.giveUpWaiting(false))
	}
}

// refuseLeaving refuses the requests that may wait no longer. The caller holds mu.
func (p *Proxy) refuseLeaving(now time.Time) {
	stopping := !p.drainAt.IsZero() && !now.Before(p.drainAt)
	for _, w := range p.waiters {
		if now.Before(w.leaves) {
			p.roundBy(w.leaves)
			continue
		}
		p.queue.Remove(w.id)
		p.refuse(w, w.call.giveUpWaiting(stopping))
	}
}

// wake makes waiting requests look for a host again. The caller holds mu.
func (p *Proxy) wake() {
	if p.queue.Len() == 0 {
		return
	}
	p.roundBy(p.lastRound.Add(minRoundGap))
	loop.Wake(p.alarm)
}

// takeTurns runs the rounds until the context ends.
func (p *Proxy) takeTurns(ctx context.Context) {
	for ctx.Err() == nil {
		p.mu.Lock()
		now := p.Clock.Now()
		pause := time.Duration(0)
		if p.queue.Len() > 0 {
			if !now.Before(p.nextRound) {
				p.runRound(now)
			}
			pause = max(time.Millisecond, p.nextRound.Sub(now))
		}
		p.mu.Unlock()
		p.awaitRound(ctx, pause)
	}
}

// awaitRound waits for the pause, for any time if it is zero, or until a round may be due.
func (p *Proxy) awaitRound(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(cmp.Or(pause, time.Hour))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-p.alarm:
	case <-timer.C:
	}
}
