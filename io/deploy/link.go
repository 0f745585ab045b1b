package deploy

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/io/events"
	"radishwell/io/feed"
	"radishwell/io/loop"
	"radishwell/wire"
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
			in.Active = feed.EncodeCounts(h.OwnActive())
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
	planner := l.entry.feed.CurrentPlanner()
	in.Planner, in.PlannerControl = string(planner.Name), planner.Control.String()
	in.Active = feed.EncodeCounts(l.entry.feed.Active(k.address))
	in.Used = l.entry.feed.TakeUsedAdapters(k.address)
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
	h := feed.DecodeHost(k.address, reply.GetReport(), now)
	h.Planner = core.HostName(reply.GetPlanner())
	l.entry.proxy.Update(func(v *fleet.View, _ time.Time) { feed.Apply(v, &h) })
	l.entry.feed.Put(h)
}
