package feed

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/copies"
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
	// Members returns all other entries that are listed, Agents the number of agents in
	// each data centre.
	Members func() follow.Ranked
	Agents  func() map[core.DataCentre]int
	// Planner, if set, is told when another entry plans.
	Planner func()

	epoch uint64

	mu      sync.Mutex
	chooser follow.Chooser
	choice  follow.Choice
	table   digest.Table
	demand  demand.Fleet
	// asked are the relays that this entry asks, by name.
	asked map[core.HostName]*relay
	// tellers are the entries that ask this one.
	tellers map[core.HostName]*teller
	uses    map[core.HostName]use
	planner follow.Member
	// ready are forecasts, readyChange the number of their last change.
	ready       map[core.ModelName]time.Time
	readyChange uint64
	applied     time.Time
	// changed is closed and replaced at each change, urgent at each that is more than
	// one of figures.
	changed, urgent        chan struct{}
	seenChange, seenUrgent uint64
	seenReady              uint64
	hurried                time.Time
	ownUsed                map[netip.AddrPort]map[string]bool
	kick                   chan struct{}
}

// use is the requests in progress by host and model that one teller knows of.
type use struct {
	at time.Time
	// relayed tells that the teller is a relay, whose word goes no further.
	relayed bool
	active  map[netip.AddrPort]map[core.ModelName]int
}

// Start makes the feed ready for calls.
func (f *Feed) Start() {
	now := f.Clock.Now()
	f.epoch = uint64(now.UnixNano())
	f.chooser = follow.Chooser{Self: f.Self, MostDirect: f.MostDirect, Started: now}
	f.asked = map[core.HostName]*relay{}
	f.tellers = map[core.HostName]*teller{}
	f.uses = map[core.HostName]use{}
	f.ready = map[core.ModelName]time.Time{}
	f.ownUsed = map[netip.AddrPort]map[string]bool{}
	f.changed, f.urgent = make(chan struct{}), make(chan struct{})
	f.kick = make(chan struct{}, 1)
}

// Run chooses whom to ask again and again until the context ends.
func (f *Feed) Run(ctx context.Context) error {
	for {
		f.choose(ctx)
		timer := time.NewTimer(chooseEvery)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		case <-f.kick:
			timer.Stop()
		}
	}
}

// choose decides whom to ask, and starts and ends the exchanges with relays.
func (f *Feed) choose(ctx context.Context) {
	members, agents := f.Members(), f.Agents()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	old := f.choice
	f.choice = f.chooser.Choose(now, members, agents)
	if f.choice.Scope != old.Scope {
		events.Log(events.RelayChanged, "scope", f.choice.Scope, "centres", f.choice.Centres, "before", old.Scope)
	}
	if f.choice.Scope == follow.All {
		f.Proxy.Update(func(v *fleet.View, _ time.Time) { v.Heard(time.Time{}) })
		// What came while nobody is told is of no use later.
		f.Proxy.TakeArrivals()
	}
	f.startRelays(ctx)
	for _, m := range f.chooser.Check(now, members) {
		go f.check(ctx, m)
	}
	f.choosePlanner(now)
}

// startRelays starts the exchanges with the relays that were chosen and ends the
// others. The caller holds mu.
func (f *Feed) startRelays(ctx context.Context) {
	for name, r := range f.asked {
		if !slices.Contains(f.choice.Relays, r.member) {
			r.stop()
			delete(f.asked, name)
		}
	}
	for _, m := range f.choice.Relays {
		if f.asked[m.Name] != nil {
			continue
		}
		own, stop := context.WithCancel(ctx)
		r := &relay{member: m, stop: stop, pending: map[core.ModelName]demand.Arrivals{}, used: map[netip.AddrPort]map[string]bool{}}
		f.asked[m.Name] = r
		events.Log(events.RelayAsked, "relay", m.Name, "address", m.Control, "data-centre", m.DataCentre)
		go f.follow(own, r)
	}
}

// choosePlanner has a relay see who plans. The caller holds mu.
func (f *Feed) choosePlanner(now time.Time) {
	if !f.choice.Relay() {
		return
	}
	f.follows(f.chooser.Planner(now, f.choice.Relays))
}

// follows takes in who plans. The caller holds mu.
func (f *Feed) follows(planner follow.Member) {
	if planner.Name == f.planner.Name {
		return
	}
	f.planner = planner
	if f.Planner != nil {
		go f.Planner()
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

// Plans returns the entry that plans as this one sees it; the zero Member where it
// sees none.
func (f *Feed) Plans() follow.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.planner
}

// Demand returns what the models of all entries are asked for.
func (f *Feed) Demand() map[core.ModelName]copies.Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	f.gather(now)
	return f.demand.All(now)
}

// Followers returns the upstream hosts whose agents follow this entry's plans.
func (f *Feed) Followers(age time.Duration) map[netip.AddrPort]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	out := map[netip.AddrPort]bool{}
	for _, h := range f.table.All() {
		if h.Planner == f.Self.Name && now.Sub(h.Report.Taken) < age {
			out[h.Address] = true
		}
	}
	return out
}

// HasFollowers tells whether any agent was heard of lately that follows a planner.
func (f *Feed) HasFollowers(age time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	for _, h := range f.table.All() {
		if h.Planner != "" && now.Sub(h.Report.Taken) < age {
			return true
		}
	}
	return false
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

// Active returns the requests in progress at a host by model, of all entries whose
// word comes to this one, for the host's agent.
func (f *Feed) Active(address netip.AddrPort) map[core.ModelName]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	f.noteOwnUse(now)
	return f.active(now, address, true)
}

// active sums the word of tellers on a host, with or without relays. The caller holds
// mu.
func (f *Feed) active(now time.Time, address netip.AddrPort, relayed bool) map[core.ModelName]int {
	sum := map[core.ModelName]int{}
	for _, u := range f.uses {
		if now.Sub(u.at) > useAge || u.relayed && !relayed {
			continue
		}
		for model, n := range u.active[address] {
			sum[model] += n
		}
	}
	return sum
}

// noteOwnUse takes in this entry's own requests in progress. The caller holds mu.
func (f *Feed) noteOwnUse(now time.Time) {
	own := use{at: now, active: map[netip.AddrPort]map[core.ModelName]int{}}
	f.Proxy.Update(func(v *fleet.View, _ time.Time) { own.active = v.OwnActive() })
	f.uses[f.Self.Name] = own
}

// Used notes that a request for an adapter, as MODEL/NAME, was sent to a host.
func (f *Feed) Used(address netip.AddrPort, adapter string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteUsed(address, []string{adapter}, false)
}

// noteUsed keeps the use of adapters for whoever asks the host's agent. The caller
// holds mu.
func (f *Feed) noteUsed(address netip.AddrPort, adapters []string, relayed bool) {
	to := f.ownUsed
	if source, ok := f.table.Source(address); ok && source != "" {
		r := f.asked[source]
		if relayed || r == nil {
			return
		}
		to = r.used
	}
	if to[address] == nil {
		to[address] = map[string]bool{}
	}
	for _, a := range adapters {
		to[address][a] = true
	}
}

// TakeUsed returns the adapters of a host that requests were sent for since it was last
// called.
func (f *Feed) TakeUsed(address netip.AddrPort) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for a := range f.ownUsed[address] {
		out = append(out, a)
	}
	delete(f.ownUsed, address)
	return out
}

// Foresee takes in the planner's forecasts, where this entry plans.
func (f *Feed) Foresee(ready map[core.ModelName]time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sameReady(f.ready, ready) {
		return
	}
	f.ready = ready
	f.noteReady()
}

// noteReady numbers a change of the forecasts. The caller holds mu.
func (f *Feed) noteReady() {
	f.readyChange++
	f.wake()
}

func sameReady(a, b map[core.ModelName]time.Time) bool {
	if len(a) != len(b) {
		return false
	}
	for name, at := range a {
		if other, ok := b[name]; !ok || at.Sub(other).Abs() >= readySlack {
			return false
		}
	}
	return true
}

// gather takes in what this entry's own callers asked for. The caller holds mu.
func (f *Feed) gather(now time.Time) {
	arrivals := f.Proxy.TakeArrivals()
	f.demand.Wait(now, f.Self.Name, f.Proxy.WaitingFor())
	f.addArrivals(now, arrivals)
}

// addArrivals counts arrivals and keeps them for the relays that are asked. The caller
// holds mu.
func (f *Feed) addArrivals(now time.Time, arrivals map[core.ModelName]demand.Arrivals) {
	if f.choice.Relay() {
		f.demand.Add(now, arrivals)
	}
	for _, r := range f.asked {
		r.add(arrivals)
	}
}

// wake has those that wait for an answer look again. The caller holds mu.
func (f *Feed) wake() {
	urgent := f.table.Urgent() != f.seenUrgent || f.readyChange != f.seenReady
	if urgent {
		f.seenUrgent, f.seenReady = f.table.Urgent(), f.readyChange
		close(f.urgent)
		f.urgent = make(chan struct{})
	}
	if urgent || f.table.Change() != f.seenChange {
		f.seenChange = f.table.Change()
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// Hurry tells at once what is waited for here.
func (f *Feed) Hurry(ctx context.Context) {
	f.mu.Lock()
	now := f.Clock.Now()
	var to *relay
	switch {
	case now.Sub(f.hurried) < hurryGap:
	case f.choice.Relay():
		to = f.asked[f.planner.Name]
	case len(f.choice.Relays) > 0:
		to = f.asked[f.choice.Relays[0].Name]
	}
	if to != nil {
		f.hurried = now
	}
	f.mu.Unlock()
	if to != nil {
		go f.exchange(ctx, to, hurryWait)
	}
}

func (f *Feed) pokeChoose() { loop.Poke(f.kick) }
