package deploy

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/io/loop"
	"radishwell/io/proxy"
)

// unreadInterval is the interval at which an entry looks for changes of the upstreams that may read requests
// later.
const unreadInterval = 250 * time.Millisecond

// unreadJSON is an upstream that may read requests of a service later, in an entry's record in the store.
type unreadJSON struct {
	Service core.ServiceName `json:"service"`
	Host    core.HostName    `json:"host"`
	Born    int64            `json:"born,omitempty"`
	Address netip.AddrPort   `json:"address"`
}

// unreadRecord has the upstreams that may read requests later which this entry or its predecessor has given up
// and sent elsewhere. They are in the entry's record, so that a successor knows them once the registry lists
// them no more. The zero value is ready for use.
type unreadRecord struct {
	mu      sync.Mutex
	hosts   []unreadJSON
	adopted bool
}

// adopt takes over what the predecessor's record has, once.
func (u *unreadRecord) adopt(p *proxy.Proxy, record []unreadJSON) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.adopted {
		return
	}
	u.adopted, u.hosts = true, record
	for _, h := range record {
		p.Inherit(proxy.UnreadHost{Service: h.Service, Incarnation: fleet.Incarnation{ID: h.Host, Born: h.Born}, Address: h.Address})
	}
}

func (u *unreadRecord) current() []unreadJSON {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.hosts
}

// update takes over the upstreams that the proxy knows of, and reports whether they have changed.
func (u *unreadRecord) update(hosts []proxy.UnreadHost) bool {
	var record []unreadJSON
	for _, h := range hosts {
		record = append(record, unreadJSON{Service: h.Service, Host: h.Incarnation.ID, Born: h.Incarnation.Born, Address: h.Address})
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.adopted || slices.Equal(record, u.hosts) {
		return false
	}
	u.hosts = record
	return true
}

// recordUnread keeps the upstreams in this entry's record up to date until the context ends.
func (e *entry) recordUnread(ctx context.Context) error {
	for loop.Sleep(ctx, unreadInterval) {
		if e.unread.update(e.proxy.UnreadHosts()) {
			loop.Wake(e.recordChanged)
		}
	}
	return nil
}
