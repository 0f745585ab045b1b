package digest

import (
	"net/netip"
	"slices"
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
)

// staleAge is how old a host's report is when it is told apart from the others: agents
// answer every half second.
const staleAge = 800 * time.Millisecond

// loadSlack is by how much the foreseen end of a load may move without being a change.
const loadSlack = 100 * time.Millisecond

// Host is what an agent said of its upstream host.
type Host struct {
	Address netip.AddrPort
	Report  fleet.Report
	// Lost tells that the agent knows the host to be out of reach, Born when the host
	// started, as it says itself, and Ended which lives of it are over.
	Lost  bool
	Born  int64
	Ended []core.HostName
	// Planner is the entry that the agent follows.
	Planner core.HostName
}

// Figures are the part of a report that changes with each request.
type Figures struct {
	Taken                     time.Time
	Waiting, Running, Reading int
	// Active counts requests in progress by model.
	Active map[core.ModelName]int
}

// Update is a host that has changed since an asker's last answer.
type Update struct {
	Host
	// Whole tells that more than the figures has changed.
	Whole bool
}

// Stale is a host that has not been heard of lately.
type Stale struct {
	Address netip.AddrPort
	Taken   time.Time
}

// row is a host with where it was heard of and when it changed.
type row struct {
	Host
	// source is the relay that told of the host, empty for this entry's own link.
	source core.HostName
	// whole and figures are the change numbers of the last changes.
	whole, figures uint64
}

// Table holds the hosts. The zero Table is ready for use; it is not safe for use by
// several goroutines.
type Table struct {
	rows map[netip.AddrPort]*row
	// change counts the changes; urgent is the number of the last one that cannot wait.
	change, urgent uint64
}

// Change is the number of the last change.
func (t *Table) Change() uint64 { return t.change }

// Urgent is the number of the last change that cannot wait: one of more than figures
// and adapters, which change tens of times a second in a large fleet.
func (t *Table) Urgent() uint64 { return t.urgent }

// Put takes in what an agent said, heard from a relay or, where source is empty, from
// the agent itself.
func (t *Table) Put(source core.HostName, h Host) {
	if t.rows == nil {
		t.rows = map[netip.AddrPort]*row{}
	}
	old := t.rows[h.Address]
	if old != nil && h.Report.Taken.Before(old.Report.Taken) {
		return
	}
	now := &row{Host: h, source: source}
	if old != nil {
		now.whole, now.figures = old.whole, old.figures
	}
	whole := old == nil || !sameHost(&old.Host, &h)
	if whole || !sameFigures(old.Report, h.Report) {
		t.change++
		now.figures = t.change
	}
	if whole {
		now.whole = t.change
	}
	if old == nil || whole && !sameButAdapters(&old.Host, &h) {
		t.urgent = t.change
	}
	t.rows[h.Address] = now
}

// PutFigures takes in a host's figures from a relay. It is false where the rest of the
// host's report is not that relay's word, so that it has to be asked for all.
func (t *Table) PutFigures(source core.HostName, address netip.AddrPort, f Figures) bool {
	r := t.rows[address]
	if r == nil || r.source != source {
		return false
	}
	h := r.Host
	h.Report.Taken, h.Report.Active = f.Taken, f.Active
	h.Report.Waiting, h.Report.Running, h.Report.Reading = f.Waiting, f.Running, f.Reading
	t.Put(source, h)
	return true
}

// Renew notes that a relay's word on all of its hosts still held at a time, but for
// those that it called stale.
func (t *Table) Renew(source core.HostName, at time.Time, stale []Stale) {
	for address, r := range t.rows {
		if r.source != source || !at.After(r.Report.Taken) {
			continue
		}
		if !slices.ContainsFunc(stale, func(s Stale) bool { return s.Address == address }) {
			r.Report.Taken = at
		}
	}
}

// Keep forgets the hosts that are not listed any more.
func (t *Table) Keep(listed func(netip.AddrPort) bool) {
	for address := range t.rows {
		if !listed(address) {
			delete(t.rows, address)
		}
	}
}

// own tells whether a host is followed by this entry itself.
func (r *row) own() bool { return r.source == "" }

// Since returns the hosts that have changed after a change number; with own, only those
// that this entry follows itself.
func (t *Table) Since(seen uint64, own bool) []Update {
	var out []Update
	for _, r := range t.rows {
		if own && !r.own() || r.figures <= seen {
			continue
		}
		out = append(out, Update{Host: r.Host, Whole: r.whole > seen})
	}
	return out
}

// Ages returns until when the word on the hosts holds, but for those that have not been
// heard of lately.
func (t *Table) Ages(now time.Time, own bool) (at time.Time, stale []Stale) {
	at = now
	for address, r := range t.rows {
		switch {
		case own && !r.own():
		case now.Sub(r.Report.Taken) >= staleAge:
			stale = append(stale, Stale{Address: address, Taken: r.Report.Taken})
		case r.Report.Taken.Before(at):
			at = r.Report.Taken
		}
	}
	return at, stale
}

// Len returns the number of hosts.
func (t *Table) Len() int { return len(t.rows) }

// Host returns what is known of the host at an address.
func (t *Table) Host(address netip.AddrPort) (Host, bool) {
	r := t.rows[address]
	if r == nil {
		return Host{}, false
	}
	return r.Host, true
}

// Source returns the relay that told of a host, empty for this entry's own link; false
// where the host is not known.
func (t *Table) Source(address netip.AddrPort) (core.HostName, bool) {
	r := t.rows[address]
	if r == nil {
		return "", false
	}
	return r.source, true
}

// Of returns the addresses of the hosts that a relay told of.
func (t *Table) Of(source core.HostName) []netip.AddrPort {
	var out []netip.AddrPort
	for address, r := range t.rows {
		if r.source == source {
			out = append(out, address)
		}
	}
	return out
}

// All returns all hosts.
func (t *Table) All() []Host {
	out := make([]Host, 0, len(t.rows))
	for _, r := range t.rows {
		out = append(out, r.Host)
	}
	return out
}

func sameFigures(a, b fleet.Report) bool {
	if a.Waiting != b.Waiting || a.Running != b.Running || a.Reading != b.Reading || len(a.Active) != len(b.Active) {
		return false
	}
	for name, n := range a.Active {
		if b.Active[name] != n {
			return false
		}
	}
	return true
}

// sameHost tells whether two differ in nothing but figures.
func sameHost(a, b *Host) bool {
	return sameButAdapters(a, b) && core.EqualModels(a.Report.Models, b.Report.Models)
}

// sameButAdapters tells whether two differ in nothing but figures and adapters.
func sameButAdapters(a, b *Host) bool {
	r, s := a.Report, b.Report
	return a.Lost == b.Lost && a.Born == b.Born && a.Planner == b.Planner && slices.Equal(a.Ended, b.Ended) &&
		r.ID == s.ID && r.Reachable == s.Reachable && r.Leaving == s.Leaving && r.Limit == s.Limit && r.Busy == s.Busy &&
		r.Loading == s.Loading && r.LoadedBy.Sub(s.LoadedBy).Abs() < loadSlack && slices.EqualFunc(r.Models, s.Models, sameModel) &&
		slices.Equal(r.InMemory, s.InMemory) && slices.Equal(r.OnDisk, s.OnDisk)
}

func sameModel(a, b core.HeldModel) bool { return a.Model == b.Model && a.Version == b.Version }
