package deploy

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/demand"
	"radishwell/core/fleet"
	"radishwell/io/events"
	"radishwell/io/feed"
	"radishwell/io/loop"
	"radishwell/io/peer"
	"radishwell/wire"
)

// link is the exchange with the agent of one upstream.
type link struct {
	address netip.AddrPort
	stop    context.CancelFunc

	mu sync.Mutex
	// planner is the entry that the agent follows, whose goals it accepts, and lastReport the
	// time of the agent's last report.
	planner, plannerControl string
	lastReport              time.Time
	// others are the demands of other entries that the agent forwarded, and othersReceived when
	// they arrived.
	others         []*wire.EntryDemand
	othersReceived time.Time
	// used are the adapters used since the last call, as MODEL/NAME.
	used map[string]bool
	// entriesVersion is the version of the agent's list of entries that this entry has, and
	// entriesExpire when it next requests the whole list.
	entriesVersion uint64
	entriesExpire  time.Time
	// cachedSeen is the number of the last change of what the upstream keeps that this entry has
	// from the agent, in the agent's life cachedEpoch.
	cachedSeen, cachedEpoch uint64
	// wantsSeen is the number of the last wanted part that the agent has been told in that life.
	wantsSeen uint64
	// incarnation is the upstream's incarnation that was last sent to the agent.
	incarnation fleet.Incarnation
	centre      core.DataCentre
	// agentResponded is set once an agent has responded. tryAgent is set if the next call goes
	// to the agent even though an entry orders the engines without one.
	agentResponded, tryAgent bool
}

// isNewIncarnation reports whether an incarnation differs from the one last sent to the
// agent. The agent must then be notified without waiting for the call in progress, whose
// reply it may delay for half a second: until it knows the incarnation, it sends no orders.
func (k *link) isNewIncarnation(inc fleet.Incarnation) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return inc.ID != "" && inc != k.incarnation
}

// notify sends the current state, such as the upstream's incarnation and the planner, to an
// agent without waiting for the next poll.
func (l *links) notify(ctx context.Context, k *link) {
	reply, err := l.call(ctx, k, 0, 0)
	if err != nil {
		// The next poll sends it instead.
		events.Fail(events.PeerUnreachable, err, "address", k.address)
		return
	}
	l.applyReply(k, reply)
}

// recordResult records whether a call succeeded, and whether it went to the agent. After a
// failure the next call goes to the other one of the agent and the entry that orders the
// engine in its place.
func (k *link) recordResult(toAgent, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.agentResponded = k.agentResponded || ok && toAgent
	if !ok {
		k.tryAgent = !k.tryAgent
	}
}

// poll calls one agent repeatedly until the context ends.
func (l *links) poll(ctx context.Context, k *link) {
	seen := uint64(0)
	for ctx.Err() == nil {
		reply, err := l.call(ctx, k, seen, reportWait)
		if err != nil {
			seen = 0
			events.Fail(events.PeerUnreachable, err, "address", k.address)
			loop.Sleep(ctx, reportRetryPause)
			continue
		}
		seen = reply.GetChange()
		l.applyReply(k, reply)
	}
}

// call calls an agent once, to get its report. The agent may delay its reply for wait while
// nothing changes after the change number seen.
func (l *links) call(ctx context.Context, k *link, seen uint64, wait time.Duration) (*wire.UpstreamReply, error) {
	ctx, stop := context.WithTimeout(ctx, reportTimeout)
	defer stop()
	in := &wire.UpstreamCall{
		Entry: string(l.entry.Settings.Name), Control: l.entry.Settings.Listen.Control.String(),
		Seen: seen, Wait: int64(wait), StoreEra: l.entry.storeEra(),
	}
	direct := l.entry.feed.Direct()
	if direct {
		in.Others, in.TellsDemands = l.entry.planner.leads(), l.carriesDemand(k)
		if in.TellsDemands {
			in.Demands = encodeDemands(l.entry.proxy.Demands())
		}
	} else {
		l.addRelayed(k, in)
	}
	// The incarnation is zero if the registry lists no upstream at the address.
	var inc fleet.Incarnation
	l.entry.proxy.Update(func(v *fleet.View, _ time.Time) {
		inc = v.Newest(k.address)
		if h := v.Host(inc.ID); h != nil && direct {
			in.Active = feed.EncodeCounts(h.OwnActive())
		}
	})
	in.Instance, in.Born = string(inc.ID), inc.Born
	k.mu.Lock()
	k.incarnation = inc
	for name := range k.used {
		in.Used = append(in.Used, name)
	}
	clear(k.used)
	in.SeenEntries = k.entriesVersion
	in.SeenCached, in.CachedEpoch = k.cachedSeen, k.cachedEpoch
	wants, wanted := l.entry.proxy.Wants().Since(k.wantsSeen)
	in.Wanted = wanted
	if now := l.entry.clock.Now(); now.After(k.entriesExpire) {
		// Names of entries expire after maxNamedAge unless the agent sends them again.
		k.entriesExpire = now.Add(maxNamedAge / 3)
		in.SeenEntries = 0
	}
	k.mu.Unlock()
	to, upstream := l.target(k.address, k.centre)
	in.Upstream = upstream
	reply, err := l.entry.client.Upstream(ctx, to, in)
	k.recordResult(upstream == nil, err == nil)
	if err == nil {
		k.noteWantsTold(wants, reply.GetCachedEpoch())
	}
	return reply, err
}

// carriesDemand reports whether the agent is one of those that carry this entry's demand to the
// planner.
func (l *links) carriesDemand(k *link) bool {
	var agents []demand.Agent
	for _, other := range l.active(l.entry.clock.Now()) {
		agents = append(agents, demand.Agent{Address: other.address, DataCentre: other.centre})
	}
	return len(agents) == 0 || demand.Carriers(agents, l.entry.Settings.DataCentre)[k.address]
}

// addRelayed adds to a relay's call what the other entries do not send to the agent
// themselves: the planner, and all entries' use of the upstream.
func (l *links) addRelayed(k *link, in *wire.UpstreamCall) {
	planner := l.entry.feed.CurrentPlanner()
	in.Planner, in.PlannerControl = string(planner.Name), planner.Control.String()
	in.Active = feed.EncodeCounts(l.entry.feed.Active(k.address))
	in.Used = l.entry.feed.TakeUsedAdapters(k.address)
}

// applyReply applies an agent's reply.
func (l *links) applyReply(k *link, reply *wire.UpstreamReply) {
	now := l.entry.clock.Now()
	k.mu.Lock()
	k.planner, k.plannerControl, k.lastReport = reply.GetPlanner(), reply.GetPlannerControl(), now
	k.entriesVersion = reply.GetEntriesVersion()
	if len(reply.GetOthers()) > 0 {
		k.others, k.othersReceived = reply.GetOthers(), now
	}
	k.mu.Unlock()
	l.applyCached(k, reply)
	for _, e := range reply.GetEntries() {
		if at, err := netip.ParseAddrPort(e.GetControl()); err == nil && e.GetName() != string(l.entry.Settings.Name) {
			l.entry.members.addNamed(core.HostName(e.GetName()), at)
		}
	}
	h := feed.DecodeHost(k.address, reply.GetReport(), now)
	h.Planner = core.HostName(reply.GetPlanner())
	l.entry.proxy.Update(func(v *fleet.View, _ time.Time) { feed.Apply(v, &h) })
	l.entry.feed.Put(h)
}

// noteWantsTold records that the agent has been told which parts are wanted, up to a number. Another
// life of the agent has not been told those before.
func (k *link) noteWantsTold(wants, epoch uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if epoch != 0 && epoch != k.cachedEpoch {
		k.wantsSeen = 0
		return
	}
	k.wantsSeen = max(k.wantsSeen, wants)
}

// applyCached applies what has changed of what the upstream keeps. If changes are missing, the next
// reply brings all. Replies of two calls that overlap may come in either order: applying a change
// twice does nothing, and one that is older than what is known is caught up with the next whole one.
func (l *links) applyCached(k *link, reply *wire.UpstreamReply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case reply.GetCachedEpoch() == 0:
		return // nothing has changed
	case reply.GetCachedEpoch() == k.cachedEpoch && reply.GetCachedChange() < k.cachedSeen:
		return
	}
	k.cachedSeen, k.cachedEpoch = reply.GetCachedChange(), reply.GetCachedEpoch()
	if reply.GetCached() != nil && !l.entry.cached.Apply(peer.DecodeCached(k.address, reply.GetCached())) {
		k.cachedSeen = 0
	}
}
