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

// Faults are the faults that can be set while the stand-in runs.
type Faults struct {
	// Delay is the time before each answer, in milliseconds.
	Delay int `json:"delay"`
	// Down makes the service drop each connection before it runs the call.
	Down bool `json:"down"`
	// AnswersLost makes the service drop each connection after it has run the call.
	AnswersLost bool `json:"answers-lost"`
	// Events makes the service answer with a stream of two events.
	Events bool `json:"events"`
	// Unframed makes it answer without a length or chunks. EndsEarly makes it end its answers
	// before their last bytes as if they were complete, and Crashes makes it crash there.
	Unframed  bool `json:"unframed"`
	EndsEarly bool `json:"ends-early"`
	Crashes   bool `json:"crashes"`
}

// Server is a stand-in service. The exported fields have to be set before Run or
// Handler.
type Server struct {
	Listen netip.AddrPort
	Faults Faults
	// Crash ends the service's process.
	Crash func()

	mu      sync.Mutex
	once    sync.Once
	current Faults
	runs    map[string]int
}

// echo is the answer of the service.
type echo struct {
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Query  string      `json:"query"`
	Header http.Header `json:"header"`
	Body   string      `json:"body"`
	// Run is the number of calls with this body so far, including this one.
	Run int `json:"run"`
}

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() http.Handler {
	s.once.Do(func() { s.current, s.runs = s.Faults, map[string]int{} })
	mux := http.NewServeMux()
	mux.HandleFunc("/faults", s.serveFaults)
	mux.HandleFunc("GET /runs", s.serveRuns)
	mux.HandleFunc("/", s.serveCall)
	return mux
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	return httpd.Serve(ctx, s.Listen, s.Handler(), nil)
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	f := s.currentFaults()
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
	if f.Unframed {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	text, err := json.Marshal(echo{
		Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Header: r.Header, Body: string(body), Run: run,
	})
	if err != nil {
		panic(err) // a struct of strings always encodes
	}
	w.Header().Set("Content-Type", "application/json")
	if f.Events {
		w.Header().Set("Content-Type", "text/event-stream")
		text = []byte("data: first\n\ndata: second\n\n")
	}
	if f.EndsEarly || f.Crashes {
		text = text[:len(text)-3]
	}
	// A write fails only if the client has disconnected, so the error is ignored.
	_, _ = w.Write(text)
	if f.Crashes {
		_ = http.NewResponseController(w).Flush()
		s.Crash()
		<-r.Context().Done()
	}
}

// count records a call and returns the number of calls with this body so far.
func (s *Server) count(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[body]++
	return s.runs[body]
}

// Runs returns the number of runs by the body of the call.
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
	httpd.ServeFaults(w, r, &s.mu, &s.current)
}
