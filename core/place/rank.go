package place

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"radishwell/core"
)

// candidate is a host with the criteria by which it is compared with others.
type candidate struct {
	host *Host
	// sameCentre and sameRack count the model's other active holders there.
	sameCentre int
	sameRack   int
	overBound  int
	tier       core.Tier
	hash       uint64
}

// bestHost returns the host to grant next, or nil. It spreads holders over data
// centres first, since half a data centre may be lost at once. Next it prefers
// hosts below the load bound, other racks, and hosts near a copy of the
// checkpoint. The rendezvous hash comes last, so that a change of one host changes
// the choice only for that host's share of the models.
func (d *draft) bestHost() *Host {
	if s := d.m.move; s != nil && !d.hasHolderNamed(s.to) {
		return d.p.hosts[s.to]
	}
	var found *candidate
	bound := d.loadBound()
	for _, h := range d.possibleHosts() {
		if !d.fits(h) || holderIndex(d.holders, HostID{h.Name, h.UID}) >= 0 || d.hasHolderNamed(h.Name) {
			continue
		}
		c := d.candidate(h, bound)
		if found == nil || c.compare(found) < 0 {
			found = &c
		}
	}
	if found == nil {
		return nil
	}
	return found.host
}

// hasHolderNamed reports whether any incarnation of the host is a holder.
func (d *draft) hasHolderNamed(host core.HostName) bool {
	return slices.ContainsFunc(d.holders, func(h core.GrantHolder) bool { return h.Host == host })
}

func (d *draft) possibleHosts() []*Host {
	if d.m.entry.Base != "" {
		return d.p.activeHosts(d.m.entry.Base)
	}
	names := d.p.services[d.m.entry.Service]
	list := make([]*Host, 0, len(names))
	for name := range names {
		list = append(list, d.p.hosts[name])
	}
	return list
}

// activeHosts returns the known hosts with an active grant of a model.
func (p *Planner) activeHosts(name core.ModelName) []*Host {
	m := p.models[name]
	if m == nil || m.deleted {
		return nil
	}
	var list []*Host
	for _, h := range m.spec.Holders {
		if h.State == core.GrantActive && p.isKnown(HostID{h.Host, h.UID}) {
			list = append(list, p.hosts[h.Host])
		}
	}
	return list
}

// loadBound returns the granted memory above which a host is avoided.
func (d *draft) loadBound() core.Bytes {
	names := d.p.services[d.m.entry.Service]
	if len(names) == 0 {
		return 0
	}
	sum := d.p.replicaMemory(d.m.entry) + d.p.serviceLoad[d.m.entry.Service]
	return core.Bytes(LoadBound * float64(sum) / float64(len(names)))
}

func (d *draft) candidate(h *Host, bound core.Bytes) candidate {
	c := candidate{host: h, tier: core.TierStore, hash: hash(d.m.name, h.Name)}
	if d.p.hostLoad[h.Name] > bound {
		c.overBound = 1
	}
	if t, ok := d.p.copies[h.Name][d.m.name]; ok {
		c.tier = t
	}
	for _, other := range d.holders {
		o := d.p.hosts[other.Host]
		if o == nil || o.UID != other.UID || other.State != core.GrantActive || o == h {
			continue
		}
		if o.DataCentre != h.DataCentre {
			continue
		}
		c.sameCentre++
		if o.Rack == h.Rack {
			c.sameRack++
		}
	}
	return c
}

func (c *candidate) compare(o *candidate) int {
	return cmp.Or(
		cmp.Compare(c.sameCentre, o.sameCentre),
		cmp.Compare(c.overBound, o.overBound),
		cmp.Compare(c.sameRack, o.sameRack),
		cmp.Compare(c.tier, o.tier),
		cmp.Compare(o.hash, c.hash),
		cmp.Compare(c.host.Name, o.host.Name),
	)
}

func hash(name core.ModelName, host core.HostName) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(name))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(host))
	return d.Sum64()
}
