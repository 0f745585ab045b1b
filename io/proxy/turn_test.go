package proxy_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/core/rtable"
	"radishwell/platform/stand"
)

// patientTarget is longer than any test holds a request.
const patientTarget = 15 * time.Second

// heldRig is a proxy before one engine, with an urgent and a patient route to its model.
type heldRig struct {
	*rig
	worker *stand.Worker
}

func newHeldRig(t *testing.T) *heldRig {
	t.Helper()
	r := newRig(t)
	route := func(path string, rank int, target time.Duration) *rtable.Route {
		return &rtable.Route{
			Name: path, Host: "a.example", Prefix: path, Kind: rtable.Stream, Shares: []rtable.Share{{Service: "llm", Weight: 1}}, MaxHosts: 1,
			Timeout: 2 * longTimeout, Target: target, SilenceTimeout: max(10*time.Second, 4*target), Rank: rank,
		}
	}
	models := map[core.ModelName]rtable.Model{"m": {Name: "m"}}
	table, err := rtable.Build(2, rtable.Limits{}, []*rtable.Service{{Name: "llm", Models: models}}, []*rtable.Route{
		route("/urgent/", 0, 500*time.Millisecond), route("/patient/", 2, patientTarget),
	}, nil)
	assert.NilError(t, err)
	r.Offer(table)
	h := &heldRig{rig: r, worker: r.add(t, "llm", &stand.Worker{ID: "i-1", Events: 2})}
	h.setReading(0)
	wantStatus(t, do(t, h.stream(t, "/urgent/x", "first")), http.StatusOK)
	return h
}

// setReading has the engine's agent report the prompt tokens that it reads.
func (h *heldRig) setReading(tokens int) {
	h.Update(func(v *fleet.View, now time.Time) {
		v.Report(fleet.Report{Taken: now, ID: "i-1", Reachable: true, Models: []core.HeldModel{{Model: "m"}}, Reading: tokens, Running: 1})
	})
}

// keepReading reports the same for as long as the test lasts, so that the report stays fresh.
func (h *heldRig) keepReading(t *testing.T, tokens int) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	h.setReading(tokens)
	go func() {
		defer close(ended)
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(50 * time.Millisecond):
				h.setReading(tokens)
			}
		}
	}()
	stop = func() {
		cancel()
		<-ended
	}
	t.Cleanup(stop)
	return stop
}

func (h *heldRig) stream(t *testing.T, path, id string) *http.Request {
	t.Helper()
	return h.ask(t, http.MethodPost, path, id, "X-Radishwell-Model", "m", "X-Radishwell-Token-Usage", "100,50")
}

// begin sends a request and returns the channel of its answer.
func (h *heldRig) begin(t *testing.T, req *http.Request) chan answer {
	t.Helper()
	out := make(chan answer, 1)
	go func() { out <- do(t, req) }()
	return out
}

func (h *heldRig) awaitHeld(t *testing.T, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if h.Held() == n {
			return poll.Success()
		}
		return poll.Continue("%d requests wait, want %d", h.Held(), n)
	}, poll.WithTimeout(longTimeout), poll.WithDelay(5*time.Millisecond))
}

func (h *heldRig) removeHost(id core.HostName) {
	h.Update(func(v *fleet.View, now time.Time) { v.Remove(now, id) })
}

func (h *heldRig) addEngine(t *testing.T, id string) {
	t.Helper()
	h.add(t, "llm", &stand.Worker{ID: id, Events: 2})
}

// busy is the number of prompt tokens that an engine reads in one second.
const busy = 38_000

func TestHeldUntilThereIsRoom(t *testing.T) {
	h := newHeldRig(t)
	stop := h.keepReading(t, busy)
	patient := h.begin(t, h.stream(t, "/patient/x", "patient"))
	h.awaitHeld(t, 1)
	assert.Equal(t, h.worker.Ran("patient"), 0)
	stop()
	h.setReading(0)
	wantStatus(t, <-patient, http.StatusOK)
	assert.Equal(t, h.worker.Ran("patient"), 1)
}

// Guards against patient work that is read before urgent work since it came first.
func TestUrgentGoesFirst(t *testing.T) {
	h := newHeldRig(t)
	stop := h.keepReading(t, busy)
	var patient []chan answer
	for i := range 5 {
		req := h.stream(t, "/patient/x", fmt.Sprint("patient-", i))
		req.Header.Set("X-Radishwell-Token-Usage", "20000,50")
		patient = append(patient, h.begin(t, req))
	}
	h.awaitHeld(t, 5)
	urgent := h.begin(t, h.stream(t, "/urgent/x", "urgent"))
	h.awaitHeld(t, 6)
	stop()
	h.setReading(0)
	wantStatus(t, <-urgent, http.StatusOK)
	// One patient request has room beside it; the others wait until that has been read.
	h.awaitHeld(t, 4)
	h.keepReading(t, 0)
	for _, p := range patient {
		wantStatus(t, <-p, http.StatusOK)
	}
}

// Guards against requests that reach an upstream though their callers left while they waited.
func TestCallerLeavesWhileHeld(t *testing.T) {
	h := newHeldRig(t)
	stop := h.keepReading(t, busy)
	ctx, leave := context.WithCancel(context.Background())
	out := h.begin(t, h.stream(t, "/patient/x", "gone").WithContext(ctx))
	h.awaitHeld(t, 1)
	leave()
	assert.Assert(t, (<-out).cut)
	h.awaitHeld(t, 0)
	stop()
	h.setReading(0)
	wantStatus(t, do(t, h.stream(t, "/patient/x", "next")), http.StatusOK)
	assert.Equal(t, h.worker.Ran("gone"), 0)
}

// Guards against an entry that stops while requests wait: each is told at once that it has not
// run, and none reaches an upstream afterwards.
func TestEntryStopsWhileRequestsAreHeld(t *testing.T) {
	h := newHeldRig(t)
	stop := h.keepReading(t, busy)
	var out []chan answer
	for i := range 3 {
		out = append(out, h.begin(t, h.stream(t, "/patient/x", fmt.Sprint("q-", i))))
	}
	h.awaitHeld(t, 3)
	h.Drain(time.Now(), time.Now().Add(time.Minute))
	for _, o := range out {
		wantStatus(t, <-o, http.StatusServiceUnavailable)
	}
	stop()
	h.setReading(0)
	h.awaitHeld(t, 0)
	for i := range 3 {
		assert.Equal(t, h.worker.Ran(fmt.Sprint("q-", i)), 0)
	}
}

// Guards against a request that waits until its caller leaves though it was clear on arrival that
// no host would answer before.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	h := newHeldRig(t)
	h.keepReading(t, 100*busy)
	began := time.Now()
	a := do(t, h.stream(t, "/patient/x", "hopeless"))
	wantStatus(t, a, http.StatusServiceUnavailable)
	assert.Assert(t, a.header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(began) < patientTarget, "before its target")
	assert.Equal(t, h.worker.Ran("hopeless"), 0)
}

// Guards against a switch that drops waiting requests when it is turned.
func TestHoldingIsSwitchedOffWhileRequestsWait(t *testing.T) {
	h := newHeldRig(t)
	h.keepReading(t, busy)
	out := h.begin(t, h.stream(t, "/patient/x", "q"))
	h.awaitHeld(t, 1)
	h.HoldForRoom(false)
	wantStatus(t, <-out, http.StatusOK)
	assert.Equal(t, h.worker.Ran("q"), 1)
}

// Guards against a host that ends while requests wait for room at it.
func TestHostEndsWhileRequestsAreHeld(t *testing.T) {
	h := newHeldRig(t)
	h.keepReading(t, busy)
	out := h.begin(t, h.stream(t, "/patient/x", "q"))
	h.awaitHeld(t, 1)
	h.addEngine(t, "i-2")
	h.removeHost("i-1")
	wantStatus(t, <-out, http.StatusOK)
	assert.Equal(t, h.worker.Ran("q"), 0)
}
