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
	"radishwell/core/rtable"
	"radishwell/io/events"
	"radishwell/io/feed"
	"radishwell/io/loop"
	"radishwell/io/peer"
	"radishwell/wire"
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

// link is the exchange with the agent beside one upstream host.
type link struct {
	address netip.AddrPort
	stop    context.CancelFunc

	mu sync.Mutex
	// planner is the entry that the agent follows; heard is when it said so.
	planner, plannerControl string
	heard                   time.Time
	others                  []*wire.EntryDemand
	othersAt                time.Time
	used                    map[string]bool
	seenEntries             uint64
	renewEntries            time.Time
	// life is the one that the agent was told of last.
	life   fleet.Life
	centre core.DataCentre
	// heardAgent tells that an agent has answered, tryAgent that it is asked next though an
	// entry orders the engines without one.
	heardAgent, tryAgent bool
}

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
	life   fleet.Life
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

// agents returns the number of agents in each data centre.
func (l *links) agents() map[core.DataCentre]int {
	out := map[core.DataCentre]int{}
	for _, e := range l.engines() {
		out[e.centre]++
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

// isNews tells whether the agent should hear of a life before its answer to the
// question in progress, which may be held back for half a second: until it knows
// the life it orders nothing.
func (k *link) isNews(life fleet.Life) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return life.ID != "" && life != k.life
}

// inform tells an agent at once what the registry names.
func (l *links) inform(ctx context.Context, k *link) {
	reply, err := l.ask(ctx, k, 0, 0)
	if err != nil {
		// The agent hears of it with the next question instead.
		events.Fail(events.PeerUnreachable, err, "address", k.address)
		return
	}
	l.take(k, reply)
}

// agent returns where calls for the agent beside an upstream go. Where no agent was ever
// heard of there, an entry may order the upstream; then upstream names it to that entry.
func (l *links) agent(address netip.AddrPort, dc core.DataCentre) (to peer.Target, upstream []byte) {
	beside := peer.Target{Address: netip.AddrPortFrom(address.Addr(), uint16(l.entry.Settings.Managed.AgentPort))}
	l.mu.Lock()
	k := l.all[address]
	l.mu.Unlock()
	if k != nil {
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
	l.mu.Lock()
	k := l.all[address]
	l.mu.Unlock()
	if k == nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.heardAgent
}

// noteAnswer notes who answered a question, or that nobody did: then the other of agent
// and entry is asked next.
func (k *link) noteAnswer(beside, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heardAgent = k.heardAgent || ok && beside
	if !ok {
		k.tryAgent = !k.tryAgent
	}
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

// follow asks one agent again and again until the context ends.
func (l *links) follow(ctx context.Context, k *link) {
	seen := uint64(0)
	for ctx.Err() == nil {
		reply, err := l.ask(ctx, k, seen, linkWait)
		if err != nil {
			seen = 0
			events.Fail(events.PeerUnreachable, err, "address", k.address)
			loop.Sleep(ctx, linkPause)
			continue
		}
		seen = reply.GetChange()
		l.take(k, reply)
	}
}

// ask puts one question to an agent, which may hold back its answer for wait.
func (l *links) ask(ctx context.Context, k *link, seen uint64, wait time.Duration) (*wire.UpstreamReply, error) {
	ctx, stop := context.WithTimeout(ctx, linkTime)
	defer stop()
	in := &wire.UpstreamCall{
		Entry: string(l.entry.Settings.Name), Control: l.entry.Settings.Listen.Control.String(),
		Seen: seen, Wait: int64(wait),
	}
	direct := l.entry.feed.Direct()
	if direct {
		in.Demands, in.Others = demandsOut(l.entry.proxy.Demands()), l.entry.planner.leads()
	} else {
		l.askAsRelay(k, in)
	}
	// The zero life, where the registry names none there, tells nothing.
	var life fleet.Life
	l.entry.proxy.Update(func(v *fleet.View, _ time.Time) {
		life = v.Newest(k.address)
		if h := v.Host(life.ID); h != nil && direct {
			in.Active = activeOut(h.OwnActive())
		}
	})
	in.Instance, in.Born = string(life.ID), life.Born
	k.mu.Lock()
	k.life = life
	for name := range k.used {
		in.Used = append(in.Used, name)
	}
	clear(k.used)
	in.SeenEntries = k.seenEntries
	if now := l.entry.clock.Now(); now.After(k.renewEntries) {
		// Entries that are named no more are forgotten; the others are named again.
		k.renewEntries = now.Add(namedAge / 3)
		in.SeenEntries = 0
	}
	k.mu.Unlock()
	to, upstream := l.agent(k.address, k.centre)
	in.Upstream = upstream
	reply, err := l.entry.client.Upstream(ctx, to, in)
	k.noteAnswer(upstream == nil, err == nil)
	return reply, err
}

// askAsRelay adds to a question what a relay tells an agent for other entries.
func (l *links) askAsRelay(k *link, in *wire.UpstreamCall) {
	planner := l.entry.feed.Plans()
	in.Planner, in.PlannerControl = string(planner.Name), planner.Control.String()
	in.Active = activeOut(l.entry.feed.Active(k.address))
	in.Used = l.entry.feed.TakeUsed(k.address)
}

func (l *links) take(k *link, reply *wire.UpstreamReply) {
	now := l.entry.clock.Now()
	k.mu.Lock()
	k.planner, k.plannerControl, k.heard = reply.GetPlanner(), reply.GetPlannerControl(), now
	k.seenEntries = reply.GetEntriesVersion()
	if len(reply.GetOthers()) > 0 {
		k.others, k.othersAt = reply.GetOthers(), now
	}
	k.mu.Unlock()
	for _, e := range reply.GetEntries() {
		if at, err := netip.ParseAddrPort(e.GetControl()); err == nil && e.GetName() != string(l.entry.Settings.Name) {
			l.entry.members.add(core.HostName(e.GetName()), at)
		}
	}
	h := feed.HostIn(k.address, reply.GetReport(), now)
	h.Planner = core.HostName(reply.GetPlanner())
	l.entry.proxy.Update(func(v *fleet.View, _ time.Time) { feed.Apply(v, &h) })
	l.entry.feed.Put(h)
}

func activeOut(counts map[core.ModelName]int) []*wire.ModelActive {
	var out []*wire.ModelActive
	for name, n := range counts {
		out = append(out, &wire.ModelActive{Model: string(name), Count: uint32(n)})
	}
	return out
}

// FetchError reports an adapter that an agent could not have loaded.
type FetchError struct{ Reason string }

// Error implements error.
func (e *FetchError) Error() string { return "the adapter was not loaded: " + e.Reason }

// Fetch implements core.AdapterLoader.
func (l *links) Fetch(ctx context.Context, host core.HostName, model core.ModelName, adapter string) error {
	h, held, ok := l.host(host)
	table := l.entry.proxy.Table()
	if !ok || table == nil || table.Services[h.Service] == nil {
		return &FetchError{Reason: "the host has left"}
	}
	ctx, stop := context.WithTimeout(ctx, fetchTime)
	defer stop()
	to, upstream := l.agent(h.Address, h.DataCentre)
	reply, err := l.entry.client.Adapter(ctx, to, &wire.AdapterCall{
		Upstream: upstream, Instance: string(h.ID), Model: string(model), Adapter: adapter, Wait: int64(fetchTime), Limits: limitsOf(table.Services[h.Service], held, model),
	})
	if err != nil {
		return err
	}
	if !reply.GetLoaded() {
		return &FetchError{Reason: reply.GetReason()}
	}
	return nil
}

// host returns the registry's entry of a host and what it holds.
func (l *links) host(id core.HostName) (e fleet.Entry, held []core.HeldModel, ok bool) {
	l.entry.proxy.Update(func(v *fleet.View, now time.Time) {
		if h := v.Host(id); h != nil {
			e, held, ok = h.Entry, h.Holds(now), true
		}
	})
	return e, held, ok
}

// Used implements core.AdapterLoader.
func (l *links) Used(host core.HostName, model core.ModelName, adapter string) {
	h, _, _ := l.host(host)
	if !l.entry.feed.Direct() {
		l.entry.feed.Used(h.Address, string(model)+"/"+adapter)
		return
	}
	l.mu.Lock()
	k := l.all[h.Address]
	l.mu.Unlock()
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.used[string(model)+"/"+adapter] = true
}

// limitsOf returns what an agent needs to know of a service's models to load some of
// them on a host: the sizes of these and of what the host holds. In a catalogue of
// hundreds of models all sizes would be most of what entries send to agents.
func limitsOf(s *rtable.Service, held []core.HeldModel, names ...core.ModelName) *wire.UpstreamLimits {
	out := &wire.UpstreamLimits{Memory: int64(s.Memory), AdapterPlaces: uint32(s.AdapterPlaces)}
	for _, m := range held {
		names = append(names, m.Model)
	}
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		if m, ok := s.Models[name]; ok {
			out.Sizes = append(out.Sizes, &wire.ModelSize{Model: string(name), Weights: int64(m.Weights), Adapter: int64(m.Adapter)})
		}
	}
	return out
}
