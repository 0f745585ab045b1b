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
	// planInterval is the interval between decisions. A request that begins to wait triggers a
	// decision at once.
	planInterval = 250 * time.Millisecond
	// planPauseFactor is the ratio of the pause after a decision to the duration of the
	// decision. It limits decisions of up to 50 ms to a sixth of one processor; planInterval
	// caps the pause after longer ones.
	planPauseFactor = 5
	// planTimeout is the timeout of calls to other entries and agents about plans.
	planTimeout = time.Second
	// maxDemandAge is the age after which another entry's demand is dropped.
	maxDemandAge = 5 * time.Second
)

// reportedDemand is the demand that another entry reported, by model.
type reportedDemand struct {
	at      time.Time
	demands map[core.ModelName]copies.Demand
}

// planner decides which hosts load which models. It does so while agents follow this entry,
// that is, accept its goals. Otherwise it reports this entry's demand to the planner that
// they follow.
type planner struct {
	entry    *entry
	parallel int
	// planDuration is the duration of the last decision. Only run and what it calls use it.
	planDuration time.Duration

	mu       sync.Mutex
	services map[core.ServiceName]*copies.Planner
	// reported are the demands of other entries, by entry.
	reported map[string]reportedDemand
	// leading is set while this entry plans.
	leading bool
	// since is when it last began to plan.
	since time.Time
	saved savedDemand
}

// start initialises the planner. It is called before all other methods.
func (p *planner) start() {
	p.services = map[core.ServiceName]*copies.Planner{}
	p.reported = map[string]reportedDemand{}
}

// leads reports whether this entry plans.
func (p *planner) leads() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leading
}

// run decides at intervals, and when a request begins to wait, until the context ends.
func (p *planner) run(ctx context.Context) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-p.entry.proxy.Waiting():
		}
		p.decide(ctx)
		// In a large fleet requests begin to wait all the time, so the pause bounds the load.
		loop.Sleep(ctx, pauseAfter(p.planDuration))
		p.planDuration = 0
	}
}

// pauseAfter returns the pause after a decision that took the given time. Callers count the
// planning only, not calls to other entries: a call to an entry that has died takes a second
// to fail, and the entry that replaces it as the planner would pause before it plans.
func pauseAfter(took time.Duration) time.Duration { return min(planInterval, planPauseFactor*took) }

// decide plans if agents follow this entry; otherwise it reports the demand to the planner.
func (p *planner) decide(ctx context.Context) {
	now := p.entry.clock.Now()
	if !p.entry.feed.Direct() {
		p.decideWithRelays(ctx, now)
		return
	}
	followers := map[netip.AddrPort]bool{}
	others := map[string]int{}
	for _, k := range p.entry.links.active(now) {
		k.mu.Lock()
		if k.planner == string(p.entry.Settings.Name) {
			followers[k.address] = true
		} else {
			others[k.plannerControl]++
		}
		p.recordForwarded(k, now)
		k.mu.Unlock()
	}
	if len(followers)+len(others) > 0 {
		p.entry.proxy.NoteLoader()
	}
	p.setLeading(now, len(followers) > 0)
	if len(followers) > 0 {
		p.plan(ctx, now, followers)
		return
	}
	p.reportDemand(ctx, mostCounted(others))
}

// decideWithRelays is decide for fleets with relays, the entries that poll agents for others.
// It plans if this entry is the planner by the relays' information. Otherwise, if requests
// wait, it reports the demand to the relays at once.
func (p *planner) decideWithRelays(ctx context.Context, now time.Time) {
	plans := p.entry.feed.CurrentPlanner().Name == p.entry.Settings.Name
	p.setLeading(now, plans)
	if p.entry.feed.HasFollowers(reportTimeout) {
		p.entry.proxy.NoteLoader()
	}
	if plans {
		p.plan(ctx, now, p.entry.feed.Followers(reportTimeout))
		return
	}
	if len(p.entry.proxy.WaitingFor()) > 0 {
		p.entry.feed.PollNow(ctx)
	}
}

// mostCounted returns the name with the highest count, the first in order among equals;
// empty if there are none.
func mostCounted(counts map[string]int) string {
	best := ""
	for name, n := range counts {
		if best == "" || n > counts[best] || n == counts[best] && name < best {
			best = name
		}
	}
	return best
}

// recordForwarded records the demands of other entries that an agent forwarded. The caller
// holds the link's mu.
func (p *planner) recordForwarded(k *link, now time.Time) {
	for _, o := range k.others {
		p.recordDemand(o.GetEntry(), k.othersReceived.Add(-time.Duration(o.GetAge())), o.GetDemands())
	}
	k.others = nil
}

// recordDemand records the demand that another entry had at a time, unless a later one is known.
func (p *planner) recordDemand(entry string, at time.Time, demands []*wire.ModelDemand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.reported[entry]; ok && old.at.After(at) {
		return
	}
	p.reported[entry] = reportedDemand{at: at, demands: decodeDemands(demands)}
}

// setLeading records whether this entry plans.
func (p *planner) setLeading(now time.Time, leads bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if leads && !p.leading {
		p.since = now
		events.Log(events.PlannerChanged, "planner", p.entry.Settings.Name)
	}
	p.leading = leads
}

// totalDemand returns the sum of the demands of all entries.
func (p *planner) totalDemand(now time.Time) map[core.ModelName]copies.Demand {
	if !p.entry.feed.Direct() {
		sum := p.entry.feed.Demand()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.saved.raise(now, sum)
		return sum
	}
	sum := p.entry.proxy.Demands()
	p.mu.Lock()
	defer p.mu.Unlock()
	for entry, t := range p.reported {
		if now.Sub(t.at) > maxDemandAge {
			delete(p.reported, entry)
			continue
		}
		for name, d := range t.demands {
			sum[name] = sum[name].Add(d)
		}
	}
	p.saved.raise(now, sum)
	return sum
}

// plan decides on moves, each the models that a host is to evict and the one that it is to
// load then, and sends them as goals to the agents.
func (p *planner) plan(ctx context.Context, now time.Time, followers map[netip.AddrPort]bool) {
	table := p.entry.proxy.Table()
	if table == nil {
		return
	}
	began := time.Now()
	defer func() { p.planDuration = time.Since(began) }()
	demand := p.totalDemand(now)
	p.saveDemand(ctx, now, demand)
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
			c.AdoptWidth(p.saved.width)
			p.services[s.Name] = c
		}
		c.Since = p.since
		moves := c.Plan(now, s, hosts, demand)
		for name := range s.Models {
			if at, ok := c.Ready(name); ok {
				ready[name] = at
			}
		}
		p.mu.Unlock()
		for _, m := range moves {
			go p.sendGoal(ctx, s, entries[m.Host], m)
		}
	}
	p.entry.proxy.SetForecasts(ready)
	p.entry.feed.SetForecasts(ready)
}

// hosts returns the running hosts of a service as copies.Planner takes them, and their
// registry entries.
func (p *planner) hosts(s *rtable.Service, followers map[netip.AddrPort]bool) ([]*copies.Host, map[core.HostName]fleet.Entry) {
	var hosts []*copies.Host
	entries := map[core.HostName]fleet.Entry{}
	p.entry.proxy.Update(func(v *fleet.View, now time.Time) {
		for _, h := range v.Hosts(s.Name) {
			if !h.IsAvailable(now) {
				continue
			}
			entries[h.ID] = h.Entry
			hosts = append(hosts, plannerHost(h, s, now, followers[h.Address]))
		}
	})
	return hosts, entries
}

// plannerHost converts a host for copies.Planner; follows is set if its agent accepts goals of
// this entry.
func plannerHost(h *fleet.Host, s *rtable.Service, now time.Time, follows bool) *copies.Host {
	out := &copies.Host{
		ID: h.ID, TakesOrders: follows && h.Fresh(now) && !h.Report.Busy && !h.IsLeaving(now), Leaving: h.IsLeaving(now),
		ReportedAt: h.Report.Taken, Memory: s.Memory, Active: map[core.ModelName]int{},
		Loading: h.Report.Loading, LoadedBy: h.Report.LoadedBy, Limit: h.Limit(now), Speed: h.Speed(), Software: h.Software,
	}
	out.InMemory, out.OnDisk = h.AtHand(now)
	for _, m := range h.Holds(now) {
		out.Held = append(out.Held, m.Model)
		out.Active[m.Model] = h.Active(m.Model)
		out.Adapters += core.Bytes(len(m.Adapters)) * s.Models[m.Model].Adapter
	}
	return out
}

// sendGoal sends a move as a goal to the agent of a host.
func (p *planner) sendGoal(ctx context.Context, s *rtable.Service, h fleet.Entry, m copies.Move) {
	ctx, stop := context.WithTimeout(ctx, planTimeout)
	defer stop()
	_, held, _ := p.entry.links.host(h.ID)
	in := &wire.GoalCall{
		Entry: string(p.entry.Settings.Name), Instance: string(h.ID), Load: string(m.Load), Evict: core.Strings(m.Evict),
		Limits: limitsOf(s, held, append(slices.Clone(m.Evict), m.Load)...),
		Takes:  int64(m.By.Sub(p.entry.clock.Now())), Idle: m.Idle,
	}
	reply, err := callAgent(p.entry.links, h, func(to peer.Target, upstream []byte) (*wire.GoalReply, error) {
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
		"waiting", m.Demand.Waiting, "speed", round(m.Speed), "worth", round(m.Worth), "loss", round(m.Loss),
	)
}

// round rounds a number to three decimal places for the log.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }

// reportDemand reports this entry's demand to the planner if requests wait, and takes over its
// forecasts.
func (p *planner) reportDemand(ctx context.Context, control string) {
	at, err := netip.ParseAddrPort(control)
	if err != nil {
		return // no agent follows an entry yet
	}
	demands := p.entry.proxy.Demands()
	waiting := false
	for _, d := range demands {
		waiting = waiting || d.Waiting > 0
	}
	if !waiting {
		return
	}
	ctx, stop := context.WithTimeout(ctx, planTimeout)
	defer stop()
	reply, err := p.entry.client.Plan(ctx, peer.Target{Address: at}, &wire.PlanCall{
		Entry: string(p.entry.Settings.Name), Demands: encodeDemands(demands),
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

// servePlan handles another entry's demand. It returns the forecasts for the models in it.
func (p *planner) servePlan(c *wire.PlanCall) (*wire.PlanReply, error) {
	now := p.entry.clock.Now()
	p.recordDemand(c.GetEntry(), now, c.GetDemands())
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

// encodeDemands returns demands as they are sent to other processes.
func encodeDemands(demands map[core.ModelName]copies.Demand) []*wire.ModelDemand {
	out := make([]*wire.ModelDemand, 0, len(demands))
	for name, d := range demands {
		out = append(out, &wire.ModelDemand{
			Model: string(name), Rate: d.Rate, Hasty: d.Hasty, Work: d.Work, Waiting: uint32(max(0, d.Waiting)), Continuing: core.Strings(d.Continuing),
		})
	}
	return out
}

// decodeDemands is the inverse of encodeDemands.
func decodeDemands(demands []*wire.ModelDemand) map[core.ModelName]copies.Demand {
	out := make(map[core.ModelName]copies.Demand, len(demands))
	for _, d := range demands {
		out[core.ModelName(d.GetModel())] = copies.Demand{
			Rate: d.GetRate(), Hasty: d.GetHasty(), Work: d.GetWork(), Waiting: int(d.GetWaiting()),
			Continuing: core.Names[core.SoftwareVersion](d.GetContinuing()),
		}
	}
	return out
}
