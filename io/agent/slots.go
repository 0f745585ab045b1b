package agent

import (
	"context"
	"time"

	"radishwell/core"
	"radishwell/core/slots"
	"radishwell/io/events"
	"radishwell/io/loop"
	"radishwell/wire"
)

const (
	// slotTime bounds one question to the decider.
	slotTime = 500 * time.Millisecond
	// slotPoll is how often due questions are looked for while loads wait.
	slotPoll = 20 * time.Millisecond
	// slotIdle is how long a slot outlives the last request that wanted it.
	slotIdle = 5 * time.Second
	// unknownAgents stands in for the number of agents that share the store while
	// the platform's list has not been seen.
	unknownAgents = 100
)

// slot is leave to read one item from the weight store, or the wish for it.
type slot struct {
	ask     slots.Request
	name    core.ModelName
	adapter bool
	granted bool
	// local tells that the leave is this agent's own, while the decider could
	// not be reached.
	local bool
	// began is when the read began, renewed when the decider was last told.
	began   time.Time
	renewed time.Time
	next    time.Time
	wanted  time.Time
	busy    bool
}

// leaveTo asks for leave to read an item from the store. It returns false until
// there is; the loop of askSlots asks the decider meanwhile. The lock is held.
func (a *Agent) leaveTo(now time.Time, name, base core.ModelName, class core.Class, deadline time.Time) bool {
	s := a.slots[name]
	if s == nil {
		s = &slot{name: name, adapter: base != "", next: now}
		s.ask = slots.Request{ID: string(a.Host) + "/" + string(name), Host: a.Host, Class: class, Deadline: deadline}
		if e, ok := a.Snapshot().Model(name); ok {
			s.ask.Owner, s.ask.Size = e.Owner, e.Memory
		}
		a.slots[name] = s
		loop.Wake(a.slotAlarm)
	}
	s.ask.Class = min(s.ask.Class, class)
	if deadline.Before(s.ask.Deadline) {
		s.ask.Deadline = deadline
	}
	s.wanted = now
	return s.granted
}

// endSlot gives a slot back after a load; took is zero where it failed.
func (a *Agent) endSlot(now time.Time, name core.ModelName, ok bool) {
	s := a.slots[name]
	if s == nil {
		return
	}
	delete(a.slots, name)
	var took time.Duration
	if ok && s.granted {
		took = now.Sub(s.began)
	}
	if s.local {
		a.localOf(s).End(s.ask.Size, took)
		return
	}
	a.localOf(s).Observe(s.ask.Size, took)
	a.work.Add(1)
	go func() {
		defer a.work.Done()
		ctx, stop := context.WithTimeout(context.WithoutCancel(a.base), slotTime)
		defer stop()
		call := slotCall(s)
		call.Release, call.Took = true, int64(took)
		// A lost release costs the fleet a slot for its lifetime.
		_, _ = a.Slot(ctx, call)
	}()
}

func (a *Agent) localOf(s *slot) *slots.Local {
	if s.adapter {
		return &a.ownAdapters
	}
	return &a.ownModels
}

func slotCall(s *slot) *wire.SlotCall {
	return &wire.SlotCall{
		Host: string(s.ask.Host), Name: string(s.name), Adapter: s.adapter, Class: uint32(s.ask.Class),
		Deadline: s.ask.Deadline.UnixNano(), Bytes: int64(s.ask.Size), Id: s.ask.ID, Owner: string(s.ask.Owner), Holding: s.granted,
	}
}

// askSlots asks the decider for the slots that loads wait for, and renews those
// that are held, until the context ends.
func (a *Agent) askSlots(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		due, more := a.dueSlots()
		for _, s := range due {
			go a.askSlot(ctx, s)
		}
		wait := time.Hour
		if more {
			wait = slotPoll
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-a.slotAlarm:
		case <-ctx.Done():
			return nil
		}
	}
}

// dueSlots returns the slots to ask for now, and whether there are any at all.
func (a *Agent) dueSlots() (due []*slot, more bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	for name, s := range a.slots {
		absent := a.ledger.Item(name).State == core.Absent
		if absent && now.After(s.wanted.Add(slotIdle)) {
			a.endSlot(now, name, false)
			continue
		}
		renew := s.granted && !s.local && now.After(s.renewed.Add(slots.RenewAfter))
		if !s.busy && (renew || !s.granted && !now.Before(s.next)) {
			s.busy = true
			due = append(due, s)
		}
	}
	return due, len(a.slots) > 0
}

// askSlot asks the decider once, and goes by the agent's own share of the limits
// where it does not answer.
func (a *Agent) askSlot(ctx context.Context, s *slot) {
	ctx, stop := context.WithTimeout(ctx, slotTime)
	defer stop()
	a.mu.Lock()
	call := slotCall(s)
	a.mu.Unlock()
	reply, err := a.Slot(ctx, call)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	s.busy = false
	switch {
	case err != nil || reply.GetNotDecider():
		a.ownLeave(now, s)
	case reply.GetGranted():
		a.localOf(s).Reset()
		a.grantSlot(now, s, false)
		s.renewed = now
	default:
		s.next = now.Add(slots.RenewAfter / 4)
	}
}

func (a *Agent) ownLeave(now time.Time, s *slot) {
	if s.granted {
		s.renewed = now
		return
	}
	events.Log(events.SlotFallback, "model", s.name, "host", a.Host)
	own := a.localOf(s)
	if own.Agents = a.Agents(); own.Agents == 0 {
		own.Agents = unknownAgents
	}
	at, ok := own.Start(now)
	if !ok {
		s.next = at
		return
	}
	a.grantSlot(now, s, true)
}

func (a *Agent) grantSlot(now time.Time, s *slot, local bool) {
	if s.granted {
		return
	}
	s.granted, s.local, s.began, s.renewed = true, local, now, now
	a.schedule(now)
	a.prewarmGranted(now, s)
}
