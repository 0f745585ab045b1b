package feed

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/cached"
	"radishwell/core/demand"
	"radishwell/core/digest"
	"radishwell/core/fleet"
	"radishwell/core/follow"
	"radishwell/io/events"
	"radishwell/io/loop"
	"radishwell/io/peer"
	"radishwell/io/proxy"
	"radishwell/wire"
)

const (
	// chooseInterval is how often an entry chooses the relays that it polls.
	chooseInterval = 100 * time.Millisecond
	// maxUseAge is the age beyond which another entry's report of its requests in
	// progress is ignored.
	maxUseAge = 1500 * time.Millisecond
	// applyAllInterval is how often all hosts are applied to the view, even unchanged
	// ones, because the registry may list a new incarnation of a host since.
	applyAllInterval = 400 * time.Millisecond
	// forecastTolerance is by how much a forecast may move without counting as changed.
	forecastTolerance = 150 * time.Millisecond
)

// Feed polls relays for one entry and serves the polls of other entries. Its exported
// fields must be set before Start; its methods may be called from several goroutines.
type Feed struct {
	Self follow.Member
	// MaxDirect is the largest number of agents in the fleet at which each entry follows
	// all of them. With more, entries poll relays, and a relay may follow more agents.
	MaxDirect int
	Clock     core.Clock
	// Proxy holds the view of the hosts and the requests of callers.
	Proxy *proxy.Proxy
	// Digest and Ping call other entries.
	Digest func(ctx context.Context, to peer.Target, in *wire.DigestCall) (*wire.DigestReply, error)
	Ping   func(ctx context.Context, to peer.Target) error
	// Members returns all other entries in the registry, Engines the upstream hosts in
	// the registry that have agents, with their data centres.
	Members func() follow.Ranked
	Engines func() map[netip.AddrPort]core.DataCentre
	// Cached holds which parts of prompts the upstreams keep. It may be nil.
	Cached *cached.Book
	// OnPlanner, if set, is called when the planner, which is the entry that places
	// models, has changed. Each call has its own goroutine.
	OnPlanner func()

	// epoch distinguishes the change numbers of this process from those of its previous
	// incarnation.
	epoch uint64

	mu      sync.Mutex
	chooser follow.Chooser
	choice  follow.Choice
	table   digest.Table
	demand  demand.Fleet
	// relays are the relays that this entry polls, by name.
	relays map[core.HostName]*relay
	// pollers are the entries that poll this one, by name.
	pollers map[core.HostName]*poller
	// uses are the requests in progress as each entry last reported them.
	uses map[core.HostName]use
	// planner is the current planner; the zero Member if none is known.
	planner follow.Member
	// ready holds, by model, when its next copy is expected to be loaded; readyChange
	// numbers the last change.
	ready       map[core.ModelName]time.Time
	readyChange uint64
	// lastApplyAll is when all hosts were last applied to the view, lastExtraPoll when
	// the last extra poll was made.
	lastApplyAll, lastExtraPoll time.Time
	// changed is closed and replaced at each change, urgent at each change of more than a
	// host's figures, which are its numbers of waiting, running and active requests. The
	// notified fields are the change numbers at that time.
	changed, urgent                chan struct{}
	notifiedChange, notifiedUrgent uint64
	notifiedReady                  uint64
	// engines are the upstream hosts in the registry that have agents.
	engines map[netip.AddrPort]core.DataCentre
	// directUsed holds, by host, the adapters for which requests were sent, for the
	// agents that this entry follows.
	directUsed map[netip.AddrPort]map[string]bool
	// chooseWake makes Run choose at once.
	chooseWake chan struct{}
}

// Start prepares the feed for calls.
func (f *Feed) Start() {
	now := f.Clock.Now()
	f.epoch = uint64(now.UnixNano())
	if f.Cached == nil {
		f.Cached = &cached.Book{}
	}
	f.chooser = follow.Chooser{Self: f.Self, MaxDirect: f.MaxDirect, Started: now}
	f.relays = map[core.HostName]*relay{}
	f.pollers = map[core.HostName]*poller{}
	f.uses = map[core.HostName]use{}
	f.ready = map[core.ModelName]time.Time{}
	f.directUsed = map[netip.AddrPort]map[string]bool{}
	f.changed, f.urgent = make(chan struct{}), make(chan struct{})
	f.chooseWake = make(chan struct{}, 1)
	f.choice.Scope = follow.None
}

// Run chooses and polls relays until the context ends.
func (f *Feed) Run(ctx context.Context) error {
	return loop.Run(ctx, f.Clock, f.chooseWake, chooseInterval, func(time.Time) time.Time {
		f.choose(ctx)
		return time.Time{}
	})
}

// choose chooses the relays, and starts and stops polling them.
func (f *Feed) choose(ctx context.Context) {
	members, engines := f.Members(), f.Engines()
	agents := map[core.DataCentre]int{}
	for _, dc := range engines {
		agents[dc]++
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	old := f.choice
	f.choice = f.chooser.Choose(now, members, agents)
	if f.choice.Scope != old.Scope {
		events.Log(events.RelayChanged, "scope", f.choice.Scope, "centres", f.choice.Centres, "before", old.Scope)
	}
	f.engines = engines
	f.removeUnlisted()
	if f.choice.Scope != follow.None {
		f.Proxy.Update(func(v *fleet.View, _ time.Time) { v.NoteRelayReport(time.Time{}) })
	}
	if f.choice.Scope == follow.All {
		// There is no relay to send the arrivals to, and they are of no use later.
		f.Proxy.TakeArrivals()
	}
	f.updateRelays(ctx)
	for _, m := range f.chooser.Probes(now, members) {
		go f.ping(ctx, m)
	}
	f.choosePlanner(now)
}

// removeUnlisted removes hosts that are no longer listed. Otherwise every reply would
// name them as stale for ever. The caller holds mu.
func (f *Feed) removeUnlisted() {
	isListed := func(a netip.AddrPort) bool {
		_, ok := f.engines[a]
		return ok
	}
	f.table.Retain(isListed)
	f.Cached.Retain(isListed)
	maps.DeleteFunc(f.directUsed, func(a netip.AddrPort, _ map[string]bool) bool { return !isListed(a) })
}

// updateRelays starts polling the chosen relays and stops polling the others. The caller
// holds mu.
func (f *Feed) updateRelays(ctx context.Context) {
	for name, r := range f.relays {
		if !slices.Contains(f.choice.Relays, r.member) {
			r.stop()
			delete(f.relays, name)
		}
	}
	for _, m := range f.choice.Relays {
		if f.relays[m.Name] != nil {
			continue
		}
		own, stop := context.WithCancel(ctx)
		r := &relay{member: m, stop: stop, pending: map[core.ModelName]demand.Arrivals{}, used: map[netip.AddrPort]map[string]bool{}}
		f.relays[m.Name] = r
		events.Log(events.RelayAsked, "relay", m.Name, "address", m.Control, "data-centre", m.DataCentre)
		go f.poll(own, r)
	}
}

// Direct reports whether this entry follows all agents.
func (f *Feed) Direct() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.choice.Scope == follow.All
}

// Follows reports whether this entry follows the agents of a data centre.
func (f *Feed) Follows(dc core.DataCentre) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.choice.Follows(dc)
}

// Put records the state of a host that its agent reported to this entry itself.
func (f *Feed) Put(h digest.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.choice.Scope == follow.All {
		return
	}
	f.table.Put("", h)
	f.notifyWaiters()
}

// notifyWaiters wakes the polls that wait for news. The caller holds mu.
func (f *Feed) notifyWaiters() {
	urgent := f.table.LastUrgent() != f.notifiedUrgent || f.readyChange != f.notifiedReady
	if urgent {
		f.notifiedUrgent, f.notifiedReady = f.table.LastUrgent(), f.readyChange
		close(f.urgent)
		f.urgent = make(chan struct{})
	}
	if urgent || f.table.LastChange() != f.notifiedChange {
		f.notifiedChange = f.table.LastChange()
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

func (f *Feed) wakeChoose() { loop.Wake(f.chooseWake) }

// RegistryChanged must be called when the registry has changed. An entry that follows no
// agent and polls no relay yet then chooses at once.
func (f *Feed) RegistryChanged() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.choice.Scope == follow.None && len(f.choice.Relays) == 0 {
		f.wakeChoose()
	}
}
