package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"radishwell/core"
)

const (
	// syncPeriod is how often each process exchanges digests, and syncPeers with how many
	// peers. This alone brings a change to all processes within a few seconds.
	syncPeriod = time.Second
	syncPeers  = 2
	// minSyncGap is the least time between two rounds of exchanges that a process starts early
	// because it has news. A change or mark crosses the fleet at one hop per gap.
	minSyncGap = 200 * time.Millisecond
	// slowExchange is how long an exchange of a round may last until another peer is asked in
	// its place. The first one goes on: its reply is used whenever it arrives.
	slowExchange = 300 * time.Millisecond
	// exchangeTimeout bounds an exchange. A connection that has gone silent ends sooner.
	exchangeTimeout = 5 * time.Second
	// firstSyncTimeout bounds how long a starting process waits for its first exchanges.
	firstSyncTimeout = time.Second
	// maxExchanges bounds the exchanges in progress that this process has started.
	maxExchanges = 64
	// maxFullExchanges bounds those of all kinds that began within the last syncPeriod.
	maxFullExchanges = 6
	// maxQueuedPulls bounds the queue of peers that have newer objects.
	maxQueuedPulls = 64
)

// pull is a peer to exchange with because it has newer objects.
type pull struct {
	from Target
	// urgent is set if the peer has newer objects of urgent kinds. The exchange then does not wait
	// for the next round.
	urgent bool
}

// exchangeID identifies an exchange in progress.
type exchangeID struct {
	with Target
	// urgent is set for an exchange of urgent kinds only. It is short however much else is new, so
	// it may be repeated with several peers.
	urgent bool
}

// exchanger starts the exchanges of a store. Except for Store, only the goroutine of run uses its
// fields.
type exchanger struct {
	*Store
	rand *rand.Rand
	// running holds the exchanges in progress.
	running map[exchangeID]*runningExchange
	// queue holds the peers to exchange with in the next round, besides those chosen at random.
	queue []Target
	// ended receives the exchanges that are over.
	ended chan exchangeID
	// nextRound is when the next round starts, lastRound when the last one did.
	nextRound, lastRound time.Time
}

// runningExchange is an exchange in progress.
type runningExchange struct {
	began time.Time
	// slowAt is when another peer is asked as well; zero if that has happened or is not due.
	slowAt time.Time
	// again is set if the peer has had news since the exchange began.
	again bool
}

// runSync exchanges with peers every syncPeriod, or sooner if there is news. The first
// exchanges start at once.
func (s *Store) runSync(ctx context.Context) error {
	x := &exchanger{Store: s, rand: s.rand(1), running: map[exchangeID]*runningExchange{}, ended: make(chan exchangeID)}
	x.round(ctx)
	first := time.AfterFunc(firstSyncTimeout, s.firstExchanged)
	defer first.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if len(x.running) == 0 {
			s.firstExchanged()
		}
		timer.Reset(time.Until(x.nextStep()))
		select {
		case <-ctx.Done():
			for len(x.running) > 0 {
				delete(x.running, <-x.ended)
			}
			return nil
		case id := <-x.ended:
			x.end(id)
		case <-s.syncWake:
			x.hasten()
		case p := <-s.pulls:
			x.pull(ctx, p)
		case <-timer.C:
		}
		x.step(ctx)
	}
}

// hasten starts the next round as soon as minSyncGap allows.
func (x *exchanger) hasten() {
	if at := x.lastRound.Add(minSyncGap); at.Before(x.nextRound) {
		x.nextRound = at
	}
}

// pull exchanges with a peer that has newer objects, now or in the next round.
func (x *exchanger) pull(ctx context.Context, p pull) {
	if p.urgent {
		x.start(ctx, exchangeID{with: p.from, urgent: true}, time.Time{})
		return
	}
	x.queue = append(x.queue, p.from)
	x.hasten()
}

// end notes that an exchange is over.
func (x *exchanger) end(id exchangeID) {
	e := x.running[id]
	delete(x.running, id)
	if e.again {
		x.queue = append(x.queue, id.with)
		x.hasten()
	}
}

// nextStep returns when the next round starts or an exchange becomes slow.
func (x *exchanger) nextStep() time.Time {
	next := x.nextRound
	for _, e := range x.running {
		if !e.slowAt.IsZero() && e.slowAt.Before(next) {
			next = e.slowAt
		}
	}
	return next
}

// step asks another peer in place of each that is slow, and starts a round if one is due.
func (x *exchanger) step(ctx context.Context) {
	now := time.Now()
	if !now.Before(x.nextRound) {
		x.round(ctx)
	}
	slow := 0
	for _, e := range x.running {
		if !e.slowAt.IsZero() && !now.Before(e.slowAt) {
			e.slowAt = time.Time{}
			slow++
		}
	}
	if slow > 0 {
		x.startRandom(ctx, slow, len(x.Urgent) > 0)
	}
}

// round starts exchanges with the queued peers and a few at random.
func (x *exchanger) round(ctx context.Context) {
	x.lastRound = time.Now()
	x.nextRound = x.lastRound.Add(jitter(x.rand, syncPeriod))
	for _, p := range x.queue {
		x.start(ctx, exchangeID{with: p}, time.Time{})
	}
	x.queue = nil
	x.startRandom(ctx, syncPeers, false)
}

// startRandom starts exchanges with n peers that have none in progress.
func (x *exchanger) startRandom(ctx context.Context, n int, urgent bool) {
	busy := func(p Target) bool {
		return x.running[exchangeID{with: p}] != nil || x.running[exchangeID{with: p, urgent: true}] != nil
	}
	for _, p := range x.chooseTargets(n, busy) {
		x.start(ctx, exchangeID{with: p, urgent: urgent}, time.Now().Add(slowExchange))
	}
}

// start starts an exchange. One that is in progress is repeated once it is over, since its reply
// may lack the latest news. While several exchanges are in progress, which would bring the same
// changes, others are of urgent kinds only.
func (x *exchanger) start(ctx context.Context, id exchangeID, slowAt time.Time) {
	now := time.Now()
	if !id.urgent && x.countFull(now) >= maxFullExchanges {
		if len(x.Urgent) == 0 {
			return
		}
		id.urgent = true
	}
	if e := x.running[id]; e != nil {
		e.again = true
		return
	}
	if len(x.running) >= maxExchanges {
		return
	}
	x.running[id] = &runningExchange{began: now, slowAt: slowAt}
	go func() {
		x.exchange(ctx, id)
		x.ended <- id
	}()
}

// countFull returns the number of exchanges of all kinds in progress that may soon be over.
func (x *exchanger) countFull(now time.Time) int {
	n := 0
	for id, e := range x.running {
		n += core.CountIf(!id.urgent && now.Sub(e.began) < syncPeriod)
	}
	return n
}

// queuePull queues a peer that has newer objects. If the queue is full, the peer is dropped, and
// its news arrives with a later exchange.
func (s *Store) queuePull(p pull) {
	select {
	case s.pulls <- p:
	default:
	}
}

// chooseTargets returns n peers at random, except the busy ones.
func (s *Store) chooseTargets(n int, busy func(Target) bool) []Target {
	known := s.knownPeers()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers.update(known, s.Clock.Now())
	return s.peers.pick(n, busy)
}

// knownPeers returns the other processes known at present.
func (s *Store) knownPeers() []Target {
	var known []Target
	if s.Peers != nil {
		for _, p := range s.Peers() {
			if p.Host != s.Self.Host {
				known = append(known, p)
			}
		}
	}
	return known
}

// isUrgent reports whether changes of a kind must not wait for others.
func (s *Store) isUrgent(kind core.Kind) bool { return slices.Contains(s.Urgent, kind) }
