package driver_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/cached"
	"radishwell/io/driver"
	"radishwell/wire"
)

// cachedUpstream is an upstream that tells what it keeps. Its fields are changed by set.
type cachedUpstream struct {
	*fakeUpstream
	epoch int
	// events are those of the epoch, of which the first lost are told no more.
	events []core.CachedPart
	lost   int
	// silent makes calls hang until their context ends or it is reset, and refuses makes them fail.
	silent, refuses bool
	calls, lists    int
}

func newCachedUpstream() *cachedUpstream {
	return &cachedUpstream{fakeUpstream: newUpstream("a"), epoch: 1}
}

func part(id string) core.CachedPart { return core.CachedPart{Model: "a", ID: id, Tokens: 2000} }

func dropped(id string) core.CachedPart { return core.CachedPart{Model: "a", ID: id, Dropped: true} }

func (k *cachedUpstream) keep(parts ...core.CachedPart) {
	k.set(func() { k.events = append(k.events, parts...) })
}

// restart begins another incarnation with the same id.
func (k *cachedUpstream) restart() {
	k.set(func() {
		k.state.Born++
		k.epoch++
		k.events, k.lost = nil, 0
	})
}

func (k *cachedUpstream) mark() core.CachedMark {
	return core.CachedMark{Epoch: fmt.Sprint(k.epoch), Next: int64(len(k.events))}
}

// CachedSince implements core.CachedReporter.
func (k *cachedUpstream) CachedSince(ctx context.Context, since core.CachedMark) (core.CachedNews, error) {
	for range 50 {
		time.Sleep(10 * time.Millisecond)
		k.mu.Lock()
		ready := !k.silent && (k.refuses || k.mark() != since)
		k.mu.Unlock()
		if ready || ctx.Err() != nil {
			break
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls++
	if k.refuses {
		return core.CachedNews{}, &core.EngineError{Fault: core.EngineRejected, Status: 404}
	}
	if k.silent {
		return core.CachedNews{}, &core.EngineError{Fault: core.EngineLost}
	}
	from := int(since.Next)
	news := core.CachedNews{Mark: k.mark(), Gap: from < k.lost}
	if first := max(from, k.lost); first < len(k.events) {
		news.Parts = append(news.Parts, k.events[first:]...)
	}
	return news, nil
}

// CachedAll implements core.CachedReporter.
func (k *cachedUpstream) CachedAll(context.Context) (core.CachedNews, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lists++
	news := core.CachedNews{Mark: k.mark()}
	held := map[string]core.CachedPart{}
	for _, p := range k.events {
		if held[p.ID] = p; p.Dropped {
			delete(held, p.ID)
		}
	}
	for _, p := range held {
		news.Parts = append(news.Parts, p)
	}
	return news, nil
}

// cachedReader is an entry that learns from a driver what its upstream keeps.
type cachedReader struct {
	set         cached.Set
	seen, epoch uint64
	engine      cached.Engine
}

func (r *cachedReader) poll(t *testing.T, d *driver.Driver, wanted ...string) {
	t.Helper()
	call := &wire.UpstreamCall{Entry: "entry-1", Control: "entry-1:1", SeenCached: r.seen, CachedEpoch: r.epoch}
	for _, id := range wanted {
		call.Wanted = append(call.Wanted, cached.Key(cached.Hash("a", "", id)))
	}
	out, err := d.ServeUpstream(call)
	assert.NilError(t, err)
	if out.GetCachedEpoch() == 0 {
		return // nothing has changed
	}
	r.seen, r.epoch = out.GetCachedChange(), out.GetCachedEpoch()
	if k := out.GetCached(); k != nil {
		r.engine = cached.Engine{ID: core.HostName(k.GetInstance()), Born: k.GetBorn()}
		r.set.Apply(r.seen, cached.Delta{Whole: k.GetWhole(), Added: k.GetAdded(), Dropped: k.GetDropped()})
	}
}

// wantCached asserts that the reader knows of just these parts.
func (r *cachedReader) wantCached(t *testing.T, ids ...string) {
	t.Helper()
	assert.Equal(t, r.set.Len(), len(ids))
	for _, id := range ids {
		assert.Assert(t, r.set.Has(cached.Key(cached.Hash("a", "", id))), id)
	}
}

func runCached(t *testing.T, test func(u *cachedUpstream, d *driver.Driver, r *cachedReader)) {
	t.Helper()
	u := newCachedUpstream()
	runDriverAt(t, u, false, func(d *driver.Driver) { test(u, d, &cachedReader{}) })
}

func TestCached(t *testing.T) {
	runCached(t, func(u *cachedUpstream, d *driver.Driver, r *cachedReader) {
		u.keep(part("x"), part("y"), part("own"))
		time.Sleep(100 * time.Millisecond)
		r.poll(t, d, "x", "y", "z")
		r.wantCached(t, "x", "y") // what nobody wants is not told
		u.keep(part("z"), dropped("x"), part("own-2"))
		time.Sleep(100 * time.Millisecond)
		r.poll(t, d)
		r.wantCached(t, "y", "z")
		r.poll(t, d, "own")
		r.wantCached(t, "y", "z", "own")
		assert.Equal(t, u.lists, 0)
	})
}

// TestCachedEventsLost: the engine has forgotten events that the agent has not read. It must list what is
// kept, and not again for each gap, since a list delays the engine's work.
func TestCachedEventsLost(t *testing.T) {
	runCached(t, func(u *cachedUpstream, d *driver.Driver, r *cachedReader) {
		u.keep(part("x"), part("y"))
		time.Sleep(100 * time.Millisecond)
		r.poll(t, d, "x", "y", "z")
		u.set(func() { u.silent = true })
		time.Sleep(time.Second)
		u.keep(dropped("x"), part("z"))
		u.set(func() { u.lost, u.silent = 4, false })
		time.Sleep(3 * time.Second)
		r.poll(t, d)
		r.wantCached(t, "y", "z")
		assert.Equal(t, u.lists, 1)
		for range 5 {
			u.keep(part("w"))
			u.set(func() { u.lost = len(u.events) })
			time.Sleep(300 * time.Millisecond)
		}
		assert.Equal(t, u.lists, 1)
	})
}

// TestCachedEndsWithTheIncarnation: the engine restarts under the same id, which ends all that it kept.
func TestCachedEndsWithTheIncarnation(t *testing.T) {
	runCached(t, func(u *cachedUpstream, d *driver.Driver, r *cachedReader) {
		u.keep(part("x"))
		time.Sleep(100 * time.Millisecond)
		r.poll(t, d, "x", "y")
		r.wantCached(t, "x")
		u.restart()
		u.keep(part("y"))
		time.Sleep(time.Second)
		r.poll(t, d)
		r.wantCached(t, "y")
		assert.Equal(t, r.engine.Born, int64(2))
	})
}

// TestUpstreamTellsNothing: an engine that cannot tell what it keeps must not be asked time and again.
func TestUpstreamTellsNothing(t *testing.T) {
	runCached(t, func(u *cachedUpstream, d *driver.Driver, r *cachedReader) {
		u.set(func() { u.refuses = true })
		time.Sleep(20 * time.Second)
		r.poll(t, d, "x")
		r.wantCached(t)
		assert.Assert(t, u.calls <= 3, "%d calls", u.calls)
	})
}

// TestEntryLosesCached: an entry that starts again, or that was frozen while more changed than the agent
// remembers, must learn all of it with one reply.
func TestEntryLosesCached(t *testing.T) {
	runCached(t, func(u *cachedUpstream, d *driver.Driver, r *cachedReader) {
		r.poll(t, d, "x", "y")
		u.keep(part("x"))
		time.Sleep(100 * time.Millisecond)
		r.poll(t, d)
		for i := range 600 {
			u.keep([]core.CachedPart{part("y"), dropped("y")}[i%2])
			time.Sleep(20 * time.Millisecond)
		}
		u.keep(part("y"))
		time.Sleep(100 * time.Millisecond)
		r.poll(t, d)
		r.wantCached(t, "x", "y")
		again := &cachedReader{}
		again.poll(t, d)
		again.wantCached(t, "x", "y")
	})
}
