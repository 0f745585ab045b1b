package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishwell/core"
	"radishwell/core/replic"
)

// The platform counts each call, including a waiting watch, and its rate limits grow more
// slowly than the fleet. Each kind is therefore watched by a fixed number of processes.
// All processes derive the same watchers from the names of their peers; the others get
// changes from peers. Without this, 1,040 processes would hold 8,320 watches.
const (
	// defaultWatchers is large enough that watchers remain on each side of most network
	// splits and when 16 hosts fail at once, and is still only one in 65 processes.
	defaultWatchers = 16
	// defaultFallbackDelay is how long a process that is not a watcher goes without fresh data
	// before it watches itself; a random part of up to the same length is added. The
	// platform sends bookmarks each second, and with a hundred processes the replicas
	// were at most two seconds old. If all watchers are lost at once, an edit still takes
	// effect within eight seconds.
	defaultFallbackDelay = 5 * time.Second
	// fallbackWatchTime is how long such a process then watches: long enough that
	// the delay is small compared with it, short enough that a fleet that lost its
	// watchers returns to a few of them within a minute.
	fallbackWatchTime = 30 * time.Second
	// checkPeriod is how often a process checks whether it has to watch.
	checkPeriod = time.Second

	minRetry = 100 * time.Millisecond
	maxRetry = 10 * time.Second
)

// runReflector keeps the replica of one kind up to date from the platform until ctx ends.
func (s *Store) runReflector(ctx context.Context, kind core.Kind, rng *rand.Rand) error {
	r := &reflector{Store: s, kind: kind}
	if !slices.Contains(s.Confirm, kind) {
		s.awaitFirstSync(ctx)
	}
	retry := minRetry
	for ctx.Err() == nil {
		if !r.needed(s.Clock.Now()) {
			sleep(ctx, jitter(rng, checkPeriod))
			continue
		}
		err := r.run(ctx)
		if r.received {
			retry = minRetry
		}
		if err == nil || ctx.Err() != nil {
			continue
		}
		if s.OnError != nil {
			s.OnError(err)
		}
		var failed *core.PlatformError
		if errors.As(err, &failed) && failed.Fault == core.Gone {
			r.relist = true
		}
		sleep(ctx, jitter(rng, retry))
		retry = min(2*retry, s.MaxRetry)
	}
	return nil
}

// awaitFirstSync waits for the first exchange with peers. Otherwise, after many restarts
// at once, the platform would have to list every kind to each process.
func (s *Store) awaitFirstSync(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.firstSync:
	}
}

// reflector lists and watches one kind on the platform.
type reflector struct {
	*Store
	kind core.Kind
	// relist is set if the replica's version is too old to watch from, or the watches may
	// be stalled.
	relist bool
	// received is set if the current or last run received data from the platform.
	received bool
}

// needed reports whether this process has to read the kind from the platform.
func (r *reflector) needed(now time.Time) bool {
	if r.mustList() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kinds[r.kind]
	return r.isWatcherLocked(r.kind) || now.Sub(k.freshAt) > k.fallbackDelay
}

// mustList reports whether the kind has to be listed before it is watched.
func (r *reflector) mustList() bool {
	status := r.Status(r.kind)
	return r.relist || status.Through == 0 || !status.Confirmed && slices.Contains(r.Confirm, r.kind)
}

// run lists the kind if necessary and watches it for as long as that is needed.
func (r *reflector) run(ctx context.Context) error {
	r.received = false
	if r.mustList() {
		began := r.Clock.Now()
		l, err := r.Platform.List(ctx, r.kind)
		if err != nil {
			return err
		}
		if held := r.Status(r.kind).Through; l.Version < held {
			if r.OnOlderList != nil {
				r.OnOlderList(r.kind, l.Version, held)
			}
			began = time.Time{} // the platform confirms nothing
		}
		r.apply(replic.ListDelta(l), began) // the list may have changed since
		r.relist = false
	}
	if !r.needed(r.Clock.Now()) {
		return nil
	}
	through := r.Status(r.kind).Through
	w, err := r.Platform.Watch(ctx, r.kind, through)
	if err != nil {
		return err
	}
	defer w.Close()
	// A process that starts counts itself as a watcher until it knows its peers. It stops
	// watching as soon as it knows them and is not one.
	watchUntil := r.Clock.Now()
	if !r.isWatcher() {
		watchUntil = watchUntil.Add(fallbackWatchTime)
	}
	for {
		change, err := w.Next(ctx)
		if err != nil {
			r.relist = r.relist || mayBeStalled(err)
			return err
		}
		d := replic.WatchDelta(through, change)
		r.apply(d, r.Clock.Now())
		through = d.Through
		if r.Clock.Now().After(watchUntil) && !r.isWatcher() {
			return nil
		}
	}
}

// mayBeStalled reports whether a watch ended with no reason given by the platform. All
// watches may then be stalled while lists still work, so the kind is listed again: with a
// new watch alone, an edit took effect only once the watches had recovered.
func mayBeStalled(err error) bool {
	var failed *core.PlatformError
	return errors.As(err, &failed) && failed.Fault == core.Unknown
}

// apply joins a delta that the platform itself has sent, and that lacked nothing at the given
// time, if it is not zero.
func (r *reflector) apply(d replic.Delta, at time.Time) {
	r.received = true
	if r.OnReceived != nil {
		r.OnReceived()
	}
	way := WayWatch
	if d.Full {
		way = WayList
	}
	r.join(r.kind, d, Arrival{Way: way})
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kinds[r.kind]
	if at.After(k.freshAt) {
		k.freshAt = at
	}
	k.confirmed = k.confirmed || d.Full
}

func (r *reflector) isWatcher() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isWatcherLocked(r.kind)
}

// isWatcherLocked reports whether this process is a watcher of a kind. The watchers are
// the processes with the smallest hashes of kind and host name. The caller holds mu.
func (s *Store) isWatcherLocked(kind core.Kind) bool {
	own := rankHash(kind, s.Self.Host)
	rank := 0
	for _, p := range s.peers.known {
		if rankHash(kind, p.Host) < own {
			rank++
		}
	}
	return rank < s.Watchers
}

func rankHash(kind core.Kind, host core.HostName) uint64 {
	return xxhash.Sum64String(string(kind) + "/" + string(host))
}

// jitter returns a random duration between half and one and a half of d.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(rng.Int64N(int64(d)+1))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
