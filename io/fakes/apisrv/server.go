package apisrv

import (
	"net/http"
	"net/netip"
	"sync"

	"radishwell/core"
)

// Server is the stand-in. The exported fields have to be set before first use.
type Server struct {
	// Listen is the address at which Run serves the object API.
	Listen netip.AddrPort
	// Control is a second address at which Run serves /faults and /calls. If it isn't
	// valid, they are served on Listen only.
	Control netip.AddrPort
	// Seed holds the initial objects, of which only kind, name and spec are used.
	Seed []core.Object
	// History is the number of events that are kept for watches that resume; zero or less
	// means the default.
	History int
	// Token is the bearer token that clients of the API must send, unless it is empty.
	Token string
	// Clock measures the lag of hosts. If it is nil, the system clock is used.
	Clock core.Clock

	once     sync.Once
	store    *store
	switches *switches
	mux      *http.ServeMux
	control  *http.ServeMux
}

func (s *Server) init() { s.once.Do(s.build) }

func (s *Server) build() {
	if s.Clock == nil {
		s.Clock = realClock{}
	}
	s.store = newStore(s.History)
	s.switches = &switches{calls: map[string]int{}, changed: make(chan struct{})}
	for _, o := range s.Seed {
		// The first object of a name wins.
		_, _ = s.store.create(o, s.Clock.Now())
	}
	s.control = http.NewServeMux()
	s.control.HandleFunc("GET /faults", s.serveFaults)
	s.control.HandleFunc("PUT /faults", s.serveFaults)
	s.control.HandleFunc("GET /calls", s.serveCalls)
	s.mux = http.NewServeMux()
	s.mux.Handle("/faults", s.control)
	s.mux.Handle("/calls", s.control)
	const base = "/apis/" + apiVersion + "/{kind}"
	s.handle("GET "+base, "list", s.serveList)
	s.handle("POST "+base, "create", s.serveCreate)
	s.handle("GET "+base+"/{name}", "get", s.serveGet)
	s.handle("PUT "+base+"/{name}", "update", s.serveUpdate)
	s.handle("PUT "+base+"/{name}/status", "update-status", s.serveUpdateStatus)
	s.handle("DELETE "+base+"/{name}", "delete", s.serveDelete)
}

// ServeHTTP implements http.Handler: the API, /faults and /calls.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.init()
	s.mux.ServeHTTP(w, r)
}
