package proxy

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/core/retry"
	"radishwell/io/awake"
	"radishwell/io/events"
)

const (
	// goneTime is how long a host that the registry does not list counts as standing still, and how long any
	// host keeps a gate closed. Nothing tells whether a machine that cannot be reached is gone.
	goneTime = 10 * time.Minute
	// maxGateProbes bounds the probes of one service that one look at its gate starts.
	maxGateProbes = 16
)

// unreadHosts are the hosts of sends that may be unread, also once the registry lists them no more.
type unreadHosts map[fleet.Incarnation]*fleet.Host

// proves reports whether a sign shows that a host has read what it was sent before. A report of its agent goes
// another way than requests: it counts only if the host cannot be asked.
func (p *Proxy) proves(s fleet.Sign) bool {
	return s == fleet.SignEnded || s == fleet.SignAnswered || s == fleet.SignReported && p.Managed == nil
}

// signSince returns how it is known that a send was read. The caller holds mu.
func (p *Proxy) signSince(b *retryBudget, u retry.Unread) fleet.Sign {
	inc := fleet.Incarnation{ID: u.Host, Born: u.Born}
	return p.signOf(b.unread[inc], inc, u.Address, u.Ended)
}

// signOf returns how it is known that an incarnation at an address has run, or has ended, since a time: by the
// registry's hosts, or by h, if it is not nil, which has been asked while the registry does not list it. The
// caller holds mu.
func (p *Proxy) signOf(h *fleet.Host, inc fleet.Incarnation, address netip.AddrPort, at time.Time) fleet.Sign {
	sign := p.view.SignSince(inc, address, at)
	if sign == fleet.NoSign && h != nil {
		return h.SignSince(inc, at)
	}
	return sign
}

// release ends the held retries of a service's budget whose sends have been read. The caller holds mu.
func (p *Proxy) release(s core.ServiceName, b *retryBudget) {
	if b.held.Len() == 0 {
		return
	}
	now := p.Clock.Now()
	signs := map[core.HostName]fleet.Sign{}
	released := b.held.Release(now, &b.window, func(u retry.Unread) bool {
		sign := p.signSince(b, u)
		if p.proves(sign) {
			signs[u.Host] = sign
			return true
		}
		return p.view.Host(u.Host) == nil && now.Sub(u.Ended) >= goneTime
	})
	if b.held.Len() == 0 {
		clear(b.unread)
	}
	if released > 0 {
		events.Log(events.RetriesReleased, "service", s, "released", released, "held", b.held.Len(), "signs", fmt.Sprint(signs))
	}
}

// probeUnread returns probes of the hosts of held retries that run, as far as their agents tell, but have
// not answered since.
func (p *Proxy) probeUnread() (probes []probe) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Managed == nil {
		return nil
	}
	now := p.Clock.Now()
	for s, b := range p.retries {
		p.release(s, b)
		for u := range b.held.All() {
			inc := fleet.Incarnation{ID: u.Host, Born: u.Born}
			h := p.view.Host(u.Host)
			if h == nil {
				h = b.unread[inc]
			}
			if h == nil || p.proves(p.signSince(b, u)) || h.Silent(p.view.ReferenceTime(now)) && !h.Report.Taken.After(u.Ended) {
				continue
			}
			if h.StartProbe(now) {
				probes = append(probes, probe{host: h, incarnation: inc, address: u.Address, avoid: true})
			}
		}
	}
	return probes
}

// probeSuspects returns probes of the hosts that are avoided since they do not respond, while their agents report
// that they run: no request is to find out whether they can be reached again.
func (p *Proxy) probeSuspects() (probes []probe) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for inc, r := range p.suspects {
		switch {
		case p.view.Host(inc.ID) != r.host || r.host.HasEnded() || r.host.Silent(p.view.ReferenceTime(now)):
			delete(p.suspects, inc)
		case r.host.StartProbe(now):
			probes = append(probes, r)
		}
	}
	return probes
}

// haveRun reports whether all hosts of a service are known to have run, or ended, since a time. The caller
// holds mu.
func (p *Proxy) haveRun(s core.ServiceName, since time.Time) bool {
	return len(p.withoutSign(s, since)) == 0 || p.Clock.Now().Sub(since) >= goneTime
}

// withoutSign returns the hosts of a service, and those that a predecessor has sent requests to, that are not known
// to have run, or ended, since a time. The caller holds mu.
func (p *Proxy) withoutSign(s core.ServiceName, since time.Time) []*fleet.Host {
	hosts := p.view.Hosts(s)
	for _, h := range p.inherited {
		if h.Service == s && p.view.Host(h.ID) == nil {
			hosts = append(hosts, h)
		}
	}
	return slices.DeleteFunc(hosts, func(h *fleet.Host) bool {
		return !h.Usable || p.proves(p.signOf(h, h.Incarnation(), h.Address, since))
	})
}

// UnreadHost is a host that may read requests of a service later which have been sent elsewhere.
type UnreadHost struct {
	Service     core.ServiceName
	Incarnation fleet.Incarnation
	Address     netip.AddrPort
}

func (h UnreadHost) compare(o UnreadHost) int {
	return cmp.Or(
		cmp.Compare(h.Service, o.Service), cmp.Compare(h.Incarnation.ID, o.Incarnation.ID), cmp.Compare(h.Incarnation.Born, o.Incarnation.Born),
		h.Address.Compare(o.Address),
	)
}

// Inherit records a host that may read requests of this process's predecessor. It is called before this process
// has a part of the spare retries.
func (p *Proxy) Inherit(h UnreadHost) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inherited = append(p.inherited, &fleet.Host{Entry: fleet.Entry{
		ID: h.Incarnation.ID, Born: h.Incarnation.Born, Service: h.Service, Address: h.Address, Usable: true,
	}})
}

// UnreadHosts returns the hosts that may read requests of this process or its predecessor later, in order.
func (p *Proxy) UnreadHosts() []UnreadHost {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []UnreadHost
	for s, b := range p.retries {
		for u := range b.held.All() {
			if !p.proves(p.signSince(b, u)) {
				out = append(out, UnreadHost{Service: s, Incarnation: fleet.Incarnation{ID: u.Host, Born: u.Born}, Address: u.Address})
			}
		}
	}
	if p.Clock.Now().Sub(p.startedAt) < goneTime {
		for _, h := range p.inherited {
			if !p.proves(p.signOf(h, h.Incarnation(), h.Address, p.startedAt)) {
				out = append(out, UnreadHost{Service: h.Service, Incarnation: h.Incarnation(), Address: h.Address})
			}
		}
	}
	slices.SortFunc(out, UnreadHost.compare)
	return slices.Compact(out)
}

// probeGates returns probes of the hosts that keep the gates of the routing table's services closed.
func (p *Proxy) probeGates() (probes []probe) {
	p.mu.Lock()
	defer p.mu.Unlock()
	table := p.keeper.Table()
	if table == nil {
		return nil
	}
	now := p.Clock.Now()
	for s := range table.Services {
		probes = append(probes, p.probeGate(now, s)...)
	}
	return probes
}

// probeGate starts probes of the hosts that keep the gate of a service's budget closed, and returns them. The
// caller holds mu.
func (p *Proxy) probeGate(now time.Time, s core.ServiceName) (probes []probe) {
	p.updateSpare(now, s)
	since, waits := p.budget(s).gate.Since()
	if !waits || p.Managed == nil || !now.After(since) {
		return nil
	}
	for _, h := range p.withoutSign(s, since) {
		if len(probes) < maxGateProbes && h.StartProbe(now) {
			probes = append(probes, probe{host: h, incarnation: h.Incarnation(), address: h.Address, proves: true})
		}
	}
	return probes
}

// mayOpen reports whether probes may open the gate of a service's budget now. The caller holds mu.
func (p *Proxy) mayOpen(now time.Time, s core.ServiceName, b *retryBudget) bool {
	since, waits := b.gate.Since()
	if !waits || p.Managed == nil {
		return false
	}
	return !slices.ContainsFunc(p.withoutSign(s, since), func(h *fleet.Host) bool { return h.IsUnresponsive(now) })
}

// openGate asks the hosts that keep the gate of a service's budget closed, and waits for a short time while they are
// being asked. The caller holds mu, which is released meanwhile.
func (p *Proxy) openGate(ctx context.Context, s core.ServiceName, b *retryBudget) {
	now := p.Clock.Now()
	if !p.mayOpen(now, s, b) {
		return
	}
	if b.opening == nil {
		b.opening = make(chan struct{})
		// A caller that leaves says nothing of the hosts.
		go p.probeAll(context.WithoutCancel(ctx), b, p.probeGate(now, s))
	}
	ctx, stop := awake.WithTimeout(ctx, reportTimeout)
	defer stop()
	p.await(ctx, b.opening)
	p.updateSpare(p.Clock.Now(), s)
}

// probeAll asks hosts that keep the gate of a budget closed, and closes b.opening once all have been asked.
func (p *Proxy) probeAll(ctx context.Context, b *retryBudget, probes []probe) {
	ended := make(chan struct{}, len(probes))
	for _, r := range probes {
		go func() {
			r.result = p.probe(ctx, r)
			p.endProbe(r)
			ended <- struct{}{}
		}()
	}
	for range probes {
		<-ended
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	close(b.opening)
	b.opening = nil
}
