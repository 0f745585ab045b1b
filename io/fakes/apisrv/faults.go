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

// Outage is a kind of outage.
type Outage string

// Kinds of outages.
const (
	// Up: calls are served.
	Up Outage = ""
	// Refusing: connections are refused if the server has a control address, otherwise
	// reset.
	Refusing Outage = "refuse"
	// Failing: each call is answered with status 503.
	Failing Outage = "unavailable"
	// Hanging: calls are accepted but never answered.
	Hanging Outage = "hang"
)

// Span is a duration, written as text in the form "250ms".
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

// Faults holds the faults of the stand-in, as read and written at /faults. A PUT changes
// only the keys in its body.
type Faults struct {
	Down Outage `json:"down"`
	// Delay is the time that passes before each call takes effect.
	Delay Span `json:"delay"`
	// StallWatches stops the events of all watches, including bookmarks, and keeps their
	// connections open.
	StallWatches bool `json:"stall-watches"`
	// LoseAnswers is the number of further writes that take effect without an answer. A
	// negative number means all.
	LoseAnswers int `json:"lose-answers"`
	// Compact drops the whole history once. It always reads as false.
	Compact bool `json:"compact"`
	// HostLag is the time by which reads of the kind "hosts" lag behind writes.
	HostLag Span `json:"host-lag"`
}

// switches holds the current faults and the counts of calls.
type switches struct {
	mu     sync.Mutex
	faults Faults
	calls  map[string]int
	// changed is closed and replaced when the faults change.
	changed chan struct{}
}

func (w *switches) current() (Faults, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults, w.changed
}

// edit applies change to the faults and returns the result. If change fails, the faults
// stay as they are.
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

// loseAnswer reports whether the answer to a write has to be lost, and counts it.
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

// SetFaults replaces all faults.
func (s *Server) SetFaults(f Faults) {
	s.init()
	_, _ = s.edit(func(current *Faults) error {
		*current = f
		return nil
	})
}

// Calls returns the number of calls so far by verb: list, get, create, update,
// update-status, delete and watch. Calls during an outage are included.
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
	s.store.notify()
	return next, nil
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	f, _ := s.switches.current()
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

// Objects returns the objects of a kind as committed, also if reads lag behind.
func (s *Server) Objects(kind core.Kind) []core.Object {
	s.init()
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	return sorted(s.store.objects[kind])
}
