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
	// pollWait is how long a relay may hold back a reply if there is no news, and
	// pollMargin how much longer the call may take.
	pollWait   = 300 * time.Millisecond
	pollMargin = 400 * time.Millisecond
	// pingTimeout bounds the ping of a member.
	pingTimeout = 300 * time.Millisecond
	// minExtraPollGap is the least time between two extra polls, and extraPollWait how
	// long their replies are held back: the planner decides within that time.
	minExtraPollGap = 50 * time.Millisecond
	extraPollWait   = 150 * time.Millisecond
	// failureDelay is the delay after a failed call, until another relay is chosen.
	failureDelay = 50 * time.Millisecond
)

// relay is a relay that this entry polls. Feed.mu guards its fields.
type relay struct {
	member follow.Member
	stop   context.CancelFunc
	// epoch identifies the incarnation of the relay to which the change numbers seen and
	// seenReady belong. asRelay is set if this entry was a relay itself at the last call;
	// replies to relays hold more.
	epoch, seen, seenReady uint64
	// seenCached is the number of the last change of what the upstreams keep, and wantsTold that of
	// the last wanted part that the relay has been told.
	seenCached, wantsTold uint64
	asRelay               bool
	// pending are arrivals that were not sent to the relay yet, used the adapters for
	// which requests were sent to the hosts that it reports.
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

// poll polls a relay until the context ends.
func (f *Feed) poll(ctx context.Context, r *relay) {
	for ctx.Err() == nil {
		if !f.pollOnce(ctx, r, pollWait) {
			loop.Sleep(ctx, failureDelay)
		}
	}
}

// pollOnce polls a relay once and reports whether the relay responded.
func (f *Feed) pollOnce(ctx context.Context, r *relay, wait time.Duration) bool {
	in, sent := f.newCall(r, wait)
	call, stop := context.WithTimeout(ctx, wait+pollMargin)
	defer stop()
	reply, err := f.Digest(call, r.target(), in)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	if err != nil {
		if ctx.Err() == nil {
			events.Fail(events.PeerUnreachable, err, "address", r.member.Control)
			f.chooser.NoteFailure(now, r.member.Name)
			r.add(sent.arrivals)
			r.seen = 0
			f.wakeChoose()
		}
		return false
	}
	f.chooser.NoteResponse(now, r.member.Name)
	f.applyReply(now, r, in, sent, reply)
	return true
}

// sentOnce is what a call tells a relay that it is not told again: arrivals, and wanted parts up to
// a number.
type sentOnce struct {
	arrivals map[core.ModelName]demand.Arrivals
	wants    uint64
}

// newCall returns the call that polls a relay, and what it tells once.
func (f *Feed) newCall(r *relay, wait time.Duration) (in *wire.DigestCall, sent sentOnce) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	f.collectOwnDemand(now)
	f.recordOwnUse(now)
	asRelay := f.choice.Relay()
	if asRelay != r.asRelay {
		r.asRelay, r.seen, r.seenCached = asRelay, 0, 0
	}
	sent.arrivals, r.pending = r.pending, map[core.ModelName]demand.Arrivals{}
	in = &wire.DigestCall{
		Entry: string(f.Self.Name), Relay: asRelay, Epoch: r.epoch, Seen: r.seen, SeenReady: r.seenReady, Wait: int64(wait),
		Arrivals: encodeArrivals(sent.arrivals), Waiting: encodeWaits(f.waiting(now)), Uses: f.encodeUses(now, r), SeenCached: r.seenCached,
	}
	sent.wants, in.Wanted = f.Proxy.Wants().Since(r.wantsTold)
	return in, sent
}

// waiting returns the waiting requests by model, here and at the entries that poll this one.
// The caller holds mu.
func (f *Feed) waiting(now time.Time) map[core.ModelName]demand.Waits {
	return f.demand.Waiting(now, func(name core.HostName) bool {
		p := f.pollers[name]
		return name == f.Self.Name || p != nil && !p.relay
	})
}

// encodeUses returns the use of the hosts that a relay has reported. The caller holds mu.
func (f *Feed) encodeUses(now time.Time, r *relay) []*wire.HostUse {
	var out []*wire.HostUse
	for _, h := range f.table.HostsFrom(r.member.Name) {
		active, used := f.active(now, h, false), r.used[h]
		if len(active) == 0 && len(used) == 0 {
			continue
		}
		u := &wire.HostUse{Address: encodeAddress(h), Active: EncodeCounts(active)}
		for name := range used {
			u.Used = append(u.Used, name)
		}
		out = append(out, u)
	}
	clear(r.used)
	return out
}

// applyReply applies a relay's reply. The caller holds mu.
func (f *Feed) applyReply(now time.Time, r *relay, in *wire.DigestCall, sent sentOnce, reply *wire.DigestReply) {
	if f.relays[r.member.Name] != r {
		return // another relay was chosen during the call
	}
	if reply.GetEpoch() != r.epoch {
		r.epoch, r.seen, r.seenReady, r.seenCached, r.wantsTold = reply.GetEpoch(), 0, 0, 0, 0
	} else {
		r.wantsTold = max(r.wantsTold, sent.wants)
	}
	f.applyCached(r, in, reply)
	sameCentre := f.choice.Relay() && f.choice.Follows(r.member.DataCentre)
	if !sameCentre && (reply.GetChange() >= r.seen || in.GetSeen() == 0) {
		r.seen = reply.GetChange()
		f.applyHosts(now, r, reply)
	}
	f.applyReady(now, r, in, reply)
	if !f.choice.Relay() && reply.GetPlanner() != "" {
		f.setPlanner(follow.Member{Name: core.HostName(reply.GetPlanner())})
	}
	f.notifyWaiters()
}

// applyCached applies what has changed of what the upstreams keep. If some change has been missed, the
// next reply brings all. The caller holds mu.
func (f *Feed) applyCached(r *relay, in *wire.DigestCall, reply *wire.DigestReply) {
	if reply.GetCachedChange() == 0 || in.GetSeenCached() != r.seenCached && in.GetSeenCached() != 0 {
		return // nothing has changed, or the changes before these are missing
	}
	r.seenCached = reply.GetCachedChange()
	for _, k := range reply.GetCached() {
		if address, ok := decodeAddress(k.GetAddress()); ok && !f.Cached.Apply(peer.DecodeCached(address, k)) {
			r.seenCached = 0
		}
	}
}

// applyHosts applies the hosts of a reply to the table and the view. The caller holds mu.
func (f *Feed) applyHosts(now time.Time, r *relay, reply *wire.DigestReply) {
	source := r.member.Name
	updated := make([]digest.Host, 0, len(reply.GetHosts()))
	for _, s := range reply.GetHosts() {
		address, ok := decodeAddress(s.GetAddress())
		if !ok {
			continue
		}
		if !f.applyHost(now, source, address, s) {
			r.seen = 0 // the next reply then holds whole reports
			continue
		}
		if h, ok := f.table.Host(address); ok {
			updated = append(updated, h)
		}
	}
	f.table.Renew(source, now.Add(-millis(reply.GetAge())), decodeStale(now, reply.GetStale()))
	if now.Sub(f.lastApplyAll) >= applyAllInterval {
		f.lastApplyAll = now
		updated = f.table.All()
	}
	f.Proxy.Update(func(v *fleet.View, _ time.Time) {
		if f.choice.Scope == follow.None {
			v.NoteRelayReport(now)
		}
		for i := range updated {
			Apply(v, &updated[i])
		}
	})
}

// applyHost applies the state of one host to the table. It reports false if the state
// holds figures only and the host's report is missing. The caller holds mu.
func (f *Feed) applyHost(now time.Time, source core.HostName, address netip.AddrPort, s *wire.HostState) bool {
	taken := now.Add(-millis(s.GetAge()))
	if s.GetReport() == nil {
		old, ok := f.table.Host(address)
		if !ok {
			return false
		}
		return f.table.PutFigures(source, address, decodeFigures(taken, s, old.Report.Models))
	}
	h := DecodeHost(address, s.GetReport(), now)
	h.Planner = core.HostName(s.GetPlanner())
	figures := decodeFigures(taken, s, h.Report.Models)
	figures.Set(&h.Report)
	f.table.Put(source, h)
	return true
}

// applyReady applies the forecasts for the models whose waiting requests were sent. The
// caller holds mu.
func (f *Feed) applyReady(now time.Time, r *relay, in *wire.DigestCall, reply *wire.DigestReply) {
	r.seenReady = reply.GetReadyChange()
	if f.choice.Relay() && r.member.Name != f.planner.Name {
		return
	}
	ready := map[core.ModelName]time.Time{}
	for _, m := range reply.GetReady() {
		ready[core.ModelName(m.GetModel())] = now.Add(time.Duration(m.GetLeft()))
	}
	requested := make([]core.ModelName, 0, len(in.GetWaiting()))
	changed := false
	for _, w := range in.GetWaiting() {
		name := core.ModelName(w.GetModel())
		requested = append(requested, name)
		at, ok := ready[name]
		before, known := f.ready[name]
		changed = changed || ok != known || at.Sub(before).Abs() >= forecastTolerance
		if ok {
			f.ready[name] = at
		} else {
			delete(f.ready, name)
		}
	}
	if len(requested) > 0 {
		f.Proxy.UpdateForecasts(requested, ready)
	}
	if changed {
		f.noteReadyChange()
	}
}

// ping probes a member that is avoided because it did not respond.
func (f *Feed) ping(ctx context.Context, m follow.Member) {
	ctx, stop := context.WithTimeout(ctx, pingTimeout)
	defer stop()
	err := f.Ping(ctx, peer.Target{Host: m.Name, Address: m.Control})
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.chooser.NoteFailure(f.Clock.Now(), m.Name)
		return
	}
	f.chooser.NoteResponse(f.Clock.Now(), m.Name)
	f.wakeChoose()
}
