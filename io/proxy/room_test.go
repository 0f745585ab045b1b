package proxy_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/core/rtable"
	"radishwell/platform/stand"
)

// fakeRooms is the agents' side of asks for room.
type fakeRooms struct {
	mu   sync.Mutex
	asks []core.RoomAsk
	// asked receives a value for each ask, which waits for one from grant.
	asked chan struct{}
	grant chan bool
}

func (f *fakeRooms) Ask(ctx context.Context, _ core.HostName, ask core.RoomAsk) bool {
	f.mu.Lock()
	f.asks = append(f.asks, ask)
	f.mu.Unlock()
	select {
	case f.asked <- struct{}{}:
	default:
	}
	select {
	case ok := <-f.grant:
		return ok
	case <-ctx.Done():
		return false
	}
}

func newRoomRig(t *testing.T) (h *heldRig, f *fakeRooms, idle func()) {
	t.Helper()
	h = newHeldRig(t)
	f = &fakeRooms{asked: make(chan struct{}, 1), grant: make(chan bool)}
	h.Rooms = f
	stop := h.keepReading(t, busy)
	return h, f, func() {
		stop()
		h.keepReading(t, 0)
	}
}

func TestGrantedRoom(t *testing.T) {
	h, f, _ := newRoomRig(t)
	out := h.begin(t, h.stream(t, "/patient/x", "q"))
	<-f.asked
	assert.Equal(t, h.worker.Ran("q"), 0)
	f.grant <- true
	wantStatus(t, <-out, http.StatusOK)
	assert.Equal(t, h.worker.Ran("q"), 1)
	assert.Assert(t, f.asks[0].Rank == 1 && f.asks[0].Tokens == 100 && f.asks[0].Ahead > 0, "%+v", f.asks[0])
}

// Guards against an agent that grants nothing, since it is silent or frozen, and requests that wait
// for it until their callers leave: they start by what the entry knows itself.
func TestSilentAgentGrantsNoRoom(t *testing.T) {
	h, f, idle := newRoomRig(t)
	out := h.begin(t, h.stream(t, "/patient/x", "q"))
	<-f.asked
	idle()
	wantStatus(t, <-out, http.StatusOK)
	assert.Equal(t, h.worker.Ran("q"), 1)
}

// Guards against a grant for a request whose caller has left: nothing may be sent for it.
func TestGrantAfterCallerLeft(t *testing.T) {
	h, f, idle := newRoomRig(t)
	ctx, leave := context.WithCancel(context.Background())
	out := h.begin(t, h.stream(t, "/patient/x", "gone").WithContext(ctx))
	<-f.asked
	leave()
	assert.Assert(t, (<-out).cut)
	h.awaitHeld(t, 0)
	select {
	case f.grant <- true:
	default: // the ask ended with its caller
	}
	idle()
	wantStatus(t, do(t, h.stream(t, "/patient/x", "next")), http.StatusOK)
	assert.Equal(t, h.worker.Ran("gone"), 0)
}

// Guards against a grant by a host that has gone meanwhile: the request goes on waiting for another.
func TestGrantByHostThatHasGone(t *testing.T) {
	h, f, _ := newRoomRig(t)
	out := h.begin(t, h.stream(t, "/patient/x", "q"))
	<-f.asked
	h.removeHost("i-1")
	f.grant <- true
	h.awaitHeld(t, 1)
	h.addEngine(t, "i-2")
	wantStatus(t, <-out, http.StatusOK)
	assert.Equal(t, h.worker.Ran("q"), 0)
}

// TestGrantedThenLost: a request starts by a grant and its answer is lost on the way. It may have run,
// which the caller must learn, although it had waited without running until then.
func TestGrantedThenLost(t *testing.T) {
	for _, fault := range []stand.WorkerFault{stand.NoResponse, stand.Truncated} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			h, f, _ := newRoomRig(t)
			out := h.begin(t, h.stream(t, "/patient/x", "q"))
			<-f.asked
			h.worker.SetFault(fault)
			f.grant <- true
			a := <-out
			assert.Assert(t, a.cut || a.status == http.StatusBadGateway, "status %d", a.status)
			assert.Equal(t, h.worker.Ran("q"), 1)
		})
	}
}

// TestGrantedThenRejected: a request starts by a grant, and its host rejects it without running it.
// The caller must learn that it has not run, with the time to return.
func TestGrantedThenRejected(t *testing.T) {
	h, f, _ := newRoomRig(t)
	out := h.begin(t, h.stream(t, "/patient/x", "q"))
	<-f.asked
	h.worker.SetFault(stand.Shed)
	f.grant <- true
	a := <-out
	wantStatus(t, a, http.StatusServiceUnavailable)
	assert.Assert(t, a.header.Get("Retry-After") != "")
	assert.Equal(t, h.worker.Ran("q"), 0)
}

// TestEntryStopsWhileItAsks: an entry stops while a request's ask for room waits, and the grant comes
// afterwards. The caller has been told that it has not run, so nothing may be sent.
func TestEntryStopsWhileItAsks(t *testing.T) {
	h, f, idle := newRoomRig(t)
	out := h.begin(t, h.stream(t, "/patient/x", "q"))
	<-f.asked
	h.Drain(time.Now(), time.Now().Add(time.Minute))
	wantStatus(t, <-out, http.StatusServiceUnavailable)
	select {
	case f.grant <- true:
	default: // the ask ended with its request
	}
	idle()
	h.awaitHeld(t, 0)
	assert.Equal(t, h.worker.Ran("q"), 0)
}

// openAsks is the agents' side of asks that are never granted. It counts those that wait.
type openAsks struct{ now, most, all atomic.Int64 }

func (o *openAsks) Ask(ctx context.Context, _ core.HostName, _ core.RoomAsk) bool {
	n := o.now.Add(1)
	defer o.now.Add(-1)
	o.all.Add(1)
	for most := o.most.Load(); n > most && !o.most.CompareAndSwap(most, n); {
		most = o.most.Load()
	}
	<-ctx.Done()
	return false
}

// TestAsksAreBounded: requests for a hundred models wait at an entry. If each asked for room, the
// calls of four hundred entries would cost their agents more than the requests do.
func TestAsksAreBounded(t *testing.T) {
	const lanes, most = 100, 24
	h := newHeldRig(t)
	rooms := &openAsks{}
	h.Rooms = rooms
	table, held := *h.Table(), []core.HeldModel{}
	models := map[core.ModelName]rtable.Model{}
	for i := range lanes {
		name := core.ModelName(fmt.Sprint("m-", i))
		models[name], held = rtable.Model{Name: name}, append(held, core.HeldModel{Model: name})
	}
	table.Services["llm"].Models = models
	busyReport := func(v *fleet.View, now time.Time) {
		v.Report(fleet.Report{Taken: now, ID: "i-1", Reachable: true, Models: held, Reading: busy, Running: 1})
	}
	h.Update(busyReport)
	ctx, leave := context.WithCancel(context.Background())
	var outs []chan answer
	for i := range lanes {
		req := h.ask(t, http.MethodPost, "/patient/x", fmt.Sprint("q-", i), "X-Radishwell-Model", fmt.Sprint("m-", i), "X-Radishwell-Token-Usage", "100,50")
		outs = append(outs, h.begin(t, req.WithContext(ctx)))
	}
	h.awaitHeld(t, lanes)
	for rooms.all.Load() < 2*lanes { // each asks in its turn
		h.Update(busyReport)
		time.Sleep(10 * time.Millisecond)
	}
	assert.Assert(t, rooms.most.Load() <= most, "%d asks at a time", rooms.most.Load())
	leave()
	for _, out := range outs {
		assert.Assert(t, (<-out).cut)
	}
	h.awaitHeld(t, 0)
}
