package objapi

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/io/fakes/apisrv"
)

// platform is a fake of the platform with a client for it.
type platform struct {
	*Client
	srv *apisrv.Server
	web *httptest.Server
}

func start(t *testing.T, srv *apisrv.Server) *platform {
	t.Helper()
	web := httptest.NewServer(srv)
	t.Cleanup(func() {
		web.CloseClientConnections()
		web.Close()
	})
	addr := web.Listener.Addr().(*net.TCPAddr).AddrPort()
	return &platform{Client: &Client{Address: addr, Token: srv.Token}, srv: srv, web: web}
}

func model(name, spec string) core.Object {
	return core.Object{Kind: core.KindModel, Name: name, Spec: []byte(spec)}
}

// assertFault checks that err is a PlatformError with a fault.
func assertFault(t *testing.T, err error, want core.PlatformFault) {
	t.Helper()
	var failed *core.PlatformError
	assert.Assert(t, errors.As(err, &failed), "got %v", err)
	assert.Equal(t, failed.Fault, want, "got %v", err)
}

func TestVerbs(t *testing.T) {
	p := start(t, &apisrv.Server{Token: "sesame"})
	ctx := context.Background()
	made, err := p.Create(ctx, model("qalam", `{"memory":"1GiB"}`))
	assert.NilError(t, err)
	assert.Equal(t, made.Version, core.Version(1))

	t.Run("taken name", func(t *testing.T) {
		_, err := p.Create(ctx, model("qalam", `{}`))
		assertFault(t, err, core.Exists)
	})
	t.Run("conditional update", func(t *testing.T) {
		next := made
		next.Spec = []byte(`{"memory":"2GiB"}`)
		got, err := p.Update(ctx, next)
		assert.NilError(t, err)
		assert.Equal(t, got.Generation, int64(2))
		_, err = p.Update(ctx, next)
		assertFault(t, err, core.Conflict)
	})
	t.Run("status", func(t *testing.T) {
		got, err := p.Get(ctx, core.KindModel, "qalam")
		assert.NilError(t, err)
		got.Status = []byte(`{"accepted":true}`)
		got, err = p.UpdateStatus(ctx, got)
		assert.NilError(t, err)
		assert.Equal(t, got.Generation, int64(2))
	})
	t.Run("list", func(t *testing.T) {
		l, err := p.List(ctx, core.KindModel)
		assert.NilError(t, err)
		assert.Equal(t, len(l.Objects), 1)
		assert.Equal(t, l.Version, core.Version(3))
		assert.Equal(t, string(l.Objects[0].Spec), `{"memory":"2GiB"}`)
	})
	t.Run("delete", func(t *testing.T) {
		assertFault(t, p.Delete(ctx, core.KindModel, "qalam", 2), core.Conflict)
		assert.NilError(t, p.Delete(ctx, core.KindModel, "qalam", 3))
		_, err := p.Get(ctx, core.KindModel, "qalam")
		assertFault(t, err, core.NotFound)
	})
}

func TestOutage(t *testing.T) {
	ctx := context.Background()
	t.Run("reads are repeated, a lost write is not", func(t *testing.T) {
		p := start(t, &apisrv.Server{})
		p.srv.SetFaults(apisrv.Faults{Down: apisrv.Refusing})
		_, err := p.List(ctx, core.KindModel)
		assertFault(t, err, core.Unknown)
		assert.Equal(t, p.srv.Calls()["list"], maxAttempts)
		_, err = p.Create(ctx, model("qalam", `{}`))
		assertFault(t, err, core.Unknown)
		assert.Equal(t, p.srv.Calls()["create"], 1)
	})
	t.Run("a write refused by the API is repeated", func(t *testing.T) {
		p := start(t, &apisrv.Server{})
		p.srv.SetFaults(apisrv.Faults{Down: apisrv.Failing})
		_, err := p.Create(ctx, model("qalam", `{}`))
		assertFault(t, err, core.Unavailable)
		assert.Equal(t, p.srv.Calls()["create"], maxAttempts)
	})
	t.Run("nobody listens", func(t *testing.T) {
		p := start(t, &apisrv.Server{})
		p.web.Close()
		_, err := p.Create(ctx, model("qalam", `{}`))
		assertFault(t, err, core.Unavailable)
	})
	t.Run("a call ends at its caller's deadline", func(t *testing.T) {
		p := start(t, &apisrv.Server{})
		p.srv.SetFaults(apisrv.Faults{Down: apisrv.Hanging})
		ctx, cancel := context.WithDeadline(ctx, time.Now().Add(50*time.Millisecond))
		defer cancel()
		_, err := p.Update(ctx, core.Object{Kind: core.KindModel, Name: "qalam", Version: 1})
		assertFault(t, err, core.Unknown)
	})
	t.Run("a proxy's 503 leaves a write unknown", func(t *testing.T) {
		web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		defer web.Close()
		c := &Client{Address: netip.MustParseAddrPort(web.Listener.Addr().String())}
		_, err := c.Create(ctx, model("qalam", `{}`))
		assertFault(t, err, core.Unknown)
	})
}

func TestBudget(t *testing.T) {
	p := start(t, &apisrv.Server{})
	p.Writes = Budget{PerSecond: 0.001, Burst: 2}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(time.Minute))
	defer cancel()
	for _, name := range []string{"a", "b"} {
		_, err := p.Create(ctx, model(name, `{}`))
		assert.NilError(t, err)
	}
	_, err := p.Create(ctx, model("c", `{}`))
	assertFault(t, err, core.Unavailable)
	assert.Assert(t, errors.Is(err, &BudgetError{}))
	assert.Equal(t, p.srv.Calls()["create"], 2)
	_, err = p.List(ctx, core.KindModel)
	assert.NilError(t, err, "reads have a budget of their own")
}

func TestWatch(t *testing.T) {
	ctx := context.Background()
	t.Run("changes and bookmarks in order", func(t *testing.T) {
		p := start(t, &apisrv.Server{})
		w, err := p.Watch(ctx, core.KindModel, 0)
		assert.NilError(t, err)
		defer w.Close()
		made, err := p.Create(ctx, model("qalam", `{}`))
		assert.NilError(t, err)
		assert.NilError(t, p.Delete(ctx, core.KindModel, "qalam", made.Version))
		want := []core.Change{
			{Object: core.Object{Name: "qalam", Version: 1}},
			{Object: core.Object{Name: "qalam", Version: 2, Deleted: true}},
			{Object: core.Object{Version: 2}, Bookmark: true},
		}
		for _, want := range want {
			got, err := w.Next(ctx)
			assert.NilError(t, err)
			assert.Equal(t, got.Object.Name, want.Object.Name)
			assert.Equal(t, got.Object.Version, want.Object.Version)
			assert.Equal(t, got.Object.Deleted, want.Object.Deleted)
			assert.Equal(t, got.Bookmark, want.Bookmark)
		}
	})
	t.Run("gone", func(t *testing.T) {
		p := start(t, &apisrv.Server{Seed: []core.Object{model("a", `{}`), model("b", `{}`)}, History: 1})
		w, err := p.Watch(ctx, core.KindModel, 0)
		assert.NilError(t, err)
		_, err = w.Next(ctx)
		assertFault(t, err, core.Gone)
	})
	t.Run("closed", func(t *testing.T) {
		p := start(t, &apisrv.Server{})
		w, err := p.Watch(ctx, core.KindModel, 0)
		assert.NilError(t, err)
		w.Close()
		_, err = w.Next(ctx)
		assertFault(t, err, core.Unknown)
	})
}

// TestSilentWatch guards against an entry that misses catalogue edits because a middlebox
// lost the state of its watch's connection: neither changes nor an error arrive, while
// calls on new connections succeed. The client must end the watch, so that its owner can
// start another one.
func TestSilentWatch(t *testing.T) {
	p := start(t, &apisrv.Server{})
	p.WatchSilence = 100 * time.Millisecond
	ctx := context.Background()
	w, err := p.Watch(ctx, core.KindModel, 0)
	assert.NilError(t, err)
	p.srv.SetFaults(apisrv.Faults{StallWatches: true})
	_, err = p.Create(ctx, model("qalam", `{}`))
	assert.NilError(t, err)
	_, err = w.Next(ctx)
	assertFault(t, err, core.Unknown)
	var silent *SilenceError
	assert.Assert(t, errors.As(err, &silent))
}

func TestBackoff(t *testing.T) {
	for n := range 70 {
		assert.Assert(t, backoff(n) > 0)
		assert.Assert(t, backoff(n) <= maxBackoff)
		assert.Assert(t, backoff(0) <= firstBackoff)
	}
}
