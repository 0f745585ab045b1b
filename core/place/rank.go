package place

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"radishwell/core"
)

// candidate is one host with what decides between it and others.
type candidate struct {
	host *Host
	// centre and rack count the model's other holders there.
	centre int
	rack   int
	over   int
	tier   core.Tier
	hash   uint64
}

// best returns the host to grant next: spread over data centres first, since
// half a data centre may be lost at once; then below the load bound, spread
// over racks, near a copy of the checkpoint; and last by rendezvous hash, so
// that a change of one host changes the choice for its share of models only.
func (d *draft) best() *Host {
	if s := d.m.shift; s != nil && !d.named(s.to) {
		return d.p.hosts[s.to]
	}
	var found *candidate
	bound := d.bound()
	for _, h := range d.hosts() {
		if !d.fits(h) || index(d.holders, HostID{h.Name, h.UID}) >= 0 || d.named(h.Name) {
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

// named reports whether an earlier life of the host is still a holder.
func (d *draft) named(host core.HostName) bool {
	return slices.ContainsFunc(d.holders, func(h core.GrantHolder) bool { return h.Host == host })
}

func (d *draft) hosts() []*Host {
	if d.m.entry.Base != "" {
		return d.p.holders(d.m.entry.Base)
	}
	names := d.p.services[d.m.entry.Service]
	list := make([]*Host, 0, len(names))
	for name := range names {
		list = append(list, d.p.hosts[name])
	}
	return list
}

// holders returns the known hosts with an active grant of a model.
func (p *Planner) holders(name core.ModelName) []*Host {
	m := p.models[name]
	if m == nil || m.deleted {
		return nil
	}
	var list []*Host
	for _, h := range m.spec.Holders {
		if h.State == core.GrantActive && p.known(HostID{h.Host, h.UID}) {
			list = append(list, p.hosts[h.Host])
		}
	}
	return list
}

// bound is the granted memory from which a host is taken last only.
func (d *draft) bound() core.Bytes {
	names := d.p.services[d.m.entry.Service]
	if len(names) == 0 {
		return 0
	}
	sum := d.p.replica(d.m.entry) + d.p.total[d.m.entry.Service]
	return core.Bytes(Bound * float64(sum) / float64(len(names)))
}

func (d *draft) candidate(h *Host, bound core.Bytes) candidate {
	c := candidate{host: h, tier: core.TierStore, hash: hash(d.m.name, h.Name)}
	if d.p.load[h.Name] > bound {
		c.over = 1
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
		c.centre++
		if o.Rack == h.Rack {
			c.rack++
		}
	}
	return c
}

func (c *candidate) compare(o *candidate) int {
	return cmp.Or(
		cmp.Compare(c.centre, o.centre),
		cmp.Compare(c.over, o.over),
		cmp.Compare(c.rack, o.rack),
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
