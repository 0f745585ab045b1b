package script

import (
	"time"

	"radishwell/core"
	"radishwell/core/lease"
	"radishwell/core/place"
)

// budget is the number of writes of a round. It is small, so that rounds end in
// the middle of a change.
const budget = 3

// decider is an entry that contends for the lease and plans grants while it holds
// it.
type decider struct {
	proc
	w       *world
	lease   lease.Lease
	planner place.Planner
	// listed is the fencing number with which all objects were last listed.
	listed  core.Fence
	listing bool
	// lookUps has the hosts whose look-up is in flight.
	lookUps map[place.HostID]bool
	// seen has the latest version of each host and owner, as a replica keeps it.
	seen map[key]core.Version
	// lastFence is the fencing number with which the decider last considered itself
	// the holder.
	lastFence core.Fence
}

func (w *world) startDecider(name string, rate float64) {
	d := &decider{w: w, lookUps: map[place.HostID]bool{}, seen: map[key]core.Version{}}
	w.uids++
	d.proc = proc{name: name, rate: rate, step: d.step, take: d.take}
	d.lease = lease.Lease{Host: core.HostName(name), Incarnation: core.Incarnation(w.uids)}
	w.deciders[name] = d
}

func (d *decider) now() time.Time { return d.w.clock(&d.proc) }

func (d *decider) step() {
	d.contend()
	fence, ok := d.lease.Decides(d.now())
	if !ok {
		return
	}
	if d.listed != fence {
		d.list(fence)
		return
	}
	d.round(fence)
}

func (d *decider) round(fence core.Fence) {
	for _, id := range d.planner.UnknownHolders() {
		d.lookUp(id)
	}
	if d.w.faults["move-on-timeout"] {
		d.presumeGone()
	}
	for _, wr := range d.planner.Round(d.now(), fence, budget) {
		d.write(wr)
	}
}

func (d *decider) contend() {
	a, _ := d.lease.Next(d.now())
	if a.Call == lease.None {
		return
	}
	k := key{core.KindLease, lease.Name}
	do := func() result {
		if a.Call == lease.Read {
			return d.w.store.get(k)
		}
		return d.w.store.put(d.name, object{key: k, version: a.Object.Version, lease: a.Object})
	}
	done := func(r result) {
		d.lease.Answer(d.now(), lease.Reply{Object: r.object.asLease(), Failed: r.failed, Fault: r.fault})
	}
	fail := func() { d.lease.Answer(d.now(), lease.Reply{Failed: true, Fault: core.Unknown}) }
	call(d.w, &d.proc, nil, "lease", do, done, fail)
}

func (o object) asLease() core.Object {
	l := o.lease
	l.Version = o.version
	l.Deleted = o.deleted
	return l
}

func (d *decider) list(fence core.Fence) {
	if d.listing {
		return
	}
	d.listing = true
	type listing struct {
		objects []object
		ok      bool
	}
	do := func() listing {
		objects, ok := d.w.store.list()
		return listing{objects, ok}
	}
	done := func(l listing) {
		d.listing = false
		if !l.ok {
			return
		}
		for _, o := range l.objects {
			d.take(o)
		}
		d.planner.CatalogueListed()
		d.listed = fence
	}
	call(d.w, &d.proc, nil, "list", do, done, func() { d.listing = false })
}

func (d *decider) lookUp(id place.HostID) {
	if d.lookUps[id] {
		return
	}
	d.lookUps[id] = true
	do := func() result { return d.w.store.get(key{core.KindHost, string(id.Host)}) }
	done := func(r result) {
		delete(d.lookUps, id)
		switch {
		case !r.failed && r.object.host.UID == id.UID:
			d.take(r.object)
		case !r.failed || r.fault == core.NotFound:
			d.planner.RemoveHost(id)
		}
	}
	call(d.w, &d.proc, nil, "host", do, done, func() { delete(d.lookUps, id) })
}

// presumeGone is a deliberate fault: it treats the host of a dead or paused agent
// as gone.
func (d *decider) presumeGone() {
	for _, m := range d.w.hosts {
		if m.agent == nil || m.agent.paused {
			d.planner.RemoveHost(place.HostID{Host: m.host.Name, UID: m.host.UID})
		}
	}
}

func (d *decider) write(wr place.Write) {
	k := key{core.KindGrant, string(wr.Name)}
	do := func() result {
		return d.w.store.put(d.name, object{key: k, version: wr.Version, grant: wr.Spec})
	}
	done := func(r result) {
		if !r.failed {
			d.take(r.object)
		}
		d.planner.SetOutcome(wr, outcome(r))
	}
	call(d.w, &d.proc, nil, "grant", do, done, func() { d.planner.SetOutcome(wr, place.Unknown) })
}

func outcome(r result) place.Outcome {
	switch {
	case !r.failed:
		return place.Applied
	case r.fault == core.Unavailable:
		return place.Refused
	}
	return place.Conflict
}

// take receives an object from a list, a watch or a peer. It may be out of date.
func (d *decider) take(o object) {
	name := core.ModelName(o.name)
	if o.kind == core.KindHost || o.kind == core.KindOwner {
		if d.seen[o.key] >= o.version {
			return
		}
		d.seen[o.key] = o.version
	}
	switch o.kind {
	case core.KindLease:
		if o.version != 0 {
			d.lease.ObserveObject(d.now(), o.asLease())
		}
	case core.KindGrant:
		d.lease.ObserveFence(o.grant.Fence)
		if o.deleted {
			d.planner.DeleteGrant(name, o.version)
			return
		}
		d.planner.SetGrant(name, o.grant, o.version)
	case core.KindModel:
		if o.deleted {
			d.planner.DeleteEntry(name, o.version)
			return
		}
		e := o.entry
		e.Version = o.version
		if d.w.faults["limit-plus-one"] {
			e.Replicas++
		}
		d.planner.SetEntry(e)
	case core.KindOwner:
		limit := o.owner
		if d.w.faults["owner-limit"] {
			limit *= 2
		}
		d.planner.SetOwner(core.OwnerName(o.name), limit)
	case core.KindHost:
		if o.deleted {
			d.planner.RemoveHost(place.HostID{Host: o.host.Name, UID: o.host.UID})
			return
		}
		d.planner.SetHost(o.host)
	}
}
