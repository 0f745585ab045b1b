package proxy_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/io/loop"
	"radishwell/platform/stand"
)

// pausingEngine is an upstream whose stream pauses after some events until resume is closed.
type pausingEngine struct {
	*stand.Worker
	// after is the number of events before the pause.
	after int
	// report serves probes; nil if the worker does.
	report http.HandlerFunc
	// agent is set if the engine's agent goes on reporting.
	agent          bool
	paused, resume chan struct{}
	pauses         sync.Once
	// probed receives a value after each probe was served, asked counts those that have come.
	probed chan struct{}
	asked  atomic.Int64
}

func (e *pausingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/report" {
		e.asked.Add(1)
	}
	switch {
	case r.URL.Path != "/-/report":
		e.Worker.ServeHTTP(&pausingWriter{ResponseWriter: w, engine: e, left: e.after}, r)
		return
	case e.report != nil:
		e.report(w, r)
	default:
		e.Worker.ServeHTTP(w, r)
	}
	select {
	case e.probed <- struct{}{}:
	case <-e.resume:
	}
}

// pausingWriter writes the answer of a pausingEngine.
type pausingWriter struct {
	http.ResponseWriter
	engine *pausingEngine
	left   int
}

func (w *pausingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *pausingWriter) Write(data []byte) (int, error) {
	if w.left == 0 {
		w.engine.pauses.Do(func() { close(w.engine.paused) })
		<-w.engine.resume
	}
	w.left--
	return w.ResponseWriter.Write(data)
}

// pauseWithoutAgent starts a resumable stream that pauses at the engine, whose agent falls silent, and
// adds a second engine. It returns the second engine and the answer to come.
func pauseWithoutAgent(t *testing.T, e *pausingEngine) (next *stand.Worker, answers chan answer) {
	t.Helper()
	e.Worker = &stand.Worker{ID: "i-1", Events: 4}
	e.paused, e.resume, e.probed = make(chan struct{}), make(chan struct{}), make(chan struct{})
	r := newRig(t)
	r.addServed(t, "llm", e.Worker, e)
	report := func() {
		r.Update(func(v *fleet.View, now time.Time) {
			v.Report(fleet.Report{ID: "i-1", Taken: now, Reachable: true, Models: []core.HeldModel{{Model: "m"}}})
		})
	}
	report()
	if e.agent {
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for loop.Sleep(t.Context(), 100*time.Millisecond) {
				report()
			}
		}()
		t.Cleanup(func() { <-ended })
	}
	answers = make(chan answer, 1)
	ask := r.ask(t, http.MethodPost, "/resumed/x", "q", "X-Radishwell-Model", "m")
	go func() { answers <- do(t, ask) }()
	<-e.paused
	return r.add(t, "llm", &stand.Worker{ID: "i-2", Events: 4}), answers
}

// Guards against streams that are sent to a second engine, or broken off, while the first still works
// on them, since its agent was killed.
func TestKilledAgentMovesNoStream(t *testing.T) { testStreamStays(t, false) }

// Guards against streams that are sent to a second engine while they wait at the first, which responds.
func TestReportingEngineKeepsStreams(t *testing.T) { testStreamStays(t, true) }

// testStreamStays has a stream pause at an engine that responds, whose agent reports or not.
func testStreamStays(t *testing.T, agent bool) {
	reports := map[string]http.HandlerFunc{
		"reports": nil,
		"rejects": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
	}
	for name, report := range reports {
		for stage, after := range map[string]int{"waits": 0, "is in progress": 2} {
			t.Run("the stream "+stage+" and the engine "+name, func(t *testing.T) {
				t.Parallel()
				e := &pausingEngine{after: after, report: report, agent: agent}
				next, answers := pauseWithoutAgent(t, e)
				for range 2 { // the result of the first has counted before the second
					select {
					case <-e.probed:
					case a := <-answers:
						close(e.resume)
						t.Fatalf("the stream was moved: %+v; the second engine ran it %d times", a, next.Ran("q"))
					}
				}
				close(e.resume)
				a := <-answers
				wantStatus(t, a, http.StatusOK)
				assert.Equal(t, a.body, eventsOf(4))
				assert.Equal(t, next.Ran("q"), 0)
			})
		}
	}
}

// Guards against streams that stay at an engine that has frozen with its agent, or that has been
// replaced by another at its address.
func TestFrozenEngineLosesStreams(t *testing.T) {
	reports := map[string]http.HandlerFunc{
		"does not report": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"is another one": func(w http.ResponseWriter, r *http.Request) {
			(&stand.Worker{ID: "i-9"}).ServeHTTP(w, r)
		},
	}
	for name, report := range reports {
		for stage, after := range map[string]int{"waits": 0, "is in progress": 2} {
			t.Run("the stream "+stage+" and the engine "+name, func(t *testing.T) {
				t.Parallel()
				e := &pausingEngine{after: after, report: report}
				next, answers := pauseWithoutAgent(t, e)
				var a answer
				for moved := false; !moved; {
					select {
					case <-e.probed:
					case a = <-answers:
						moved = true
					}
				}
				close(e.resume)
				assert.Assert(t, e.asked.Load() > 0, "the stream was moved before the engine was asked: %+v", a)
				wantStatus(t, a, http.StatusOK)
				assert.Equal(t, a.body, eventsOf(4))
				assert.Equal(t, next.Ran("q"), 1)
			})
		}
	}
}

// Guards against streams that wait until their deadline at an engine that cannot be reached, since its agent,
// which is reached another way, goes on reporting.
func TestBrokenWayToEngineLosesStreams(t *testing.T) {
	for stage, after := range map[string]int{"waits": 0, "is in progress": 2} {
		t.Run("the stream "+stage, func(t *testing.T) {
			t.Parallel()
			e := &pausingEngine{after: after, agent: true, report: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }}
			next, answers := pauseWithoutAgent(t, e)
			probes := 0
			for moved := false; !moved; {
				select {
				case <-e.probed:
					probes++
				case a := <-answers:
					moved = true
					close(e.resume)
					wantStatus(t, a, http.StatusOK)
					assert.Equal(t, a.body, eventsOf(4))
				}
			}
			assert.Equal(t, next.Ran("q"), 1)
			assert.Assert(t, probes >= 2, "one probe may be lost")
		})
	}
}
