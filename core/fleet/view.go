package fleet

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"radishwell/core"
)

const (
	// lapseGrace is how long a host whose registry entry is gone counts as there
	// after the store was out of reach: entries lapse while hosts cannot renew
	// them, and the platform says that those of living hosts are back within two
	// seconds. Without it all hosts would be given up at the end of an outage.
	lapseGrace = 2 * time.Second
	// lapseAfter is how long after the last failed read of the store a removal
	// still counts as such a lapse: hosts renew their entries every 1.2 seconds or
	// so, and one that lapses later was not renewed for another reason.
	lapseAfter = 1500 * time.Millisecond
)

// View is what one process knows of the upstream hosts. The zero View is ready
// for use; it is not safe for use by several goroutines.
type View struct {
	hosts map[core.HostName]*Host
	// at are the lives that the registry lists at an address: one, but for the
	// seconds after a host was started anew.
	at map[netip.AddrPort][]*Host
	// lapsed are hosts whose entry went away around an outage of the store, by
	// when they are given up.
	lapsed map[core.HostName]time.Time
	// signals are what the lives of hosts say of themselves, and unlisted those that the
	// registry did not list at some time, the oldest first.
	signals  map[Life]*signals
	unlisted []Life
	// troubled is when the store last failed.
	troubled time.Time
	changes  uint64
	// heard is when the relay that tells of the hosts last did; zero where their agents
	// tell this process themselves.
	heard time.Time
	// read is how long engines read a prompt on average, in milliseconds; zero
	// before one was sent.
	read float64
}

func (v *View) init() {
	if v.hosts == nil {
		v.hosts = map[core.HostName]*Host{}
		v.at = map[netip.AddrPort][]*Host{}
		v.lapsed = map[core.HostName]time.Time{}
		v.signals = map[Life]*signals{}
	}
}

// Changes counts the changes that may matter to requests that wait.
func (v *View) Changes() uint64 { return v.changes }

// Troubled notes that the store failed or could not be reached.
func (v *View) Troubled(now time.Time) { v.troubled = now }

// Heard notes when the relay that tells of the hosts last did; the zero time means that
// their agents tell this process themselves.
func (v *View) Heard(at time.Time) { v.heard = at }

// Known returns the time as of which silence of agents is known. While a relay is
// silent, nothing is known of the agents behind it: taken for silent with it, their
// hosts would lose all streams that pause.
func (v *View) Known(now time.Time) time.Time {
	if v.heard.IsZero() {
		return now
	}
	return v.heard
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

// Apply takes in a registry entry. A host that was born anew under its id
// holds nothing of before, so all that was known of it is dropped.
func (v *View) Apply(e Entry) {
	v.init()
	v.changes++
	delete(v.lapsed, e.ID)
	h := v.hosts[e.ID]
	if h == nil || h.Born != e.Born || h.Address != e.Address {
		v.take(h)
		v.put(&Host{Entry: e})
		return
	}
	// A host does not come back from leaving within one life; an entry that says
	// so is an older one that was read late.
	e.Leaving = e.Leaving || h.Entry.Leaving
	h.Entry = e
	v.supersede(e.Address)
}

// Remove takes in that the registry no longer has an entry.
func (v *View) Remove(now time.Time, id core.HostName) {
	v.init()
	if v.hosts[id] == nil {
		return
	}
	if !v.troubled.IsZero() && now.Sub(v.troubled) < lapseAfter && !v.hosts[id].IsLeaving(now) {
		if _, waiting := v.lapsed[id]; !waiting {
			v.lapsed[id] = now.Add(lapseGrace)
		}
		return
	}
	v.drop(id)
}

func (v *View) drop(id core.HostName) {
	v.changes++
	delete(v.lapsed, id)
	v.take(v.hosts[id])
}

// put adds a host.
func (v *View) put(h *Host) {
	h.signals = v.signalsOf(h.life())
	v.hosts[h.ID] = h
	v.at[h.Address] = append(v.at[h.Address], h)
	v.supersede(h.Address)
}

// take removes a host, if there is one.
func (v *View) take(h *Host) {
	if h == nil {
		return
	}
	delete(v.hosts, h.ID)
	v.unlist(h.life())
	v.at[h.Address] = slices.DeleteFunc(v.at[h.Address], func(o *Host) bool { return o == h })
	if len(v.at[h.Address]) == 0 {
		delete(v.at, h.Address)
	}
	v.supersede(h.Address)
}

// Replace takes in a whole list of the registry: entries that it lacks are
// removed.
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

// Tick gives up hosts whose lapsed entries have not come back.
func (v *View) Tick(now time.Time) {
	for id, until := range v.lapsed {
		if !now.Before(until) {
			v.drop(id)
		}
	}
}

// Report takes in a host's own word. Reports of lives that the registry does
// not list are passed over.
func (v *View) Report(r Report) {
	h := v.hosts[r.ID]
	if h == nil || r.Taken.Before(h.Report.Taken) {
		return
	}
	r.Leaving = r.Leaving || h.Report.Leaving
	if r.Leaving != h.Report.Leaving || !core.EqualModels(r.Models, h.Report.Models) || r.Loading != h.Report.Loading {
		v.changes++
	}
	if !h.lostAt.IsZero() {
		h.lostAt = time.Time{}
		v.changes++
	}
	if r.Limit.Limited && h.noteLimit(r.Taken, r.Taken, r.Limit) {
		v.changes++
	}
	h.Report = r
}

// Lost notes that the agent at an address cannot reach its host. The registry lists
// a host that has crashed for seconds more; what it held has to be loaded elsewhere
// at once, and what is sent there fails.
func (v *View) Lost(now time.Time, address netip.AddrPort) {
	for _, h := range v.at[address] {
		if !h.Lost(now) {
			v.changes++
		}
		h.lostAt = now
	}
}

// Outlived takes in what the agent at an address says of its host's lives: when
// the present one was born, zero where the host does not tell, and which ones
// have ended. The registry lists those for some seconds more; sent there,
// requests are turned away and orders refused.
func (v *View) Outlived(address netip.AddrPort, born int64, ended []core.HostName) {
	for _, h := range v.at[address] {
		over := born != 0 && h.Born != 0 && h.Born < born || slices.Contains(ended, h.ID)
		if over != h.outlived {
			h.outlived = over
			v.changes++
		}
	}
	v.supersede(address)
}

// supersede marks the lives at an address that the registry lists though it names a
// newer one there.
func (v *View) supersede(address netip.AddrPort) {
	best := v.newest(address)
	for _, h := range v.at[address] {
		h.superseded = best != nil && h != best
	}
}

// Newest returns the newest life that the registry names at an address and that
// is not known to have ended; the zero Life where it names none. All processes
// that have read the same registry name the same one.
func (v *View) Newest(address netip.AddrPort) Life {
	if best := v.newest(address); best != nil {
		return Life{ID: best.ID, Born: best.Born}
	}
	return Life{}
}

func (v *View) newest(address netip.AddrPort) (best *Host) {
	for _, h := range v.at[address] {
		if !h.Usable || h.outlived {
			continue
		}
		// A life that has ended writes its entry no more.
		if best == nil || cmp.Or(cmp.Compare(h.Born, best.Born), cmp.Compare(h.Revision, best.Revision), cmp.Compare(h.ID, best.ID)) > 0 {
			best = h
		}
	}
	return best
}

// Host returns a host by its id, nil where it is not known.
func (v *View) Host(id core.HostName) *Host { return v.hosts[id] }

// Hosts returns all hosts of a service, sorted by id; of all services where
// the name is empty.
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
