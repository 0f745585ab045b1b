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

// store hands out the weight store's slots while this entry decides.
type store struct {
	limits config.Store
	clock  core.Clock

	mu       sync.Mutex
	in       bool
	models   slots.Pool
	adapters slots.Pool
}

// decides begins or ends this entry's term. Fresh tells that nobody has decided
// before, so that no predecessor's slots can be in use.
func (s *store) decides(in, fresh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.in == in {
		return
	}
	s.in = in
	begins := s.clock.Now()
	if fresh {
		begins = begins.Add(-slots.Lifetime)
	}
	s.models = slots.Pool{Rate: s.limits.Starts, Parallel: s.limits.Parallel, DeciderSince: begins}
	s.adapters = slots.Pool{Parallel: s.limits.Adapters, DeciderSince: begins}
}

// serve answers an agent. A slot granted to another load meanwhile is found by
// its agent when it asks again.
func (s *store) serve(c *wire.SlotCall) *wire.SlotReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.in {
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

// slot asks the deciding entry for leave to read from the weight store.
func (n *Node) slot(ctx context.Context, c *wire.SlotCall) (*wire.SlotReply, error) {
	holder := n.world.decider()
	h, ok := n.world.host(holder)
	if !ok {
		return nil, &UnknownHostError{Host: holder}
	}
	return n.client.Slot(ctx, peer.Target{Host: holder, Address: h.spec.Control}, c)
}
