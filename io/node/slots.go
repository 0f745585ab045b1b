package node

import (
	"context"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/slots"
	"radishwell/io/config"
	"radishwell/io/peer"
	"radishwell/io/relay"
	"radishwell/wire"
)

// slotServer grants the slots of the weight store while this entry is the decider. A
// slot is the permission to read one model or adapter from the store.
type slotServer struct {
	limits config.Store
	clock  core.Clock

	mu       sync.Mutex
	deciding bool
	models   slots.Pool
	adapters slots.Pool
}

// setDeciding begins or ends this entry's time as decider. first is set if there was
// no decider before it, so that no slots of an earlier decider can be in use.
func (s *slotServer) setDeciding(deciding, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deciding == deciding {
		return
	}
	s.deciding = deciding
	begins := s.clock.Now()
	if first {
		begins = begins.Add(-slots.Lifetime)
	}
	s.models = slots.Pool{Rate: s.limits.Starts, Parallel: s.limits.Parallel, DeciderSince: begins}
	s.adapters = slots.Pool{Parallel: s.limits.Adapters, DeciderSince: begins}
}

// serve serves an agent's request for a slot, its renewal or its release. If the pool
// grants slots to other requests in the same step, their agents learn of it when they ask
// again.
func (s *slotServer) serve(c *wire.SlotCall) *wire.SlotReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.deciding {
		return &wire.SlotReply{NotDecider: true}
	}
	pool := &s.models
	if c.GetAdapter() {
		pool = &s.adapters
	}
	now := s.clock.Now()
	if c.GetRelease() {
		pool.Release(now, c.GetId(), time.Duration(c.GetTook()))
		return &wire.SlotReply{}
	}
	grants := pool.Request(now, slots.Request{
		ID: c.GetId(), Host: core.HostName(c.GetHost()), Owner: core.OwnerName(c.GetOwner()), Class: core.Class(c.GetClass()),
		Deadline: relay.Time(c.GetDeadline()), Size: core.Bytes(c.GetBytes()), Holding: c.GetHolding(),
	})
	for _, g := range grants {
		if g.ID == c.GetId() {
			return &wire.SlotReply{Granted: true, Expires: g.Expires.UnixNano()}
		}
	}
	return &wire.SlotReply{AskAgain: pool.Next(now).UnixNano()}
}

// requestSlot asks the decider for a slot of the weight store.
func (n *Node) requestSlot(ctx context.Context, c *wire.SlotCall) (*wire.SlotReply, error) {
	holder := n.fleet.decider()
	h, ok := n.fleet.host(holder)
	if !ok {
		return nil, &UnknownHostError{Host: holder}
	}
	return n.client.Slot(ctx, peer.Target{Host: holder, Address: h.spec.Control}, c)
}
