package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/replic"
	"radishwell/io/loop"
	"radishwell/wire"
)

// Store holds the replicas of a process's kinds and keeps them up to date from
// the platform and from peers. Its exported fields are set before first use;
// its methods may be called from several goroutines.
type Store struct {
	// Self is this process as peers reach it.
	Self Target
	// Kinds are the kinds replicated.
	Kinds []core.Kind
	// Confirm are the kinds that this process lists from the platform itself as
	// soon as it can, whatever peers have sent. Agents name grants here. Other
	// kinds are listed only if peers do not bring them.
	Confirm  []core.Kind
	Platform core.Platform
	Client   *Client
	// Clock is the time by which ages count; the real one where nil.
	Clock core.Clock
	// Peers returns the other processes known at present. It is called about
	// once a second and must not call back into the Store's Run.
	Peers func() []Target
	// Near, if set, tells whether a peer is in this process's data centre. Most exchanges
	// are with these: what is exchanged between data centres is paid for.
	Near func(Target) bool
	// Watchers is how many processes watch each kind; zero stands for
	// defaultWatchers.
	Watchers int
	// MaxRetry bounds the pause after a failed read of the platform; zero stands
	// for maxRetry.
	MaxRetry time.Duration
	// Seed seeds the choice of peers and all jitter.
	Seed uint64

	// Changed is told of the latest state of objects that changed, deletions
	// included, from one goroutine. Changes of one object that follow each
	// other closely are told once.
	Changed func([]core.Object)
	// Marked is told of marks that are new or were extended by much, from
	// several goroutines.
	Marked func([]Mark)
	// Strikes returns the strikes to tell peers; Struck takes in those of
	// peers and tells whether any of them was news. Both are called from
	// several goroutines.
	Strikes func() []*wire.Strike
	Struck  func([]*wire.Strike) bool
	// Reached, if set, is told of each answer of the platform itself.
	Reached func()
	// Failed, if set, is told of each failed call: a PlatformError or an error
	// of Client.
	Failed func(error)
	// Behind, if set, is told of each replica that has lacked a change for lagTime, and
	// again, with a Lag that is over, when it has the change. It must not call back.
	Behind func(Lag)

	once  sync.Once
	mu    sync.Mutex
	kinds map[core.Kind]*kindState
	dirty map[core.Kind]map[string]bool
	soft  softState
	peers peerView
	// booted is closed when the first exchange with peers is over.
	booted chan struct{}
	// notify, kick and pull wake the goroutines of Run.
	notify chan struct{}
	kick   chan struct{}
	pull   chan Target
	// downloads are the payloads in transit; fetch wakes the goroutine that downloads them.
	downloads map[blobID]*download
	fetch     chan struct{}
	// packs caches payloads served to peers.
	packs map[blobID]*packed
}

// kindState is the replica of one kind and what is known of its age.
type kindState struct {
	replic.Replica
	// confirmed tells that the platform itself has listed the kind since start.
	confirmed bool
	// fresh is when the platform said last, to this process or to a peer, that
	// there was nothing beyond what the replica has.
	fresh time.Time
	// patience is how old fresh may be before this process watches the kind
	// though it is not among the kind's watchers.
	patience time.Duration
	lag      lagState
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
	s.booted = make(chan struct{})
	s.notify = make(chan struct{}, 1)
	s.kick = make(chan struct{}, 1)
	s.pull = make(chan Target, maxPulls)
	s.fetch = make(chan struct{}, 1)
	s.downloads, s.packs = map[blobID]*download{}, map[blobID]*packed{}
	r := s.rand(0)
	s.peers = peerView{rand: r, near: s.Near}
	for _, kind := range s.Kinds {
		s.kinds[kind] = &kindState{patience: patience + time.Duration(r.Int64N(int64(patience)))}
	}
}

// rand returns a source of its own for one goroutine.
func (s *Store) rand(goroutine uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.Seed, goroutine))
}

// Run keeps the replicas up to date until ctx ends, then returns nil.
func (s *Store) Run(ctx context.Context) error {
	s.init()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error)
	running := 3
	go func() { ended <- s.runNotify(ctx) }()
	go func() { ended <- s.runFetch(ctx) }()
	go func() { ended <- s.runSync(ctx) }()
	for i, kind := range s.Kinds {
		running++
		go func() { ended <- s.runFeed(ctx, kind, s.rand(uint64(i)+2)) }()
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

// Get returns an object; false where there is none.
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

// All returns all objects of a kind in the order of their names.
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

// Status is what is known of a kind's replica.
type Status struct {
	// Through is the version up to which nothing is missing; zero means that
	// neither the platform nor a peer has sent the kind yet.
	Through core.Version
	// Objects counts the objects held.
	Objects int
	// Confirmed tells that the platform itself has listed the kind to this
	// process since it started.
	Confirmed bool
	// Fresh is when the platform said last, to any process that this one heard
	// of, that there was nothing newer; zero if it never did.
	Fresh time.Time
}

// Status returns what is known of a kind's replica.
func (s *Store) Status(kind core.Kind) Status {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	if k == nil {
		return Status{}
	}
	return Status{Through: k.Through(), Objects: k.Len(), Confirmed: k.confirmed, Fresh: k.fresh}
}

// Confirmed tells whether the platform itself has listed a kind to this
// process since it started. A peer's copy of a grant may be older than what
// the process released before it was restarted, so an agent loads nothing
// before the grants are confirmed.
func (s *Store) Confirmed(kind core.Kind) bool { return s.Status(kind).Confirmed }

// Learn takes in objects that the platform has just returned to this process,
// such as the answer to a write of its own.
func (s *Store) Learn(objects ...core.Object) {
	s.init()
	for _, o := range objects {
		d := replic.Delta{From: o.Version, Through: o.Version, Objects: []core.Object{o}}
		s.join(o.Kind, d)
	}
}

// join takes in a delta of a kind and tells whether any object changed.
func (s *Store) join(kind core.Kind, d replic.Delta) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	if k == nil {
		return false
	}
	notes := k.Join(d)
	s.noteLag(kind, k)
	if len(notes) == 0 {
		return false
	}
	names := s.dirty[kind]
	if names == nil {
		names = map[string]bool{}
		s.dirty[kind] = names
	}
	for _, o := range notes {
		names[o.Name] = true
	}
	loop.Poke(s.notify)
	loop.Poke(s.kick)
	return true
}

// runNotify tells Changed what changed. The joins never wait for it: changes
// gather by name, so that what waits is bounded by the number of objects.
func (s *Store) runNotify(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.notify:
		}
		if objects := s.takeDirty(); len(objects) > 0 && s.Changed != nil {
			s.Changed(objects)
		}
	}
}

// takeDirty returns the present state of all objects that changed.
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
			objects = append(objects, s.present(kind, name))
		}
	}
	return objects
}

// present returns an object or what stands for its deletion. The caller holds
// mu.
func (s *Store) present(kind core.Kind, name string) core.Object {
	k := s.kinds[kind]
	if o, ok := k.Get(name); ok || o.Deleted {
		return o
	}
	return core.Object{Kind: kind, Name: name, Version: k.Through(), Deleted: true}
}
