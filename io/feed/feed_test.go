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

// lostError is a call's end in this test's network.
type lostError struct{}

func (lostError) Error() string { return "no answer" }

// world is entries whose calls reach each other in a millisecond, or never.
type world struct {
	t       *testing.T
	members []follow.Member
	feeds   map[core.HostName]*feed.Feed
	views   map[core.HostName]*proxy.Proxy
	silent  sync.Map
	stop    context.CancelFunc
	ended   chan error
	calls   atomic.Int64
	// gone tells that the second host is not listed any more.
	gone atomic.Bool
}

// enginesThere are more than each entry follows itself here.
var enginesThere = map[netip.AddrPort]core.DataCentre{hostAt(0): "dc-0", hostAt(1): "dc-1"}

// newWorld runs entries that take turns over two data centres.
func newWorld(t *testing.T, entries int) *world {
	w := &world{
		t: t, feeds: map[core.HostName]*feed.Feed{}, views: map[core.HostName]*proxy.Proxy{},
		ended: make(chan error, entries),
	}
	for i := range entries {
		w.members = append(w.members, follow.Member{
			Name: core.HostName(fmt.Sprintf("e-%d", i)), DataCentre: core.DataCentre(fmt.Sprintf("dc-%d", i%2)),
			Control: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1),
		})
	}
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	for _, m := range w.members {
		w.build(m)
	}
	for _, f := range w.feeds {
		go func() { w.ended <- f.Run(ctx) }()
	}
	return w
}

func (w *world) build(m follow.Member) {
	p := &proxy.Proxy{Clock: clock{}}
	p.Start()
	p.Update(func(v *fleet.View, _ time.Time) {
		for i := range 2 {
			v.Apply(fleet.Entry{ID: hostID(i), Address: hostAt(i), DataCentre: core.DataCentre(fmt.Sprintf("dc-%d", i)), Usable: true})
		}
	})
	others := make([]follow.Member, 0, len(w.members))
	for _, o := range w.members {
		if o != m {
			others = append(others, o)
		}
	}
	f := &feed.Feed{
		Self: m, MostDirect: 1, Clock: clock{}, Proxy: p,
		Members: func() follow.Ranked { return follow.Rank(others) },
		Engines: func() map[netip.AddrPort]core.DataCentre { return w.listed() },
		Ask: func(ctx context.Context, to peer.Target, in *wire.DigestCall) (*wire.DigestReply, error) {
			return w.ask(ctx, m.Name, to.Host, in)
		},
		Ping: func(ctx context.Context, to peer.Target) error { return w.ping(ctx, to.Host) },
	}
	f.Start()
	w.feeds[m.Name], w.views[m.Name] = f, p
}

// listed returns the hosts that the registry lists.
func (w *world) listed() map[netip.AddrPort]core.DataCentre {
	out := maps.Clone(enginesThere)
	if w.gone.Load() {
		delete(out, hostAt(1))
	}
	return out
}

func hostID(i int) core.HostName { return core.HostName(fmt.Sprintf("i-%d", i)) }
func hostAt(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 80)
}

func (w *world) ask(ctx context.Context, from, to core.HostName, in *wire.DigestCall) (*wire.DigestReply, error) {
	w.calls.Add(1)
	time.Sleep(time.Millisecond)
	if w.isSilent(from) || w.isSilent(to) {
		<-ctx.Done()
		return nil, lostError{}
	}
	out, err := w.feeds[to].Serve(in)
	if w.isSilent(from) || w.isSilent(to) {
		<-ctx.Done()
		return nil, lostError{}
	}
	return out, err
}

func (w *world) isSilent(name core.HostName) bool {
	_, ok := w.silent.Load(name)
	return ok
}

func (w *world) ping(ctx context.Context, to core.HostName) error {
	if w.isSilent(to) {
		<-ctx.Done()
		return lostError{}
	}
	return nil
}

// end stops all entries.
func (w *world) end() {
	w.stop()
	for range w.members {
		assert.NilError(w.t, <-w.ended)
	}
	time.Sleep(5 * time.Second) // calls in progress end
}

// say has the agent beside a host report to an entry that follows it.
func (w *world) say(entry core.HostName, host, waiting int, planner core.HostName) {
	h := digest.Host{Address: hostAt(host), Planner: planner, Report: fleet.Report{
		Taken: time.Now(), ID: hostID(host), Reachable: true, Waiting: waiting,
		Models: []core.HeldModel{{Model: "m"}}, Active: map[core.ModelName]int{"m": 2},
	}}
	w.views[entry].Update(func(v *fleet.View, _ time.Time) { feed.Apply(v, &h) })
	w.feeds[entry].Put(h)
}

func (w *world) wantWaiting(entry core.HostName, host, waiting int) {
	w.t.Helper()
	w.views[entry].Update(func(v *fleet.View, now time.Time) {
		h := v.Host(hostID(host))
		assert.Assert(w.t, h.Fresh(now), "%s on %s", entry, h.ID)
		assert.Equal(w.t, h.Report.Waiting, waiting, "%s on %s", entry, h.ID)
	})
}

// run tests in synthetic time.
func run(t *testing.T, entries int, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, entries)
		defer w.end()
		time.Sleep(2 * time.Second)
		test(w)
	})
}

// A host's queue grows. Entries of both data centres learn of it within a fifth of a
// second, though only one of them hears the host's agent.
func TestReportReachesAllEntries(t *testing.T) {
	run(t, 8, func(w *world) {
		w.say("e-0", 0, 0, "e-0")
		w.say("e-1", 1, 0, "e-0")
		time.Sleep(time.Second)
		w.say("e-0", 0, 7, "e-0")
		time.Sleep(250 * time.Millisecond)
		for _, m := range w.members[2:] {
			w.wantWaiting(m.Name, 0, 7)
		}
	})
}

// The relay of a data centre freezes. Another takes its place, and word of its hosts
// reaches all entries again within one and a half seconds.
func TestRelayFreezes(t *testing.T) {
	run(t, 8, func(w *world) {
		w.say("e-0", 0, 0, "e-0")
		time.Sleep(time.Second)
		w.silent.Store(core.HostName("e-0"), true)
		time.Sleep(1300 * time.Millisecond)
		assert.Assert(t, w.feeds["e-2"].Follows("dc-0"))
		w.say("e-2", 0, 5, "e-1")
		time.Sleep(250 * time.Millisecond)
		for _, m := range w.members[1:] {
			w.wantWaiting(m.Name, 0, 5)
		}
		assert.Equal(t, w.feeds["e-2"].Plans().Name, core.HostName("e-1"))
	})
}

// Requests for a model come to an entry that is no relay. The planner, in the other
// data centre, has them in its sum, knows that one waits, and its forecast reaches the
// entry.
func TestDemandReachesPlanner(t *testing.T) {
	run(t, 4, func(w *world) {
		call := &wire.DigestCall{
			Entry: "asker", Arrivals: []*wire.ModelArrivals{{Model: "m", Count: 3, Work: 0.5}},
			Waiting: []*wire.ModelActive{{Model: "m", Count: 1}}, Wait: int64(time.Second),
		}
		_, err := w.feeds["e-1"].Serve(call)
		assert.NilError(t, err)
		time.Sleep(500 * time.Millisecond)
		d := w.feeds["e-0"].Demand()["m"]
		assert.Assert(t, d.Rate > 0.1 && d.Work > 0.05 && d.Waiting == 1, "%+v", d)
		w.feeds["e-0"].Foresee(map[core.ModelName]time.Time{"m": time.Now().Add(4 * time.Second)})
		call.Arrivals = nil
		reply := &wire.DigestReply{}
		for range 4 {
			call.Epoch, call.Seen, call.SeenReady = reply.GetEpoch(), reply.GetChange(), reply.GetReadyChange()
			reply, err = w.feeds["e-1"].Serve(call)
			assert.NilError(t, err)
			if len(reply.GetReady()) > 0 {
				break
			}
		}
		assert.Equal(t, len(reply.GetReady()), 1)
		assert.Assert(t, time.Duration(reply.GetReady()[0].GetLeft()) > 3*time.Second)
	})
}

// Two entries of one data centre have requests in progress at a host of the other. Its
// agent is told their sum once, by its own relay.
func TestUseReachesAgent(t *testing.T) {
	run(t, 4, func(w *world) {
		w.say("e-0", 0, 0, "e-0")
		w.say("e-1", 1, 0, "e-0")
		time.Sleep(500 * time.Millisecond)
		at, err := hostAt(0).MarshalBinary()
		assert.NilError(t, err)
		for _, name := range []string{"asker-1", "asker-2"} {
			_, err := w.feeds["e-1"].Serve(&wire.DigestCall{
				Entry: name, Uses: []*wire.HostUse{{Address: at, Active: []*wire.ModelActive{{Model: "m", Count: 2}}, Used: []string{"m/a1"}}},
			})
			assert.NilError(t, err)
		}
		time.Sleep(700 * time.Millisecond)
		assert.Equal(t, w.feeds["e-0"].Active(hostAt(0))["m"], 4)
		assert.DeepEqual(t, w.feeds["e-0"].TakeUsed(hostAt(0)), []string{"m/a1"})
	})
}

// A host is removed for good. Each answer went on to name it among those that were not
// heard of, with all others that ever left.
func TestHostThatLeftIsForgotten(t *testing.T) {
	run(t, 4, func(w *world) {
		w.say("e-0", 0, 0, "e-0")
		w.say("e-1", 1, 0, "e-0")
		time.Sleep(3 * time.Second)
		stale := func() int {
			reply, err := w.feeds["e-1"].Serve(&wire.DigestCall{Entry: "asker"})
			assert.NilError(t, err)
			return len(reply.GetStale())
		}
		assert.Equal(t, stale(), 2)
		w.gone.Store(true)
		time.Sleep(time.Second)
		assert.Equal(t, stale(), 1)
	})
}

// Nothing happens for a while. Questions are held back, so that an entry at rest makes
// a few calls a second.
func TestRestCostsFewCalls(t *testing.T) {
	run(t, 8, func(w *world) {
		w.say("e-0", 0, 0, "e-0")
		time.Sleep(time.Second)
		before := w.calls.Load()
		time.Sleep(10 * time.Second)
		perEntry := float64(w.calls.Load()-before) / 10 / float64(len(w.members))
		assert.Assert(t, perEntry < 5, "%v calls a second", perEntry)
	})
}
