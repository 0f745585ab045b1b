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
	// slotTimeout bounds one call to the decider.
	slotTimeout = 500 * time.Millisecond
	// slotPollInterval is the time between two checks for slots to ask for or
	// renew, while there are any.
	slotPollInterval = 20 * time.Millisecond
	// slotIdleTimeout is how long a slot is kept after a load last asked for it.
	slotIdleTimeout = 5 * time.Second
	// assumedAgents is the number of agents assumed to share the store while the
	// platform's list of hosts has not been read.
	assumedAgents = 100
)

// slot is the permission to read one item from the weight store, or the pending
// request for it.
type slot struct {
	request slots.Request
	name    core.ModelName
	adapter bool
	granted bool
	// local is set if this agent granted the slot from its own share of the
	// limits because the decider could not be reached.
	local bool
	// grantedAt is when the slot was granted, lastRenewal when the decider was
	// last asked to renew it, whether it responded or not.
	grantedAt   time.Time
	lastRenewal time.Time
	// nextAsk is when the decider is asked again while the slot is not granted;
	// asking is set during a call.
	nextAsk time.Time
	asking  bool
	// lastWanted is when a load last asked for the slot.
	lastWanted time.Time
}

// ensureSlot reports whether a slot to read an item from the store is granted. If
// not, it records the request, and askSlots asks the decider. The caller holds
// mu.
func (a *Agent) ensureSlot(now time.Time, name, base core.ModelName, class core.Class, deadline time.Time) bool {
	s := a.slots[name]
	if s == nil {
		s = &slot{name: name, adapter: base != "", nextAsk: now}
		s.request = slots.Request{ID: string(a.Host) + "/" + string(name), Host: a.Host, Class: class, Deadline: deadline}
		if e, ok := a.Snapshot().Model(name); ok {
			s.request.Owner, s.request.Size = e.Owner, e.Memory
		}
		a.slots[name] = s
		loop.Wake(a.slotWake)
	}
	s.request.Class = min(s.request.Class, class)
	if deadline.Before(s.request.Deadline) {
		s.request.Deadline = deadline
	}
	s.lastWanted = now
	return s.granted
}

// endSlot releases a slot after a load; ok reports whether the load succeeded.
// The release carries the load's duration, 0 if it failed. The caller holds mu.
func (a *Agent) endSlot(now time.Time, name core.ModelName, ok bool) {
	s := a.slots[name]
	if s == nil {
		return
	}
	delete(a.slots, name)
	var took time.Duration
	if ok && s.granted {
		took = now.Sub(s.grantedAt)
	}
	if s.local {
		a.localShare(s).End(s.request.Size, took)
		return
	}
	a.localShare(s).Observe(s.request.Size, took)
	a.background.Add(1)
	go func() {
		defer a.background.Done()
		ctx, stop := context.WithTimeout(context.WithoutCancel(a.baseCtx), slotTimeout)
		defer stop()
		call := slotCall(s)
		call.Release, call.Took = true, int64(took)
		// If the release is lost, the slot stays taken until its lifetime ends.
		_, _ = a.Slot(ctx, call)
	}()
}

func (a *Agent) localShare(s *slot) *slots.Local {
	if s.adapter {
		return &a.localAdapters
	}
	return &a.localModels
}

func slotCall(s *slot) *wire.SlotCall {
	return &wire.SlotCall{
		Host: string(s.request.Host), Name: string(s.name), Adapter: s.adapter, Class: uint32(s.request.Class),
		Deadline: s.request.Deadline.UnixNano(), Bytes: int64(s.request.Size), Id: s.request.ID, Owner: string(s.request.Owner), Holding: s.granted,
	}
}

// askSlots asks the decider for the slots that loads wait for, and renews those
// that are held, until ctx ends.
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
			wait = slotPollInterval
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-a.slotWake:
		case <-ctx.Done():
			return nil
		}
	}
}

// dueSlots returns the slots to ask for or renew now, and reports whether there
// are any slots at all. It releases slots that are no longer wanted.
func (a *Agent) dueSlots() (due []*slot, more bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	for name, s := range a.slots {
		absent := a.ledger.Item(name).State == core.Absent
		if absent && now.After(s.lastWanted.Add(slotIdleTimeout)) {
			a.endSlot(now, name, false)
			continue
		}
		renew := s.granted && !s.local && now.After(s.lastRenewal.Add(slots.RenewAfter))
		if !s.asking && (renew || !s.granted && !now.Before(s.nextAsk)) {
			s.asking = true
			due = append(due, s)
		}
	}
	return due, len(a.slots) > 0
}

// askSlot asks the decider once. If the decider does not respond, the agent
// uses its own share of the limits.
func (a *Agent) askSlot(ctx context.Context, s *slot) {
	ctx, stop := context.WithTimeout(ctx, slotTimeout)
	defer stop()
	a.mu.Lock()
	call := slotCall(s)
	a.mu.Unlock()
	reply, err := a.Slot(ctx, call)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	s.asking = false
	switch {
	case err != nil || reply.GetNotDecider():
		a.grantLocally(now, s)
	case reply.GetGranted():
		a.localShare(s).Reset()
		a.grantSlot(now, s, false)
		s.lastRenewal = now
	default:
		s.nextAsk = now.Add(slots.RenewAfter / 4)
	}
}

func (a *Agent) grantLocally(now time.Time, s *slot) {
	if s.granted {
		s.lastRenewal = now
		return
	}
	events.Log(events.SlotFallback, "model", s.name, "host", a.Host)
	share := a.localShare(s)
	if share.Agents = a.Agents(); share.Agents == 0 {
		share.Agents = assumedAgents
	}
	at, ok := share.Start(now)
	if !ok {
		s.nextAsk = at
		return
	}
	a.grantSlot(now, s, true)
}

func (a *Agent) grantSlot(now time.Time, s *slot, local bool) {
	if s.granted {
		return
	}
	s.granted, s.local, s.grantedAt, s.lastRenewal = true, local, now, now
	a.schedule(now)
	a.prewarmGranted(now, s)
}
