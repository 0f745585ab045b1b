package deploy

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/io/events"
	"radishwell/io/loop"
	"radishwell/io/peer"
)

const (
	// linkWait is how long an agent holds back its answer when nothing has
	// changed, and so how old an entry's view of a host gets.
	linkWait = 500 * time.Millisecond
	// linkTime bounds a question to an agent.
	linkTime = 1500 * time.Millisecond
	// linkPause is the pause after one that failed.
	linkPause = 250 * time.Millisecond
	// linkRenew is how often the links are held against the registry.
	linkRenew = 200 * time.Millisecond
	// fetchTime bounds the loading of an adapter, which takes some ten
	// milliseconds from an idle store and longer while many are fetched.
	fetchTime = 1500 * time.Millisecond
)

// links are the exchanges with all agents.
type links struct {
	entry *entry
	mu    sync.Mutex
	all   map[netip.AddrPort]*link
}

// buildLinks makes the links before anything runs: their map is read by the planner,
// which starts at the same time as they do. Made by run, it was written while the
// planner read it.
func (e *entry) buildLinks() { e.links = &links{entry: e, all: map[netip.AddrPort]*link{}} }

// run holds the links against the registry until the context ends.
func (l *links) run(ctx context.Context) error {
	for {
		l.renew(ctx)
		l.entry.proxy.ShareRetries(spareOf(l.entry.Settings.Managed.RetrySpare, l.entry.members.count()))
		if !loop.Sleep(ctx, linkRenew) {
			return nil
		}
	}
}

// renew starts links to agents of hosts that are new and ends those of hosts
// that are gone.
func (l *links) renew(ctx context.Context) {
	wanted := l.engines()
	for address, e := range wanted {
		if !l.entry.feed.Follows(e.centre) {
			delete(wanted, address)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, k := range l.all {
		if _, ok := wanted[address]; !ok {
			k.stop()
			delete(l.all, address)
		}
	}
	for address, e := range wanted {
		life := e.life
		k := l.all[address]
		if k == nil {
			own, stop := context.WithCancel(ctx)
			k = &link{address: address, centre: e.centre, stop: stop, used: map[string]bool{}, life: life}
			l.all[address] = k
			go l.follow(own, k)
		}
		if k.isNews(life) {
			go l.inform(ctx, k)
		}
	}
}

// engine is a model engine that the registry lists, with an agent beside it.
type engine struct {
	centre core.DataCentre
	life   fleet.Incarnation
}

// engines returns the model engines by their addresses.
func (l *links) engines() map[netip.AddrPort]engine {
	out := map[netip.AddrPort]engine{}
	table := l.entry.proxy.Table()
	if table == nil {
		return out
	}
	l.entry.proxy.Update(func(v *fleet.View, _ time.Time) {
		for _, h := range v.Hosts("") {
			if s := table.Services[h.Service]; h.Usable && s != nil && s.HasModels() {
				out[h.Address] = engine{centre: h.DataCentre, life: v.Newest(h.Address)}
			}
		}
	})
	return out
}

// centres returns the model engines' data centres by their addresses.
func (l *links) centres() map[netip.AddrPort]core.DataCentre {
	out := map[netip.AddrPort]core.DataCentre{}
	for address, e := range l.engines() {
		out[address] = e.centre
	}
	return out
}

// informAll tells all agents that this entry follows at once who plans. Until they know,
// they take no goals of the one that took over.
func (l *links) informAll() {
	l.mu.Lock()
	all := slices.Collect(maps.Values(l.all))
	l.mu.Unlock()
	for _, k := range all {
		go l.inform(context.Background(), k)
	}
}

// at returns the link to an upstream's agent, nil where this entry follows none there.
func (l *links) at(address netip.AddrPort) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all[address]
}

// beside returns where the agent beside an upstream takes calls.
func (l *links) beside(address netip.AddrPort) peer.Target {
	return peer.Target{Address: netip.AddrPortFrom(address.Addr(), uint16(l.entry.Settings.Managed.AgentPort))}
}

// agent returns where calls for the agent beside an upstream go. Where no agent was ever
// heard of there, an entry may order the upstream; then upstream names it to that entry.
func (l *links) agent(address netip.AddrPort, dc core.DataCentre) (to peer.Target, upstream []byte) {
	beside := l.beside(address)
	if k := l.at(address); k != nil {
		k.mu.Lock()
		direct := k.heardAgent || k.tryAgent
		k.mu.Unlock()
		if direct {
			return beside, nil
		}
	}
	holder, ok := l.entry.members.holder(dc)
	if !ok {
		return beside, nil
	}
	upstream, err := address.MarshalBinary()
	if err != nil {
		events.Fail(events.DecisionFailed, err, "address", address)
		return beside, nil
	}
	return holder, upstream
}

// heardAgent tells whether an agent has ever answered beside an upstream.
func (l *links) heardAgent(address netip.AddrPort) bool {
	k := l.at(address)
	if k == nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.heardAgent
}

// list returns the links whose agents were heard of lately.
func (l *links) list(now time.Time) []*link {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*link
	for _, k := range l.all {
		k.mu.Lock()
		if !k.heard.IsZero() && now.Sub(k.heard) < linkTime {
			out = append(out, k)
		}
		k.mu.Unlock()
	}
	return out
}
