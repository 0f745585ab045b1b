package llmsrv

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/io/fakes/httpd"
)

// Names of the header fields that the agent adds to requests of the OpenAI API.
const (
	HeaderRequest  = "X-Request-Id"
	HeaderPriority = "X-Priority"
)

// resumeTime is the time for which a run is kept after its end, so that a reader can
// reconnect and resume its answer.
const resumeTime = 10 * time.Second

// Server is a stand-in engine. The exported fields have to be set before Run or Handler.
type Server struct {
	// Listen is the address to listen on.
	Listen netip.AddrPort
	// Capacity holds the memory of each accelerator.
	Capacity []core.Bytes
	// LoadTimes holds the time of a load from each tier.
	LoadTimes [3]time.Duration
	// AdapterTime is the time of the load of an adapter.
	AdapterTime time.Duration
	// TokenTime is the time between tokens, FirstTime that before the first token.
	TokenTime, FirstTime time.Duration
	// Batch is the maximum number of requests that are processed at the same time. The
	// others wait in the engine by priority.
	Batch int
	// Faults are the initial faults.
	Faults Faults

	mu     sync.Mutex
	faults Faults
	// epoch identifies the current incarnation of the engine.
	epoch uint64
	// fence is the highest fencing number of an order in this epoch.
	fence  core.Fence
	items  []core.EngineItem
	copies map[core.ModelName]core.Tier
	runs   map[core.RequestID]*run
	// started counts how often a request of an id was started, over all epochs.
	started map[core.RequestID]int
	// runCtx is the context of the runs of this epoch; cancelRuns cancels it.
	runCtx     context.Context
	cancelRuns context.CancelFunc
	// downUntil is the end of the outage after a crash.
	downUntil time.Time
	slots     *slots
}

// Handler returns the HTTP handler of the stand-in. It must be called only once.
func (s *Server) Handler() http.Handler {
	s.faults = s.Faults
	s.copies = map[core.ModelName]core.Tier{}
	s.slots = newSlots(max(s.Batch, 1))
	s.restart()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.unlessDown(s.serveWork))
	mux.HandleFunc("POST /v1/completions", s.unlessDown(s.serveWork))
	mux.HandleFunc("GET /state", s.unlessDown(s.serveState))
	mux.HandleFunc("GET /streams/{id}", s.unlessDown(s.serveResume))
	mux.HandleFunc("POST /orders/load", s.unlessDown(s.serveLoad))
	mux.HandleFunc("POST /orders/unload", s.unlessDown(s.serveUnload))
	mux.HandleFunc("POST /orders/cancel", s.unlessDown(s.serveCancel))
	mux.HandleFunc("/faults", s.serveFaults)
	mux.HandleFunc("POST /crash", func(w http.ResponseWriter, _ *http.Request) { s.crash(); w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /started", s.serveStarted)
	return mux
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	return httpd.Serve(ctx, s.Listen, s.Handler(), nil)
}

// restart starts a new epoch without items or runs. The caller must not hold mu.
func (s *Server) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch = rand.Uint64() >> 1
	s.fence = 0
	s.items = nil
	for _, r := range s.runs {
		r.end(true)
	}
	s.runs = map[core.RequestID]*run{}
	if s.started == nil {
		s.started = map[core.RequestID]int{}
	}
	s.runCtx, s.cancelRuns = context.WithCancel(context.Background())
}

// crash ends all runs, restarts the engine and keeps it down for the time that its faults
// set.
func (s *Server) crash() {
	s.mu.Lock()
	s.downUntil = time.Now().Add(s.faults.downFor())
	cancelRuns := s.cancelRuns
	s.mu.Unlock()
	cancelRuns()
	s.restart()
}

// unlessDown wraps a handler. It drops connections while the engine is down.
func (s *Server) unlessDown(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.faults.Down || time.Now().Before(s.downUntil)
		s.mu.Unlock()
		if down {
			drop(w)
			return
		}
		h(w, r)
	}
}

func (s *Server) serveState(w http.ResponseWriter, _ *http.Request) {
	httpd.WriteJSON(w, http.StatusOK, s.State())
}

// State returns the state of the engine, as reported at /state.
func (s *Server) State() core.EngineState {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := core.EngineState{
		Epoch: s.epoch, Fence: s.fence, Capacity: s.Capacity,
		Items: slices.Clone(s.items), Queued: s.slots.waiting(),
	}
	for _, r := range s.runs {
		if r.hasEnded() {
			continue
		}
		st.Runs = append(st.Runs, core.EngineRun{ID: r.id, Model: r.model, Emitted: r.emitted()})
	}
	for name, tier := range s.copies {
		st.Copies = append(st.Copies, core.EngineCopy{Name: name, Tier: tier})
	}
	slices.SortFunc(st.Copies, func(a, b core.EngineCopy) int { return compare(a.Name, b.Name) })
	return st
}

func compare[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (s *Server) serveStarted(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	httpd.WriteJSON(w, http.StatusOK, s.started)
}

func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var a completionRequest
	if err := json.Unmarshal(body, &a); err != nil {
		httpd.WriteJSON(w, http.StatusBadRequest, errorDocument("malformed body"))
		return
	}
	name := core.ModelName(a.Model)
	if !s.holds(name) {
		httpd.WriteJSON(w, http.StatusNotFound, errorDocument("model is not loaded"))
		return
	}
	id := core.RequestID(r.Header.Get(HeaderRequest))
	if id == "" {
		id = core.RequestID(strconv.FormatUint(rand.Uint64(), 36))
	}
	var class core.Class
	if class.UnmarshalText([]byte(r.Header.Get(HeaderPriority))) != nil {
		class = core.Interactive
	}
	started, crashes := s.start(id, name, class, answerFormat{request: a, chat: r.URL.Path == "/v1/chat/completions", id: id, created: time.Now()}, body)
	if crashes {
		s.crash()
		drop(w)
		return
	}
	kind := "application/json"
	if a.Stream {
		kind = "text/event-stream"
	}
	s.relay(w, r, started, 0, kind)
}

func errorDocument(text string) any {
	return map[string]any{"error": map[string]string{"message": text, "type": "invalid_request_error"}}
}

// holds reports whether a model or adapter is loaded.
func (s *Server) holds(name core.ModelName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.items, func(i core.EngineItem) bool { return i.Name == name && i.State == core.Loaded })
}

// start starts a run. It returns true and no run if the body crashes the engine.
func (s *Server) start(id core.RequestID, name core.ModelName, class core.Class, format answerFormat, body []byte) (*run, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started[id]++
	if s.faults.crashes(body) {
		return nil, true
	}
	ctx, cancel := context.WithCancel(s.runCtx)
	r := newRun(id, name, class, cancel)
	s.runs[id] = r
	go s.generate(ctx, r, format)
	return r, false
}

// generate produces the answer of a run, as soon as a slot is free, and ends the run.
func (s *Server) generate(ctx context.Context, r *run, format answerFormat) {
	defer r.cancel()
	if !s.slots.acquire(ctx, r.class) {
		r.end(true)
		return
	}
	defer s.slots.release()
	for i := range format.request.tokens() {
		pause := s.TokenTime
		if i == 0 {
			pause = s.FirstTime
		}
		if !s.pause(ctx, pause) {
			r.end(true)
			return
		}
		if format.request.Stream {
			r.write(format.event(i))
		}
	}
	if format.request.Stream {
		r.write(format.tail())
	} else {
		r.write(format.whole())
	}
	r.end(false)
	s.forgetLater(r)
}

// pause waits for d, multiplied by TokenFactor. It returns false if ctx ends before.
func (s *Server) pause(ctx context.Context, d time.Duration) bool {
	s.mu.Lock()
	d = scale(d, s.faults.TokenFactor)
	s.mu.Unlock()
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// forgetLater removes an ended run after resumeTime.
func (s *Server) forgetLater(r *run) {
	time.AfterFunc(resumeTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.runs[r.id] == r {
			delete(s.runs, r.id)
		}
	})
}

func (s *Server) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.ParseInt(r.URL.Query().Get("offset"), 10, 64)
	if err != nil || offset < 0 {
		httpd.WriteJSON(w, http.StatusBadRequest, errorDocument("offset"))
		return
	}
	s.mu.Lock()
	found := s.runs[core.RequestID(r.PathValue("id"))]
	s.mu.Unlock()
	if found == nil {
		httpd.WriteJSON(w, http.StatusNotFound, errorDocument("no such run"))
		return
	}
	s.relay(w, r, found, offset, "application/octet-stream")
}

// relay copies the answer of a run to a connection, starting at an offset, until the run
// or the connection ends.
func (s *Server) relay(w http.ResponseWriter, r *http.Request, from *run, offset int64, kind string) {
	w.Header().Set("Content-Type", kind)
	flush := http.NewResponseController(w)
	for {
		data, ended, failed, changed := from.after(offset)
		if len(data) > 0 {
			if s.interrupt(r) {
				return
			}
			if _, err := w.Write(data); err != nil || flush.Flush() != nil {
				return
			}
			offset += int64(len(data))
			continue
		}
		if failed {
			drop(w)
			return
		}
		if ended {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// interrupt applies the faults Silent and EndsEarly to a connection that doesn't resume an
// answer. It returns true if the connection has to end. If the fault is Silent, it does so
// only after the client has disconnected.
func (s *Server) interrupt(r *http.Request) bool {
	s.mu.Lock()
	first := r.URL.Path != "/streams/"+r.PathValue("id")
	silent, ends := first && s.faults.Silent, first && s.faults.EndsEarly
	s.mu.Unlock()
	if !silent {
		return ends
	}
	<-r.Context().Done()
	return true
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	var order struct {
		ID core.RequestID `json:"id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		httpd.WriteJSON(w, http.StatusBadRequest, errorDocument("order"))
		return
	}
	s.mu.Lock()
	found := s.runs[order.ID]
	delete(s.runs, order.ID)
	s.mu.Unlock()
	if found != nil {
		found.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}
