package peer

import (
	"context"
	"slices"
	"time"

	"radishwell/core"
	"radishwell/core/replic"
	"radishwell/wire"
)

const (
	// syncPeriod and syncPeers: each process exchanges digests with two peers
	// a second. A change reaches all by that alone within some seconds.
	syncPeriod = time.Second
	syncPeers  = 2
	// kickGap is the least time between two exchanges, when news make a process
	// exchange sooner. A change or mark crosses the fleet in one hop each gap.
	kickGap     = 200 * time.Millisecond
	syncTimeout = time.Second
	// maxPulls bounds the peers waiting to be asked for their news.
	maxPulls = 8
	// maxSync bounds the objects in one answer; more come with the next one.
	maxSync = 8 << 20
	// unknownAge is the age sent where the platform never said anything.
	unknownAge = -1
)

// runSync exchanges with peers every syncPeriod, and sooner when there is news.
// The first exchange comes at once.
func (s *Store) runSync(ctx context.Context) error {
	r := s.rand(1)
	s.round(ctx, s.chooseTargets())
	boot, stop := context.WithTimeout(ctx, bootFetch)
	s.fetchAll(boot)
	stop()
	close(s.booted)
	for s.waitNews(ctx, jitter(r, syncPeriod)) {
		s.round(ctx, s.chooseTargets())
	}
	return nil
}

// waitNews waits for the given time, or only for kickGap if there is news. It
// is false when ctx has ended.
func (s *Store) waitNews(ctx context.Context, d time.Duration) bool {
	pause(ctx, kickGap)
	timer := time.NewTimer(d - kickGap)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.kick:
	case p := <-s.pull:
		s.requeue(p)
	}
	return ctx.Err() == nil
}

// requeue puts back a peer to pull from; a full queue drops it, and the peer's
// news come with a later exchange.
func (s *Store) requeue(p Target) {
	select {
	case s.pull <- p:
	default:
	}
}

// chooseTargets returns the peers of one round: those known to have news, and
// a random few.
func (s *Store) chooseTargets() []Target {
	var known []Target
	if s.Peers != nil {
		known = s.Peers()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known = slices.DeleteFunc(slices.Clone(known), func(p Target) bool { return p.Host == s.Self.Host })
	s.peers.update(known, s.Clock.Now())
	targets := s.peers.pick(syncPeers)
	for {
		select {
		case p := <-s.pull:
			if !slices.Contains(targets, p) {
				targets = append(targets, p)
			}
		default:
			return targets
		}
	}
}

// round exchanges with some peers at the same time.
func (s *Store) round(ctx context.Context, targets []Target) {
	ended := make(chan struct{})
	for _, p := range targets {
		go func() {
			s.exchange(ctx, p)
			ended <- struct{}{}
		}()
	}
	for range targets {
		<-ended
	}
}

func (s *Store) exchange(ctx context.Context, p Target) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	reply, err := s.Client.Sync(ctx, p, s.offer())
	if err != nil {
		s.mu.Lock()
		s.peers.drop(p)
		s.mu.Unlock()
		if s.Failed != nil && context.Cause(ctx) != context.Canceled {
			s.Failed(err)
		}
		return
	}
	for _, d := range reply.GetDeltas() {
		s.takeDelta(p, d)
	}
	s.refresh(reply.GetThrough())
	s.takeSoft(reply.GetMarks(), reply.GetStrikes())
}

// offer is what this process has, as sent to a peer.
func (s *Store) offer() *wire.SyncCall {
	strikes := s.strikes()
	s.mu.Lock()
	defer s.mu.Unlock()
	return &wire.SyncCall{
		From:    string(s.Self.Host),
		Through: s.digest(),
		Strikes: strikes,
		Marks:   s.soft.wire(s.Clock.Now()),
		Apart:   true,
	}
}

func (s *Store) strikes() []*wire.Strike {
	if s.Strikes == nil {
		return nil
	}
	return s.Strikes()
}

// digest says how far each replica is. The caller holds mu.
func (s *Store) digest() []*wire.Through {
	now := s.Clock.Now()
	digest := make([]*wire.Through, 0, len(s.Kinds))
	for _, kind := range s.Kinds {
		k := s.kinds[kind]
		t := &wire.Through{
			Kind:    string(kind),
			Version: uint64(k.Through()),
			Newest:  uint64(k.Newest()),
			Age:     unknownAge,
		}
		if !k.fresh.IsZero() {
			t.Age = int64(max(0, now.Sub(k.fresh)).Truncate(ageStep))
		}
		digest = append(digest, t)
	}
	return digest
}

// ageStep rounds ages, which then take fewer bytes.
const ageStep = 100 * time.Millisecond

// refresh learns from a peer's digest how old this process's replicas are: what
// the platform said to the peer holds here as well, if nothing is missing here
// of what the peer has.
func (s *Store) refresh(digest []*wire.Through) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range digest {
		k := s.kinds[core.Kind(t.GetKind())]
		if k == nil {
			continue
		}
		k.lag.name(core.Version(t.GetNewest()), k.Newest(), now)
		s.noteLag(core.Kind(t.GetKind()), k)
		if t.GetAge() < 0 || uint64(k.Through()) < t.GetVersion() {
			continue
		}
		if at := now.Add(-time.Duration(t.GetAge())); at.After(k.fresh) {
			k.fresh = at
		}
	}
}

// Serve answers a peer's call; it is the server's handler of Sync. The caller
// gets what it lacks. Where the caller has newer objects, they are pulled from
// it at once rather than with the next exchange.
func (s *Store) Serve(call *wire.SyncCall) (*wire.SyncReply, error) {
	s.init()
	s.takeSoft(call.GetMarks(), call.GetStrikes())
	strikes := s.strikes()
	s.refresh(call.GetThrough())
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &wire.SyncReply{
		Strikes: strikes,
		Marks:   s.soft.wire(s.Clock.Now()),
		Through: s.digest(),
	}
	room := maxSync
	ahead := false
	for _, t := range call.GetThrough() {
		k := s.kinds[core.Kind(t.GetKind())]
		if k == nil {
			continue
		}
		ahead = ahead || t.GetNewest() > uint64(k.Newest())
		d := k.Since(core.Version(t.GetVersion()))
		if d.Empty() || room <= 0 {
			continue
		}
		out := toWire(t.GetKind(), d, call.GetApart())
		if n := size(out); call.GetApart() && n >= largeDelta {
			out.Items, out.Apart = nil, true
		} else {
			room -= n
		}
		reply.Deltas = append(reply.Deltas, out)
	}
	if p, ok := s.peers.find(call.GetFrom()); ok && ahead {
		s.requeue(p)
	}
	return reply, nil
}

func size(d *wire.KindDelta) int {
	n := 0
	for _, i := range d.GetItems() {
		n += len(i.GetName()) + len(i.GetUid()) + len(i.GetSpec()) + len(i.GetStatus())
	}
	return n
}

// toWire returns a delta's message, without large specifications where these are fetched
// apart.
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
