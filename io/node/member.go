package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/member"
	"radishwell/core/route"
	"radishwell/io/entry"
	"radishwell/io/events"
	"radishwell/io/peer"
	"radishwell/wire"
)

// members is core/member with the calls round it.
type members struct {
	clock core.Clock

	mu    sync.Mutex
	table member.Table
	// told is the state of each host that was logged last.
	told map[core.HostName]member.State
}

func newMembers(clock core.Clock, rng *rand.Rand) *members {
	return &members{clock: clock, table: member.Table{Rand: rng}, told: map[core.HostName]member.State{}}
}

// seen takes a host from the platform's list.
func (m *members) seen(name core.HostName, state core.HostState, gone bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if gone {
		m.table.SetUnlisted(name)
		return
	}
	m.table.SetListed(name, state)
}

// note takes a contact with a host.
func (m *members) note(c member.Contact) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.RecordContact(m.clock.Now(), c)
	m.tell(c.Host)
}

// tell logs a change of a host's state. The lock is held.
func (m *members) tell(name core.HostName) {
	v := m.table.Judge(m.clock.Now(), name)
	was := m.told[name]
	if v.State == was {
		return
	}
	m.told[name] = v.State
	switch v.State {
	case member.Suspect:
		events.Log(events.HostSuspected, "host", name, "reason", v.Reason)
	case member.Leaving:
		events.Log(events.HostLeaving, "host", name, "reason", v.Reason)
	case member.Live:
		events.Log(events.HostBack, "host", name)
	}
}

// markStarted is the mark of a process that has just started. Without it a host
// that said it was leaving is known to be back only when it is probed next.
const markStarted = "started"

// marked takes marks of leaving and started hosts from peers.
func (m *members) marked(list []peer.Mark) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for _, one := range list {
		switch one.Kind {
		case peer.MarkLeaving:
			m.table.MarkLeaving(now, one.Host, one.Incarnation, one.Expires)
		case markStarted:
			m.table.RecordContact(now, member.Contact{Host: one.Host, OK: true, Incarnation: one.Incarnation})
		}
		m.tell(one.Host)
	}
}

// judge puts membership's word on a list of hosts.
func (m *members) judge(list []entry.Host) []entry.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	out := make([]entry.Host, 0, len(list))
	for _, h := range list {
		h.Health = healthOf(m.table.Judge(now, h.Name).State)
		out = append(out, h)
	}
	return out
}

func healthOf(s member.State) route.Health {
	switch s {
	case member.Live:
		return route.Live
	case member.Suspect:
		return route.Suspect
	default:
		return route.Leaving
	}
}

func (m *members) due() []core.HostName {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.DueProbes(m.clock.Now())
}

const (
	// dueTime is how often hosts to be probed are looked for.
	dueTime = 250 * time.Millisecond
	// memberProbe bounds a probe of a suspect.
	memberProbe = 500 * time.Millisecond
)

// probeSuspects asks suspects for a sign of life, so that they get work again
// without a request being risked on them.
func (n *Node) probeSuspects(ctx context.Context) error {
	tick := time.NewTicker(dueTime)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		due := n.members.due()
		ended := make(chan struct{}, len(due))
		for _, name := range due {
			go func() { n.probeSuspect(ctx, name); ended <- struct{}{} }()
		}
		for range due {
			<-ended
		}
	}
}

func (n *Node) probeSuspect(ctx context.Context, name core.HostName) {
	h, ok := n.world.host(name)
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(ctx, memberProbe)
	defer stop()
	asked := n.clock.Now()
	load, err := n.client.Probe(ctx, peer.Target{Host: name, Address: h.spec.Control}, &wire.ProbeCall{})
	n.members.note(member.Contact{
		Host: name, OK: err == nil, Since: asked, Incarnation: core.Incarnation(load.GetIncarnation()), Leaving: load.GetLeaving(),
	})
}
