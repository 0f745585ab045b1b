package peer

import (
	"context"
	"time"

	"radishwell/core"
	"radishwell/core/replic"
	"radishwell/wire"
)

const (
	// maxReplySize bounds the size in bytes of the objects in one reply; the rest follows
	// in later exchanges.
	maxReplySize = 8 << 20
	// unknownAge is the age sent if the platform has never confirmed the replica.
	unknownAge = -1
)

// exchange exchanges with one peer.
func (s *Store) exchange(ctx context.Context, id exchangeID) {
	p := id.with
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	began := s.Clock.Now()
	reply, err := s.Client.Sync(ctx, p, s.syncCall(id.urgent))
	if err != nil {
		s.mu.Lock()
		s.peers.drop(p, s.Clock.Now())
		s.failedExchanges++
		s.mu.Unlock()
		if s.OnError != nil && context.Cause(ctx) != context.Canceled {
			s.OnError(err)
		}
		return
	}
	s.mu.Lock()
	s.exchangedAt, s.failedExchanges = s.Clock.Now(), 0
	s.mu.Unlock()
	for _, d := range reply.GetDeltas() {
		s.joinWireDelta(p, d)
	}
	s.joinDigest(reply.GetThrough(), began)
	s.joinMarks(reply.GetMarks())
	s.Strikes.join(s, reply.GetStrikes())
	s.Parts.join(s, reply.GetParts())
	s.Departed.join(s, reply.GetDeparted())
}

// syncCall returns the call that sends this process's digest, marks and other soft state to a
// peer. If urgent is set, it has the digests of urgent kinds only.
func (s *Store) syncCall(urgent bool) *wire.SyncCall {
	if urgent {
		s.mu.Lock()
		defer s.mu.Unlock()
		return &wire.SyncCall{From: string(s.Self.Host), Through: s.digest(s.Urgent), Apart: true}
	}
	strikes, parts, departed := s.Strikes.next(), s.Parts.next(), s.Departed.next()
	s.mu.Lock()
	defer s.mu.Unlock()
	return &wire.SyncCall{
		From:     string(s.Self.Host),
		Through:  s.digest(s.Kinds),
		Strikes:  strikes,
		Marks:    s.soft.wire(s.Clock.Now()),
		Parts:    parts,
		Departed: departed,
		Apart:    true,
	}
}

// digest returns the version and age of the replicas of some kinds. The caller holds mu.
func (s *Store) digest(kinds []core.Kind) []*wire.Through {
	now := s.Clock.Now()
	digest := make([]*wire.Through, 0, len(kinds))
	for _, kind := range kinds {
		k := s.kinds[kind]
		t := &wire.Through{
			Kind:    string(kind),
			Version: uint64(k.Through()),
			Newest:  uint64(k.Newest()),
			Age:     unknownAge,
		}
		if !k.freshAt.IsZero() {
			t.Age = int64(max(0, now.Sub(k.freshAt)).Truncate(ageStep))
		}
		digest = append(digest, t)
	}
	return digest
}

// ageStep is the unit to which ages are rounded down, because round ages take fewer
// bytes.
const ageStep = 100 * time.Millisecond

// joinDigest updates the lag and age of this process's replicas from a peer's digest. If
// the replica here lacks nothing that the peer's has, the platform's confirmation to the
// peer holds for it, too. The ages in the digest count from the given time: that of a reply is
// not known, so they count from when the call began.
func (s *Store) joinDigest(digest []*wire.Through, from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	for _, t := range digest {
		k := s.kinds[core.Kind(t.GetKind())]
		if k == nil {
			continue
		}
		k.lag.observe(core.Version(t.GetNewest()), k.Newest(), now)
		s.updateLag(core.Kind(t.GetKind()), k)
		if t.GetAge() < 0 || uint64(k.Through()) < t.GetVersion() {
			continue
		}
		if at := from.Add(-time.Duration(t.GetAge())); at.After(k.freshAt) {
			k.freshAt = at
		}
	}
}

// ServeSync serves a peer's exchange and returns the changes that the peer lacks. It is
// the handler of Sync. If the peer has newer objects, an exchange with it follows at
// once.
func (s *Store) ServeSync(call *wire.SyncCall) (*wire.SyncReply, error) {
	s.init()
	s.joinMarks(call.GetMarks())
	s.Strikes.join(s, call.GetStrikes())
	s.Parts.join(s, call.GetParts())
	s.Departed.join(s, call.GetDeparted())
	strikes, parts, departed := s.Strikes.next(), s.Parts.next(), s.Departed.next()
	s.joinDigest(call.GetThrough(), s.Clock.Now())
	reply, omitted := s.syncReply(call)
	reply.Strikes, reply.Parts, reply.Departed = strikes, parts, departed
	s.addPatches(omitted)
	return reply, nil
}

// syncReply returns the changes that a peer lacks, and the specifications that are omitted from
// them. If the peer has newer objects, an exchange with it follows.
func (s *Store) syncReply(call *wire.SyncCall) (reply *wire.SyncReply, omitted []inlinePatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply = &wire.SyncReply{
		Marks:   s.soft.wire(s.Clock.Now()),
		Through: s.digest(s.Kinds),
	}
	left := maxReplySize
	callerAhead, urgent := false, false
	for _, t := range call.GetThrough() {
		k := s.kinds[core.Kind(t.GetKind())]
		if k == nil {
			continue
		}
		if t.GetNewest() > uint64(k.Newest()) {
			callerAhead = true
			urgent = urgent || s.isUrgent(core.Kind(t.GetKind()))
		}
		d := k.Since(core.Version(t.GetVersion()))
		if d.Empty() || left <= 0 {
			continue
		}
		out := toWire(t.GetKind(), d, call.GetApart())
		if n := deltaSize(out); call.GetApart() && n >= largeDelta {
			out.Items, out.Apart = nil, true
		} else {
			left -= n
			omitted = append(omitted, k.omitted(out, core.Version(t.GetNewest()))...)
		}
		reply.Deltas = append(reply.Deltas, out)
	}
	if p, ok := s.peers.find(call.GetFrom()); ok && callerAhead {
		s.queuePull(pull{from: p, urgent: urgent})
	}
	return reply, omitted
}

// deltaSize returns the approximate size of a delta in bytes.
func deltaSize(d *wire.KindDelta) int {
	n := 0
	for _, i := range d.GetItems() {
		n += len(i.GetName()) + len(i.GetUid()) + len(i.GetSpec()) + len(i.GetStatus())
	}
	return n
}

// toWire returns the wire form of a delta. If apart is set, large specifications are
// omitted, since the receiver downloads them.
func toWire(kind string, d replic.Delta, apart bool) *wire.KindDelta {
	out := &wire.KindDelta{
		Kind:    kind,
		From:    uint64(d.From),
		Through: uint64(d.Through),
		Full:    d.Full,
		Items:   make([]*wire.Item, 0, len(d.Objects)),
	}
	for _, o := range d.Objects {
		item := &wire.Item{
			Name:       o.Name,
			Uid:        o.UID,
			Version:    uint64(o.Version),
			Generation: o.Generation,
			Spec:       o.Spec,
			Status:     o.Status,
			Deleted:    o.Deleted,
		}
		if apart && len(o.Spec) >= largeSpec {
			item.Spec, item.Size = nil, uint64(len(o.Spec))
		}
		out.Items = append(out.Items, item)
	}
	return out
}

func fromWire(d *wire.KindDelta) replic.Delta {
	out := replic.Delta{
		From:    core.Version(d.GetFrom()),
		Through: core.Version(d.GetThrough()),
		Full:    d.GetFull(),
		Objects: make([]core.Object, 0, len(d.GetItems())),
	}
	for _, i := range d.GetItems() {
		out.Objects = append(out.Objects, core.Object{
			Kind:       core.Kind(d.GetKind()),
			Name:       i.GetName(),
			UID:        i.GetUid(),
			Version:    core.Version(i.GetVersion()),
			Generation: i.GetGeneration(),
			Spec:       i.GetSpec(),
			Status:     i.GetStatus(),
			Deleted:    i.GetDeleted(),
		})
	}
	return out
}
