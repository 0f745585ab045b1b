package proxy_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/io/proxy"
	"radishwell/platform/stand"
)

// frozenUpstream is an upstream whose system accepts connections while it stands still itself.
type frozenUpstream struct{ net.Listener }

// addFrozen starts a frozen upstream of the plain service and registers it as p-1.
func (r *rig) addFrozen(t *testing.T) frozenUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	at := netip.MustParseAddrPort(l.Addr().String())
	r.Update(func(v *fleet.View, _ time.Time) {
		v.Apply(fleet.Entry{ID: "p-1", Service: "plain", Address: at, Usable: true, DataCentre: "dc-1", Slots: 6})
	})
	return frozenUpstream{l}
}

// read has the upstream run again, and returns the IDs of the requests that waited in its connections.
func (f frozenUpstream) read(t *testing.T) (ids []string) {
	t.Helper()
	for {
		assert.NilError(t, f.Listener.(*net.TCPListener).SetDeadline(time.Now().Add(50*time.Millisecond)))
		conn, err := f.Accept()
		if err != nil {
			return ids
		}
		if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			ids = append(ids, req.Header.Get("X-Radishwell-Request-Id"))
		}
		conn.Close()
	}
}

// Guards against retries that stop counting before they arrive: an upstream that stands still for longer
// than the budget's span reads, once it runs again, what its system has accepted. A report of its agent says
// nothing of that: it comes another way than the requests go.
func TestRetriesCountUntilFrozenUpstreamsRun(t *testing.T) {
	for _, reported := range []bool{false, true} {
		t.Run(fmt.Sprint("its agent reports ", reported), func(t *testing.T) { testFrozenUpstream(t, reported) })
	}
}

func testFrozenUpstream(t *testing.T, reported bool) {
	const span = 300 * time.Millisecond
	r := newRigSpan(t, 1, span)
	frozen := r.addFrozen(t)
	status := make(chan int, 1)
	go func() {
		status <- do(t, r.ask(t, http.MethodGet, "/again/x", "q-1", "X-Radishwell-Deadline-Ms", "1000")).status
	}()
	time.Sleep(100 * time.Millisecond) // until it is at the frozen upstream, the only one
	sound := plain(t, r, "p-2")[0]
	assert.Equal(t, <-status, http.StatusOK, "the other upstream answers in its place")
	if reported {
		r.Update(func(v *fleet.View, now time.Time) { v.Report(fleet.Report{ID: "p-1", Taken: now, Reachable: true}) })
	}
	do(t, r.ask(t, http.MethodGet, "/again/x", "q-between", "X-Radishwell-Deadline-Ms", "1000"))
	at := netip.MustParseAddrPort(frozen.Addr().String())
	assert.Assert(t, slices.Equal(r.UnreadHosts(), []proxy.UnreadHost{{Service: "plain", Incarnation: fleet.Incarnation{ID: "p-1"}, Address: at}}))
	time.Sleep(4 * span)
	sound.SetFault(stand.Shed)
	do(t, r.ask(t, http.MethodGet, "/again/x", "q-2", "X-Radishwell-Deadline-Ms", "200"))
	arrived := append(frozen.read(t), idsOf(sound)...)
	assert.Equal(t, count(arrived, "q-1"), 2, "%v", arrived)
	assert.Equal(t, count(arrived, "q-2"), 1, "a second repeat within the span: %v", arrived)
}

func idsOf(w *stand.Worker) (ids []string) {
	for _, seen := range w.Requests() {
		ids = append(ids, seen.Header.Get("X-Radishwell-Request-Id"))
	}
	return ids
}

func count(ids []string, id string) (n int) {
	for _, other := range ids {
		if other == id {
			n++
		}
	}
	return n
}

// suspendedProtocol has its process stand still while the header of the second send is made, which is after
// that was taken from the retry budget.
type suspendedProtocol struct {
	core.Protocol
	sends   atomic.Int64
	suspend func()
}

func (p *suspendedProtocol) ForwardHeader(header map[string][]string, hop core.Hop) map[string][]string {
	if p.sends.Add(1) == 2 {
		p.suspend()
	}
	return p.Protocol.ForwardHeader(header, hop)
}

// steppedClock is a clock that a test moves forward.
type steppedClock struct{ offset atomic.Int64 }

func (c *steppedClock) Now() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }

// Guards against retries that are sent when they count in no window any more, since their entry stood still
// between taking and sending them.
func TestRetryTakenBeforeStandstillIsNotSent(t *testing.T) {
	clock := &steppedClock{}
	r := newRigSet(t, 10, 10*time.Second, func(p *proxy.Proxy) {
		p.Clock = clock
		p.Protocol = &suspendedProtocol{Protocol: p.Protocol, suspend: func() { clock.offset.Store(int64(8 * time.Second)) }}
	})
	hosts := plain(t, r, "p-1", "p-2")
	for _, w := range hosts {
		w.SetFault(stand.Shed)
	}
	do(t, r.ask(t, http.MethodGet, "/again/x", "q", "X-Radishwell-Deadline-Ms", "2000"))
	assert.Equal(t, len(hosts[0].Requests())+len(hosts[1].Requests()), 1)
}
