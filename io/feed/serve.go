package feed

import (
	"net/netip"
	"time"

	"radishwell/core"
	"radishwell/core/demand"
	"radishwell/core/digest"
	"radishwell/wire"
)

const (
	// urgentGap is the least time between two answers to one asker that bring more than
	// figures.
	urgentGap = 60 * time.Millisecond
	// leastGap and mostGap bound the time between two answers that bring figures, and
	// hostGap is what each host adds: each answer names most of the hosts, and with a
	// fixed gap an entry would spend its time on reading them.
	leastGap = 100 * time.Millisecond
	mostGap  = 400 * time.Millisecond
	hostGap  = 700 * time.Microsecond
	// mostWait bounds how long an answer is held back.
	mostWait = 2 * time.Second
)

// asker is an entry that asks this one. Its fields are guarded by the feed's mu.
type asker struct {
	relay bool
	// answered is when it last had an answer.
	answered time.Time
}

// Serve answers another entry's question once there is news for it.
func (f *Feed) Serve(c *wire.DigestCall) (*wire.DigestReply, error) {
	f.note(c)
	f.await(c)
	return f.answer(c), nil
}

// note takes in what another entry says.
func (f *Feed) note(c *wire.DigestCall) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, name := f.Clock.Now(), core.HostName(c.GetEntry())
	a := f.askers[name]
	if a == nil {
		a = &asker{}
		f.askers[name] = a
	}
	a.relay = c.GetRelay()
	if a.relay {
		f.chooser.NoteResponse(now, name)
	} else {
		f.chooser.NotePolled(now)
	}
	if !a.relay && !f.choice.Relay() {
		f.pokeChoose() // being asked makes this entry a relay
	}
	f.noteDemand(now, name, c)
	f.noteUses(now, name, c)
}

// noteDemand takes in what another entry's callers ask for. The caller holds mu.
func (f *Feed) noteDemand(now time.Time, name core.HostName, c *wire.DigestCall) {
	arrivals := arrivalsIn(c.GetArrivals())
	if c.GetRelay() {
		f.demand.Add(now, arrivals) // relays tell all relays themselves
	} else {
		f.addArrivals(now, arrivals)
	}
	if f.demand.SetWaiting(now, name, countsIn(c.GetWaiting())) {
		f.Proxy.Kick()
	}
}

// noteUses takes in another entry's use of hosts. The caller holds mu.
func (f *Feed) noteUses(now time.Time, name core.HostName, c *wire.DigestCall) {
	u := use{at: now, relayed: c.GetRelay(), active: map[netip.AddrPort]map[core.ModelName]int{}}
	for _, h := range c.GetUses() {
		address, ok := addressIn(h.GetAddress())
		if !ok {
			continue
		}
		u.active[address] = countsIn(h.GetActive())
		f.noteUsed(address, h.GetUsed(), c.GetRelay())
	}
	f.uses[name] = u
}

// await waits until there is news for an asker, its last answer is long enough ago, or
// its time is over.
func (f *Feed) await(c *wire.DigestCall) {
	end := f.Clock.Now().Add(min(time.Duration(c.GetWait()), mostWait))
	for {
		news, next, wake := f.news(c, end)
		if news {
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

// news tells whether an asker is to be answered now, and otherwise when to look again
// and what wakes before that.
func (f *Feed) news(c *wire.DigestCall, end time.Time) (now bool, next time.Time, wake chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.Clock.Now()
	seen := f.seenBy(c)
	last := f.askers[core.HostName(c.GetEntry())].answered
	early, late := last.Add(urgentGap), last.Add(f.gap())
	urgent := f.table.LastUrgent() > seen || len(c.GetWaiting()) > 0 && f.readyChange != c.GetSeenReady()
	switch {
	case !at.Before(end):
		return true, at, nil
	case at.Before(early):
		return false, earlier(early, end), nil
	case urgent:
		return true, at, nil
	case at.Before(late):
		return false, earlier(late, end), f.urgent
	case f.table.LastChange() > seen:
		return true, at, nil
	}
	return false, end, f.changed
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// gap returns the least time between two answers that bring figures. The caller holds
// mu.
func (f *Feed) gap() time.Duration {
	return min(mostGap, max(leastGap, time.Duration(f.table.Len())*hostGap))
}

// seenBy returns the change number of an asker's last answer by this process. The
// caller holds mu.
func (f *Feed) seenBy(c *wire.DigestCall) uint64 {
	if c.GetEpoch() != f.epoch {
		return 0
	}
	return c.GetSeen()
}

func (f *Feed) answer(c *wire.DigestCall) *wire.DigestReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	f.askers[core.HostName(c.GetEntry())].answered = now
	at, stale := f.table.Freshness(now, c.GetRelay())
	out := &wire.DigestReply{
		Epoch: f.epoch, Change: f.table.LastChange(), ReadyChange: f.readyChange,
		Age: age(now, at), Planner: string(f.planner.Name),
	}
	for _, s := range stale {
		out.Stale = append(out.Stale, &wire.StaleHost{Address: addressOut(s.Address), Age: age(now, s.Taken)})
	}
	for _, u := range f.table.Since(f.seenBy(c), c.GetRelay()) {
		out.Hosts = append(out.Hosts, stateOut(now, u, c.GetRelay()))
	}
	for _, w := range c.GetWaiting() {
		if by, ok := f.ready[core.ModelName(w.GetModel())]; ok {
			out.Ready = append(out.Ready, &wire.ModelReady{Model: w.GetModel(), Left: int64(by.Sub(now))})
		}
	}
	return out
}

func stateOut(now time.Time, u digest.Update, relay bool) *wire.HostState {
	r := u.Report
	out := &wire.HostState{
		Address: addressOut(u.Address), Age: age(now, r.Taken),
		Waiting: uint32(r.Waiting), Running: uint32(r.Running), Reading: int64(r.Reading),
	}
	if relay {
		for _, m := range r.Models {
			out.Active = append(out.Active, uint32(r.Active[m.Model]))
		}
	}
	if u.Whole {
		out.Report, out.Planner = reportOut(now, &u.Host, relay), string(u.Planner)
	}
	return out
}

func arrivalsIn(list []*wire.ModelArrivals) map[core.ModelName]demand.Arrivals {
	out := make(map[core.ModelName]demand.Arrivals, len(list))
	for _, a := range list {
		out[core.ModelName(a.GetModel())] = demand.Arrivals{Count: int(a.GetCount()), Hasty: int(a.GetHasty()), Work: float64(a.GetWork())}
	}
	return out
}

func arrivalsOut(arrivals map[core.ModelName]demand.Arrivals) []*wire.ModelArrivals {
	out := make([]*wire.ModelArrivals, 0, len(arrivals))
	for name, a := range arrivals {
		out = append(out, &wire.ModelArrivals{Model: string(name), Count: uint32(a.Count), Hasty: uint32(a.Hasty), Work: float32(a.Work)})
	}
	return out
}
