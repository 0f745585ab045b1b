package fleet

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"radishwell/core"
	"radishwell/core/cached"
)

const (
	// lapseGrace is how long a host whose registry entry is gone is kept after the store
	// was unreachable. Entries lapse while hosts cannot renew them, and the platform
	// promises that those of live hosts are back within two seconds. Without the grace
	// period all hosts would be dropped at the end of an outage.
	lapseGrace = 2 * time.Second
	// lapseWindow is how long after the last failed read of the store a removal still
	// counts as such a lapse. Hosts renew their entries about every 1.2 seconds, so an
	// entry that lapses later was not renewed for another reason.
	lapseWindow = 1500 * time.Millisecond
)

// View is one process's view of the upstream hosts. The zero View is ready for use. It is
// not safe for concurrent use.
type View struct {
	hosts map[core.HostName]*Host
	index index
	// keys is reused by each decision.
	keys []uint64
	// byAddress holds the incarnations that the registry lists at an address: one, except
	// in the seconds after a restart, or if entries of other writers name the address.
	byAddress map[netip.AddrPort][]*Host
	// served holds the services of the routing table, nil before there is one.
	served map[core.ServiceName]bool
	// lapsed holds the hosts whose entry disappeared around an outage of the store, with
	// the time at which they are dropped.
	lapsed map[core.HostName]time.Time
	// signals holds the signals of each incarnation that is listed in the registry, and of those in
	// unlisted, which are not, oldest first.
	signals  map[Incarnation]*signals
	unlisted []Incarnation
	// brokenOff holds the attempts that broke off recently.
	brokenOff map[Incarnation]*brokenOff
	// lastStoreFailure is when the store last failed.
	lastStoreFailure time.Time
	// era counts the restores of the registry, and restoredAt is when the last one became
	// known. gone holds the incarnations that were removed in the last goneTTL.
	era        uint64
	restoredAt time.Time
	gone       map[Incarnation]goneHost
	changes    uint64
	// departed holds the software versions of hosts that have gone, with the time until which
	// streams may be in progress that began there. departures are those to be added.
	departed   map[Software]time.Time
	departures []Software
	// recorded holds the versions of listed hosts that the platform's record has.
	recorded map[Software]bool
	// record holds all versions in the platform's record, as of the last read.
	record []Software
	// lastRelayReport is when the relay that forwards the agents' reports last sent one,
	// zero if the agents report to this process directly.
	lastRelayReport time.Time
	// meanPrefill is the average prefill time of a prompt, in milliseconds, zero before the
	// first prompt.
	meanPrefill float64
	// ignorePace is set if the measured paces and free memory of hosts do not affect the choice.
	ignorePace bool
	// cached holds which parts of prompts the hosts report to keep, nil if that is not used.
	cached *cached.Book
	// Wants are the parts that requests begin with.
	Wants cached.Wants
	// comparePacesAt is when the paces of the hosts are compared again.
	comparePacesAt time.Time
}

func (v *View) init() {
	if v.hosts == nil {
		v.hosts = map[core.HostName]*Host{}
		v.index = index{services: map[core.ServiceName][]*Host{}, holders: map[core.ModelName][]*Host{}}
		v.byAddress = map[netip.AddrPort][]*Host{}
		v.lapsed = map[core.HostName]time.Time{}
		v.signals = map[Incarnation]*signals{}
		v.brokenOff = map[Incarnation]*brokenOff{}
		v.gone = map[Incarnation]goneHost{}
		v.departed = map[Software]time.Time{}
		v.recorded = map[Software]bool{}
	}
}

// UseCached sets the book of which parts of prompts the hosts report to keep. With nil, the choice goes
// by what this process has sent.
func (v *View) UseCached(book *cached.Book) { v.cached = book }

// Changes counts the changes after which waiting requests should look for a host again.
func (v *View) Changes() uint64 { return v.changes }

// NoteStoreFailure records that the store failed or could not be reached.
func (v *View) NoteStoreFailure(now time.Time) { v.lastStoreFailure = now }

// NoteRelayReport records when the relay that forwards the agents' reports last sent one.
// The zero time means that the agents report to this process directly.
func (v *View) NoteRelayReport(at time.Time) { v.lastRelayReport = at }

// ReferenceTime returns the time against which the age of agents' reports is measured.
// While a relay is silent, the state of the agents behind it is unknown; if they counted as
// silent too, all paused streams of their hosts would be cut.
func (v *View) ReferenceTime(now time.Time) time.Time {
	if v.lastRelayReport.IsZero() {
		return now
	}
	return v.lastRelayReport
}

// OwnActive returns this process's requests in progress, by host and model.
func (v *View) OwnActive() map[netip.AddrPort]map[core.ModelName]int {
	out := map[netip.AddrPort]map[core.ModelName]int{}
	for _, h := range v.hosts {
		if len(h.active) > 0 {
			out[h.Address] = maps.Clone(h.active)
		}
	}
	return out
}

// Apply records a registry entry. A host that was restarted under the same ID no longer
// holds anything, so all earlier state is dropped.
func (v *View) Apply(e Entry) {
	v.init()
	v.changes++
	delete(v.lapsed, e.ID)
	h := v.hosts[e.ID]
	if h == nil || !h.isSameRun(e) {
		v.remove(h)
		h = &Host{Entry: e, addedLeaving: e.Leaving}
		if v.isRevived(e) {
			h.unusableUntil = v.restoredAt.Add(restoreGrace)
		}
		v.add(h)
		return
	}
	if e.Revision != h.Revision {
		h.unusableUntil = time.Time{}
	}
	// A host does not return from leaving within one incarnation; an entry that says so is
	// an outdated read.
	e.Leaving, e.ShortNotice = e.Leaving || h.Entry.Leaving, e.ShortNotice || h.ShortNotice
	e.Software = cmp.Or(e.Software, h.Software) // an entry without it does not undo it
	if h.Service != e.Service {
		v.noteDeparture(h)
	}
	h.Entry = e
	v.index.update(h)
	v.supersede(e.Address)
}

// isSameRun reports whether a registry entry is of the same run of the host. A run has one
// software version, though not each of its entries may state it.
func (h *Host) isSameRun(e Entry) bool {
	sameSoftware := h.Software == e.Software || h.Software == "" || e.Software == ""
	return h.Born == e.Born && h.Address == e.Address && sameSoftware
}

// Remove records that the registry no longer has an entry.
func (v *View) Remove(now time.Time, id core.HostName) {
	v.init()
	if v.hosts[id] == nil {
		return
	}
	if !v.lastStoreFailure.IsZero() && now.Sub(v.lastStoreFailure) < lapseWindow && !v.hosts[id].IsLeaving(now) {
		if _, waiting := v.lapsed[id]; !waiting {
			v.lapsed[id] = now.Add(lapseGrace)
		}
		return
	}
	v.drop(now, id)
}

func (v *View) drop(now time.Time, id core.HostName) {
	v.changes++
	delete(v.lapsed, id)
	if h := v.hosts[id]; h != nil {
		v.remember(now, h.Incarnation())
		v.remove(h)
	}
}

func (v *View) add(h *Host) {
	h.signals = v.list(h.Incarnation())
	h.view = v
	v.hosts[h.ID] = h
	v.index.add(h)
	v.byAddress[h.Address] = append(v.byAddress[h.Address], h)
	v.supersede(h.Address)
}

func (v *View) remove(h *Host) {
	if h == nil {
		return
	}
	delete(v.hosts, h.ID)
	v.index.remove(h)
	v.noteDeparture(h)
	v.unlist(h.Incarnation())
	v.byAddress[h.Address] = slices.DeleteFunc(v.byAddress[h.Address], func(o *Host) bool { return o == h })
	if len(v.byAddress[h.Address]) == 0 {
		delete(v.byAddress, h.Address)
	}
	v.supersede(h.Address)
}

// Replace records a complete list of the registry. Hosts that are not on it are removed.
func (v *View) Replace(now time.Time, list []Entry) {
	v.init()
	listed := make(map[core.HostName]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
		v.Apply(e)
	}
	for id := range v.hosts {
		if !listed[id] {
			v.Remove(now, id)
		}
	}
}

// Tick drops the hosts whose lapsed entries have not come back in time, keeps the versions
// of the hosts that have gone, and compares the hosts' paces. It is called after each change.
func (v *View) Tick(now time.Time) {
	v.keepDepartures(now)
	v.comparePaces(now)
	for id, until := range v.lapsed {
		if !now.Before(until) {
			v.drop(now, id)
		}
	}
}

// Report records a report of a host's agent. Reports of incarnations that the registry does
// not list are ignored.
func (v *View) Report(r Report) {
	h := v.hosts[r.ID]
	if h == nil || r.Taken.Before(h.Report.Taken) {
		return
	}
	r.Leaving = r.Leaving || h.Report.Leaving
	if r.Leaving != h.Report.Leaving || !core.EqualModels(r.Models, h.Report.Models) || r.Loading != h.Report.Loading {
		v.changes++
	}
	if !h.unreachableAt.IsZero() {
		h.unreachableAt = time.Time{}
		v.changes++
	}
	if r.Limit.Limited && h.noteLimit(r.Taken, r.Taken, r.Limit) {
		v.changes++
	}
	h.noteReading(r.Taken, h.Report.Reading > 0)
	h.Report = r
	v.index.update(h)
}

// NoteUnreachable records that the agent at an address cannot reach its host. The registry
// lists a crashed host for some seconds more. In that time its models have to be loaded
// elsewhere, and requests sent to it fail.
func (v *View) NoteUnreachable(now time.Time, address netip.AddrPort) {
	for _, h := range v.byAddress[address] {
		if !h.IsUnreachable(now) {
			v.changes++
		}
		h.unreachableAt = now
	}
}

// Host returns a host by its ID, nil if it is unknown.
func (v *View) Host(id core.HostName) *Host { return v.hosts[id] }

// Hosts returns the hosts of a service sorted by ID, or those of all services if the name
// is empty.
func (v *View) Hosts(service core.ServiceName) []*Host {
	var list []*Host
	for _, h := range v.hosts {
		if service == "" || h.Service == service {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(a, b *Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}
