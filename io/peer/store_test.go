package peer

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/io/fakes/apisrv"
	"radishwell/io/loop"
	"radishwell/io/objapi"
	"radishwell/wire"
)

// fleet is some processes with a platform, all on loopback.
type fleet struct {
	t     testing.TB
	srv   *apisrv.Server
	addr  netip.AddrPort
	mu    sync.Mutex
	known []Target
}

// process is one process's store with its client and server.
type process struct {
	t testing.TB
	*Store
	client  *Client
	server  *Server
	changed chan struct{}
	stop    func()
}

func startFleet(t testing.TB, srv *apisrv.Server) *fleet {
	t.Helper()
	web := httptest.NewServer(srv)
	t.Cleanup(func() {
		web.CloseClientConnections()
		web.Close()
	})
	return &fleet{t: t, srv: srv, addr: web.Listener.Addr().(*net.TCPAddr).AddrPort()}
}

func (f *fleet) peers() []Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.known)
}

// start starts a process; edit, if not nil, changes its store before.
func (f *fleet) start(edit func(*Store)) *process {
	f.t.Helper()
	f.mu.Lock()
	n := len(f.known)
	f.mu.Unlock()
	p := &process{t: f.t, client: &Client{}, changed: make(chan struct{}, 1)}
	p.Store = &Store{
		Self:     Target{Host: core.HostName(fmt.Sprintf("entry-%d", n))},
		Kinds:    []core.Kind{core.KindModel, core.KindGrant},
		Platform: &objapi.Client{Address: f.addr},
		Client:   p.client,
		Peers:    f.peers,
		Seed:     uint64(n) + 1,
		Changed:  func([]core.Object) { loop.Poke(p.changed) },
	}
	if edit != nil {
		edit(p.Store)
	}
	p.server = &Server{Address: netip.MustParseAddrPort("127.0.0.1:0"), Handler: &Handler{Sync: p.Serve, Fetch: p.ServeFetch}}
	assert.NilError(f.t, p.server.Listen())
	p.Self.Address = p.server.Address
	f.mu.Lock()
	f.known = append(f.known, p.Self)
	f.mu.Unlock()
	p.run(f.t)
	return p
}

func (p *process) run(t testing.TB) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- p.server.Run(ctx) }()
	go func() { ended <- p.Run(ctx) }()
	var once sync.Once
	p.stop = func() {
		once.Do(func() {
			cancel()
			assert.Check(t, <-ended)
			assert.Check(t, <-ended)
			p.client.Close()
		})
	}
	t.Cleanup(p.stop)
}

// until waits for changes until the condition holds; the test's own deadline
// ends a wait in vain.
func (p *process) until(cond func() bool) {
	for !cond() {
		<-p.changed
	}
}

// spin waits for a condition that no channel tells of.
func spin(cond func() bool) {
	for !cond() {
		runtime.Gosched()
	}
}

func (p *process) has(name string) func() bool {
	return func() bool {
		_, ok := p.Get(core.KindModel, name)
		return ok
	}
}

func model(name string) core.Object {
	return core.Object{Kind: core.KindModel, Name: name, Spec: []byte(`{}`)}
}

// TestBootInOutage: the platform goes down in the evening. An entry host is
// replaced, and a treasurer's request arrives at the new one. It must know the
// catalogue within seconds, from its peers. An agent started likewise must not
// take peers' word for its grants, until the platform is back.
func TestBootInOutage(t *testing.T) {
	f := startFleet(t, &apisrv.Server{Seed: []core.Object{model("qalam"), {Kind: core.KindGrant, Name: "qalam"}}})
	old := f.start(nil)
	old.until(func() bool { return old.has("qalam")() && len(old.All(core.KindGrant)) == 1 })
	f.srv.SetFaults(apisrv.Faults{Down: apisrv.Failing})

	agent := f.start(func(s *Store) { s.Confirm = []core.Kind{core.KindGrant} })
	agent.until(func() bool { return agent.has("qalam")() && len(agent.All(core.KindGrant)) == 1 })
	assert.Assert(t, !agent.Confirmed(core.KindGrant))
	assert.Assert(t, agent.Status(core.KindModel).Through > 0)

	f.srv.SetFaults(apisrv.Faults{})
	spin(func() bool { return agent.Confirmed(core.KindGrant) })
	assert.Assert(t, !agent.Confirmed(core.KindModel), "it had no need to list the models")
}

// TestChangesReachAll: one process of four watches the models; edits,
// deletions and re-creations must reach the others through it.
func TestChangesReachAll(t *testing.T) {
	f := startFleet(t, &apisrv.Server{})
	var all []*process
	for range 4 {
		all = append(all, f.start(func(s *Store) {
			s.Watchers = 1
			s.Kinds = []core.Kind{core.KindModel}
		}))
	}
	platform := &objapi.Client{Address: f.addr}
	ctx := context.Background()
	made, err := platform.Create(ctx, model("qalam"))
	assert.NilError(t, err)
	for _, p := range all {
		p.until(p.has("qalam"))
	}
	assert.NilError(t, platform.Delete(ctx, core.KindModel, "qalam", made.Version))
	for _, p := range all {
		p.until(func() bool { return !p.has("qalam")() })
	}
	again, err := platform.Create(ctx, model("qalam"))
	assert.NilError(t, err)
	for _, p := range all {
		p.until(p.has("qalam"))
		o, _ := p.Get(core.KindModel, "qalam")
		assert.Equal(t, o.UID, again.UID)
	}
	spin(func() bool { return countWatchers(all) == 1 })
}

// countWatchers counts those that think themselves watchers of the models. It
// is one as soon as all have asked for their peers again.
func countWatchers(all []*process) int {
	n := 0
	for _, p := range all {
		f := &feed{Store: p.Store, kind: core.KindModel}
		if f.watcher() {
			n++
		}
	}
	return n
}

// TestRelistAfterGone: an entry's watch is stalled for so long that the
// platform drops the history it would need. A model deleted meanwhile must
// disappear, though no event of it arrives.
func TestRelistAfterGone(t *testing.T) {
	f := startFleet(t, &apisrv.Server{Seed: []core.Object{model("qalam")}})
	p := f.start(func(s *Store) {
		s.Platform = &objapi.Client{Address: f.addr, WatchSilence: 1500 * time.Millisecond}
		s.Kinds = []core.Kind{core.KindModel}
	})
	p.until(p.has("qalam"))
	f.srv.SetFaults(apisrv.Faults{StallWatches: true})
	platform := &objapi.Client{Address: f.addr}
	assert.NilError(t, platform.Delete(context.Background(), core.KindModel, "qalam", 1))
	f.srv.SetFaults(apisrv.Faults{StallWatches: true, Compact: true})
	_, err := platform.Create(context.Background(), model("sijill"))
	assert.NilError(t, err)
	f.srv.SetFaults(apisrv.Faults{Compact: true})
	p.until(func() bool { return !p.has("qalam")() && p.has("sijill")() })
}

// TestListDuringStall: the platform's watches stand still while it answers all
// else. An operator's edit came into force only once they moved again. Now a
// watch that went silent is followed by a list, and each further one too.
func TestListDuringStall(t *testing.T) {
	f := startFleet(t, &apisrv.Server{Seed: []core.Object{model("qalam")}})
	p := f.start(func(s *Store) {
		s.Platform = &objapi.Client{Address: f.addr, WatchSilence: 200 * time.Millisecond}
		s.Kinds = []core.Kind{core.KindModel}
	})
	p.until(p.has("qalam"))
	f.srv.SetFaults(apisrv.Faults{StallWatches: true})
	platform := &objapi.Client{Address: f.addr}
	for _, name := range []string{"sijill", "daftar"} {
		_, err := platform.Create(context.Background(), model(name))
		assert.NilError(t, err)
		p.until(p.has(name))
	}
}

// TestMarksSpread: an agent is about to stop and says so to the entry it
// happens to exchange with. All others must hear of it, in an outage too.
func TestMarksSpread(t *testing.T) {
	f := startFleet(t, &apisrv.Server{})
	f.srv.SetFaults(apisrv.Faults{Down: apisrv.Failing})
	heard := make(chan Mark, 16)
	for range 4 {
		f.start(func(s *Store) {
			s.Marked = func(marks []Mark) {
				for _, m := range marks {
					heard <- m
				}
			}
		})
	}
	agent := f.start(nil)
	m := Mark{Host: "qalam-1", Kind: MarkLeaving, Incarnation: 7, Expires: time.Now().Add(time.Minute).Truncate(0)}
	agent.Mark(m)
	for range 4 {
		got := <-heard
		assert.Equal(t, got.Host, m.Host)
		assert.Equal(t, got.Incarnation, m.Incarnation)
		assert.Assert(t, got.Expires.Equal(m.Expires))
	}
}

func TestStrikesSpread(t *testing.T) {
	f := startFleet(t, &apisrv.Server{})
	var heard atomic.Bool
	f.start(func(s *Store) {
		s.Struck = func(strikes []*wire.Strike) bool {
			return !heard.Swap(strikes[0].GetFingerprint() == 42)
		}
	})
	f.start(func(s *Store) {
		s.Strikes = func() []*wire.Strike { return []*wire.Strike{{Fingerprint: 42}} }
	})
	spin(heard.Load)
}
