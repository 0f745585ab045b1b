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

// members guards a member.Table, the health of the hosts as this process sees it, and
// logs changes.
type members struct {
	clock core.Clock

	mu    sync.Mutex
	table member.Table
	// logged is the state of each host that was logged last.
	logged map[core.HostName]member.State
}

func newMembers(clock core.Clock, rng *rand.Rand) *members {
	return &members{clock: clock, table: member.Table{Rand: rng}, logged: map[core.HostName]member.State{}}
}

// setListed records a host's state in the platform's list; gone is set if the host is
// no longer listed.
func (m *members) setListed(name core.HostName, state core.HostState, gone bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if gone {
		m.table.SetUnlisted(name)
		return
	}
	m.table.SetListed(name, state)
}

// recordContact records the result of a contact with a host.
func (m *members) recordContact(c member.Contact) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.RecordContact(m.clock.Now(), c)
	m.logChange(c.Host)
}

// logChange logs a change of a host's state. The caller holds mu.
func (m *members) logChange(name core.HostName) {
	v := m.table.Judge(m.clock.Now(), name)
	was := m.logged[name]
	if v.State == was {
		return
	}
	m.logged[name] = v.State
	switch v.State {
	case member.Suspect:
		events.Log(events.HostSuspected, "host", name, "reason", v.Reason)
	case member.Leaving:
		events.Log(events.HostLeaving, "host", name, "reason", v.Reason)
	case member.Live:
		events.Log(events.HostBack, "host", name)
	}
}

// markStarted is the kind of the mark of a process that has just started. Without it,
// a host that had marked itself as leaving would count as leaving until its next probe.
const markStarted = "started"

// applyMarks applies marks of leaving and started hosts from peers.
func (m *members) applyMarks(list []peer.Mark) {
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
		m.logChange(one.Host)
	}
}

// withHealth returns the hosts with their health as membership sees it.
func (m *members) withHealth(list []entry.Host) []entry.Host {
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

func (m *members) dueProbes() []core.HostName {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.DueProbes(m.clock.Now())
}

const (
	// probeCheckInterval is the time between two checks for hosts to probe.
	probeCheckInterval = 250 * time.Millisecond
	// memberProbeTimeout bounds the probe of a suspect.
	memberProbeTimeout = 500 * time.Millisecond
)

// probeSuspects probes suspects until ctx ends, so that they get requests again
// without one being risked on them.
func (n *Node) probeSuspects(ctx context.Context) error {
	tick := time.NewTicker(probeCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		due := n.members.dueProbes()
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
	h, ok := n.fleet.host(name)
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(ctx, memberProbeTimeout)
	defer stop()
	asked := n.clock.Now()
	load, err := n.client.Probe(ctx, peer.Target{Host: name, Address: h.spec.Control}, &wire.ProbeCall{})
	n.members.recordContact(member.Contact{
		Host: name, OK: err == nil, Since: asked, Incarnation: core.Incarnation(load.GetIncarnation()), Leaving: load.GetLeaving(),
	})
}
