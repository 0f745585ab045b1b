package proxy

import (
	"context"
	"time"

	"radishwell/core"
)

const (
	// askTime is how long one ask for room waits. A request that gets none in that time looks
	// for a host anew.
	askTime = 300 * time.Millisecond
	// askPause is the least time between an ask that was not granted and the next one.
	askPause = 50 * time.Millisecond
	// maxAsks bounds the asks that wait at a time, and with askTime and askPause the messages that
	// an entry sends for room, however many requests wait at however many hosts.
	maxAsks = 24
)

// roomAsk is an ask for room at a host.
type roomAsk struct {
	host core.HostName
	core.RoomAsk
}

// askForRoom asks the agent of the chosen host for room for a request that waits. The caller
// holds mu.
//
// All entries learn by the same report that a host has room. If each started what it holds, the
// host would get many times what it has room for.
func (p *Proxy) askForRoom(now time.Time, w *waiter, next prospect) {
	if p.Rooms == nil || p.asking >= maxAsks || w.askedAt != "" || now.Before(w.askAgain) {
		return
	}
	c := w.call
	ask := roomAsk{host: next.choice.Host.ID, RoomAsk: core.RoomAsk{
		Rank: c.rank, Tokens: next.choice.Prefill, Reading: next.choice.Own, Ahead: next.ahead,
	}}
	if w.late {
		ask.Rank = int(lateClass)
	}
	if c.customer != nil {
		ask.Customer = c.customer.Name
	}
	select {
	case w.asks <- ask:
		w.askedAt = ask.host
		p.asking++
	default: // the request's goroutine has not taken the one before yet
	}
}

// awaitsRoom reports whether a request that could start at a host, by what this entry knows, waits
// for that host's agent to grant it. The caller holds mu.
func (w *waiter) awaitsRoom(now time.Time, next prospect) bool {
	return w.askedAt != "" && w.askedAt == next.choice.Host.ID && (w.startBy.IsZero() || now.Before(w.startBy))
}

// awaitDecision asks for room as the waiter wants it until the waiter is decided. It returns false
// if the context ends before.
func (c *call) awaitDecision(ctx context.Context, w *waiter) bool {
	granted := make(chan bool, 1)
	asking, stop := context.WithCancel(ctx)
	defer stop()
	for {
		select {
		case <-w.decided:
			return true
		case <-ctx.Done():
			return false
		case ask := <-w.asks:
			go func() {
				bounded, end := context.WithTimeout(asking, askTime)
				defer end()
				granted <- c.proxy.Rooms.Ask(bounded, ask.host, ask.RoomAsk)
			}()
		case ok := <-granted:
			c.proxy.applyRoom(w, ok)
		}
	}
}

// applyRoom applies the reply to an ask for room: the request starts if it was granted and the
// host still takes it.
func (p *Proxy) applyRoom(w *waiter, granted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, host := p.Clock.Now(), w.askedAt
	p.endAsk(w)
	w.askAgain = now.Add(askPause)
	if w.done() {
		return
	}
	p.roundBy(w.askAgain)
	c := w.call
	p.Meter.RoomAsked(granted)
	if !granted || c.refuseQuarantined(now) != nil {
		return
	}
	only := c.query
	only.Only = host
	choice := p.view.Pick(now, &only)
	if choice.Host == nil || choice.RateLimitDelay > 0 || !p.queue.Start(now, w.id) {
		return
	}
	c.recordChoice(now, choice)
	c.granted = true
	p.takeTurn(w)
	p.settle(now, w, prospect{choice: choice})
}

// endAsk records that a request's ask for room, if there is one, waits no longer. The caller holds
// mu.
func (p *Proxy) endAsk(w *waiter) {
	if w.askedAt != "" {
		w.askedAt = ""
		p.asking--
	}
}
