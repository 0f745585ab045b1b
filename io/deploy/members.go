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

// recordRetryPause is the pause after a failed write of this entry's record. Writes fail
// during an outage of the store; meanwhile other entries learn of this one when it calls
// them.
const recordRetryPause = 2 * time.Second

// listedPollInterval is the interval at which an entry checks whether the records have been
// listed.
const listedPollInterval = 50 * time.Millisecond

// recordWatchWait is the maximum wait of a poll for changes of the records. They change only
// when an entry is added or moved, which other entries report as well.
const recordWatchWait = 15 * time.Second

// memberJSON is an entry's record in the store.
type memberJSON struct {
	Control    netip.AddrPort  `json:"control"`
	DataCentre core.DataCentre `json:"data-centre"`
	Capacity   float64         `json:"capacity"`
	// Orders is set if the entry orders engines, those of its data centre that have no
	// agent.
	Orders bool `json:"orders,omitempty"`
	// Unread are the upstreams that may read requests later which the entry has sent elsewhere.
	Unread []unreadJSON `json:"unread,omitempty"`
}

func (r memberJSON) equal(o memberJSON) bool {
	return r.Control == o.Control && r.DataCentre == o.DataCentre && r.Capacity == o.Capacity && r.Orders == o.Orders && slices.Equal(r.Unread, o.Unread)
}

// members are the other entries: those in the settings, those with a record in the store,
// and those that agents name. In a small fleet agents name an entry before its record
// arrives.
type members struct {
	clock core.Clock
	self  follow.Member
	// seeds are the addresses in the settings.
	seeds []netip.AddrPort

	mu sync.Mutex
	// listed are the entries with a record, and ranked the same by data centre and rank.
	listed map[core.HostName]follow.Member
	ranked follow.Ranked
	// preceding are the entries that precede this one by rank, in order.
	preceding []follow.Member
	// own is this entry's record in the store, zero if there is none.
	own memberJSON
	// ordering are the entries that order engines, by data centre. The latest record counts.
	ordering map[core.DataCentre]ordering
	// named are the entries that agents named, and namedAt when an agent last did so.
	named   map[netip.AddrPort]core.HostName
	namedAt map[netip.AddrPort]time.Time
}

// ordering is an entry that orders engines, and the version of its record.
type ordering struct {
	name    core.HostName
	control netip.AddrPort
	version core.Version
}

// maxNamedAge is how long an entry is kept after an agent last named it.
const maxNamedAge = 10 * time.Second

// addNamed records an entry that an agent named.
func (m *members) addNamed(name core.HostName, control netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.named == nil {
		m.named, m.namedAt = map[netip.AddrPort]core.HostName{}, map[netip.AddrPort]time.Time{}
	}
	m.named[control], m.namedAt[control] = name, m.clock.Now()
}

// apply updates the members from an entry's record in the store.
func (m *members) apply(o core.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := core.HostName(o.Name)
	var record memberJSON
	if !o.Deleted {
		if err := json.Unmarshal(o.Spec, &record); err != nil {
			events.Fail(events.RegistryEntryUnusable, err, "name", o.Name, "revision", o.Version)
			o.Deleted = true // an invalid record counts as none
		}
	}
	if !o.Deleted {
		m.applyOrders(name, record, o.Version)
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
	m.preceding = slices.DeleteFunc(all, func(o follow.Member) bool { return !o.Before(m.self) })
	follow.Sort(m.preceding)
}

// applyOrders records whether an entry orders engines. The caller holds mu.
func (m *members) applyOrders(name core.HostName, record memberJSON, version core.Version) {
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

// isListed reports whether the record of this entry in the store equals the given one.
func (m *members) isListed(record memberJSON) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.own.equal(record)
}

// ownUnread returns the upstreams in this entry's record in the store.
func (m *members) ownUnread() []unreadJSON {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.own.Unread
}

// ordererOf returns the entry that orders the engines without agents in a data centre; false if
// there is none.
func (m *members) ordererOf(dc core.DataCentre) (peer.Target, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.ordering[dc]
	return peer.Target{Host: o.name, Address: o.control}, ok
}

// others returns the other entries with a record in the store.
func (m *members) others() follow.Ranked {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ranked
}

// addresses returns the addresses of all other entries that are known by name.
func (m *members) addresses() map[core.HostName]netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[core.HostName]netip.AddrPort, len(m.listed))
	for at, name := range m.named {
		out[name] = at
	}
	for name, e := range m.listed {
		out[name] = e.Control
	}
	delete(out, m.self.Name)
	return out
}

// predecessors returns the other entries that precede this one by rank, in order; false while no
// records are known.
func (m *members) predecessors() ([]follow.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.preceding, m.listed != nil
}

// count returns the number of entries, including this one; zero while no other is known.
func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := max(len(m.named), len(m.listed))
	if n == 0 {
		return 0
	}
	return n + 1
}

// peers returns the other entries for the exchange of state. It drops those that no agent
// has named for longer than maxNamedAge.
func (m *members) peers() []peer.Target {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	known := map[netip.AddrPort]core.HostName{}
	for control, name := range m.named {
		if now.Sub(m.namedAt[control]) > maxNamedAge {
			delete(m.named, control)
			delete(m.namedAt, control)
			continue
		}
		known[control] = name
	}
	for name, e := range m.listed {
		known[e.Control] = name
	}
	for _, at := range m.seeds {
		if _, ok := known[at]; !ok {
			// The name is unknown until a record or an agent gives it; the address
			// identifies the entry until then.
			known[at] = core.HostName(at.String())
		}
	}
	out := make([]peer.Target, 0, len(known))
	for control, name := range known {
		out = append(out, peer.Target{Host: name, Address: control})
	}
	return out
}

// isNear reports whether a peer is in this entry's data centre.
func (m *members) isNear(t peer.Target) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed[t.Host].DataCentre == m.self.DataCentre
}

// setOrders sets whether this entry orders engines, and has its record rewritten on a
// change.
func (e *entry) setOrders(now bool) {
	if e.ordersEngines.Swap(now) != now {
		loop.Wake(e.recordChanged)
	}
}

// maintainRecord writes this entry's record, by which others find it, and keeps it up to date
// until the context ends. A record that is lost or undone, as by a restore of the store, is
// written again. The first write is skipped if the store has the same record, as
// after a restart. Changes are always written, since the replica of the records may not show
// the previous change yet.
func (e *entry) maintainRecord(ctx context.Context) error {
	for !e.state.Confirmed(core.KindEntry) {
		if !loop.Sleep(ctx, listedPollInterval) {
			return nil
		}
	}
	e.unread.adopt(e.proxy, e.members.ownUnread())
	listed := e.members.isListed(e.ownRecord())
	for {
		if err := e.writeRecord(ctx, listed); err != nil {
			events.Fail(events.PlatformUnreachable, err, "kind", core.KindEntry)
			if !loop.Sleep(ctx, recordRetryPause) {
				return nil
			}
			continue
		}
		listed = false
		select {
		case <-ctx.Done():
			return nil
		case <-e.recordChanged:
		}
	}
}

// ownRecord returns the current content of this entry's record.
func (e *entry) ownRecord() memberJSON {
	self := e.members.self
	return memberJSON{Control: self.Control, DataCentre: self.DataCentre, Capacity: self.Capacity, Orders: e.ordersEngines.Load(), Unread: e.unread.current()}
}

// writeRecord writes this entry's record, unless listed reports that the store has it.
func (e *entry) writeRecord(ctx context.Context, listed bool) error {
	if listed {
		return nil
	}
	spec, err := json.Marshal(e.ownRecord())
	if err != nil {
		return err
	}
	_, err = e.createOrUpdate(ctx, core.Object{Kind: core.KindEntry, Name: string(e.members.self.Name), Spec: spec})
	return err
}
