package script

import (
	"maps"
	"slices"
	"time"

	"radishwell/core"
	"radishwell/core/ledger"
	"radishwell/core/place"
)

// agent is the process that controls the engine of a host.
type agent struct {
	proc
	w      *world
	host   *upstreamHost
	id     place.HostID
	ledger ledger.Ledger
	grants map[core.ModelName]object
	// listed is set if the grants have been listed from the platform.
	listed    bool
	listing   bool
	reporting bool
	releasing map[core.ModelName]bool
	wants     map[core.ModelName]bool
	uses      []ledger.Use
}

// startAgent starts a host's agent. It does nothing if another agent of the host
// is alive, paused or not, as that agent occupies the host's address.
func (w *world) startAgent(m *upstreamHost) {
	if !m.up {
		return
	}
	if m.agent != nil {
		if !w.faults["two-agents"] || !m.agent.paused {
			return
		}
	}
	a := &agent{
		w: w, host: m, id: place.HostID{Host: m.host.Name, UID: m.host.UID},
		grants: map[core.ModelName]object{}, releasing: map[core.ModelName]bool{},
		wants: map[core.ModelName]bool{},
	}
	a.proc = proc{name: string(m.host.Name), rate: 1, step: a.step, take: a.take}
	a.ledger = ledger.Ledger{ChecksFence: m.engine.checksFence, Started: w.now}
	if w.faults["no-settle"] {
		a.ledger.Started = w.now.Add(-ledger.MaxOrderDelay)
	}
	m.agent = a
}

func (a *agent) now() time.Time { return a.w.clock(&a.proc) }

func (a *agent) step() {
	a.list()
	a.report()
	a.order()
	for _, name := range slices.Sorted(maps.Keys(a.grants)) {
		a.releaseRevoked(name)
	}
	for _, it := range a.ledger.Items() {
		// Until the grants are listed, the agent serves what the engine holds.
		if _, held := a.held(it.Name); a.listed && !held {
			a.ledger.Unload(a.now(), it.Name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(a.wants)) {
		a.load(name)
	}
	a.order()
	if a.ledger.Superseded() {
		a.w.crash(&a.proc, true)
		a.host.agent = nil
	}
}

func (a *agent) held(name core.ModelName) (core.GrantState, bool) {
	o, ok := a.grants[name]
	if !ok || o.deleted {
		return "", false
	}
	return place.HolderState(o.grant, a.id)
}

func (a *agent) list() {
	if a.listed || a.listing {
		return
	}
	a.listing = true
	do := func() []object {
		objects, ok := a.w.store.list()
		if !ok {
			return nil
		}
		return objects
	}
	done := func(objects []object) {
		a.listing = false
		a.listed = objects != nil
		for _, o := range objects {
			a.take(o)
		}
	}
	call(a.w, &a.proc, nil, "list", do, done, func() { a.listing = false })
}

func (a *agent) report() {
	if a.reporting {
		return
	}
	a.reporting = true
	t := a.ledger.NewTicket(a.now())
	done := func(st core.EngineState) {
		a.reporting = false
		a.ledger.Report(a.now(), t, st)
	}
	call(a.w, &a.proc, a.host, "state", a.host.engine.state, done, func() { a.reporting = false })
}

func (a *agent) order() {
	o, ok := a.ledger.Next(a.now())
	if !ok {
		return
	}
	a.sendOrder(o, func(r ledger.Reply) { a.ledger.Answer(a.now(), r) })
}

func (a *agent) sendOrder(o ledger.Order, done func(ledger.Reply)) {
	label := "unload " + string(o.Unload.Name)
	if o.Kind == ledger.LoadItem {
		label = "load " + string(o.Load.Name)
	}
	do := func() ledger.Reply { return a.host.engine.order(o) }
	call(a.w, &a.proc, a.host, label, do, done, func() { done(fault(core.EngineLost)) })
	a.w.net[len(a.w.net)-1].order = true
}

// releaseRevoked unloads a model whose grant is revoked, and releases the grant
// once the model is proven to be unloaded.
func (a *agent) releaseRevoked(name core.ModelName) {
	state, held := a.held(name)
	if !held || a.releasing[name] || state == core.GrantActive && !a.w.faults["release-active"] {
		return
	}
	if !a.ledger.ProvenAbsent(name) && !a.w.faults["release-loaded"] {
		a.ledger.Unload(a.now(), name)
		return
	}
	o := a.grants[name]
	spec, ok := place.Release(o.grant, a.id)
	if !ok && a.w.faults["release-active"] {
		spec = o.grant
		spec.Holders = slices.DeleteFunc(slices.Clone(spec.Holders), func(h core.GrantHolder) bool { return h.Host == a.id.Host })
		ok = true
	}
	if !ok {
		return
	}
	a.releasing[name] = true
	do := func() result {
		return a.w.store.put(a.name, object{key: o.key, version: o.version, grant: spec})
	}
	done := func(r result) {
		delete(a.releasing, name)
		if !r.failed {
			a.take(r.object)
		}
	}
	call(a.w, &a.proc, nil, "release", do, done, func() { delete(a.releasing, name) })
}

func (a *agent) load(name core.ModelName) ledger.Verdict {
	if state, held := a.held(name); !a.listed || !held || state != core.GrantActive {
		return ledger.NotReady
	}
	e := a.w.sizes[name]
	v := a.ledger.Load(a.now(), ledger.LoadRequest{
		Name: name, Base: e.Base, Bytes: e.Memory, Accelerators: e.Accelerators,
	}, nil)
	if v == ledger.NoBase {
		return a.load(e.Base)
	}
	return v
}

func (a *agent) use(name core.ModelName) {
	if u, ok := a.ledger.Begin(a.now(), name); ok {
		a.uses = append(a.uses, u)
	}
}

// done ends the n-th request.
func (a *agent) done(n int) {
	if len(a.uses) == 0 {
		return
	}
	i := n % len(a.uses)
	a.ledger.End(a.now(), a.uses[i])
	a.uses = slices.Delete(a.uses, i, i+1)
}

// only makes an item the only one that is to be loaded.
func (a *agent) only(name core.ModelName) {
	clear(a.wants)
	a.wants[name] = true
}

// idle ends all requests.
func (a *agent) idle() {
	for len(a.uses) > 0 {
		a.done(0)
	}
}

// take receives a grant from a list, a watch or a peer. It may be out of date.
func (a *agent) take(o object) {
	if o.kind != core.KindGrant {
		return
	}
	name := core.ModelName(o.name)
	if a.grants[name].version > o.version && !a.w.faults["go-back"] {
		return
	}
	a.w.check.view(a.name, a.grants[name].version, o)
	a.grants[name] = o
}

// evict requests that an item be unloaded. The fault evict-busy orders it even
// though the item is in use.
func (a *agent) evict(name core.ModelName) {
	if a.w.faults["evict-busy"] {
		o := ledger.Order{Kind: ledger.UnloadItem, Unload: core.UnloadOrder{Name: name, Fence: 1 << 60}}
		a.sendOrder(o, func(ledger.Reply) {})
		return
	}
	a.ledger.Unload(a.now(), name)
}
