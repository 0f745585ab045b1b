package deploy

import (
	"context"
	"errors"
	"net/rpc"
	"slices"
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/core/rtable"
	"radishwell/io/peer"
	"radishwell/wire"
)

// FetchError reports an adapter that was not loaded.
type FetchError struct{ Reason string }

// Error implements error.
func (e *FetchError) Error() string { return "the adapter was not loaded: " + e.Reason }

// Fetch implements core.AdapterLoader by a call to the host's agent.
func (l *links) Fetch(ctx context.Context, host core.HostName, model core.ModelName, adapter string) error {
	h, held, ok := l.host(host)
	table := l.entry.proxy.Table()
	if !ok || table == nil || table.Services[h.Service] == nil {
		return &FetchError{Reason: "the host has left"}
	}
	ctx, stop := context.WithTimeout(ctx, fetchTimeout)
	defer stop()
	in := &wire.AdapterCall{
		Instance: string(h.ID), Model: string(model), Adapter: adapter, Wait: int64(fetchTimeout),
		Limits: limitsOf(table.Services[h.Service], held, model),
	}
	reply, err := callAgent(l, h, func(to peer.Target, upstream []byte) (*wire.AdapterReply, error) {
		in.Upstream = upstream
		return l.entry.client.Adapter(ctx, to, in)
	})
	if err != nil {
		return err
	}
	if !reply.GetLoaded() {
		return &FetchError{Reason: reply.GetReason()}
	}
	return nil
}

// callAgent calls the agent of a host, or the entry that orders the host in place of an agent.
// An entry that orders some engines of a data centre does not order this one if the host has
// an agent, which this entry may not know if it does not poll that agent. The other entry
// then refuses the call, and callAgent calls the agent.
func callAgent[R any](l *links, h fleet.Entry, call func(to peer.Target, upstream []byte) (R, error)) (R, error) {
	to, upstream := l.target(h.Address, h.DataCentre)
	reply, err := call(to, upstream)
	var refused rpc.ServerError
	if upstream != nil && errors.As(err, &refused) {
		return call(l.agentTarget(h.Address), nil)
	}
	return reply, err
}

// host returns the registry entry of a host and its loaded models; false if the host is
// unknown.
func (l *links) host(id core.HostName) (e fleet.Entry, held []core.HeldModel, ok bool) {
	l.entry.proxy.Update(func(v *fleet.View, now time.Time) {
		if h := v.Host(id); h != nil {
			e, held, ok = h.Entry, h.Holds(now), true
		}
	})
	return e, held, ok
}

// RecordUse implements core.AdapterLoader.
func (l *links) RecordUse(host core.HostName, model core.ModelName, adapter string) {
	h, _, _ := l.host(host)
	if !l.entry.feed.Direct() {
		l.entry.feed.RecordAdapterUse(h.Address, string(model)+"/"+adapter)
		return
	}
	k := l.link(h.Address)
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.used[string(model)+"/"+adapter] = true
}

// limitsOf returns the memory limits of a service's upstreams and the sizes of the named
// models and those that the host holds, which an agent needs to load the named ones. It
// leaves out other models: in a catalogue of hundreds of models, their sizes would be most
// of the bytes that entries send to agents.
func limitsOf(s *rtable.Service, held []core.HeldModel, names ...core.ModelName) *wire.UpstreamLimits {
	out := &wire.UpstreamLimits{Memory: int64(s.Memory), AdapterPlaces: uint32(s.AdapterSlots)}
	for _, m := range held {
		names = append(names, m.Model)
	}
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		if m, ok := s.Models[name]; ok {
			out.Sizes = append(out.Sizes, &wire.ModelSize{Model: string(name), Weights: int64(m.Weights), Adapter: int64(m.Adapter)})
		}
	}
	return out
}
