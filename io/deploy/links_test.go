package deploy

import (
	"context"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/io/peer"
	"radishwell/io/proxy"
	"radishwell/wire"
)

// Guards against a data race at the start of an entry: the planner read the map of links
// while the goroutine of the links created it. On a busy machine the race detector aborted
// one start in some dozens.
func TestLinksExistBeforeRun(t *testing.T) {
	e := &entry{Process: &Process{clock: newClock()}, proxy: &proxy.Proxy{Clock: newClock()}}
	e.proxy.Start()
	e.buildLinks()
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.links.run(ctx) }()
	for range 100 {
		assert.Equal(t, len(e.links.active(e.clock.Now())), 0)
	}
	stop()
	assert.NilError(t, <-ended)
}

// serveCalls serves a handler on a loopback address until the test ends.
func serveCalls(t *testing.T, h *peer.Handler) netip.AddrPort {
	t.Helper()
	s := &peer.Server{Address: netip.MustParseAddrPort("127.0.0.1:0"), Handler: h}
	assert.NilError(t, s.Listen())
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		assert.NilError(t, <-ended)
	})
	return s.Address
}

// Guards against sending all calls for a data centre to the entry that orders some of its
// engines. If one engine had no agent, entries that poll no agents called that entry for the
// adapters of all engines there, and no adapters were loaded on engines with agents.
func TestAgentIsCalledIfEntryRefuses(t *testing.T) {
	orderer := serveCalls(t, &peer.Handler{Adapter: func(*wire.AdapterCall) (*wire.AdapterReply, error) { return nil, &NotHeldError{} }})
	agent := serveCalls(t, &peer.Handler{Adapter: func(c *wire.AdapterCall) (*wire.AdapterReply, error) {
		return &wire.AdapterReply{Loaded: c.GetUpstream() == nil}, nil
	}})
	e := &entry{Process: &Process{client: &peer.Client{}}}
	e.Settings.Managed.AgentPort = int(agent.Port())
	e.buildLinks()
	e.members.ordering = map[core.DataCentre]ordering{"dc-1": {name: "edge-1", control: orderer}}
	host := fleet.Entry{Address: netip.AddrPortFrom(agent.Addr(), 9), DataCentre: "dc-1"}
	reply, err := callAgent(e.links, host, func(to peer.Target, upstream []byte) (*wire.AdapterReply, error) {
		return e.client.Adapter(t.Context(), to, &wire.AdapterCall{Upstream: upstream})
	})
	assert.NilError(t, err)
	assert.Assert(t, reply.GetLoaded())
	e.client.Close()
}
