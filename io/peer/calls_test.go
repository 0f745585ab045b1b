package peer

import (
	"context"
	"errors"
	"net/netip"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/io/fakes/midbox"
	"radishwell/wire"
)

// serveCalls starts a server and returns its address and a function that stops it.
func serveCalls(t *testing.T, h *Handler) (Target, context.CancelFunc) {
	t.Helper()
	s, stop := startServer(t, h)
	return Target{Host: "up-1", Address: s.Address}, stop
}

// startServer starts a server and returns it and a function that stops it.
func startServer(t *testing.T, h *Handler) (*Server, context.CancelFunc) {
	t.Helper()
	s := &Server{Address: netip.MustParseAddrPort("127.0.0.1:0"), Handler: h}
	assert.NilError(t, s.Listen())
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	once := func() {
		stop()
		<-ended
		ended <- nil
	}
	t.Cleanup(once)
	return s, once
}

func TestCalls(t *testing.T) {
	to, _ := serveCalls(t, &Handler{Probe: func(c *wire.ProbeCall) (*wire.HostLoad, error) {
		return &wire.HostLoad{Host: c.GetNames()[0], Running: 7}, nil
	}})
	c := &Client{}
	defer c.Close()
	t.Run("answered", func(t *testing.T) {
		load, err := c.Probe(t.Context(), to, &wire.ProbeCall{Names: []string{"alpha"}})
		assert.NilError(t, err)
		assert.Equal(t, load.GetHost(), "alpha")
		assert.Equal(t, load.GetRunning(), int32(7))
	})
	t.Run("not served by this role", func(t *testing.T) {
		_, err := c.Seal(t.Context(), to, &wire.SealCall{})
		var refused rpc.ServerError
		assert.Assert(t, errors.As(err, &refused), "%v", err)
	})
	t.Run("after a refusal the connection stays usable", func(t *testing.T) {
		_, err := c.Probe(t.Context(), to, &wire.ProbeCall{Names: []string{"beta"}})
		assert.NilError(t, err)
	})
}

func TestRedial(t *testing.T) {
	h := &Handler{Probe: func(*wire.ProbeCall) (*wire.HostLoad, error) { return &wire.HostLoad{}, nil }}
	to, stop := serveCalls(t, h)
	c := &Client{}
	defer c.Close()
	_, err := c.Probe(t.Context(), to, &wire.ProbeCall{})
	assert.NilError(t, err)
	stop()
	_, err = c.Probe(t.Context(), to, &wire.ProbeCall{})
	var lost *CallError
	assert.Assert(t, errors.As(err, &lost), "%v", err)
	again := &Server{Address: to.Address, Handler: h}
	assert.NilError(t, again.Listen())
	ctx, end := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- again.Run(ctx) }()
	_, err = c.Probe(t.Context(), to, &wire.ProbeCall{})
	assert.NilError(t, err)
	end()
	<-ended
}

// TestSilentConnection: a device between two hosts drops the state of a connection, which
// stays open at both ends and carries nothing, while new connections work. Calls over it
// would wait for ever. The client must close it and make the next call over a new one.
func TestSilentConnection(t *testing.T) {
	to, _ := serveCalls(t, &Handler{Probe: func(*wire.ProbeCall) (*wire.HostLoad, error) { return &wire.HostLoad{}, nil }})
	proxyAddr, goSilent := startMidbox(t, to.Address)
	var silent atomic.Int64
	c := &Client{OnSilent: func(Target) { silent.Add(1) }}
	defer c.Close()
	via := Target{Host: to.Host, Address: proxyAddr}
	_, err := c.Probe(t.Context(), via, &wire.ProbeCall{})
	assert.NilError(t, err)
	goSilent()
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	_, err = c.Probe(ctx, via, &wire.ProbeCall{})
	var silentErr *SilentError
	assert.Assert(t, errors.As(err, &silentErr), "%v", err)
	assert.Equal(t, silent.Load(), int64(1))
	_, err = c.Probe(t.Context(), via, &wire.ProbeCall{})
	assert.NilError(t, err)
}

// startMidbox forwards connections to an address. goSilent makes the open ones carry
// nothing more without closing them.
func startMidbox(t *testing.T, to netip.AddrPort) (at netip.AddrPort, goSilent func()) {
	t.Helper()
	l, err := midbox.New(to)
	assert.NilError(t, err)
	t.Cleanup(l.Close)
	return l.At(), l.Silence
}

// TestSilentShortCalls: an entry probes a host now and then with a timeout of 50 ms, and
// the connection has gone silent. Each probe times out before the connection is pinged;
// if the client did no more, the host would look dead permanently although new
// connections work.
func TestSilentShortCalls(t *testing.T) {
	to, _ := serveCalls(t, &Handler{Probe: func(*wire.ProbeCall) (*wire.HostLoad, error) { return &wire.HostLoad{}, nil }})
	proxyAddr, goSilent := startMidbox(t, to.Address)
	c := &Client{}
	defer c.Close()
	via := Target{Host: to.Host, Address: proxyAddr}
	probe := func() error {
		ctx, stop := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer stop()
		_, err := c.Probe(ctx, via, &wire.ProbeCall{})
		return err
	}
	assert.NilError(t, probe())
	goSilent()
	assert.Assert(t, probe() != nil)
	// The timeouts of the probes pace the loop. It ends when one succeeds.
	for probe() != nil {
	}
}

// TestStopAnswers: an entry shuts down while it records a claim for another entry. The
// call must get its response; otherwise the other entry would have to report that the
// request may have run.
func TestStopAnswers(t *testing.T) {
	assertAnsweredAtStop(t, 0)
}

// TestStopAnswersPinged: as in TestStopAnswers, and the other entry pings meanwhile. The
// ping, which is never read, must not reset the connection and with it the response.
func TestStopAnswersPinged(t *testing.T) {
	for range 8 {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			assertAnsweredAtStop(t, pingInterval+100*time.Millisecond)
		})
	}
}

// assertAnsweredAtStop stops a server while it serves a claim, ends the claim after a
// further time, and asserts that the caller gets its response.
func assertAnsweredAtStop(t *testing.T, further time.Duration) {
	t.Helper()
	begun, finish := make(chan struct{}), make(chan struct{})
	s, stop := startServer(t, &Handler{Claim: func(*wire.ClaimCall) (*wire.ClaimReply, error) {
		close(begun)
		<-finish
		return &wire.ClaimReply{Won: true}, nil
	}})
	c := &Client{}
	defer c.Close()
	type response struct {
		reply *wire.ClaimReply
		err   error
	}
	responses := make(chan response, 1)
	go func() {
		reply, err := c.Claim(t.Context(), Target{Host: "up-1", Address: s.Address}, &wire.ClaimCall{})
		responses <- response{reply, err}
	}()
	<-begun
	stopped := make(chan struct{})
	go func() {
		stop()
		close(stopped)
	}()
	spin(func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.stopping
	})
	time.Sleep(further)
	close(finish)
	got := <-responses
	assert.NilError(t, got.err)
	assert.Assert(t, got.reply.GetWon())
	<-stopped
}

// TestSilentIdle: a claim is sent over a connection that has gone silent while it was
// idle. The claim must go over a new connection and must not be sent over the old one
// first, because it would then count as one that may have been recorded.
func TestSilentIdle(t *testing.T) {
	to, _ := serveCalls(t, &Handler{Claim: func(*wire.ClaimCall) (*wire.ClaimReply, error) { return &wire.ClaimReply{Won: true}, nil }})
	proxyAddr, goSilent := startMidbox(t, to.Address)
	var silent atomic.Int64
	c := &Client{OnSilent: func(Target) { silent.Add(1) }}
	defer c.Close()
	via := Target{Host: to.Host, Address: proxyAddr}
	_, err := c.Claim(t.Context(), via, &wire.ClaimCall{})
	assert.NilError(t, err)
	goSilent()
	c.mu.Lock()
	c.conns[via].idleSince = time.Now().Add(-idlePingAfter)
	c.mu.Unlock()
	reply, err := c.Claim(t.Context(), via, &wire.ClaimCall{})
	assert.NilError(t, err)
	assert.Assert(t, reply.GetWon())
	assert.Equal(t, silent.Load(), int64(1))
}
