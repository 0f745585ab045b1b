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

// FetchError reports an adapter that an agent could not have loaded.
type FetchError struct{ Reason string }

// Error implements error.
func (e *FetchError) Error() string { return "the adapter was not loaded: " + e.Reason }

// Fetch implements core.AdapterLoader.
func (l *links) Fetch(ctx context.Context, host core.HostName, model core.ModelName, adapter string) error {
	h, held, ok := l.host(host)
	table := l.entry.proxy.Table()
	if !ok || table == nil || table.Services[h.Service] == nil {
		return &FetchError{Reason: "the host has left"}
	}
	ctx, stop := context.WithTimeout(ctx, fetchTime)
	defer stop()
	in := &wire.AdapterCall{
		Instance: string(h.ID), Model: string(model), Adapter: adapter, Wait: int64(fetchTime),
		Limits: limitsOf(table.Services[h.Service], held, model),
	}
	reply, err := ordered(l, h, func(to peer.Target, upstream []byte) (*wire.AdapterReply, error) {
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

// ordered calls whoever orders a host. An entry that orders some engines of a data centre
// may not order this one, which has an agent that this process does not follow; the agent
// is called then.
func ordered[R any](l *links, h fleet.Entry, call func(to peer.Target, upstream []byte) (R, error)) (R, error) {
	to, upstream := l.agent(h.Address, h.DataCentre)
	reply, err := call(to, upstream)
	var refused rpc.ServerError
	if upstream != nil && errors.As(err, &refused) {
		return call(l.beside(h.Address), nil)
	}
	return reply, err
}

// host returns the registry's entry of a host and what it holds.
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
		l.entry.feed.Used(h.Address, string(model)+"/"+adapter)
		return
	}
	k := l.at(h.Address)
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.used[string(model)+"/"+adapter] = true
}

// limitsOf returns what an agent needs to know of a service's models to load some of
// them on a host: the sizes of these and of what the host holds. In a catalogue of
// hundreds of models all sizes would be most of what entries send to agents.
func limitsOf(s *rtable.Service, held []core.HeldModel, names ...core.ModelName) *wire.UpstreamLimits {
	out := &wire.UpstreamLimits{Memory: int64(s.Memory), AdapterPlaces: uint32(s.AdapterPlaces)}
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
