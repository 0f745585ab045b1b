package plain

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"radishwell/io/fakes/httpd"
)

// Faults are what can be made to go wrong while the stand-in runs.
type Faults struct {
	// Delay is how many milliseconds each answer takes.
	Delay int `json:"delay"`
	// Down drops every connection before anything runs.
	Down bool `json:"down"`
	// AnswersLost runs the call and drops the connection.
	AnswersLost bool `json:"answers-lost"`
}

// Server is a stand-in service. Set the exported fields before Run.
type Server struct {
	Listen netip.AddrPort
	Faults Faults

	mu   sync.Mutex
	once sync.Once
	now  Faults
	runs map[string]int
}

// echo is what the service answers with.
type echo struct {
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Query  string      `json:"query"`
	Header http.Header `json:"header"`
	Body   string      `json:"body"`
	// Run counts the calls with this body, this one included.
	Run int `json:"run"`
}

// Handler returns the service's HTTP interface.
func (s *Server) Handler() http.Handler {
	s.once.Do(func() { s.now, s.runs = s.Faults, map[string]int{} })
	mux := http.NewServeMux()
	mux.HandleFunc("/faults", s.serveFaults)
	mux.HandleFunc("GET /runs", s.serveRuns)
	mux.HandleFunc("/", s.serveCall)
	return mux
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	return httpd.Serve(ctx, s.Listen, s.Handler(), nil)
}

func (s *Server) faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	f := s.faults()
	if f.Down {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run := s.count(string(body))
	if f.Delay > 0 {
		time.Sleep(time.Duration(f.Delay) * time.Millisecond)
	}
	if f.AnswersLost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	// An error here is the client's going away; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(echo{
		Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Header: r.Header, Body: string(body), Run: run,
	})
}

// count counts a call by its body.
func (s *Server) count(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[body]++
	return s.runs[body]
}

// Runs returns how often each body was run.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, v := range s.runs {
		out[k] = v
	}
	return out
}

func (s *Server) serveRuns(w http.ResponseWriter, _ *http.Request) {
	httpd.WriteJSON(w, http.StatusOK, s.Runs())
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	httpd.ServeFaults(w, r, &s.mu, &s.now)
}
