package apisrv

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/io/fakes/httpd"
)

// Outage is a way of being down.
type Outage string

// Outages.
const (
	// Up: calls are served.
	Up Outage = ""
	// Refusing: connections are refused where the server has a control address
	// of its own, and reset where it has not.
	Refusing Outage = "refuse"
	// Failing: every call is answered 503.
	Failing Outage = "unavailable"
	// Hanging: calls are accepted and never answered.
	Hanging Outage = "hang"
)

// Span is a length of time, written as in "250ms".
type Span time.Duration

// MarshalText implements encoding.TextMarshaler.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. Its errors are those of
// time.ParseDuration.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Span(d)
	return err
}

// Faults is the state of the switches, as read and written at /faults. A PUT
// changes only the keys it names.
type Faults struct {
	Down Outage `json:"down"`
	// Delay is added before each call takes effect.
	Delay Span `json:"delay"`
	// StallWatches stops all watches, bookmarks included, and keeps their
	// connections open.
	StallWatches bool `json:"stall-watches"`
	// LoseAnswers is how many writes to come take effect without an answer;
	// a negative number means all.
	LoseAnswers int `json:"lose-answers"`
	// Compact drops the whole history at once; it reads as false.
	Compact bool `json:"compact"`
	// HostLag is how far reads of the kind "hosts" lag behind.
	HostLag Span `json:"host-lag"`
}

// switches guards the faults and the counts of calls.
type switches struct {
	mu     sync.Mutex
	faults Faults
	calls  map[string]int
	// changed is closed and replaced when faults are set.
	changed chan struct{}
}

func (w *switches) now() (Faults, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults, w.changed
}

// edit changes the faults in place; a failed edit changes nothing.
func (w *switches) edit(change func(*Faults) error) (Faults, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := w.faults
	if err := change(&next); err != nil {
		return w.faults, err
	}
	w.faults = next
	close(w.changed)
	w.changed = make(chan struct{})
	return next, nil
}

// loseAnswer tells whether the answer to a write is to be lost.
func (w *switches) loseAnswer() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.LoseAnswers > 0 {
		w.faults.LoseAnswers--
		return true
	}
	return w.faults.LoseAnswers < 0
}

func (w *switches) count(verb string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[verb]++
}

func (w *switches) counts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.calls)
}

// SetFaults replaces the state of all switches.
func (s *Server) SetFaults(f Faults) {
	s.init()
	_, _ = s.edit(func(held *Faults) error {
		*held = f
		return nil
	})
}

// Calls returns the number of calls so far by verb: list, get, create, update,
// update-status, delete and watch. Calls during an outage count too.
func (s *Server) Calls() map[string]int {
	s.init()
	return s.switches.counts()
}

func (s *Server) edit(change func(*Faults) error) (Faults, error) {
	compact := false
	next, err := s.switches.edit(func(f *Faults) error {
		if err := change(f); err != nil {
			return err
		}
		compact = f.Compact
		f.Compact = false
		return nil
	})
	if err != nil {
		return next, err
	}
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.hostLag = time.Duration(next.HostLag)
	if compact {
		s.store.compact(len(s.store.log))
	}
	s.store.wake()
	return next, nil
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	f, _ := s.switches.now()
	if r.Method == http.MethodPut {
		next, err := s.edit(func(f *Faults) error {
			dec := json.NewDecoder(r.Body)
			dec.DisallowUnknownFields()
			return dec.Decode(f)
		})
		if err != nil {
			writeStatus(w, http.StatusBadRequest, "BadRequest", err.Error())
			return
		}
		f = next
	}
	httpd.WriteJSON(w, http.StatusOK, f)
}

func (s *Server) serveCalls(w http.ResponseWriter, _ *http.Request) {
	httpd.WriteJSON(w, http.StatusOK, s.Calls())
}

// Objects returns the objects of a kind as committed, whatever reads see.
func (s *Server) Objects(kind core.Kind) []core.Object {
	s.init()
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	return sorted(s.store.objects[kind])
}
