package digest

import (
	"net/netip"
	"slices"
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
)

// staleAge is the age at which a host's report is listed separately as stale. Agents are
// polled twice a second.
const staleAge = 800 * time.Millisecond

// loadTolerance is how much the expected end of a load may shift without counting as a
// change.
const loadTolerance = 100 * time.Millisecond

// Host is the state of an upstream host as reported by its agent.
type Host struct {
	Address netip.AddrPort
	Report  fleet.Report
	// Unreachable is set if the agent cannot reach the host. Born is the host's start time
	// as the host reports it, and Ended lists its incarnations that have ended.
	Unreachable bool
	Born        int64
	Ended       []core.HostName
	// Planner is the entry that the agent follows: it accepts the goals of that entry.
	Planner core.HostName
}

// Figures are the part of a report that changes with each request.
type Figures struct {
	Taken                     time.Time
	Waiting, Running, Reading int
	// Asking and Free are as in fleet.Report.
	Asking int
	Free   core.FreeMemory
	// Active counts the requests in progress by model.
	Active map[core.ModelName]int
}

// Set replaces the figures of a report.
func (f *Figures) Set(r *fleet.Report) {
	r.Taken, r.Active = f.Taken, f.Active
	r.Waiting, r.Running, r.Reading, r.Asking, r.Free = f.Waiting, f.Running, f.Reading, f.Asking, f.Free
}

// Update is a host that has changed since the last response to an entry.
type Update struct {
	Host
	// Whole is set if more than the figures has changed.
	Whole bool
}

// Stale is a host without a recent report.
type Stale struct {
	Address netip.AddrPort
	Taken   time.Time
}

// row is a host with the source of its report and the numbers of its last changes.
type row struct {
	Host
	// source is the relay that sent the report, empty if it came from the agent itself.
	source core.HostName
	// whole and figures are the change numbers of the last change of more than the figures
	// and of the last change of any kind.
	whole, figures uint64
}

// Table holds the hosts. The zero Table is ready for use. It is not safe for concurrent
// use.
type Table struct {
	rows map[netip.AddrPort]*row
	// change counts the changes. urgent is the number of the last urgent one.
	change, urgent uint64
}

// LastChange returns the number of the last change.
func (t *Table) LastChange() uint64 { return t.change }

// LastUrgent returns the number of the last urgent change: one of more than figures,
// adapters and paces, which change tens of times a second in a large fleet.
func (t *Table) LastUrgent() uint64 { return t.urgent }

// Put records an agent's report. The source is the relay that sent it, or empty if it came
// from the agent itself.
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

// PutFigures records a host's figures from a relay. It returns false if the rest of the
// host's report is not from the same relay, in which case the relay has to be polled for
// the whole report.
func (t *Table) PutFigures(source core.HostName, address netip.AddrPort, f Figures) bool {
	r := t.rows[address]
	if r == nil || r.source != source {
		return false
	}
	h := r.Host
	f.Set(&h.Report)
	t.Put(source, h)
	return true
}

// Renew records that all reports from a relay, except for those that it listed as stale,
// were still valid at the given time.
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

// Retain removes the hosts that are no longer listed.
func (t *Table) Retain(listed func(netip.AddrPort) bool) {
	for address := range t.rows {
		if !listed(address) {
			delete(t.rows, address)
		}
	}
}

// own reports whether this entry follows the host's agent itself.
func (r *row) own() bool { return r.source == "" }

// Since returns the hosts that have changed after a change number. If own is set, it
// returns only those whose agents this entry follows itself.
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

// Freshness returns the time as of which the reports are valid, and the stale ones that it
// does not apply to.
func (t *Table) Freshness(now time.Time, own bool) (at time.Time, stale []Stale) {
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

// Host returns the state of the host at an address, false if it is unknown.
func (t *Table) Host(address netip.AddrPort) (Host, bool) {
	r := t.rows[address]
	if r == nil {
		return Host{}, false
	}
	return r.Host, true
}

// Source returns the relay that sent a host's report, empty if it came from the agent
// itself, and false if the host is unknown.
func (t *Table) Source(address netip.AddrPort) (core.HostName, bool) {
	r := t.rows[address]
	if r == nil {
		return "", false
	}
	return r.source, true
}

// HostsFrom returns the addresses of the hosts whose reports came from a relay.
func (t *Table) HostsFrom(source core.HostName) []netip.AddrPort {
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
	if a.Waiting != b.Waiting || a.Running != b.Running || a.Reading != b.Reading || a.Asking != b.Asking || len(a.Active) != len(b.Active) {
		return false
	}
	for name, n := range a.Active {
		if b.Active[name] != n {
			return false
		}
	}
	return true
}

// sameHost reports whether two hosts differ at most in their figures.
func sameHost(a, b *Host) bool {
	return sameButAdapters(a, b) && core.EqualModels(a.Report.Models, b.Report.Models) && a.Report.Pace == b.Report.Pace
}

// sameButAdapters reports whether two hosts differ at most in their figures, adapters and paces.
func sameButAdapters(a, b *Host) bool {
	r, s := a.Report, b.Report
	return a.Unreachable == b.Unreachable && a.Born == b.Born && a.Planner == b.Planner && slices.Equal(a.Ended, b.Ended) &&
		r.ID == s.ID && r.Reachable == s.Reachable && r.Leaving == s.Leaving && r.Limit == s.Limit && r.Busy == s.Busy &&
		r.Loading == s.Loading && r.LoadedBy.Sub(s.LoadedBy).Abs() < loadTolerance && slices.EqualFunc(r.Models, s.Models, sameModel) &&
		slices.Equal(r.InMemory, s.InMemory) && slices.Equal(r.OnDisk, s.OnDisk)
}

func sameModel(a, b core.HeldModel) bool { return a.Model == b.Model && a.Version == b.Version }
