package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"radishwell/core"
	"radishwell/core/replic"
	"radishwell/io/loop"
	"radishwell/wire"
)

// Store holds the replicas of the kinds of objects that a process uses, and keeps them up
// to date from the platform and from peers. It also spreads marks and strikes. Its
// exported fields must be set before first use; its methods may be called from several
// goroutines.
type Store struct {
	// Self is this process as its peers reach it.
	Self Target
	// Kinds are the replicated kinds.
	Kinds []core.Kind
	// Confirm are the kinds that this process itself lists from the platform as soon as
	// it can, even if peers have sent them. Agents name grants here. Other kinds are
	// listed only if peers do not send them.
	Confirm []core.Kind
	// Urgent are the kinds whose changes are fetched from peers at once, without waiting for other
	// changes.
	Urgent   []core.Kind
	Platform core.Platform
	Client   *Client
	// Clock is the clock for ages; nil means the system clock.
	Clock core.Clock
	// Peers returns the other processes known at present. Run calls it about once a
	// second; it must not call Run.
	Peers func() []Target
	// Near, if set, reports whether a peer is in this process's data centre. Most
	// exchanges are with such peers, because traffic between data centres is charged for.
	Near func(Target) bool
	// Watchers is the number of processes that watch each kind; zero means
	// defaultWatchers.
	Watchers int
	// FallbackDelay is how long a process that is not a watcher goes without fresh data before it
	// watches itself; a random part of up to the same length is added. Zero means
	// defaultFallbackDelay.
	FallbackDelay time.Duration
	// MaxRetry bounds the delay after a failed read of the platform; zero means maxRetry.
	MaxRetry time.Duration
	// Seed seeds the choice of peers and all jitter.
	Seed uint64

	// OnChange, if set, is called with the latest state of objects that changed,
	// including deletions. All calls come from one goroutine. Changes of one object in
	// quick succession may be combined.
	OnChange func([]core.Object)
	// OnMarks, if set, is called with marks that are new or changed, from several
	// goroutines.
	OnMarks func([]Mark)
	// Strikes are against requests, Parts has the parts of prompts that were in crashes, and
	// Departed the software versions of hosts that have gone.
	Strikes  Gossip[*wire.Strike]
	Parts    Gossip[*wire.PartRecord]
	Departed Gossip[*wire.DepartedSoftware]
	// OnReceived, if set, is called for each list and each change of a watch that this
	// process receives from the platform.
	OnReceived func()
	// OnOlderList, if set, is called for each list of the platform that is older than the
	// replica, with the versions of both.
	OnOlderList func(kind core.Kind, listed, held core.Version)
	// OnError, if set, is called for each failed call with a PlatformError or an error of
	// Client, and for each payload that arrived corrupt with a CorruptError.
	OnError func(error)
	// OnArrival, if set, is called for each change that reaches a replica. It must not call
	// back into the Store.
	OnArrival func(Arrival)
	// OnLag, if set, is called for each replica that has lacked a change for
	// lagThreshold, and again, with Lag.CaughtUp set, once the replica has the change. It
	// must not call back into the Store.
	OnLag func(Lag)

	once  sync.Once
	mu    sync.Mutex
	kinds map[core.Kind]*kindState
	dirty map[core.Kind]map[string]bool
	soft  softState
	peers peerView
	// exchangedAt is when the last exchange with a peer succeeded, and failedExchanges the number
	// of those that have failed since.
	exchangedAt     time.Time
	failedExchanges int
	// firstSync is closed when the first exchanges with peers are over, and what they offered is
	// downloaded.
	firstSync chan struct{}
	// firstExchanged ends the first exchanges.
	firstExchanged func()
	// exchanged is closed by firstExchanged.
	exchanged chan struct{}
	// changeWake and syncWake wake the goroutines of Run that report changes and exchange
	// with peers. pulls queues peers to exchange with in the next round.
	changeWake chan struct{}
	syncWake   chan struct{}
	pulls      chan pull
	// downloads are the payloads in transit; downloadWakes wakes the goroutines that download
	// them. firstFetches counts those that still download what the first exchanges offered.
	downloads     map[payloadID]*download
	downloadWakes map[core.Kind]chan struct{}
	firstFetches  atomic.Int32
	// payloads caches payloads served to peers.
	payloads map[payloadID]*payload
}

// kindState is the replica of one kind with its age.
type kindState struct {
	replic.Replica
	history history
	// confirmed is set once the platform itself has listed the kind to this process.
	confirmed bool
	// freshAt is when the platform last confirmed, to this process or to a peer, that the
	// replica lacked nothing.
	freshAt time.Time
	// fallbackDelay is the age of freshAt beyond which this process watches the kind
	// although it is not one of its watchers.
	fallbackDelay time.Duration
	lag           lagState
	// downloading is the download in progress; nil if there is none.
	downloading *download
}

type realClock struct{}

// Now implements core.Clock.
func (realClock) Now() time.Time { return time.Now() }

func (s *Store) init() { s.once.Do(s.build) }

func (s *Store) build() {
	if s.Clock == nil {
		s.Clock = realClock{}
	}
	if s.Watchers <= 0 {
		s.Watchers = defaultWatchers
	}
	if s.MaxRetry <= 0 {
		s.MaxRetry = maxRetry
	}
	s.kinds = map[core.Kind]*kindState{}
	s.dirty = map[core.Kind]map[string]bool{}
	s.firstSync = make(chan struct{})
	s.exchanged = make(chan struct{})
	s.firstExchanged = sync.OnceFunc(func() { close(s.exchanged) })
	s.changeWake = make(chan struct{}, 1)
	s.syncWake = make(chan struct{}, 1)
	s.pulls = make(chan pull, maxQueuedPulls)
	s.downloadWakes = map[core.Kind]chan struct{}{}
	for _, kind := range s.Kinds {
		s.downloadWakes[kind] = make(chan struct{}, 1)
	}
	s.downloads, s.payloads = map[payloadID]*download{}, map[payloadID]*payload{}
	if s.FallbackDelay <= 0 {
		s.FallbackDelay = defaultFallbackDelay
	}
	r := s.rand(0)
	s.peers = peerView{rand: r, near: s.Near}
	for _, kind := range s.Kinds {
		s.kinds[kind] = &kindState{fallbackDelay: s.FallbackDelay + time.Duration(r.Int64N(int64(s.FallbackDelay)))}
	}
}

// rand returns a random source for the exclusive use of one goroutine.
func (s *Store) rand(goroutine uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.Seed, goroutine))
}

// Run keeps the replicas up to date until ctx ends, and then returns nil.
func (s *Store) Run(ctx context.Context) error {
	s.init()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error)
	running := 2
	go func() { ended <- s.runNotify(ctx) }()
	go func() { ended <- s.runSync(ctx) }()
	s.firstFetches.Store(int32(len(s.Kinds)))
	for i, kind := range s.Kinds {
		running += 2
		go func() { ended <- s.runDownloads(ctx, kind) }()
		go func() { ended <- s.runReflector(ctx, kind, s.rand(uint64(i)+2)) }()
	}
	var failed error
	for range running {
		if err := <-ended; err != nil && failed == nil {
			failed = err
			cancel()
		}
	}
	return failed
}

// Get returns an object, or false if there is none.
func (s *Store) Get(kind core.Kind, name string) (core.Object, bool) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	if k == nil {
		return core.Object{}, false
	}
	return k.Get(name)
}

// All returns all objects of a kind, sorted by name.
func (s *Store) All(kind core.Kind) []core.Object {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	if k == nil {
		return nil
	}
	return k.All()
}

// Status describes the replica of a kind.
type Status struct {
	// Through is the version up to which no change is missing; zero if neither the
	// platform nor a peer has sent the kind yet.
	Through core.Version
	// Objects is the number of objects held.
	Objects int
	// Confirmed is set if the platform itself has listed the kind to this process since
	// it started.
	Confirmed bool
	// FreshAt is when the platform last confirmed, to this process or to a peer, that there
	// was no newer change; zero if it never did.
	FreshAt time.Time
}

// Status describes the replica of a kind.
func (s *Store) Status(kind core.Kind) Status {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	if k == nil {
		return Status{}
	}
	return Status{Through: k.Through(), Objects: k.Len(), Confirmed: k.confirmed, FreshAt: k.freshAt}
}

// Confirmed reports whether the platform itself has listed a kind to this process since
// it started. A peer's copy of a grant may predate a release by this process before its
// restart, so an agent loads nothing before the grants are confirmed.
func (s *Store) Confirmed(kind core.Kind) bool { return s.Status(kind).Confirmed }

// Learn joins objects that the platform has just returned to this process, such as the
// result of a write.
func (s *Store) Learn(objects ...core.Object) {
	s.init()
	for _, o := range objects {
		d := replic.Delta{From: o.Version, Through: o.Version, Objects: []core.Object{o}}
		s.join(o.Kind, d, Arrival{})
	}
}

// join joins a delta of a kind and reports whether any object changed. The arrival says on which
// way the delta came.
func (s *Store) join(kind core.Kind, d replic.Delta, way Arrival) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	if k == nil {
		return false
	}
	k.history.keep(&k.Replica, d)
	changed := k.Join(d)
	for _, o := range changed {
		s.arrived(way, o, &k.lag)
	}
	s.updateLag(kind, k)
	if len(changed) == 0 {
		return false
	}
	names := s.dirty[kind]
	if names == nil {
		names = map[string]bool{}
		s.dirty[kind] = names
	}
	for _, o := range changed {
		names[o.Name] = true
	}
	loop.Wake(s.changeWake)
	loop.Wake(s.syncWake)
	return true
}

// runNotify passes changes to OnChange. Joins never wait for it: pending changes are kept
// by name, so their number is bounded by that of the objects.
func (s *Store) runNotify(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.changeWake:
		}
		if objects := s.takeDirty(); len(objects) > 0 && s.OnChange != nil {
			s.OnChange(objects)
		}
	}
}

// takeDirty returns the current state of all objects that have changed since the last
// call.
func (s *Store) takeDirty() []core.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	var objects []core.Object
	for _, kind := range s.Kinds {
		names := make([]string, 0, len(s.dirty[kind]))
		for name := range s.dirty[kind] {
			names = append(names, name)
		}
		slices.Sort(names)
		delete(s.dirty, kind)
		for _, name := range names {
			objects = append(objects, s.latest(kind, name))
		}
	}
	return objects
}

// latest returns the current state of an object, or a tombstone if the object is unknown.
// The caller holds mu.
func (s *Store) latest(kind core.Kind, name string) core.Object {
	k := s.kinds[kind]
	if o, ok := k.Get(name); ok || o.Deleted {
		return o
	}
	return core.Object{Kind: kind, Name: name, Version: k.Through(), Deleted: true}
}
