package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/replic"
	"radishwell/io/events"
)

// storedKinds are the kinds that every process keeps a replica of.
var storedKinds = []core.Kind{
	core.KindOwner, core.KindService, core.KindModel, core.KindAdapter, core.KindHost, core.KindGrant, core.KindLease,
}

const (
	listTime    = 5 * time.Second
	watchPause  = 200 * time.Millisecond
	watchJitter = 800 * time.Millisecond
)

// store holds the replicas of a process.
type store struct {
	platform core.Platform
	changed  func([]core.Object)

	mu        sync.Mutex
	replicas  map[core.Kind]*replic.Replica
	confirmed map[core.Kind]bool
}

func newStore(platform core.Platform, changed func([]core.Object)) *store {
	s := &store{platform: platform, changed: changed, replicas: map[core.Kind]*replic.Replica{}, confirmed: map[core.Kind]bool{}}
	for _, k := range storedKinds {
		s.replicas[k] = &replic.Replica{}
	}
	return s
}

// Confirmed tells that the platform itself has been read since the start.
func (s *store) Confirmed(kind core.Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed[kind]
}

// Took joins an object that this process has just written.
func (s *store) Took(o core.Object) {
	s.join(o.Kind, replic.Delta{From: o.Version, Through: o.Version, Objects: []core.Object{o}}, false)
}

// Leave tells peers that this process is leaving.
func (s *store) Leave() {}

func (s *store) join(kind core.Kind, d replic.Delta, confirm bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	notes := s.replicas[kind].Join(d)
	s.confirmed[kind] = s.confirmed[kind] || confirm
	if len(notes) > 0 {
		s.changed(notes)
	}
}

// run feeds the replicas from the platform until the context ends.
func (s *store) run(ctx context.Context) error {
	ended := make(chan struct{}, len(storedKinds))
	for _, k := range storedKinds {
		go func() { s.follow(ctx, k); ended <- struct{}{} }()
	}
	for range storedKinds {
		<-ended
	}
	return nil
}

// follow lists one kind and watches it, again and again.
func (s *store) follow(ctx context.Context, kind core.Kind) {
	var from core.Version
	for ctx.Err() == nil {
		var err error
		if from == 0 {
			from, err = s.list(ctx, kind)
		}
		if err == nil {
			from, err = s.watch(ctx, kind, from)
		}
		var fault *core.PlatformError
		if errors.As(err, &fault) && fault.Fault == core.Gone {
			from = 0
		}
		if ctx.Err() == nil {
			events.Fail(events.WatchRestarted, err, "kind", kind)
			sleep(ctx, watchPause+rand.N(watchJitter))
		}
	}
}

func (s *store) list(ctx context.Context, kind core.Kind) (core.Version, error) {
	ctx, stop := context.WithTimeout(ctx, listTime)
	defer stop()
	l, err := s.platform.List(ctx, kind)
	if err != nil {
		return 0, err
	}
	s.join(kind, replic.ListDelta(l), true)
	return l.Version, nil
}

func (s *store) watch(ctx context.Context, kind core.Kind, from core.Version) (core.Version, error) {
	w, err := s.platform.Watch(ctx, kind, from)
	if err != nil {
		return from, err
	}
	defer w.Close()
	for {
		c, err := w.Next(ctx)
		if err != nil {
			return from, err
		}
		c.Object.Kind = kind
		s.join(kind, replic.WatchDelta(from, c), true)
		from = max(from, c.Object.Version)
	}
}
