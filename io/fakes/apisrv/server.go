package apisrv

import (
	"net/http"
	"net/netip"
	"sync"

	"radishwell/core"
)

// Server is the stand-in. Its exported fields are set before first use.
type Server struct {
	// Listen is where Run serves the object API.
	Listen netip.AddrPort
	// Control is where Run serves /faults and /calls; where it is not valid
	// they are served on Listen only.
	Control netip.AddrPort
	// Seed holds the objects at start, which need kind, name and spec only.
	Seed []core.Object
	// History is how many events are kept for watches that resume.
	History int
	// Token is the bearer token that callers of the API must show, if not empty.
	Token string
	// Clock is the time by which host lag is counted; the real one where nil.
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
	s.store = makeStore(s.History)
	s.switches = &switches{calls: map[string]int{}, changed: make(chan struct{})}
	for _, o := range s.Seed {
		// A name that stands twice keeps its first object.
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
