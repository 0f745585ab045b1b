package deploy

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/copies"
	"radishwell/core/fleet"
	"radishwell/core/rtable"
	"radishwell/io/events"
	"radishwell/io/loop"
	"radishwell/io/peer"
	"radishwell/wire"
)

const (
	// planEvery is how often the planner decides; a request that begins to wait
	// has it decide at once.
	planEvery = 250 * time.Millisecond
	// planRest is how many times as long as a decision the pause after it is, so that
	// decisions take a sixth of the processor at most.
	planRest = 5
	// planTime bounds calls between entries and of agents about plans.
	planTime = time.Second
	// demandAge is how old another entry's word on its demand may be.
	demandAge = 5 * time.Second
)

// told is another entry's demand.
type told struct {
	at      time.Time
	demands map[core.ModelName]copies.Demand
}

// planner decides which hosts hold which models while agents follow this entry,
// and otherwise tells the entry that they follow what is waited for here.
type planner struct {
	entry    *entry
	parallel int
	// took is how long the last decision took; it belongs to run.
	took time.Duration

	mu       sync.Mutex
	services map[core.ServiceName]*copies.Planner
	told     map[string]told
	leading  bool
	past     past
}

func (p *planner) start() {
	p.services = map[core.ServiceName]*copies.Planner{}
	p.told = map[string]told{}
}

// leads tells whether any agent follows this entry.
func (p *planner) leads() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leading
}

func (p *planner) run(ctx context.Context) error {
	ticker := time.NewTicker(planEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-p.entry.proxy.Waiting():
		}
		p.decide(ctx)
		// In a large fleet some request begins to wait at any moment.
		loop.Sleep(ctx, restAfter(p.took))
		p.took = 0
	}
}

// restAfter returns the pause after a decision that took a time. The work alone counts,
// not the time that a call to another entry takes: one that has died takes a second to
// find out, and the entry that takes its place would rest before it plans.
func restAfter(took time.Duration) time.Duration { return min(planEvery, planRest*took) }

// decide plans, or tells the entry that does.
func (p *planner) decide(ctx context.Context) {
	now := p.entry.clock.Now()
	if !p.entry.feed.Direct() {
		p.decideByRelays(ctx, now)
		return
	}
	followers := map[netip.AddrPort]bool{}
	others := map[string]int{}
	for _, k := range p.entry.links.list(now) {
		k.mu.Lock()
		if k.planner == string(p.entry.Settings.Name) {
			followers[k.address] = true
		} else {
			others[k.plannerControl]++
		}
		p.hear(k, now)
		k.mu.Unlock()
	}
	if len(followers)+len(others) > 0 {
		p.entry.proxy.NoteLoader()
	}
	p.lead(len(followers) > 0)
	if len(followers) > 0 {
		p.plan(ctx, now, followers)
		return
	}
	p.tell(ctx, most(others))
}

// decideByRelays plans where the relays call this entry the planner. Otherwise it has
// them told at once what is waited for.
func (p *planner) decideByRelays(ctx context.Context, now time.Time) {
	plans := p.entry.feed.Plans().Name == p.entry.Settings.Name
	p.lead(plans)
	if p.entry.feed.HasFollowers(linkTime) {
		p.entry.proxy.NoteLoader()
	}
	if plans {
		p.plan(ctx, now, p.entry.feed.Followers(linkTime))
		return
	}
	if len(p.entry.proxy.WaitingFor()) > 0 {
		p.entry.feed.Hurry(ctx)
	}
}

func most(counts map[string]int) string {
	best := ""
	for name, n := range counts {
		if best == "" || n > counts[best] || n == counts[best] && name < best {
			best = name
		}
	}
	return best
}

// hear takes in what an agent passed on of other entries. The caller holds the
// link's mu.
func (p *planner) hear(k *link, now time.Time) {
	for _, o := range k.others {
		p.take(o.GetEntry(), k.othersAt.Add(-time.Duration(o.GetAge())), o.GetDemands())
	}
	k.others = nil
}

func (p *planner) take(entry string, at time.Time, demands []*wire.ModelDemand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.told[entry]; ok && old.at.After(at) {
		return
	}
	p.told[entry] = told{at: at, demands: demandsIn(demands)}
}

func (p *planner) lead(now bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now && !p.leading {
		events.Log(events.PlannerChanged, "planner", p.entry.Settings.Name)
	}
	p.leading = now
}

// demand sums what all entries are asked for.
func (p *planner) demand(now time.Time) map[core.ModelName]copies.Demand {
	if !p.entry.feed.Direct() {
		sum := p.entry.feed.Demand()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.past.fill(now, sum)
		return sum
	}
	sum := p.entry.proxy.Demands()
	p.mu.Lock()
	defer p.mu.Unlock()
	for entry, t := range p.told {
		if now.Sub(t.at) > demandAge {
			delete(p.told, entry)
			continue
		}
		for name, d := range t.demands {
			sum[name] = sum[name].Add(d)
		}
	}
	p.past.fill(now, sum)
	return sum
}

// plan decides on moves and sends them to the agents.
func (p *planner) plan(ctx context.Context, now time.Time, followers map[netip.AddrPort]bool) {
	table := p.entry.proxy.Table()
	if table == nil {
		return
	}
	began := time.Now()
	defer func() { p.took = time.Since(began) }()
	demand := p.demand(now)
	p.keep(ctx, now, demand)
	ready := map[core.ModelName]time.Time{}
	for _, s := range table.Services {
		if !s.HasModels() {
			continue
		}
		hosts, entries := p.hosts(s, followers)
		p.mu.Lock()
		c := p.services[s.Name]
		if c == nil {
			c = &copies.Planner{Parallel: p.parallel}
			c.Learn(p.past.width)
			p.services[s.Name] = c
		}
		moves := c.Plan(now, s, hosts, demand)
		for name := range s.Models {
			if at, ok := c.Ready(name); ok {
				ready[name] = at
			}
		}
		p.mu.Unlock()
		for _, m := range moves {
			go p.send(ctx, s, entries[m.Host], m)
		}
	}
	p.entry.proxy.SetForecasts(ready)
	p.entry.feed.Foresee(ready)
}

// hosts returns a service's hosts as the planner of copies sees them.
func (p *planner) hosts(s *rtable.Service, followers map[netip.AddrPort]bool) ([]*copies.Host, map[core.HostName]fleet.Entry) {
	var hosts []*copies.Host
	entries := map[core.HostName]fleet.Entry{}
	p.entry.proxy.Update(func(v *fleet.View, now time.Time) {
		for _, h := range v.Hosts(s.Name) {
			if !h.Runs(now) {
				continue
			}
			entries[h.ID] = h.Entry
			hosts = append(hosts, viewHost(h, s, now, followers[h.Address]))
		}
	})
	return hosts, entries
}

func viewHost(h *fleet.Host, s *rtable.Service, now time.Time, follows bool) *copies.Host {
	out := &copies.Host{
		ID: h.ID, Open: follows && h.Fresh(now) && !h.Report.Busy && !h.IsLeaving(now), Leaving: h.IsLeaving(now),
		Seen: h.Report.Taken, Memory: s.Memory, Active: map[core.ModelName]int{},
		Loading: h.Report.Loading, LoadedBy: h.Report.LoadedBy, Limit: h.Limit(now),
	}
	out.InMemory, out.OnDisk = h.AtHand(now)
	for _, m := range h.Holds(now) {
		out.Held = append(out.Held, m.Model)
		out.Active[m.Model] = h.Active(m.Model)
		out.Adapters += core.Bytes(len(m.Adapters)) * s.Models[m.Model].Adapter
	}
	return out
}

func (p *planner) send(ctx context.Context, s *rtable.Service, h fleet.Entry, m copies.Move) {
	ctx, stop := context.WithTimeout(ctx, planTime)
	defer stop()
	_, held, _ := p.entry.links.host(h.ID)
	in := &wire.GoalCall{
		Entry: string(p.entry.Settings.Name), Instance: string(h.ID), Load: string(m.Load), Evict: core.Strings(m.Evict),
		Limits: limitsOf(s, held, append(slices.Clone(m.Evict), m.Load)...),
		Takes:  int64(m.By.Sub(p.entry.clock.Now())), Idle: m.Idle,
	}
	reply, err := ordered(p.entry.links, h, func(to peer.Target, upstream []byte) (*wire.GoalReply, error) {
		in.Upstream = upstream
		return p.entry.client.Goal(ctx, to, in)
	})
	if err != nil {
		events.Fail(events.PeerUnreachable, err, "address", h.Address)
		return
	}
	events.Log(
		events.GoalTaken, "host", h.ID, "load", m.Load, "evict", m.Evict, "from", m.From, "taken", reply.GetTaken(),
		"reason", reply.GetReason(), "copies", m.Copies, "rate", round(m.Demand.Rate), "work", round(m.Demand.Work),
		"waiting", m.Demand.Waiting, "worth", round(m.Worth), "loss", round(m.Loss),
	)
}

// round cuts a figure for the log to thousandths.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }

// tell sends this entry's demand to the one that plans, while requests wait.
func (p *planner) tell(ctx context.Context, control string) {
	at, err := netip.ParseAddrPort(control)
	if err != nil {
		return // no agent follows anybody yet
	}
	demands := p.entry.proxy.Demands()
	waiting := false
	for _, d := range demands {
		waiting = waiting || d.Waiting > 0
	}
	if !waiting {
		return
	}
	ctx, stop := context.WithTimeout(ctx, planTime)
	defer stop()
	reply, err := p.entry.client.Plan(ctx, peer.Target{Address: at}, &wire.PlanCall{
		Entry: string(p.entry.Settings.Name), Demands: demandsOut(demands),
	})
	if err != nil {
		events.Fail(events.PeerUnreachable, err, "address", at)
		return
	}
	now := p.entry.clock.Now()
	ready := map[core.ModelName]time.Time{}
	for _, r := range reply.GetReady() {
		ready[core.ModelName(r.GetModel())] = now.Add(time.Duration(r.GetLeft()))
	}
	p.entry.proxy.SetForecasts(ready)
}

// servePlan takes another entry's demand.
func (p *planner) servePlan(c *wire.PlanCall) (*wire.PlanReply, error) {
	now := p.entry.clock.Now()
	p.take(c.GetEntry(), now, c.GetDemands())
	p.entry.proxy.Kick()
	out := &wire.PlanReply{}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range c.GetDemands() {
		for _, s := range p.services {
			if at, ok := s.Ready(core.ModelName(d.GetModel())); ok {
				out.Ready = append(out.Ready, &wire.ModelReady{Model: d.GetModel(), Left: int64(at.Sub(now))})
			}
		}
	}
	return out, nil
}

func demandsOut(demands map[core.ModelName]copies.Demand) []*wire.ModelDemand {
	out := make([]*wire.ModelDemand, 0, len(demands))
	for name, d := range demands {
		out = append(out, &wire.ModelDemand{Model: string(name), Rate: d.Rate, Hasty: d.Hasty, Work: d.Work, Waiting: uint32(max(0, d.Waiting))})
	}
	return out
}

func demandsIn(demands []*wire.ModelDemand) map[core.ModelName]copies.Demand {
	out := make(map[core.ModelName]copies.Demand, len(demands))
	for _, d := range demands {
		out[core.ModelName(d.GetModel())] = copies.Demand{
			Rate: d.GetRate(), Hasty: d.GetHasty(), Work: d.GetWork(), Waiting: int(d.GetWaiting()),
		}
	}
	return out
}
