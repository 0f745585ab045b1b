package proxy_test

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
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
