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

// The platform counts each call, a waiting watch too, and its rates grow more
// slowly than the fleet. So each kind has a fixed number of watchers, which
// all processes work out alike from the names of their peers; the others live
// on what peers bring. Without it, 1,040 processes would hold 8,320 watches.
const (
	// defaultWatchers leaves watchers on each side of most splits and when a
	// wave of 16 hosts fails, and still one in 65 processes only.
	defaultWatchers = 16
	// patience is for how long a process that is no watcher waits for word from
	// the watchers before it watches itself, up to twice that by chance. The
	// platform sends bookmarks each second and with a hundred processes the
	// oldest word was two seconds old; should all watchers be lost at once, an
	// edit still comes into force within eight.
	patience = 5 * time.Second
	// stepDown is for how long such a process then watches: long enough that
	// patience of it does not matter, short enough that a fleet which lost its
	// watchers returns to a few of them within a minute.
	stepDown = 30 * time.Second
	// checkPeriod is how often a process looks whether it has to watch.
	checkPeriod = time.Second

	firstRetry = 100 * time.Millisecond
	maxRetry   = 10 * time.Second
)

// runFeed keeps one kind fed from the platform.
func (s *Store) runFeed(ctx context.Context, kind core.Kind, r *rand.Rand) error {
	f := &feed{Store: s, kind: kind}
	if !slices.Contains(s.Confirm, kind) {
		s.awaitBoot(ctx)
	}
	retry := firstRetry
	for ctx.Err() == nil {
		if !f.needed(s.Clock.Now()) {
			pause(ctx, jitter(r, checkPeriod))
			continue
		}
		err := f.run(ctx)
		if f.heard {
			retry = firstRetry
		}
		if err == nil || ctx.Err() != nil {
			continue
		}
		if s.Failed != nil {
			s.Failed(err)
		}
		var failed *core.PlatformError
		if errors.As(err, &failed) && failed.Fault == core.Gone {
			f.list = true
		}
		pause(ctx, jitter(r, retry))
		retry = min(2*retry, s.MaxRetry)
	}
	return nil
}

// awaitBoot waits for the first exchange with peers. After a wave of restarts
// the platform would otherwise have to list everything to all of them.
func (s *Store) awaitBoot(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.booted:
	}
}

// feed is the feeding of one kind.
type feed struct {
	*Store
	kind core.Kind
	// list tells that the version the replica has is too old to watch from.
	list bool
	// heard tells that the last run got something from the platform.
	heard bool
}

// needed tells whether this process has to read the kind from the platform.
func (f *feed) needed(now time.Time) bool {
	if f.mustList() {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[f.kind]
	return f.isWatcher(f.kind) || now.Sub(k.fresh) > k.patience
}

// mustList tells whether the kind has to be listed first.
func (f *feed) mustList() bool {
	have := f.Status(f.kind)
	return f.list || have.Through == 0 || !have.Confirmed && slices.Contains(f.Confirm, f.kind)
}

// run lists the kind if it has to and watches it while that is needed.
func (f *feed) run(ctx context.Context) error {
	f.heard = false
	if f.mustList() {
		l, err := f.Platform.List(ctx, f.kind)
		if err != nil {
			return err
		}
		f.hear(replic.ListDelta(l))
		f.list = false
	}
	if !f.needed(f.Clock.Now()) {
		return nil
	}
	from := f.Status(f.kind).Through
	w, err := f.Platform.Watch(ctx, f.kind, from)
	if err != nil {
		return err
	}
	defer w.Close()
	// A process that starts takes itself for a watcher until it knows its peers; it steps
	// down as soon as it does.
	stop := f.Clock.Now()
	if !f.watcher() {
		stop = stop.Add(stepDown)
	}
	for {
		change, err := w.Next(ctx)
		if err != nil {
			f.list = f.list || wentSilent(err)
			return err
		}
		d := replic.WatchDelta(from, change)
		f.hear(d)
		from = d.Through
		if f.Clock.Now().After(stop) && !f.watcher() {
			return nil
		}
	}
}

// wentSilent tells whether a watch ended without a word from the platform. All
// watches may be stalled then, while lists are answered: watching anew and no
// more, an edit came into force only when the watches did again.
func wentSilent(err error) bool {
	var failed *core.PlatformError
	return errors.As(err, &failed) && failed.Fault == core.Unknown
}

// hear takes in what the platform itself has said.
func (f *feed) hear(d replic.Delta) {
	f.heard = true
	if f.Reached != nil {
		f.Reached()
	}
	f.join(f.kind, d)
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[f.kind]
	k.fresh = f.Clock.Now()
	k.confirmed = k.confirmed || d.Full
}

func (f *feed) watcher() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isWatcher(f.kind)
}

// isWatcher tells whether this process is among a kind's watchers: those whose
// hashes of kind and name are the smallest. The caller holds mu.
func (s *Store) isWatcher(kind core.Kind) bool {
	own := rankHash(kind, s.Self.Host)
	before := 0
	for _, p := range s.peers.known {
		if rankHash(kind, p.Host) < own {
			before++
		}
	}
	return before < s.Watchers
}

func rankHash(kind core.Kind, host core.HostName) uint64 {
	return xxhash.Sum64String(string(kind) + "/" + string(host))
}

// jitter returns a time between half and one and a half of d.
func jitter(r *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(r.Int64N(int64(d)+1))
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
