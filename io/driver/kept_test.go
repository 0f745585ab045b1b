package driver_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/kept"
	"radishwell/io/driver"
	"radishwell/wire"
)

// keptUpstream is an upstream that tells what it keeps. Its fields are changed by set.
type keptUpstream struct {
	*fakeUpstream
	epoch int
	// events are those of the epoch, of which the first lost are told no more.
	events []core.KeptPart
	lost   int
	// silent makes calls hang until their context ends or it is reset, and refuses makes them fail.
	silent, refuses bool
	calls, lists    int
}

func newKeptUpstream() *keptUpstream { return &keptUpstream{fakeUpstream: newUpstream("a"), epoch: 1} }

func part(id string) core.KeptPart { return core.KeptPart{Model: "a", ID: id, Tokens: 2000} }

func dropped(id string) core.KeptPart { return core.KeptPart{Model: "a", ID: id, Dropped: true} }

func (k *keptUpstream) keep(parts ...core.KeptPart) {
	k.set(func() { k.events = append(k.events, parts...) })
}

// restart begins another incarnation with the same id.
func (k *keptUpstream) restart() {
	k.set(func() {
		k.state.Born++
		k.epoch++
		k.events, k.lost = nil, 0
	})
}

func (k *keptUpstream) mark() core.KeptMark {
	return core.KeptMark{Epoch: fmt.Sprint(k.epoch), Next: int64(len(k.events))}
}

// KeptSince implements core.KeptReporter.
func (k *keptUpstream) KeptSince(ctx context.Context, since core.KeptMark) (core.KeptNews, error) {
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
		return core.KeptNews{}, &core.EngineError{Fault: core.EngineRejected, Status: 404}
	}
	if k.silent {
		return core.KeptNews{}, &core.EngineError{Fault: core.EngineLost}
	}
	from := int(since.Next)
	news := core.KeptNews{Mark: k.mark(), Gap: from < k.lost}
	if first := max(from, k.lost); first < len(k.events) {
		news.Parts = append(news.Parts, k.events[first:]...)
	}
	return news, nil
}

// KeptAll implements core.KeptReporter.
func (k *keptUpstream) KeptAll(context.Context) (core.KeptNews, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lists++
	news := core.KeptNews{Mark: k.mark()}
	held := map[string]core.KeptPart{}
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

// keptReader is an entry that learns from a driver what its upstream keeps.
type keptReader struct {
	set         kept.Set
	seen, epoch uint64
	engine      kept.Engine
}

func (r *keptReader) poll(t *testing.T, d *driver.Driver, wanted ...string) {
	t.Helper()
	call := &wire.UpstreamCall{Entry: "entry-1", Control: "entry-1:1", SeenKept: r.seen, KeptEpoch: r.epoch}
	for _, id := range wanted {
		call.Wanted = append(call.Wanted, kept.Key(kept.Hash("a", "", id)))
	}
	out, err := d.ServeUpstream(call)
	assert.NilError(t, err)
	if out.GetKeptEpoch() == 0 {
		return // nothing has changed
	}
	r.seen, r.epoch = out.GetKeptChange(), out.GetKeptEpoch()
	if k := out.GetKept(); k != nil {
		r.engine = kept.Engine{ID: core.HostName(k.GetInstance()), Born: k.GetBorn()}
		r.set.Apply(r.seen, kept.Delta{Whole: k.GetWhole(), Added: k.GetAdded(), Dropped: k.GetDropped()})
	}
}

// wantKept asserts that the reader knows of just these parts.
func (r *keptReader) wantKept(t *testing.T, ids ...string) {
	t.Helper()
	assert.Equal(t, r.set.Len(), len(ids))
	for _, id := range ids {
		assert.Assert(t, r.set.Has(kept.Key(kept.Hash("a", "", id))), id)
	}
}

func runKept(t *testing.T, test func(u *keptUpstream, d *driver.Driver, r *keptReader)) {
	t.Helper()
	u := newKeptUpstream()
	runDriverAt(t, u, false, func(d *driver.Driver) { test(u, d, &keptReader{}) })
}

func TestKept(t *testing.T) {
	runKept(t, func(u *keptUpstream, d *driver.Driver, r *keptReader) {
		u.keep(part("x"), part("y"), part("own"))
		time.Sleep(100 * time.Millisecond)
		r.poll(t, d, "x", "y", "z")
		r.wantKept(t, "x", "y") // what nobody wants is not told
		u.keep(part("z"), dropped("x"), part("own-2"))
		time.Sleep(100 * time.Millisecond)
		r.poll(t, d)
		r.wantKept(t, "y", "z")
		r.poll(t, d, "own")
		r.wantKept(t, "y", "z", "own")
		assert.Equal(t, u.lists, 0)
	})
}

// TestKeptEventsLost: the engine has forgotten events that the agent has not read. It must list what is
// kept, and not again for each gap, since a list delays the engine's work.
func TestKeptEventsLost(t *testing.T) {
	runKept(t, func(u *keptUpstream, d *driver.Driver, r *keptReader) {
		u.keep(part("x"), part("y"))
		time.Sleep(100 * time.Millisecond)
		r.poll(t, d, "x", "y", "z")
		u.set(func() { u.silent = true })
		time.Sleep(time.Second)
		u.keep(dropped("x"), part("z"))
		u.set(func() { u.lost, u.silent = 4, false })
		time.Sleep(3 * time.Second)
		r.poll(t, d)
		r.wantKept(t, "y", "z")
		assert.Equal(t, u.lists, 1)
		for range 5 {
			u.keep(part("w"))
			u.set(func() { u.lost = len(u.events) })
			time.Sleep(300 * time.Millisecond)
		}
		assert.Equal(t, u.lists, 1)
	})
}

// TestKeptEndsWithTheIncarnation: the engine restarts under the same id, which ends all that it kept.
func TestKeptEndsWithTheIncarnation(t *testing.T) {
	runKept(t, func(u *keptUpstream, d *driver.Driver, r *keptReader) {
		u.keep(part("x"))
		time.Sleep(100 * time.Millisecond)
		r.poll(t, d, "x", "y")
		r.wantKept(t, "x")
		u.restart()
		u.keep(part("y"))
		time.Sleep(time.Second)
		r.poll(t, d)
		r.wantKept(t, "y")
		assert.Equal(t, r.engine.Born, int64(2))
	})
}

// TestUpstreamTellsNothing: an engine that cannot tell what it keeps must not be asked time and again.
func TestUpstreamTellsNothing(t *testing.T) {
	runKept(t, func(u *keptUpstream, d *driver.Driver, r *keptReader) {
		u.set(func() { u.refuses = true })
		time.Sleep(20 * time.Second)
		r.poll(t, d, "x")
		r.wantKept(t)
		assert.Assert(t, u.calls <= 3, "%d calls", u.calls)
	})
}

// TestEntryLosesKept: an entry that starts again, or that was frozen while more changed than the agent
// remembers, must learn all of it with one reply.
func TestEntryLosesKept(t *testing.T) {
	runKept(t, func(u *keptUpstream, d *driver.Driver, r *keptReader) {
		r.poll(t, d, "x", "y")
		u.keep(part("x"))
		time.Sleep(100 * time.Millisecond)
		r.poll(t, d)
		for i := range 600 {
			u.keep([]core.KeptPart{part("y"), dropped("y")}[i%2])
			time.Sleep(20 * time.Millisecond)
		}
		u.keep(part("y"))
		time.Sleep(100 * time.Millisecond)
		r.poll(t, d)
		r.wantKept(t, "x", "y")
		again := &keptReader{}
		again.poll(t, d)
		again.wantKept(t, "x", "y")
	})
}
