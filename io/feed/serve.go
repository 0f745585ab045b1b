package feed

import (
	"net/netip"
	"time"

	"radishwell/core"
	"radishwell/core/demand"
	"radishwell/core/digest"
	"radishwell/io/peer"
	"radishwell/wire"
)

const (
	// minUrgentGap is the least time between two replies to one poller that hold more
	// than figures.
	minUrgentGap = 60 * time.Millisecond
	// minFiguresGap and maxFiguresGap bound the time between two replies that hold
	// figures only, and gapPerHost is what each host adds to it: each reply names most of
	// the hosts, and with a fixed gap an entry would spend its time on decoding them.
	minFiguresGap = 100 * time.Millisecond
	maxFiguresGap = 400 * time.Millisecond
	gapPerHost    = 700 * time.Microsecond
	// maxWait bounds how long a reply is held back.
	maxWait = 2 * time.Second
)

// poller is an entry that polls this one. Feed.mu guards its fields.
type poller struct {
	relay bool
	// lastReply is when the entry's last call was replied to.
	lastReply time.Time
}

// Serve serves another entry's poll. It returns once there is news for the entry, or
// after the wait in the call, up to maxWait. It is the handler of Digest.
func (f *Feed) Serve(c *wire.DigestCall) (*wire.DigestReply, error) {
	f.recordCall(c)
	f.awaitNews(c)
	return f.buildReply(c), nil
}

// recordCall records what another entry reports in its call.
func (f *Feed) recordCall(c *wire.DigestCall) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, name := f.Clock.Now(), core.HostName(c.GetEntry())
	p := f.pollers[name]
	if p == nil {
		p = &poller{}
		f.pollers[name] = p
	}
	p.relay = c.GetRelay()
	if p.relay {
		f.chooser.NoteResponse(now, name)
	} else {
		f.chooser.NotePolled(now)
	}
	if !p.relay && !f.choice.Relay() {
		f.wakeChoose() // an entry that is polled becomes a relay
	}
	f.Proxy.Wants().Add(c.GetWanted())
	f.recordDemand(now, name, c)
	f.recordUses(now, name, c)
}

// recordDemand records the demand of another entry's callers. The caller holds mu.
func (f *Feed) recordDemand(now time.Time, name core.HostName, c *wire.DigestCall) {
	arrivals := decodeArrivals(c.GetArrivals())
	if c.GetRelay() {
		f.demand.Add(now, arrivals) // not forwarded: a relay sends its arrivals to all relays itself
	} else {
		f.addArrivals(now, arrivals)
	}
	if f.demand.SetWaiting(now, name, decodeWaits(c.GetWaiting())) {
		f.Proxy.Kick()
	}
}

// recordUses records another entry's use of hosts. The caller holds mu.
func (f *Feed) recordUses(now time.Time, name core.HostName, c *wire.DigestCall) {
	u := use{taken: now, fromRelay: c.GetRelay(), active: map[netip.AddrPort]map[core.ModelName]int{}}
	for _, h := range c.GetUses() {
		address, ok := decodeAddress(h.GetAddress())
		if !ok {
			continue
		}
		u.active[address] = decodeCounts(h.GetActive())
		f.recordUsed(address, h.GetUsed(), c.GetRelay())
	}
	f.uses[name] = u
}

// awaitNews waits until there is news for a poller and its last reply is long enough ago,
// or the call's wait is over.
func (f *Feed) awaitNews(c *wire.DigestCall) {
	end := f.Clock.Now().Add(min(time.Duration(c.GetWait()), maxWait))
	for {
		due, next, wake := f.replyDue(c, end)
		if due {
			return
		}
		timer := time.NewTimer(next.Sub(f.Clock.Now()))
		select {
		case <-timer.C:
		case <-wake:
			timer.Stop()
		}
	}
}

// replyDue reports whether a poller is to be replied to now, because there is news or the
// call's wait is over. Otherwise it returns when to check again and a channel that is
// closed if there is reason to check sooner.
func (f *Feed) replyDue(c *wire.DigestCall, end time.Time) (due bool, next time.Time, wake chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.Clock.Now()
	seen := f.seenBy(c)
	last := f.pollers[core.HostName(c.GetEntry())].lastReply
	urgentAt, figuresAt := last.Add(minUrgentGap), last.Add(f.figuresGap())
	urgent := f.table.LastUrgent() > seen || len(c.GetWaiting()) > 0 && f.readyChange != c.GetSeenReady()
	switch {
	case !at.Before(end):
		return true, at, nil
	case at.Before(urgentAt):
		return false, core.Earlier(urgentAt, end), nil
	case urgent:
		return true, at, nil
	case at.Before(figuresAt):
		return false, core.Earlier(figuresAt, end), f.urgent
	case f.table.LastChange() > seen:
		return true, at, nil
	}
	return false, end, f.changed
}

// figuresGap returns the least time between two replies that hold figures only. The
// caller holds mu.
func (f *Feed) figuresGap() time.Duration {
	return min(maxFiguresGap, max(minFiguresGap, time.Duration(f.table.Len())*gapPerHost))
}

// seenBy returns the change number of the last reply that a poller has from this
// incarnation of the process; zero if it has none. The caller holds mu.
func (f *Feed) seenBy(c *wire.DigestCall) uint64 {
	if c.GetEpoch() != f.epoch {
		return 0
	}
	return c.GetSeen()
}

func (f *Feed) buildReply(c *wire.DigestCall) *wire.DigestReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	f.pollers[core.HostName(c.GetEntry())].lastReply = now
	at, stale := f.table.Freshness(now, c.GetRelay())
	out := &wire.DigestReply{
		Epoch: f.epoch, Change: f.table.LastChange(), ReadyChange: f.readyChange,
		Age: age(now, at), Planner: string(f.planner.Name),
	}
	for _, s := range stale {
		out.Stale = append(out.Stale, &wire.StaleHost{Address: encodeAddress(s.Address), Age: age(now, s.Taken)})
	}
	f.addCached(c, out)
	for _, u := range f.table.Since(f.seenBy(c), c.GetRelay()) {
		out.Hosts = append(out.Hosts, encodeState(now, u, c.GetRelay()))
	}
	for _, w := range c.GetWaiting() {
		if by, ok := f.ready[core.ModelName(w.GetModel())]; ok {
			out.Ready = append(out.Ready, &wire.ModelReady{Model: w.GetModel(), Left: int64(by.Sub(now))})
		}
	}
	return out
}

func encodeState(now time.Time, u digest.Update, relay bool) *wire.HostState {
	r := u.Report
	out := &wire.HostState{
		Address: encodeAddress(u.Address), Age: age(now, r.Taken),
		Waiting: uint32(r.Waiting), Running: uint32(r.Running), Reading: int64(r.Reading), Asking: uint32(r.Asking), Free: peer.EncodeFree(r.Free),
	}
	if relay {
		for _, m := range r.Models {
			out.Active = append(out.Active, uint32(r.Active[m.Model]))
		}
	}
	if u.Whole {
		out.Report, out.Planner = encodeReport(now, &u.Host, relay), string(u.Planner)
	}
	return out
}

func decodeArrivals(list []*wire.ModelArrivals) map[core.ModelName]demand.Arrivals {
	out := make(map[core.ModelName]demand.Arrivals, len(list))
	for _, a := range list {
		out[core.ModelName(a.GetModel())] = demand.Arrivals{Count: int(a.GetCount()), Hasty: int(a.GetHasty()), Work: float64(a.GetWork())}
	}
	return out
}

func encodeArrivals(arrivals map[core.ModelName]demand.Arrivals) []*wire.ModelArrivals {
	out := make([]*wire.ModelArrivals, 0, len(arrivals))
	for name, a := range arrivals {
		out = append(out, &wire.ModelArrivals{Model: string(name), Count: uint32(a.Count), Hasty: uint32(a.Hasty), Work: float32(a.Work)})
	}
	return out
}

// addCached adds to a reply what has changed of what the upstreams keep, to another relay only of those
// that this one follows itself. The caller holds mu.
func (f *Feed) addCached(c *wire.DigestCall, out *wire.DigestReply) {
	seen := c.GetSeenCached()
	if c.GetEpoch() != f.epoch {
		seen = 0
	}
	last, updates := f.Cached.Since(seen)
	if last == seen {
		return
	}
	out.CachedChange = last
	for _, u := range updates {
		if !c.GetRelay() || f.choice.Follows(f.engines[u.Address]) {
			k := peer.EncodeCached(u)
			k.Address = encodeAddress(u.Address)
			out.Cached = append(out.Cached, k)
		}
	}
}
