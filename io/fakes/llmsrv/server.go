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

// Header names that the agent sets on work, beside the OpenAI interface.
const (
	HeaderRequest  = "X-Request-Id"
	HeaderPriority = "X-Priority"
)

// orphanTime is how long a run without a reading connection goes on, so that
// its reader can come back and resume.
const orphanTime = 10 * time.Second

// Server is a stand-in engine. Set the exported fields before Run.
type Server struct {
	// Listen is the address to serve on.
	Listen netip.AddrPort
	// Capacity is the memory of each accelerator.
	Capacity []core.Bytes
	// LoadTimes is how long a load takes from each tier.
	LoadTimes [3]time.Duration
	// AdapterTime is how long the load of an adapter takes.
	AdapterTime time.Duration
	// TokenTime is the time between tokens, FirstTime that before the first.
	TokenTime, FirstTime time.Duration
	// Batch is the most requests that make progress at once; the others wait
	// in the engine by priority.
	Batch int
	// Faults are in force from the start.
	Faults Faults

	mu      sync.Mutex
	faults  Faults
	epoch   uint64
	fence   core.Fence
	items   []core.EngineItem
	copies  map[core.ModelName]core.Tier
	runs    map[core.RequestID]*run
	started map[core.RequestID]int
	lives   context.Context
	kill    context.CancelFunc
	downTil time.Time
	slots   *slots
}

// Handler returns the stand-in's HTTP interface. It must be called once.
func (s *Server) Handler() http.Handler {
	s.faults = s.Faults
	s.copies = map[core.ModelName]core.Tier{}
	s.slots = newSlots(max(s.Batch, 1))
	s.restart()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.up(s.serveWork))
	mux.HandleFunc("POST /v1/completions", s.up(s.serveWork))
	mux.HandleFunc("GET /state", s.up(s.serveState))
	mux.HandleFunc("GET /streams/{id}", s.up(s.serveResume))
	mux.HandleFunc("POST /orders/load", s.up(s.serveLoad))
	mux.HandleFunc("POST /orders/unload", s.up(s.serveUnload))
	mux.HandleFunc("POST /orders/cancel", s.up(s.serveCancel))
	mux.HandleFunc("/faults", s.serveFaults)
	mux.HandleFunc("POST /crash", func(w http.ResponseWriter, _ *http.Request) { s.crash(); w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /started", s.serveStarted)
	return mux
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	return httpd.Serve(ctx, s.Listen, s.Handler(), nil)
}

// restart gives the engine a new epoch without items or runs. The caller holds
// no lock.
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
	s.lives, s.kill = context.WithCancel(context.Background())
}

// crash ends every run and connection and stays away for a while.
func (s *Server) crash() {
	s.mu.Lock()
	s.downTil = time.Now().Add(s.faults.downFor())
	kill := s.kill
	s.mu.Unlock()
	kill()
	s.restart()
}

// up lets a handler run only while the engine is not down.
func (s *Server) up(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.faults.Down || time.Now().Before(s.downTil)
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

// State returns the engine's report.
func (s *Server) State() core.EngineState {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := core.EngineState{
		Epoch: s.epoch, Fence: s.fence, Capacity: s.Capacity,
		Items: slices.Clone(s.items), Queued: s.slots.waiting(),
	}
	for _, r := range s.runs {
		if r.over() {
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
	var a ask
	if err := json.Unmarshal(body, &a); err != nil {
		httpd.WriteJSON(w, http.StatusBadRequest, failure("malformed body"))
		return
	}
	name := core.ModelName(a.Model)
	if !s.holds(name) {
		httpd.WriteJSON(w, http.StatusNotFound, failure("model is not loaded"))
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
	made, crashes := s.start(id, name, class, script{ask: a, chat: r.URL.Path == "/v1/chat/completions", id: id, made: time.Now()}, body)
	if crashes {
		s.crash()
		drop(w)
		return
	}
	kind := "application/json"
	if a.Stream {
		kind = "text/event-stream"
	}
	s.relay(w, r, made, 0, kind)
}

func failure(text string) any {
	return map[string]any{"error": map[string]string{"message": text, "type": "invalid_request_error"}}
}

func (s *Server) holds(name core.ModelName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.items, func(i core.EngineItem) bool { return i.Name == name && i.State == core.Loaded })
}

// start begins a run, or tells that the body crashes the engine.
func (s *Server) start(id core.RequestID, name core.ModelName, class core.Class, sc script, body []byte) (*run, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started[id]++
	if s.faults.crashes(body) {
		return nil, true
	}
	ctx, cancel := context.WithCancel(s.lives)
	r := newRun(id, name, class, cancel)
	s.runs[id] = r
	go s.generate(ctx, r, sc)
	return r, false
}

// generate produces the run's tokens. It ends with the run, of which every
// reader is told through the run itself.
func (s *Server) generate(ctx context.Context, r *run, sc script) {
	defer r.cancel()
	if !s.slots.take(ctx, r.class) {
		r.end(true)
		return
	}
	defer s.slots.give()
	for i := range sc.ask.tokens() {
		pause := s.TokenTime
		if i == 0 {
			pause = s.FirstTime
		}
		if !s.pause(ctx, pause) {
			r.end(true)
			return
		}
		if sc.ask.Stream {
			r.write(sc.event(i))
		}
	}
	if sc.ask.Stream {
		r.write(sc.tail())
	} else {
		r.write(sc.whole())
	}
	r.end(false)
	s.forget(r)
}

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

// forget drops an ended run once nobody can want to resume it.
func (s *Server) forget(r *run) {
	time.AfterFunc(orphanTime, func() {
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
		httpd.WriteJSON(w, http.StatusBadRequest, failure("offset"))
		return
	}
	s.mu.Lock()
	found := s.runs[core.RequestID(r.PathValue("id"))]
	s.mu.Unlock()
	if found == nil {
		httpd.WriteJSON(w, http.StatusNotFound, failure("no such run"))
		return
	}
	s.relay(w, r, found, offset, "application/octet-stream")
}

// relay copies a run's answer to a connection until one of them ends.
func (s *Server) relay(w http.ResponseWriter, r *http.Request, from *run, offset int64, kind string) {
	w.Header().Set("Content-Type", kind)
	flush := http.NewResponseController(w)
	for {
		data, ended, failed, grown := from.after(offset)
		if len(data) > 0 {
			if s.hush(r) {
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
		case <-grown:
		case <-r.Context().Done():
			return
		}
	}
}

// hush holds a connection open without writing to it, or has it end, while one
// of these faults is on.
func (s *Server) hush(r *http.Request) bool {
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
		httpd.WriteJSON(w, http.StatusBadRequest, failure("order"))
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
