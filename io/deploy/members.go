package deploy

import (
	"context"
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/follow"
	"radishwell/io/events"
	"radishwell/io/loop"
	"radishwell/io/peer"
)

// recordPause is the pause after a try to record this entry that failed: the store is
// out, and whoever does not read of this entry finds it when it calls.
const recordPause = 2 * time.Second

// recordLook is how often an entry looks whether the records have been listed.
const recordLook = 50 * time.Millisecond

// recordWait is how long a watch of the records waits. They change when an entry is added
// or moved, and other entries tell of that too.
const recordWait = 15 * time.Second

// memberJSON is an entry's record in the store.
type memberJSON struct {
	Control    netip.AddrPort  `json:"control"`
	DataCentre core.DataCentre `json:"data-centre"`
	Capacity   float64         `json:"capacity"`
	// Orders tells that the entry orders the engines of its data centre that have no
	// agent.
	Orders bool `json:"orders,omitempty"`
}

// members are the other entries: those of the settings, those that the store lists, and
// those that agents name, which in a small fleet is sooner.
type members struct {
	clock core.Clock
	self  follow.Member
	seeds []netip.AddrPort

	mu     sync.Mutex
	listed map[core.HostName]follow.Member
	ranked follow.Ranked
	// ahead are those that go before this entry by rank, the first first.
	ahead []follow.Member
	// own is this entry's record as the store lists it, zero where there is none.
	own memberJSON
	// ordering are the entries that order engines, by data centre, with the version of
	// the record that says so: the latest counts.
	ordering map[core.DataCentre]ordering
	named    map[netip.AddrPort]core.HostName
	// heard is when an agent last named an entry.
	heard map[netip.AddrPort]time.Time
}

// ordering is an entry that orders engines.
type ordering struct {
	name    core.HostName
	control netip.AddrPort
	version core.Version
}

// namedAge is how long an entry counts as there after an agent named it.
const namedAge = 10 * time.Second

// add notes an entry that an agent named.
func (m *members) add(name core.HostName, control netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.named == nil {
		m.named, m.heard = map[netip.AddrPort]core.HostName{}, map[netip.AddrPort]time.Time{}
	}
	m.named[control], m.heard[control] = name, m.clock.Now()
}

// take takes in an entry's record.
func (m *members) take(o core.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := core.HostName(o.Name)
	var record memberJSON
	if !o.Deleted {
		if err := json.Unmarshal(o.Spec, &record); err != nil {
			events.Fail(events.RegistryEntryUnusable, err, "name", o.Name, "revision", o.Version)
			o.Deleted = true // it names no entry
		}
	}
	if !o.Deleted {
		m.takeOrders(name, record, o.Version)
	}
	if name == m.self.Name {
		m.own = record
		return
	}
	if m.listed == nil {
		m.listed = map[core.HostName]follow.Member{}
	}
	delete(m.listed, name)
	if !o.Deleted {
		m.listed[name] = follow.Member{Name: name, Control: record.Control, DataCentre: record.DataCentre, Capacity: record.Capacity}
	}
	all := slices.Collect(maps.Values(m.listed))
	m.ranked = follow.Rank(all)
	m.ahead = slices.DeleteFunc(all, func(o follow.Member) bool { return !o.Before(m.self) })
	follow.Sort(m.ahead)
}

// takeOrders takes in whether an entry orders engines. The caller holds mu.
func (m *members) takeOrders(name core.HostName, record memberJSON, version core.Version) {
	old := m.ordering[record.DataCentre]
	switch {
	case record.Orders && version >= old.version:
		if m.ordering == nil {
			m.ordering = map[core.DataCentre]ordering{}
		}
		m.ordering[record.DataCentre] = ordering{name: name, control: record.Control, version: version}
	case !record.Orders && old.name == name:
		delete(m.ordering, record.DataCentre)
	}
}

// says tells whether the store listed this record of this entry.
func (m *members) says(record memberJSON) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.own == record
}

// holder returns the entry that orders the engines without agents of a data centre.
func (m *members) holder(dc core.DataCentre) (peer.Target, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.ordering[dc]
	return peer.Target{Host: o.name, Address: o.control}, ok
}

// others returns the entries that the store lists, without this one.
func (m *members) others() follow.Ranked {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ranked
}

// before returns the other entries that go before this one by rank, the first first;
// false while none is listed.
func (m *members) before() ([]follow.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ahead, m.listed != nil
}

// count returns the number of entries, this one included; zero while no other is known.
func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := max(len(m.named), len(m.listed))
	if n == 0 {
		return 0
	}
	return n + 1
}

// peers returns the other entries as peers to exchange state with.
func (m *members) peers() []peer.Target {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	known := map[netip.AddrPort]core.HostName{}
	for control, name := range m.named {
		if now.Sub(m.heard[control]) > namedAge {
			delete(m.named, control)
			delete(m.heard, control)
			continue
		}
		known[control] = name
	}
	for name, e := range m.listed {
		known[e.Control] = name
	}
	for _, at := range m.seeds {
		if _, ok := known[at]; !ok {
			// Its name is not known before the store or an agent tells it; the address tells
			// entries apart as well.
			known[at] = core.HostName(at.String())
		}
	}
	out := make([]peer.Target, 0, len(known))
	for control, name := range known {
		out = append(out, peer.Target{Host: name, Address: control})
	}
	return out
}

// isNear tells whether a peer is in this entry's data centre.
func (m *members) isNear(t peer.Target) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed[t.Host].DataCentre == m.self.DataCentre
}

// setOrders notes whether this entry orders engines, for its record.
func (e *entry) setOrders(now bool) {
	if e.ordering.Swap(now) != now {
		loop.Wake(e.rewrite)
	}
}

// record writes this entry's record, so that others find it. After a restart the store
// has it already, as the list of all records shows. A change is always written: the list
// may not have shown the one before yet.
func (e *entry) record(ctx context.Context) error {
	for !e.state.Confirmed(core.KindEntry) {
		if !loop.Sleep(ctx, recordLook) {
			return nil
		}
	}
	listed := e.members.says(e.ownRecord())
	for {
		if err := e.writeRecord(ctx, listed); err != nil {
			events.Fail(events.PlatformUnreachable, err, "kind", core.KindEntry)
			if !loop.Sleep(ctx, recordPause) {
				return nil
			}
			continue
		}
		listed = false
		select {
		case <-ctx.Done():
			return nil
		case <-e.rewrite:
		}
	}
}

// ownRecord returns what this entry's record has to say.
func (e *entry) ownRecord() memberJSON {
	self := e.members.self
	return memberJSON{Control: self.Control, DataCentre: self.DataCentre, Capacity: self.Capacity, Orders: e.ordering.Load()}
}

// writeRecord writes this entry's record, unless it is listed as it is.
func (e *entry) writeRecord(ctx context.Context, listed bool) error {
	if listed {
		return nil
	}
	spec, err := json.Marshal(e.ownRecord())
	if err != nil {
		return err
	}
	_, err = e.put(ctx, core.Object{Kind: core.KindEntry, Name: string(e.members.self.Name), Spec: spec})
	return err
}
