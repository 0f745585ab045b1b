package script

import (
	"fmt"
	"maps"
	"slices"

	"radishwell/core"
	"radishwell/core/place"
)

// checker checks the invariants and keeps the first violation.
type checker struct {
	failed string
	// limits has the replica limit of each version of a catalogue entry.
	limits map[core.Version]int
	// memory has the largest limit that each owner ever had.
	memory map[core.OwnerName]core.Bytes
	// top is the largest fencing number under which a decider was active.
	top core.Fence
}

func (c *checker) init() {
	c.limits = map[core.Version]int{}
	c.memory = map[core.OwnerName]core.Bytes{}
}

func (c *checker) fail(format string, args ...any) {
	if c.failed == "" {
		c.failed = fmt.Sprintf(format, args...)
	}
}

// view checks that a process never replaces a version by an older one.
func (c *checker) view(who string, have core.Version, o object) {
	if o.version < have {
		c.fail("version back: %s accepted %s/%s at version %d after %d", who, o.kind, o.name, o.version, have)
	}
}

// world checks the invariants that hold after every directive.
func (c *checker) world(w *world) {
	c.lease(w)
	for _, name := range slices.Sorted(maps.Keys(w.hosts)) {
		if m := w.hosts[name]; m.up {
			c.host(w, m)
		}
	}
}

// lease checks that at most one decider at a time considers itself the lease's
// holder, and that fencing numbers grow with each change of holder.
func (c *checker) lease(w *world) {
	var who []string
	for _, name := range slices.Sorted(maps.Keys(w.deciders)) {
		d := w.deciders[name]
		f, ok := d.lease.Decides(d.now())
		if !ok {
			continue
		}
		who = append(who, name)
		if f == d.lastFence {
			continue
		}
		d.lastFence = f
		if f <= c.top {
			c.fail("fence: %s holds the lease with fencing number %d after %d", name, f, c.top)
		}
		c.top = f
	}
	if len(who) > 1 {
		c.fail("lease: %v all consider themselves the holder", who)
	}
}

func (c *checker) host(w *world, m *upstreamHost) {
	for a, held := range m.engine.held() {
		if held > m.engine.capacity[a] {
			c.fail("memory: accelerator %d of %s holds %s of %s", a, m.host.Name, held, m.engine.capacity[a])
		}
	}
	id := place.HostID{Host: m.host.Name, UID: m.host.UID}
	for _, name := range slices.Sorted(maps.Keys(m.engine.items)) {
		o := w.store.objects[key{core.KindGrant, string(name)}]
		if _, ok := place.HolderState(o.grant, id); !ok {
			c.fail("grant: %s has %s loaded without a grant", m.host.Name, name)
		}
		if base := m.engine.items[name].Base; base != "" {
			if _, ok := m.engine.items[base]; !ok {
				c.fail("base: %s has %s loaded without %s", m.host.Name, name, base)
			}
		}
	}
	if m.agent != nil {
		c.agent(m)
	}
}

func (c *checker) agent(m *upstreamHost) {
	l := &m.agent.ledger
	for a, p := range l.Reserved() {
		if p > l.Capacity()[a] {
			c.fail("promise: %s reserves %s of %s on accelerator %d", m.host.Name, p, l.Capacity()[a], a)
		}
	}
	for _, it := range l.Items() {
		if it.Users > 0 && m.engine.items[it.Name].State == core.Unloading {
			c.fail("busy: %s unloads %s while it serves requests", m.host.Name, it.Name)
		}
	}
}

// checkWrite checks a write to an object.
func (w *world) checkWrite(by string, before, after object) {
	switch after.kind {
	case core.KindModel:
		w.check.limits[after.version] = max(after.entry.Replicas, 1)
	case core.KindOwner:
		w.check.memory[core.OwnerName(after.name)] = max(w.check.memory[core.OwnerName(after.name)], after.owner)
	case core.KindGrant:
		if by != "operator" {
			w.check.grant(w, by, before, after)
		}
	}
}

func (c *checker) grant(w *world, by string, before, after object) {
	if after.deleted {
		after.grant.Holders = nil
	}
	if !after.deleted && (after.grant.Fence < before.grant.Fence || after.grant.Entry < before.grant.Entry) {
		c.fail("version back: %s wrote %s with fence %d, entry %d after fence %d, entry %d", by, after.name,
			after.grant.Fence, after.grant.Entry, before.grant.Fence, before.grant.Entry)
	}
	for _, h := range before.grant.Holders {
		id := place.HostID{Host: h.Host, UID: h.UID}
		if _, kept := place.HolderState(after.grant, id); !kept || after.deleted {
			c.removed(w, by, after.name, id)
		}
	}
	if len(after.grant.Holders) > len(before.grant.Holders) {
		c.added(w, by, after)
	}
}

// removed checks that a holder removed itself or that its host is gone.
func (c *checker) removed(w *world, by, name string, id place.HostID) {
	if by == string(id.Host) {
		return
	}
	o, listed := w.store.objects[key{core.KindHost, string(id.Host)}]
	if listed && o.host.UID == id.UID {
		c.fail("proof: %s removed the grant for %s of %s, which is still listed", by, name, id.Host)
	}
}

// added checks a new holder against the limits of the model and its owner.
func (c *checker) added(w *world, by string, after object) {
	for i, h := range after.grant.Holders {
		if i > 0 && after.grant.Holders[i-1].Host == h.Host {
			c.fail("twice: %s made %s a holder of %s twice", by, h.Host, after.name)
		}
	}
	if n, limit := len(after.grant.Holders), c.limits[after.grant.Entry]; n > limit {
		c.fail("limit: %s made %d hosts holders of %s, the limit is %d", by, n, after.name, limit)
	}
	limit := c.memory[after.grant.Owner]
	sum := core.Bytes(0)
	for k, o := range w.store.objects {
		if k.kind == core.KindGrant && o.grant.Owner == after.grant.Owner {
			sum += o.grant.Memory * core.Bytes(len(o.grant.Holders))
		}
	}
	if limit > 0 && sum > limit {
		c.fail("owner: %s granted %s in total %s of %s", by, after.grant.Owner, sum, limit)
	}
}
