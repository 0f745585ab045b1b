package feed_test

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/cached"
	"radishwell/core/digest"
	"radishwell/core/fleet"
	"radishwell/core/follow"
	"radishwell/io/feed"
	"radishwell/io/peer"
	"radishwell/io/proxy"
	"radishwell/wire"
)

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

// noResponseError ends a call to a silent entry.
type noResponseError struct{}

func (noResponseError) Error() string { return "no response" }

// cluster is a set of entries whose calls reach each other in a millisecond, or never.
type cluster struct {
	t       *testing.T
	members []follow.Member
	feeds   map[core.HostName]*feed.Feed
	views   map[core.HostName]*proxy.Proxy
	silent  sync.Map
	stop    context.CancelFunc
	ended   chan error
	calls   atomic.Int64
	// secondGone is set once the second host is no longer listed.
	secondGone atomic.Bool
}

// engines are the upstream hosts: one more than MaxDirect here, so that entries use
// relays.
var engines = map[netip.AddrPort]core.DataCentre{hostAt(0): "dc-0", hostAt(1): "dc-1"}

// newCluster runs entries that alternate between two data centres.
func newCluster(t *testing.T, entries int) *cluster {
	c := &cluster{
		t: t, feeds: map[core.HostName]*feed.Feed{}, views: map[core.HostName]*proxy.Proxy{},
		ended: make(chan error, entries),
	}
	for i := range entries {
		c.members = append(c.members, follow.Member{
			Name: core.HostName(fmt.Sprintf("e-%d", i)), DataCentre: core.DataCentre(fmt.Sprintf("dc-%d", i%2)),
			Control: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1),
		})
	}
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	for _, m := range c.members {
		c.build(m)
	}
	for _, f := range c.feeds {
		go func() { c.ended <- f.Run(ctx) }()
	}
	return c
}

func (c *cluster) build(m follow.Member) {
	p := &proxy.Proxy{Clock: clock{}}
	p.Start()
	p.Update(func(v *fleet.View, _ time.Time) {
		for i := range 2 {
			v.Apply(fleet.Entry{ID: hostID(i), Address: hostAt(i), DataCentre: core.DataCentre(fmt.Sprintf("dc-%d", i)), Usable: true})
		}
	})
	others := make([]follow.Member, 0, len(c.members))
	for _, o := range c.members {
		if o != m {
			others = append(others, o)
		}
	}
	f := &feed.Feed{
		Self: m, MaxDirect: 1, Clock: clock{}, Proxy: p,
		Members: func() follow.Ranked { return follow.Rank(others) },
		Engines: func() map[netip.AddrPort]core.DataCentre { return c.listed() },
		Digest: func(ctx context.Context, to peer.Target, in *wire.DigestCall) (*wire.DigestReply, error) {
			return c.poll(ctx, m.Name, to.Host, in)
		},
		Ping: func(ctx context.Context, to peer.Target) error { return c.ping(ctx, to.Host) },
	}
	f.Start()
	c.feeds[m.Name], c.views[m.Name] = f, p
}

// listed returns the hosts in the registry.
func (c *cluster) listed() map[netip.AddrPort]core.DataCentre {
	out := maps.Clone(engines)
	if c.secondGone.Load() {
		delete(out, hostAt(1))
	}
	return out
}

func hostID(i int) core.HostName { return core.HostName(fmt.Sprintf("i-%d", i)) }
func hostAt(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 80)
}

func (c *cluster) poll(ctx context.Context, from, to core.HostName, in *wire.DigestCall) (*wire.DigestReply, error) {
	c.calls.Add(1)
	time.Sleep(time.Millisecond)
	if c.isSilent(from) || c.isSilent(to) {
		<-ctx.Done()
		return nil, noResponseError{}
	}
	out, err := c.feeds[to].Serve(in)
	if c.isSilent(from) || c.isSilent(to) {
		<-ctx.Done()
		return nil, noResponseError{}
	}
	return out, err
}

func (c *cluster) isSilent(name core.HostName) bool {
	_, ok := c.silent.Load(name)
	return ok
}

func (c *cluster) ping(ctx context.Context, to core.HostName) error {
	if c.isSilent(to) {
		<-ctx.Done()
		return noResponseError{}
	}
	return nil
}

// shutDown stops all entries.
func (c *cluster) shutDown() {
	c.stop()
	for range c.members {
		assert.NilError(c.t, <-c.ended)
	}
	time.Sleep(5 * time.Second) // calls in progress end
}

// report has the agent of a host report to an entry that follows it.
func (c *cluster) report(entry core.HostName, host, waiting int, planner core.HostName) {
	h := digest.Host{Address: hostAt(host), Planner: planner, Report: fleet.Report{
		Taken: time.Now(), ID: hostID(host), Reachable: true, Waiting: waiting,
		Models: []core.HeldModel{{Model: "m"}}, Active: map[core.ModelName]int{"m": 2},
	}}
	c.views[entry].Update(func(v *fleet.View, _ time.Time) { feed.Apply(v, &h) })
	c.feeds[entry].Put(h)
}

func (c *cluster) assertWaiting(entry core.HostName, host, waiting int) {
	c.t.Helper()
	c.views[entry].Update(func(v *fleet.View, now time.Time) {
		h := v.Host(hostID(host))
		assert.Assert(c.t, h.Fresh(now), "%s on %s", entry, h.ID)
		assert.Equal(c.t, h.Report.Waiting, waiting, "%s on %s", entry, h.ID)
	})
}

// run runs a test with a fake clock.
func run(t *testing.T, entries int, test func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, entries)
		defer c.shutDown()
		time.Sleep(2 * time.Second)
		test(c)
	})
}

// TestReportReachesAllEntries: a host's queue grows. Entries of both data centres must
// learn of it within a quarter of a second, though only one of them follows the host's
// agent.
func TestReportReachesAllEntries(t *testing.T) {
	run(t, 8, func(c *cluster) {
		c.report("e-0", 0, 0, "e-0")
		c.report("e-1", 1, 0, "e-0")
		time.Sleep(time.Second)
		c.report("e-0", 0, 7, "e-0")
		time.Sleep(250 * time.Millisecond)
		for _, m := range c.members[2:] {
			c.assertWaiting(m.Name, 0, 7)
		}
	})
}

// TestRelayFreezes: the relay of a data centre freezes. Another must take its place, and
// reports on its hosts must reach all entries again within about one and a half seconds.
func TestRelayFreezes(t *testing.T) {
	run(t, 8, func(c *cluster) {
		c.report("e-0", 0, 0, "e-0")
		time.Sleep(time.Second)
		c.silent.Store(core.HostName("e-0"), true)
		time.Sleep(1300 * time.Millisecond)
		assert.Assert(t, c.feeds["e-2"].Follows("dc-0"))
		c.report("e-2", 0, 5, "e-1")
		time.Sleep(250 * time.Millisecond)
		for _, m := range c.members[1:] {
			c.assertWaiting(m.Name, 0, 5)
		}
		assert.Equal(t, c.feeds["e-2"].CurrentPlanner().Name, core.HostName("e-1"))
	})
}

// assertCached asserts which of two parts an entry knows a host to keep.
func (c *cluster) assertCached(entry core.HostName, host int, want ...bool) {
	c.t.Helper()
	for i, has := range want {
		n, known := c.feeds[entry].Cached.Leading(cached.Engine{Address: hostAt(host), ID: hostID(host)}, []uint64{uint64(i)})
		assert.Assert(c.t, known && n > 0 == has, "%s: part %d", entry, i)
	}
}

// TestCachedReachesAllEntries: an engine begins to keep a part and lets another go. Entries of both data
// centres must learn of it though one of them follows the agent, also those that were silent meanwhile.
func TestCachedReachesAllEntries(t *testing.T) {
	run(t, 8, func(c *cluster) {
		at := cached.Engine{Address: hostAt(0), ID: hostID(0)}
		c.report("e-0", 0, 0, "e-0")
		c.report("e-1", 1, 0, "e-0")
		c.feeds["e-0"].Cached.Apply(cached.Update{Engine: at, Delta: cached.Delta{Whole: true, Added: []uint32{0}}})
		c.report("e-0", 0, 1, "e-0")
		time.Sleep(time.Second)
		c.silent.Store(core.HostName("e-7"), true)
		c.feeds["e-0"].Cached.Apply(cached.Update{Engine: at, Delta: cached.Delta{Added: []uint32{1}, Dropped: []uint32{0}}})
		c.report("e-0", 0, 2, "e-0")
		time.Sleep(time.Second)
		for _, m := range c.members[1:7] {
			c.assertCached(m.Name, 0, false, true)
		}
		c.assertCached("e-7", 0, true, false)
		c.silent.Delete(core.HostName("e-7"))
		c.report("e-0", 0, 3, "e-0")
		time.Sleep(5 * time.Second)
		c.assertCached("e-7", 0, false, true)
	})
}

// TestDemandReachesPlanner: requests for a model arrive at an entry that is not a relay.
// The planner, in the other data centre, must count them and the waiting one, and its
// forecast must reach the entry.
func TestDemandReachesPlanner(t *testing.T) {
	run(t, 4, func(c *cluster) {
		call := &wire.DigestCall{
			Entry: "poller", Arrivals: []*wire.ModelArrivals{{Model: "m", Count: 3, Work: 0.5}},
			Waiting: []*wire.ModelWaiting{{Model: "m", Count: 1}}, Wait: int64(time.Second),
		}
		_, err := c.feeds["e-1"].Serve(call)
		assert.NilError(t, err)
		time.Sleep(500 * time.Millisecond)
		d := c.feeds["e-0"].Demand()["m"]
		assert.Assert(t, d.Rate > 0.1 && d.Work > 0.05 && d.Waiting == 1, "%+v", d)
		c.feeds["e-0"].SetForecasts(map[core.ModelName]time.Time{"m": time.Now().Add(4 * time.Second)})
		call.Arrivals = nil
		reply := &wire.DigestReply{}
		for range 4 {
			call.Epoch, call.Seen, call.SeenReady = reply.GetEpoch(), reply.GetChange(), reply.GetReadyChange()
			reply, err = c.feeds["e-1"].Serve(call)
			assert.NilError(t, err)
			if len(reply.GetReady()) > 0 {
				break
			}
		}
		assert.Equal(t, len(reply.GetReady()), 1)
		assert.Assert(t, time.Duration(reply.GetReady()[0].GetLeft()) > 3*time.Second)
	})
}

// TestUseReachesAgent: two entries of one data centre have requests in progress at a host
// of the other. The entry that follows the host's agent must report their sum once.
func TestUseReachesAgent(t *testing.T) {
	run(t, 4, func(c *cluster) {
		c.report("e-0", 0, 0, "e-0")
		c.report("e-1", 1, 0, "e-0")
		time.Sleep(500 * time.Millisecond)
		at, err := hostAt(0).MarshalBinary()
		assert.NilError(t, err)
		for _, name := range []string{"poller-1", "poller-2"} {
			_, err := c.feeds["e-1"].Serve(&wire.DigestCall{
				Entry: name, Uses: []*wire.HostUse{{Address: at, Active: []*wire.ModelActive{{Model: "m", Count: 2}}, Used: []string{"m/a1"}}},
			})
			assert.NilError(t, err)
		}
		time.Sleep(700 * time.Millisecond)
		assert.Equal(t, c.feeds["e-0"].Active(hostAt(0))["m"], 4)
		assert.DeepEqual(t, c.feeds["e-0"].TakeUsedAdapters(hostAt(0)), []string{"m/a1"})
	})
}

// TestHostThatLeftIsForgotten: a host is removed permanently. Every later reply used to
// name it as stale, together with all others that had ever left.
func TestHostThatLeftIsForgotten(t *testing.T) {
	run(t, 4, func(c *cluster) {
		c.report("e-0", 0, 0, "e-0")
		c.report("e-1", 1, 0, "e-0")
		time.Sleep(3 * time.Second)
		stale := func() int {
			reply, err := c.feeds["e-1"].Serve(&wire.DigestCall{Entry: "poller"})
			assert.NilError(t, err)
			return len(reply.GetStale())
		}
		assert.Equal(t, stale(), 2)
		c.secondGone.Store(true)
		time.Sleep(time.Second)
		assert.Equal(t, stale(), 1)
	})
}

// TestRestCostsFewCalls: nothing changes for a while. Relays must hold back their
// replies, so that an idle entry makes few calls a second.
func TestRestCostsFewCalls(t *testing.T) {
	run(t, 8, func(c *cluster) {
		c.report("e-0", 0, 0, "e-0")
		time.Sleep(time.Second)
		before := c.calls.Load()
		time.Sleep(10 * time.Second)
		perEntry := float64(c.calls.Load()-before) / 10 / float64(len(c.members))
		assert.Assert(t, perEntry < 5, "%v calls a second", perEntry)
	})
}
