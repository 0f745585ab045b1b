package deploy

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/core/rtable"
	"radishwell/io/events"
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
	life fleet.Life
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
		l.entry.proxy.ShareRetries(spareOf(l.entry.Settings.Managed.RetrySpare, l.entry.peers.count()))
		if !loop.Sleep(ctx, linkRenew) {
			return nil
		}
	}
}

// renew starts links to agents of hosts that are new and ends those of hosts
// that are gone.
func (l *links) renew(ctx context.Context) {
	table := l.entry.proxy.Table()
	if table == nil {
		return
	}
	wanted := map[netip.AddrPort]fleet.Life{}
	l.entry.proxy.Update(func(v *fleet.View, _ time.Time) {
		for _, h := range v.Hosts("") {
			if s := table.Services[h.Service]; h.Usable && s != nil && s.HasModels() {
				wanted[h.Address] = v.Newest(h.Address)
			}
		}
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, k := range l.all {
		if _, ok := wanted[address]; !ok {
			k.stop()
			delete(l.all, address)
		}
	}
	for address, life := range wanted {
		k := l.all[address]
		if k == nil {
			own, stop := context.WithCancel(ctx)
			k = &link{address: address, stop: stop, used: map[string]bool{}, life: life}
			l.all[address] = k
			go l.follow(own, k)
		}
		if k.isNews(life) {
			go l.inform(ctx, k)
		}
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

// agent returns where the agent beside an upstream takes calls.
func (l *links) agent(upstream netip.AddrPort) peer.Target {
	return peer.Target{Address: netip.AddrPortFrom(upstream.Addr(), uint16(l.entry.Settings.Managed.AgentPort))}
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
		Demands: demandsOut(l.entry.proxy.Demands()), Others: l.entry.planner.leads(),
	}
	// The zero life, where the registry names none there, tells nothing.
	var life fleet.Life
	l.entry.proxy.Update(func(v *fleet.View, _ time.Time) {
		life = v.Newest(k.address)
		if h := v.Host(life.ID); h != nil {
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
		k.renewEntries = now.Add(peerAge / 3)
		in.SeenEntries = 0
	}
	k.mu.Unlock()
	return l.entry.client.Upstream(ctx, l.agent(k.address), in)
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
			l.entry.peers.add(core.HostName(e.GetName()), at)
		}
	}
	report := reportIn(reply.GetReport(), now)
	if reply.GetReport().GetLost() {
		l.entry.proxy.Update(func(v *fleet.View, now time.Time) { v.Lost(now, k.address) })
	}
	if !report.Reachable {
		return
	}
	l.entry.proxy.Update(func(v *fleet.View, _ time.Time) {
		v.Outlived(k.address, reply.GetReport().GetBorn(), core.Names[core.HostName](reply.GetReport().GetEnded()))
		v.Report(report)
	})
}

func reportIn(r *wire.UpstreamReport, now time.Time) fleet.Report {
	out := fleet.Report{
		Taken: now.Add(-time.Duration(r.GetAge())), ID: core.HostName(r.GetInstance()), Reachable: r.GetReachable(),
		Leaving: r.GetLeaving(), Busy: r.GetBusy(),
		InMemory: core.Names[core.ModelName](r.GetInMemory()), OnDisk: core.Names[core.ModelName](r.GetOnDisk()), Waiting: int(r.GetWaiting()), Running: int(r.GetRunning()),
		Reading: int(r.GetReading()), Loading: core.ModelName(r.GetLoading()),
		Active: make(map[core.ModelName]int, len(r.GetModels())),
	}
	if out.Loading != "" {
		out.LoadedBy = now.Add(time.Duration(r.GetLoadLeft()))
	}
	for _, m := range r.GetModels() {
		out.Active[core.ModelName(m.GetModel())] = int(m.GetActive())
		out.Models = append(out.Models, core.HeldModel{Model: core.ModelName(m.GetModel()), Version: m.GetVersion(), Adapters: m.GetAdapters()})
	}
	return out
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
	h, ok := l.host(host)
	table := l.entry.proxy.Table()
	if !ok || table == nil || table.Services[h.Service] == nil {
		return &FetchError{Reason: "the host has left"}
	}
	ctx, stop := context.WithTimeout(ctx, fetchTime)
	defer stop()
	reply, err := l.entry.client.Adapter(ctx, l.agent(h.Address), &wire.AdapterCall{
		Instance: string(h.ID), Model: string(model), Adapter: adapter, Wait: int64(fetchTime), Limits: limitsOf(table.Services[h.Service]),
	})
	if err != nil {
		return err
	}
	if !reply.GetLoaded() {
		return &FetchError{Reason: reply.GetReason()}
	}
	return nil
}

// host returns the registry's entry of a host.
func (l *links) host(id core.HostName) (e fleet.Entry, ok bool) {
	l.entry.proxy.Update(func(v *fleet.View, _ time.Time) {
		if h := v.Host(id); h != nil {
			e, ok = h.Entry, true
		}
	})
	return e, ok
}

// Used implements core.AdapterLoader.
func (l *links) Used(host core.HostName, model core.ModelName, adapter string) {
	h, _ := l.host(host)
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

// limitsOf returns what agents need to know of a service's models.
func limitsOf(s *rtable.Service) *wire.UpstreamLimits {
	out := &wire.UpstreamLimits{Memory: int64(s.Memory), AdapterPlaces: uint32(s.AdapterPlaces)}
	for _, m := range s.Models {
		out.Sizes = append(out.Sizes, &wire.ModelSize{Model: string(m.Name), Weights: int64(m.Weights), Adapter: int64(m.Adapter)})
	}
	return out
}
