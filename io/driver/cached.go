package driver

import (
	"context"
	"errors"
	"time"

	"radishwell/core"
	"radishwell/core/cached"
	"radishwell/io/events"
	"radishwell/io/loop"
	"radishwell/io/peer"
	"radishwell/wire"
)

const (
	// cachedRetryPause is the pause after a failed call for what the engine keeps, and cachedListPause
	// the least time between two lists of all of it, which delay its work.
	cachedRetryPause = 2 * time.Second
	cachedListPause  = 10 * time.Second
	// cachedRefusedPause is the pause after an upstream has refused to tell, as one that cannot does.
	cachedRefusedPause = 30 * time.Second
	// minCachedTokens is the size from which a part is worth telling: a smaller one is read again in
	// less time than entries differ by in what they know.
	minCachedTokens = 512
	// maxParts bounds the parts that are remembered as kept, and as wanted.
	maxParts = 4096
)

// cachedParts is what the upstream's current incarnation keeps. Driver.mu guards it.
type cachedParts struct {
	// all are the parts that it keeps, wanted those that entries want, and set holds the parts that
	// are in both, which are told.
	all, wanted map[uint32]bool
	set         cached.Set
	mark        core.CachedMark
	// change numbers the changes, from the start of this process.
	change uint64
	// known is set once the upstream has told anything.
	known bool
	// listAfter is when all may be listed again.
	listAfter time.Time
}

// newEpoch returns a small number that differs from that of the process before with all likelihood; it
// travels with each poll.
func newEpoch(now time.Time) uint64 { return 1 + uint64(now.UnixMilli())%(1<<14) }

// followCached follows what the upstream keeps until the context ends. It returns at once if the
// upstream does not tell, or is on another host, where the calls would cost more than they gain.
func (d *Driver) followCached(ctx context.Context) {
	reporter, ok := d.Upstream.(core.CachedReporter)
	if !ok || d.Remote {
		return
	}
	for ctx.Err() == nil {
		err := d.updateCached(ctx, reporter)
		var fault *core.EngineError
		switch {
		case errors.As(err, &fault) && fault.Fault == core.EngineRejected:
			loop.Sleep(ctx, cachedRefusedPause)
		case err != nil:
			loop.Sleep(ctx, cachedRetryPause)
		}
	}
}

// updateCached makes one call for news.
func (d *Driver) updateCached(ctx context.Context, reporter core.CachedReporter) error {
	d.mu.Lock()
	since := d.cached.mark
	d.mu.Unlock()
	news, err := reporter.CachedSince(ctx, since)
	if err != nil || !d.applyCached(since, news) {
		return err
	}
	all, err := reporter.CachedAll(ctx)
	if err != nil {
		return err
	}
	d.replaceCached(all)
	return nil
}

// applyCached records news that were asked for from a mark on, and reports whether all has to be listed.
func (d *Driver) applyCached(since core.CachedMark, news core.CachedNews) (list bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := &d.cached
	if k.mark != since {
		return false // the incarnation has ended during the call
	}
	if news.Mark.Epoch != since.Epoch {
		k.clear()
	}
	k.change++
	gap := news.Gap || since.Epoch != "" && news.Mark.Epoch != since.Epoch
	k.known, k.mark = true, news.Mark
	k.put(news.Parts)
	now := d.Clock.Now()
	if !gap || now.Before(k.listAfter) {
		return false
	}
	k.listAfter = now.Add(cachedListPause)
	return true
}

// replaceCached records a list of all that the upstream keeps.
func (d *Driver) replaceCached(all core.CachedNews) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := &d.cached
	if all.Mark.Epoch != k.mark.Epoch {
		return // of another incarnation; its events come next
	}
	k.clear()
	k.mark = all.Mark
	k.put(all.Parts)
	events.Log(events.CachedListed, "parts", len(k.all))
}

func (k *cachedParts) put(parts []core.CachedPart) {
	for _, p := range parts {
		key := cached.Key(cached.Hash(p.Model, p.Adapter, p.ID))
		if p.Dropped || p.Tokens < minCachedTokens {
			delete(k.all, key)
			k.set.Drop(k.change, key)
			continue
		}
		if k.all == nil || len(k.all) >= maxParts {
			k.all = map[uint32]bool{}
		}
		k.all[key] = true
		if k.wanted[key] {
			k.set.Put(k.change, key)
		}
	}
}

// want records parts that an entry wants. It reports false if there are too many: then all entries
// have to tell again.
func (k *cachedParts) want(keys []uint32) bool {
	k.change++
	enough := true
	for _, key := range keys {
		if k.wanted == nil || len(k.wanted) >= maxParts {
			enough = k.wanted == nil
			k.wanted = map[uint32]bool{}
		}
		k.wanted[key] = true
		if k.all[key] {
			k.set.Put(k.change, key)
		}
	}
	return enough
}

// clear forgets what is kept.
func (k *cachedParts) clear() {
	k.change++
	k.set.Reset(k.change)
	k.all = nil
}

// end forgets what an incarnation kept that has ended.
func (k *cachedParts) end() {
	k.clear()
	k.mark, k.known = core.CachedMark{}, false
}

// CachedLen returns the number of parts that the upstream is known to keep.
func (d *Driver) CachedLen() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.cached.all)
}

// recordWanted records the parts that an entry wants. The caller holds mu.
func (d *Driver) recordWanted(c *wire.UpstreamCall) {
	if len(c.GetWanted()) > 0 && !d.cached.want(c.GetWanted()) {
		d.epoch++
	}
}

// addCached adds to a reply what has changed since the caller's last one. The caller holds mu.
func (d *Driver) addCached(c *wire.UpstreamCall, out *wire.UpstreamReply) {
	seen := c.GetSeenCached()
	if c.GetCachedEpoch() != d.epoch || seen > d.cached.change {
		seen = 0
	}
	if !d.cached.known || seen == d.cached.change && seen != 0 {
		return // nothing is sent, not even the numbers: there are many polls
	}
	out.CachedChange, out.CachedEpoch = d.cached.change, d.epoch
	u := cached.Update{Delta: d.cached.set.Since(seen)}
	u.ID, u.Born = d.incarnations.Current(), d.state.Born
	if !u.Empty() {
		out.Cached = peer.EncodeCached(u)
	}
}
