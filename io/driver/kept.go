package driver

import (
	"context"
	"errors"
	"time"

	"radishwell/core"
	"radishwell/core/kept"
	"radishwell/io/events"
	"radishwell/io/loop"
	"radishwell/io/peer"
	"radishwell/wire"
)

const (
	// keptRetryPause is the pause after a failed call for what the engine keeps, and keptListPause
	// the least time between two lists of all of it, which delay its work.
	keptRetryPause = 2 * time.Second
	keptListPause  = 10 * time.Second
	// keptRefusedPause is the pause after an upstream has refused to tell, as one that cannot does.
	keptRefusedPause = 30 * time.Second
	// minKeptTokens is the size from which a part is worth telling: a smaller one is read again in
	// less time than entries differ by in what they know.
	minKeptTokens = 512
	// maxParts bounds the parts that are remembered as kept, and as wanted.
	maxParts = 4096
)

// keptParts is what the upstream's current incarnation keeps. Driver.mu guards it.
type keptParts struct {
	// all are the parts that it keeps, wanted those that entries want, and set holds the parts that
	// are in both, which are told.
	all, wanted map[uint32]bool
	set         kept.Set
	mark        core.KeptMark
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

// followKept follows what the upstream keeps until the context ends. It returns at once if the
// upstream does not tell, or is on another host, where the calls would cost more than they gain.
func (d *Driver) followKept(ctx context.Context) {
	reporter, ok := d.Upstream.(core.KeptReporter)
	if !ok || d.Remote {
		return
	}
	for ctx.Err() == nil {
		err := d.updateKept(ctx, reporter)
		var fault *core.EngineError
		switch {
		case errors.As(err, &fault) && fault.Fault == core.EngineRejected:
			loop.Sleep(ctx, keptRefusedPause)
		case err != nil:
			loop.Sleep(ctx, keptRetryPause)
		}
	}
}

// updateKept makes one call for news.
func (d *Driver) updateKept(ctx context.Context, reporter core.KeptReporter) error {
	d.mu.Lock()
	since := d.kept.mark
	d.mu.Unlock()
	news, err := reporter.KeptSince(ctx, since)
	if err != nil || !d.applyKept(since, news) {
		return err
	}
	all, err := reporter.KeptAll(ctx)
	if err != nil {
		return err
	}
	d.replaceKept(all)
	return nil
}

// applyKept records news that were asked for from a mark on, and reports whether all has to be listed.
func (d *Driver) applyKept(since core.KeptMark, news core.KeptNews) (list bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := &d.kept
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
	k.listAfter = now.Add(keptListPause)
	return true
}

// replaceKept records a list of all that the upstream keeps.
func (d *Driver) replaceKept(all core.KeptNews) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := &d.kept
	if all.Mark.Epoch != k.mark.Epoch {
		return // of another incarnation; its events come next
	}
	k.clear()
	k.mark = all.Mark
	k.put(all.Parts)
	events.Log(events.KeptListed, "parts", len(k.all))
}

func (k *keptParts) put(parts []core.KeptPart) {
	for _, p := range parts {
		key := kept.Key(kept.Hash(p.Model, p.Adapter, p.ID))
		if p.Dropped || p.Tokens < minKeptTokens {
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
func (k *keptParts) want(keys []uint32) bool {
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
func (k *keptParts) clear() {
	k.change++
	k.set.Reset(k.change)
	k.all = nil
}

// end forgets what an incarnation kept that has ended.
func (k *keptParts) end() {
	k.clear()
	k.mark, k.known = core.KeptMark{}, false
}

// KeptLen returns the number of parts that the upstream is known to keep.
func (d *Driver) KeptLen() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.kept.all)
}

// recordWanted records the parts that an entry wants. The caller holds mu.
func (d *Driver) recordWanted(c *wire.UpstreamCall) {
	if len(c.GetWanted()) > 0 && !d.kept.want(c.GetWanted()) {
		d.epoch++
	}
}

// addKept adds to a reply what has changed since the caller's last one. The caller holds mu.
func (d *Driver) addKept(c *wire.UpstreamCall, out *wire.UpstreamReply) {
	seen := c.GetSeenKept()
	if c.GetKeptEpoch() != d.epoch || seen > d.kept.change {
		seen = 0
	}
	if !d.kept.known || seen == d.kept.change && seen != 0 {
		return // nothing is sent, not even the numbers: there are many polls
	}
	out.KeptChange, out.KeptEpoch = d.kept.change, d.epoch
	u := kept.Update{Delta: d.kept.set.Since(seen)}
	u.ID, u.Born = d.incarnations.Current(), d.state.Born
	if !u.Empty() {
		out.Kept = peer.EncodeKept(u)
	}
}
