package entry

import (
	"crypto/tls"
	"net/http"
	"net/netip"
	"sync"

	"radishwell/core"
)

// client holds the connections to one address of a host.
type client struct {
	base      string
	transport *http.Transport
}

type clientKey struct {
	host core.HostName
	work netip.AddrPort
}

// clientSet holds a client for each address of a host in use.
type clientSet struct {
	mu   sync.Mutex
	list map[clientKey]*client
}

// get returns the client for a host's work address, and creates it if there is none. conf
// returns the host's TLS configuration; without one, connections are not encrypted.
func (s *clientSet) get(h Host, conf func(core.HostName) *tls.Config) *client {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := clientKey{h.Name, h.Work}
	if c := s.list[key]; c != nil {
		return c
	}
	if s.list == nil {
		s.list = map[clientKey]*client{}
	}
	var own *tls.Config
	scheme := "http://"
	if conf != nil {
		own = conf(h.Name)
	}
	if own != nil {
		scheme = "https://"
	}
	c := &client{base: scheme + h.Work.String(), transport: newTransport(own)}
	s.list[key] = c
	return c
}

// keep closes the idle connections of hosts that are no longer listed and drops their
// clients.
func (s *clientSet) keep(listed func(core.HostName) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, c := range s.list {
		if !listed(key.host) {
			c.transport.CloseIdleConnections()
			delete(s.list, key)
		}
	}
}

func (s *clientSet) close() { s.keep(func(core.HostName) bool { return false }) }
