package feed

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"radishwell/core"
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
	// chooseEvery is how often an entry looks whom to ask.
	chooseEvery = 100 * time.Millisecond
	// useAge is how old another entry's word on its requests in progress may be.
	useAge = 1500 * time.Millisecond
	// applyAll is how often all hosts are told to the view, also those without a change:
	// the registry may list another life of one by then.
	applyAll = 400 * time.Millisecond
	// readySlack is by how much a forecast may move without being a change.
	readySlack = 150 * time.Millisecond
)

// Feed is one entry's exchange. Set the exported fields before Start.
type Feed struct {
	Self follow.Member
	// MostDirect is how many agents an entry follows itself.
	MostDirect int
	Clock      core.Clock
	// Proxy takes callers' requests.
	Proxy *proxy.Proxy
	// Ask and Ping make calls of other entries.
	Ask  func(ctx context.Context, to peer.Target, in *wire.DigestCall) (*wire.DigestReply, error)
	Ping func(ctx context.Context, to peer.Target) error
	// Members returns all other entries that are listed, Engines the listed upstream hosts
	// that have agents, with their data centres.
	Members func() follow.Ranked
	Engines func() map[netip.AddrPort]core.DataCentre
	// Planner, if set, is told when another entry plans.
	Planner func()

	// epoch tells this process's change numbers from those of the one before.
	epoch uint64

	mu      sync.Mutex
	chooser follow.Chooser
	choice  follow.Choice
	table   digest.Table
	demand  demand.Fleet
	// relays are those that this entry asks, by name.
	relays map[core.HostName]*relay
	// askers are the entries that ask this one.
	askers map[core.HostName]*asker
	// uses are the requests in progress by the word of each entry.
	uses map[core.HostName]use
	// planner is the entry that plans, the zero Member where none is known.
	planner follow.Member
	// ready are forecasts, readyChange the number of their last change.
	ready       map[core.ModelName]time.Time
	readyChange uint64
	// applied is when all hosts were told to the view last, hurried when a relay was last
	// asked out of turn.
	applied, hurried time.Time
	// changed is closed and replaced at each change, urgent at each that is more than
	// one of figures.
	changed, urgent        chan struct{}
	seenChange, seenUrgent uint64
	seenReady              uint64
	// ownUsed are the adapters that requests were sent for, by host, for the agents that
	// this entry follows.
	ownUsed map[netip.AddrPort]map[string]bool
	// kick has Run choose at once.
	kick chan struct{}
}

// Start makes the feed ready for calls.
func (f *Feed) Start() {
	now := f.Clock.Now()
	f.epoch = uint64(now.UnixNano())
	f.chooser = follow.Chooser{Self: f.Self, MaxDirect: f.MostDirect, Started: now}
	f.relays = map[core.HostName]*relay{}
	f.askers = map[core.HostName]*asker{}
	f.uses = map[core.HostName]use{}
	f.ready = map[core.ModelName]time.Time{}
	f.ownUsed = map[netip.AddrPort]map[string]bool{}
	f.changed, f.urgent = make(chan struct{}), make(chan struct{})
	f.kick = make(chan struct{}, 1)
	f.choice.Scope = follow.None
}

// Run chooses whom to ask again and again until the context ends.
func (f *Feed) Run(ctx context.Context) error {
	return loop.Run(ctx, f.Clock, f.kick, chooseEvery, func(time.Time) time.Time {
		f.choose(ctx)
		return time.Time{}
	})
}

// choose decides whom to ask, and starts and ends the exchanges with relays.
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
	f.forget(engines)
	if f.choice.Scope != follow.None {
		f.Proxy.Update(func(v *fleet.View, _ time.Time) { v.NoteRelayReport(time.Time{}) })
	}
	if f.choice.Scope == follow.All {
		// What came while nobody is told is of no use later.
		f.Proxy.TakeArrivals()
	}
	f.startRelays(ctx)
	for _, m := range f.chooser.Probes(now, members) {
		go f.check(ctx, m)
	}
	f.choosePlanner(now)
}

// forget drops what is known of hosts that are not listed any more: they would be told to
// all askers as hosts that were not heard of, for good. The caller holds mu.
func (f *Feed) forget(listed map[netip.AddrPort]core.DataCentre) {
	f.table.Retain(func(a netip.AddrPort) bool {
		_, ok := listed[a]
		return ok
	})
	maps.DeleteFunc(f.ownUsed, func(a netip.AddrPort, _ map[string]bool) bool {
		_, ok := listed[a]
		return !ok
	})
}

// startRelays starts the exchanges with the relays that were chosen and ends the
// others. The caller holds mu.
func (f *Feed) startRelays(ctx context.Context) {
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
		go f.follow(own, r)
	}
}

// Direct tells whether this entry follows all agents itself.
func (f *Feed) Direct() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.choice.Scope == follow.All
}

// Follows tells whether this entry follows the agents of a data centre itself.
func (f *Feed) Follows(dc core.DataCentre) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.choice.Follows(dc)
}

// Put takes in what an agent said on this entry's own link.
func (f *Feed) Put(h digest.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.choice.Scope == follow.All {
		return
	}
	f.table.Put("", h)
	f.wake()
}

// wake has those that wait for an answer look again. The caller holds mu.
func (f *Feed) wake() {
	urgent := f.table.LastUrgent() != f.seenUrgent || f.readyChange != f.seenReady
	if urgent {
		f.seenUrgent, f.seenReady = f.table.LastUrgent(), f.readyChange
		close(f.urgent)
		f.urgent = make(chan struct{})
	}
	if urgent || f.table.LastChange() != f.seenChange {
		f.seenChange = f.table.LastChange()
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

func (f *Feed) pokeChoose() { loop.Poke(f.kick) }

// Listed notes that the registry has changed. The first list tells whether this entry
// follows agents.
func (f *Feed) Listed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.choice.Scope == follow.None && len(f.choice.Relays) == 0 {
		f.pokeChoose()
	}
}
