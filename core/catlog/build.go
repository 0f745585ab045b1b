package catlog

import "radishwell/core"

// snapshot builds the lookup tables from the entries in force.
func (v *View) snapshot() *Snapshot {
	b := builder{
		s: &Snapshot{
			keys:     map[Digest]Caller{},
			accounts: map[core.OwnerName]*Account{},
			models:   map[core.ModelName]*Entry{},
			services: map[core.ServiceName]*Entry{},
			pools:    map[core.ServiceName]*Pool{},
			revision: v.revision,
		},
		shared: map[Digest]bool{},
	}
	for _, r := range v.sorted {
		if r.served != nil {
			b.add(r.served)
		}
	}
	return b.s
}

type builder struct {
	s *Snapshot
	// shared holds the digests that more than one owner lists. They authenticate
	// nobody.
	shared map[Digest]bool
}

func (b *builder) add(vs *validSpec) {
	switch vs.spec.kind {
	case core.KindOwner:
		b.owner(vs)
	case core.KindService:
		b.service(vs)
	case core.KindModel:
		b.model(vs)
	case core.KindAdapter:
		b.adapter(vs)
	}
}

func (b *builder) owner(vs *validSpec) {
	o := vs.spec.owner
	a := &Account{
		Name:         core.OwnerName(vs.spec.name),
		Limits:       o.Limits,
		CallerLimits: o.CallerLimits,
		Version:      vs.version,
	}
	b.s.accounts[a.Name] = a
	b.s.list = append(b.s.list, a)
	for i, k := range o.Keys {
		d := vs.digests[i]
		if _, taken := b.s.keys[d]; taken || b.shared[d] {
			b.shared[d] = true
			delete(b.s.keys, d)
			continue
		}
		b.s.keys[d] = Caller{Account: a, Name: k.Caller}
	}
}

func (b *builder) service(vs *validSpec) {
	s := vs.spec.service
	p := &Pool{
		Name:        core.ServiceName(vs.spec.name),
		Type:        s.Type,
		Limits:      s.Limits,
		ChecksFence: s.ChecksFence,
		Version:     vs.version,
	}
	b.s.pools[p.Name] = p
	b.s.poolList = append(b.s.poolList, p)
	if s.Type != core.PlainService {
		return
	}
	e := &Entry{
		Kind:       core.KindService,
		Target:     core.Target{Service: p.Name},
		Owner:      s.Owner,
		Class:      s.Class,
		Limits:     s.Limits,
		Repeatable: s.Repeatable,
		Version:    vs.version,
	}
	if e.Repeatable == "" {
		e.Repeatable = core.RepeatSafe
	}
	setSharing(e, s.SharedWith)
	b.s.services[p.Name] = e
}

func (b *builder) model(vs *validSpec) {
	m := vs.spec.model
	e := &Entry{
		Kind:         core.KindModel,
		Target:       core.Target{Service: m.Service, Model: core.ModelName(vs.spec.name)},
		Owner:        m.Owner,
		Class:        m.Class,
		Limits:       m.Limits,
		Memory:       m.Memory,
		Accelerators: max(m.Accelerators, 1),
		Repeatable:   repeatRule(m.Repeatable),
		ChecksFence:  b.s.pools[m.Service].ChecksFence,
		Version:      vs.version,
	}
	setSharing(e, m.SharedWith)
	b.item(e)
}

func (b *builder) adapter(vs *validSpec) {
	a := vs.spec.adapter
	base := b.s.models[a.Base]
	e := &Entry{
		Kind:         core.KindAdapter,
		Target:       core.Target{Service: base.Target.Service, Model: core.ModelName(vs.spec.name), Base: a.Base},
		Owner:        a.Owner,
		Class:        a.Class,
		Limits:       a.Limits,
		Memory:       a.Memory,
		Accelerators: base.Accelerators,
		Repeatable:   repeatRule(a.Repeatable),
		ChecksFence:  base.ChecksFence,
		Version:      vs.version,
	}
	setSharing(e, a.SharedWith)
	b.item(e)
}

func (b *builder) item(e *Entry) {
	b.s.models[e.Target.Model] = e
	b.s.items = append(b.s.items, e)
}

// setSharing sets the owners other than its own whose callers may use the entry.
func setSharing(e *Entry, with []core.OwnerName) {
	for _, n := range with {
		if n == everyone {
			e.Shared = true
			return
		}
	}
	e.SharedWith = with
}

// repeatRule converts the optional repeatable flag of a model or adapter to a
// rule. Its requests are repeatable unless the flag is false.
func repeatRule(flag *bool) core.RepeatRule {
	if flag != nil && !*flag {
		return core.RepeatNone
	}
	return core.RepeatAll
}
