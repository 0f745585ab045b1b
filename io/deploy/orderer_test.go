package deploy

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/core/rtable"
	"radishwell/io/feed"
	"radishwell/io/peer"
	"radishwell/io/proxy"
	plat "radishwell/platform"
	"radishwell/platform/stand"
)

// relayedEntry returns an entry that polls no agents itself, with an engine that is listed for a minute
// and has no record in the store.
func relayedEntry(t *testing.T, engine netip.AddrPort, agentPort int) *entry {
	t.Helper()
	store := httptest.NewServer(&stand.Store{})
	t.Cleanup(store.Close)
	clock := newClock()
	e := &entry{
		Process: &Process{
			clock: clock, client: &peer.Client{},
			store: &plat.Store{Address: netip.MustParseAddrPort(store.Listener.Addr().String()), Client: &http.Client{}},
		},
		proxy: &proxy.Proxy{Clock: clock}, state: &peer.Store{Kinds: []core.Kind{core.KindRegistry}, Clock: clock}, feed: &feed.Feed{},
	}
	e.Settings.DataCentre, e.Settings.Managed.AgentPort = "dc-1", agentPort
	e.proxy.Start()
	models := map[core.ModelName]rtable.Model{"m-1": {Name: "m-1"}}
	table, err := rtable.Build(1, rtable.Limits{}, []*rtable.Service{{Name: "llm", Models: models}}, nil, nil)
	assert.NilError(t, err)
	e.proxy.Offer(table)
	e.proxy.Update(func(v *fleet.View, _ time.Time) {
		v.Apply(fleet.Entry{ID: "i-1", Service: "llm", Address: engine, DataCentre: "dc-1", Usable: true})
	})
	e.buildLinks()
	e.buildOrderer()
	e.orderer.tracker.SetEngines(bootTime().Add(-time.Minute), e.orderer.engines(), e.links.agentResponded)
	return e
}

// Guards against engines that are taken for ones without agents by an entry that polls no agents, when
// the store lacks the agents' records.
func TestAgentOfRelayIsAsked(t *testing.T) {
	t.Run("an agent answers", func(t *testing.T) {
		agent := serveCalls(t, &peer.Handler{})
		e := relayedEntry(t, netip.AddrPortFrom(agent.Addr(), 80), int(agent.Port()))
		e.orderer.step(t.Context())
		assert.Assert(t, !e.orderer.wantsLease)
	})
	t.Run("there is no agent", func(t *testing.T) {
		e := relayedEntry(t, netip.MustParseAddrPort("127.0.0.1:80"), 1)
		e.orderer.step(t.Context())
		assert.Assert(t, e.orderer.wantsLease)
	})
}
