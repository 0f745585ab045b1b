package entry

import (
	"context"
	"slices"
	"time"

	"radishwell/core"
	"radishwell/core/route"
	"radishwell/core/strike"
	"radishwell/io/relay"
	"radishwell/wire"
)

// hostState is what an entry knows of one host's load.
type hostState struct {
	load        *wire.HostLoad
	incarnation core.Incarnation
	// inFlight counts this entry's requests at the host, sent those that were sent since
	// the last report of its load.
	inFlight int
	sent     int
	// probing is set during a probe in the background.
	probing bool
	// tiers holds the storage tier in which the host last had each checkpoint.
	tiers map[core.ModelName]core.Tier
}

// defaultCosts are the costs of a cold start by tier until one is measured. They serve
// only to order the tiers.
var defaultCosts = [3]time.Duration{500 * time.Millisecond, 2 * time.Second, 8 * time.Second}

const (
	// costWeight is the divisor of a new measurement: each measured cold start moves
	// the known cost by 1/costWeight of the difference.
	costWeight = 4
	// probeTimeout bounds a probe; a later response would be outdated.
	probeTimeout = 300 * time.Millisecond
)

func (e *Entry) host(name core.HostName) *hostState {
	h := e.hosts[name]
	if h == nil {
		h = &hostState{}
		e.hosts[name] = h
	}
	return h
}

// plan asks the router where a request should go. It probes hosts whose load is
// outdated. If the router prefers to wait for their responses, since a load would
// otherwise be started in vain, plan asks it again with them.
func (e *Entry) plan(ctx context.Context, r core.Request, tried []core.HostName) ([]route.Choice, map[core.HostName]Host) {
	hosts := e.Hosts(r.Target)
	byName := make(map[core.HostName]Host, len(hosts))
	for _, h := range hosts {
		byName[h.Name] = h
	}
	var asked []core.HostName
	unresponsive := map[core.HostName]bool{}
	for {
		plan := e.planOnce(r, hosts, tried, asked, unresponsive)
		if !plan.Wait || len(plan.Probe) == 0 || ctx.Err() != nil {
			for _, name := range plan.Probe {
				e.probeLater(byName[name], r.Target)
			}
			return plan.Hosts, byName
		}
		for name, ok := range e.probeAll(ctx, byName, plan.Probe, r.Target) {
			unresponsive[name] = !ok
		}
		asked = append(asked, plan.Probe...)
	}
}

func (e *Entry) planOnce(r core.Request, hosts []Host, tried, asked []core.HostName, unresponsive map[core.HostName]bool) route.Plan {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	q := route.Query{Request: r, DataCentre: e.DataCentre, Tried: tried, Probed: asked, Costs: e.costsOf(r.Target)}
	if entry, ok := e.Snapshot().Entry(r.Target); ok {
		q.Need = entry.Memory
	}
	for _, h := range e.allowed(now, r, hosts, tried) {
		c := e.candidate(r.Target, h)
		if unresponsive[h.Name] && c.Health == route.Live {
			c.Health = route.Suspect
		}
		q.Candidates = append(q.Candidates, c)
	}
	return e.router.Plan(now, q)
}

// probeAll probes hosts and reports which of them responded.
func (e *Entry) probeAll(ctx context.Context, byName map[core.HostName]Host, names []core.HostName, t core.Target) map[core.HostName]bool {
	type outcome struct {
		name core.HostName
		ok   bool
	}
	ended := make(chan outcome, len(names))
	for _, name := range names {
		go func() { ended <- outcome{name, e.probe(ctx, byName[name], t)} }()
	}
	out := make(map[core.HostName]bool, len(names))
	for range names {
		o := <-ended
		out[o.name] = o.ok
	}
	return out
}

// probe asks one host for its load and reports whether it responded.
func (e *Entry) probe(ctx context.Context, h Host, t core.Target) bool {
	ctx, stop := context.WithTimeout(ctx, probeTimeout)
	defer stop()
	load, err := e.Probe(ctx, h, namesOf(t))
	if err != nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordLoad(h.Name, load)
	return true
}

// allowed returns the hosts that the request may go to, given the strikes against it. A
// suspect request goes to the host of its trial, which is the same for all entries.
// Identical requests of which none has ended well yet stay on one host: if they crash
// engines, they crash one instead of one each.
func (e *Entry) allowed(now time.Time, r core.Request, hosts []Host, tried []core.HostName) []Host {
	only := e.copies.RequiredHost(r.Fingerprint)
	if !e.book.TrialTime(now, r.Fingerprint).IsZero() {
		names := make([]core.HostName, 0, len(hosts))
		for _, h := range hosts {
			if h.Health == route.Live {
				names = append(names, h.Name)
			}
		}
		only = strike.TrialHost(r.Fingerprint, names)
	}
	i := slices.IndexFunc(hosts, func(h Host) bool { return h.Name == only })
	if i < 0 || slices.Contains(tried, only) {
		return hosts
	}
	return hosts[i : i+1]
}

func (e *Entry) candidate(t core.Target, h Host) route.Candidate {
	s := e.host(h.Name)
	return route.Candidate{
		Host: h.Name, DataCentre: h.DataCentre, Health: h.Health,
		Load: s.loadOf(t), InFlight: s.inFlight, Sent: s.sent,
	}
}

// loadOf returns the host's load for the router. A report lists all that the host
// holds; an item that it does not list is absent.
func (s *hostState) loadOf(t core.Target) route.Load {
	out := route.Load{Item: route.Item{Tier: s.tier(t.Model)}, Base: route.Item{Tier: s.tier(t.Base)}}
	l := s.load
	if l == nil {
		return out
	}
	out.At = relay.Time(l.GetAt())
	out.Running, out.Queued, out.Free = int(l.GetRunning()), int(l.GetQueued()), core.Bytes(l.GetFreeBytes())
	for _, i := range l.GetItems() {
		item := route.Item{
			State: core.ItemState(i.GetState()), Running: int(i.GetRunning()), Queued: int(i.GetQueued()),
			Tier: core.Tier(i.GetTier()), Ready: relay.Time(i.GetReady()),
		}
		switch core.ModelName(i.GetName()) {
		case t.Model:
			out.Item = item
		case t.Base:
			out.Base = item
		}
	}
	return out
}

func (s *hostState) tier(name core.ModelName) core.Tier {
	if tier, ok := s.tiers[name]; ok {
		return tier
	}
	return core.TierStore
}

func (e *Entry) costsOf(t core.Target) route.Costs {
	return route.Costs{Item: e.costOf(t.Model), Base: e.costOf(t.Base)}
}

func (e *Entry) costOf(name core.ModelName) [3]time.Duration {
	if c := e.costs[name]; c != nil {
		return *c
	}
	return defaultCosts
}

// probeLater probes a host in the background.
func (e *Entry) probeLater(h Host, t core.Target) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.host(h.Name)
	if s.probing {
		return
	}
	s.probing = true
	e.calls.Add(1)
	go func() {
		defer e.calls.Done()
		e.probe(context.Background(), h, t)
		e.mu.Lock()
		defer e.mu.Unlock()
		s.probing = false
	}()
}

// Forget drops what is known of a host that the platform no longer lists.
func (e *Entry) Forget(service core.ServiceName, name core.HostName) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.router.Forget(service, name)
	delete(e.hosts, name)
}

func namesOf(t core.Target) []core.ModelName {
	names := []core.ModelName{t.Model}
	if t.Base != "" {
		names = append(names, t.Base)
	}
	return names
}

// recordLoad records a host's load from an answer or a probe, unless it is older than
// the one known. The lock is held.
func (e *Entry) recordLoad(name core.HostName, l *wire.HostLoad) {
	if l == nil {
		return
	}
	s := e.host(name)
	if s.load != nil && s.load.GetAt() >= l.GetAt() && s.load.GetIncarnation() == l.GetIncarnation() {
		return
	}
	s.load = l
	s.incarnation = core.Incarnation(l.GetIncarnation())
	s.sent = 0
	for _, i := range l.GetItems() {
		if s.tiers == nil {
			s.tiers = map[core.ModelName]core.Tier{}
		}
		s.tiers[core.ModelName(i.GetName())] = core.Tier(i.GetTier())
	}
}

// recordColdStart records the duration of a cold start: the time from the sending of a
// request that waited for a load to the end of the request.
func (e *Entry) recordColdStart(t core.Target, tier core.Tier, took time.Duration) {
	c := e.costs[t.Model]
	if c == nil {
		initial := defaultCosts
		c = &initial
		e.costs[t.Model] = c
	}
	i := min(int(tier), len(c)-1)
	c[i] += (took - c[i]) / costWeight
}
