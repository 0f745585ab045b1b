package feed

import (
	"context"
	"net/netip"
	"time"

	"radishwell/core"
	"radishwell/core/demand"
	"radishwell/core/digest"
	"radishwell/core/fleet"
	"radishwell/core/follow"
	"radishwell/io/events"
	"radishwell/io/loop"
	"radishwell/io/peer"
	"radishwell/wire"
)

const (
	// askWait is how long a relay holds back an answer without news, and answerTime how
	// much longer it may take.
	askWait    = 300 * time.Millisecond
	answerTime = 400 * time.Millisecond
	// checkTime bounds a call that asks a member for a sign of life.
	checkTime = 300 * time.Millisecond
	// hurryGap is the least time between two calls out of turn, and hurryWait how long
	// their answers are held back: the planner decides within that.
	hurryGap  = 50 * time.Millisecond
	hurryWait = 150 * time.Millisecond
	// failPause is the pause after a call that failed, until another relay is chosen.
	failPause = 50 * time.Millisecond
)

// relay is the exchange with an entry that is asked. Its fields are guarded by the
// feed's mu.
type relay struct {
	member follow.Member
	stop   context.CancelFunc
	// epoch is the relay's life that seen and seenReady are of; asRelay is whether this
	// entry was a relay itself by then, which is told more.
	epoch, seen, seenReady uint64
	asRelay                bool
	// pending are arrivals that it has not been told, used the adapters of its hosts that
	// requests were sent for.
	pending map[core.ModelName]demand.Arrivals
	used    map[netip.AddrPort]map[string]bool
}

func (r *relay) add(arrivals map[core.ModelName]demand.Arrivals) {
	for name, a := range arrivals {
		r.pending[name] = r.pending[name].Add(a)
	}
}

func (r *relay) target() peer.Target {
	return peer.Target{Host: r.member.Name, Address: r.member.Control}
}

// follow asks a relay again and again until the context ends.
func (f *Feed) follow(ctx context.Context, r *relay) {
	for ctx.Err() == nil {
		if !f.exchange(ctx, r, askWait) {
			loop.Sleep(ctx, failPause)
		}
	}
}

// exchange puts one question to a relay and tells whether it answered.
func (f *Feed) exchange(ctx context.Context, r *relay, wait time.Duration) bool {
	in, told := f.question(r, wait)
	call, stop := context.WithTimeout(ctx, wait+answerTime)
	defer stop()
	reply, err := f.Ask(call, r.target(), in)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	if err != nil {
		if ctx.Err() == nil {
			events.Fail(events.PeerUnreachable, err, "address", r.member.Control)
			f.chooser.NoteFailure(now, r.member.Name)
			r.add(told)
			r.seen = 0
			f.pokeChoose()
		}
		return false
	}
	f.chooser.NoteResponse(now, r.member.Name)
	f.take(now, r, in, reply)
	return true
}

// question makes a call for a relay; told are the arrivals in it.
func (f *Feed) question(r *relay, wait time.Duration) (in *wire.DigestCall, told map[core.ModelName]demand.Arrivals) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	f.gather(now)
	f.noteOwnUse(now)
	asRelay := f.choice.Relay()
	if asRelay != r.asRelay {
		r.asRelay, r.seen = asRelay, 0
	}
	told, r.pending = r.pending, map[core.ModelName]demand.Arrivals{}
	in = &wire.DigestCall{
		Entry: string(f.Self.Name), Relay: asRelay, Epoch: r.epoch, Seen: r.seen, SeenReady: r.seenReady, Wait: int64(wait),
		Arrivals: arrivalsOut(told), Waiting: CountsOut(f.waiting(now)), Uses: f.usesOut(now, r),
	}
	return in, told
}

// waiting returns what is waited for here and at the entries that ask this one. The
// caller holds mu.
func (f *Feed) waiting(now time.Time) map[core.ModelName]int {
	return f.demand.Waiting(now, func(name core.HostName) bool {
		a := f.askers[name]
		return name == f.Self.Name || a != nil && !a.relay
	})
}

// usesOut returns the use of the hosts that a relay told of. The caller holds mu.
func (f *Feed) usesOut(now time.Time, r *relay) []*wire.HostUse {
	var out []*wire.HostUse
	for _, h := range f.table.HostsFrom(r.member.Name) {
		active, used := f.active(now, h, false), r.used[h]
		if len(active) == 0 && len(used) == 0 {
			continue
		}
		u := &wire.HostUse{Address: addressOut(h), Active: CountsOut(active)}
		for name := range used {
			u.Used = append(u.Used, name)
		}
		out = append(out, u)
	}
	clear(r.used)
	return out
}

// take takes in a relay's answer. The caller holds mu.
func (f *Feed) take(now time.Time, r *relay, in *wire.DigestCall, reply *wire.DigestReply) {
	if f.relays[r.member.Name] != r {
		return // another relay was chosen meanwhile
	}
	if reply.GetEpoch() != r.epoch {
		r.epoch, r.seen, r.seenReady = reply.GetEpoch(), 0, 0
	}
	twin := f.choice.Relay() && f.choice.Follows(r.member.DataCentre)
	if !twin && (reply.GetChange() >= r.seen || in.GetSeen() == 0) {
		r.seen = reply.GetChange()
		f.takeHosts(now, r, reply)
	}
	f.takeReady(now, r, in, reply)
	if !f.choice.Relay() && reply.GetPlanner() != "" {
		f.follows(follow.Member{Name: core.HostName(reply.GetPlanner())})
	}
	f.wake()
}

// takeHosts takes in the hosts of an answer and tells the view. The caller holds mu.
func (f *Feed) takeHosts(now time.Time, r *relay, reply *wire.DigestReply) {
	source := r.member.Name
	fresh := make([]digest.Host, 0, len(reply.GetHosts()))
	for _, s := range reply.GetHosts() {
		address, ok := addressIn(s.GetAddress())
		if !ok {
			continue
		}
		if !f.takeHost(now, source, address, s) {
			r.seen = 0 // the whole report is asked for
			continue
		}
		if h, ok := f.table.Host(address); ok {
			fresh = append(fresh, h)
		}
	}
	f.table.Renew(source, now.Add(-millis(reply.GetAge())), staleIn(now, reply.GetStale()))
	if now.Sub(f.applied) >= applyAll {
		f.applied = now
		fresh = f.table.All()
	}
	f.Proxy.Update(func(v *fleet.View, _ time.Time) {
		if f.choice.Scope == follow.None {
			v.NoteRelayReport(now)
		}
		for i := range fresh {
			Apply(v, &fresh[i])
		}
	})
}

func (f *Feed) takeHost(now time.Time, source core.HostName, address netip.AddrPort, s *wire.HostState) bool {
	taken := now.Add(-millis(s.GetAge()))
	if s.GetReport() == nil {
		old, ok := f.table.Host(address)
		if !ok {
			return false
		}
		return f.table.PutFigures(source, address, digest.Figures{
			Taken: taken, Waiting: int(s.GetWaiting()), Running: int(s.GetRunning()), Reading: int(s.GetReading()),
			Active: activeIn(old.Report.Models, s.GetActive()),
		})
	}
	h := HostIn(address, s.GetReport(), now)
	h.Planner = core.HostName(s.GetPlanner())
	h.Report.Taken = taken
	h.Report.Waiting, h.Report.Running, h.Report.Reading = int(s.GetWaiting()), int(s.GetRunning()), int(s.GetReading())
	h.Report.Active = activeIn(h.Report.Models, s.GetActive())
	f.table.Put(source, h)
	return true
}

// takeReady takes in forecasts for what was said to be waited for. The caller holds mu.
func (f *Feed) takeReady(now time.Time, r *relay, in *wire.DigestCall, reply *wire.DigestReply) {
	r.seenReady = reply.GetReadyChange()
	if f.choice.Relay() && r.member.Name != f.planner.Name {
		return
	}
	ready := map[core.ModelName]time.Time{}
	for _, m := range reply.GetReady() {
		ready[core.ModelName(m.GetModel())] = now.Add(time.Duration(m.GetLeft()))
	}
	asked := make([]core.ModelName, 0, len(in.GetWaiting()))
	changed := false
	for _, w := range in.GetWaiting() {
		name := core.ModelName(w.GetModel())
		asked = append(asked, name)
		at, ok := ready[name]
		old, had := f.ready[name]
		changed = changed || ok != had || at.Sub(old).Abs() >= readySlack
		if ok {
			f.ready[name] = at
		} else {
			delete(f.ready, name)
		}
	}
	if len(asked) > 0 {
		f.Proxy.UpdateForecasts(asked, ready)
	}
	if changed {
		f.noteReady()
	}
}

// check asks a member that was set aside for a sign of life.
func (f *Feed) check(ctx context.Context, m follow.Member) {
	ctx, stop := context.WithTimeout(ctx, checkTime)
	defer stop()
	err := f.Ping(ctx, peer.Target{Host: m.Name, Address: m.Control})
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.chooser.NoteFailure(f.Clock.Now(), m.Name)
		return
	}
	f.chooser.NoteResponse(f.Clock.Now(), m.Name)
	f.pokeChoose()
}
