package deploy

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync/atomic"
	"time"

	"radishwell/core"
	"radishwell/core/orphan"
	"radishwell/io/driver"
	"radishwell/io/events"
	"radishwell/io/loop"
	"radishwell/io/objapi"
	"radishwell/io/reply"
	"radishwell/io/resume"
	plat "radishwell/platform"
)

// fenceRetryPause is the pause after a failed attempt to get a fencing number. The agent cannot
// order the upstream before it has one.
const fenceRetryPause = 300 * time.Millisecond

// fence is this agent's fencing number, zero while it has none. It is the version of the
// agent's record in the store, which is written at the agent's start and again after a restore
// of the store, so it increases from one write to the next.
type fence struct {
	number atomic.Uint64
	// storeEra is the highest known era of the store. restored receives a value when it grows.
	storeEra atomic.Uint64
	restored chan struct{}
}

func (f *fence) get() (core.Fence, bool) {
	n := f.number.Load()
	return core.Fence(n), n > 0
}

// noteRestore records a new era of the store, in which the agent's record may be lost.
func (f *fence) noteRestore(era uint64) {
	f.storeEra.Store(max(era, f.storeEra.Load()))
	loop.Wake(f.restored)
}

// isStored reports whether the record was written in the latest known era of the store.
func (f *fence) isStored() bool { return core.Version(f.number.Load()).Era() >= f.storeEra.Load() }

// buildAgent sets up the parts of an agent.
func (p *Process) buildAgent() {
	f := &fence{restored: make(chan struct{}, 1)}
	d := &driver.Driver{
		Self: p.Settings.Name, Clock: p.clock, Meter: p.meter, Fence: f.get, OnRestore: f.noteRestore,
		Upstream: &plat.Upstream{Address: p.Settings.Managed.Upstream, Client: reply.NewClient(objapi.Transport(nil))},
	}
	d.Start()
	streams := &resume.Holder{Clock: p.clock}
	p.handler.Keep, p.handler.Find = streams.ServeKeep, streams.ServeFind
	p.handler.Upstream, p.handler.Goal, p.handler.Adapter, p.handler.Room = d.ServeUpstream, d.ServeGoal, d.ServeAdapter, d.ServeRoom
	p.parts = append(p.parts, d.Run, func(ctx context.Context) error { return p.takeFence(ctx, f) })
}

// startRecord is the record that an agent writes to the store when it starts.
type startRecord struct {
	Began time.Time `json:"began"`
	// Upstream is the address of the agent's engine. While the record exists, no entry orders
	// that engine.
	Upstream netip.AddrPort `json:"upstream"`
}

// takeFence writes the agent's record and uses the record's version as the fencing number. It
// retries until it succeeds, does so again after each restore of the store, and returns when
// the context ends.
func (p *Process) takeFence(ctx context.Context, f *fence) error {
	for {
		number, err := p.recordStart(ctx)
		if err == nil {
			err = p.awaitEntry(ctx)
		}
		if err != nil {
			events.Fail(events.PlatformUnreachable, err, "kind", core.KindAgent)
			if !loop.Sleep(ctx, fenceRetryPause) {
				return nil
			}
			continue
		}
		f.number.Store(number)
		events.Log(events.FenceTaken, "fence", number)
		for f.isStored() {
			select {
			case <-ctx.Done():
				return nil
			case <-f.restored:
			}
		}
		if !loop.Sleep(ctx, fenceRetryPause) {
			return nil
		}
	}
}

// awaitEntry waits until no entry orders this agent's engine. An entry of its data centre
// may have done so until the agent's record existed.
func (p *Process) awaitEntry(ctx context.Context) error {
	_, err := p.store.Get(ctx, core.KindOrders, string(p.Settings.DataCentre))
	switch {
	case isFault(err, core.NotFound):
		return nil
	case err != nil:
		return err
	}
	loop.Sleep(ctx, orphan.AgentWait)
	return nil
}

// recordStart writes the record of the agent's start and returns its revision.
func (p *Process) recordStart(ctx context.Context) (uint64, error) {
	spec, err := json.Marshal(startRecord{Began: p.clock.Now(), Upstream: p.Settings.Managed.Upstream})
	if err != nil {
		return 0, err
	}
	made, err := p.createOrUpdate(ctx, core.Object{Kind: core.KindAgent, Name: string(p.Settings.Name), Spec: spec})
	return uint64(made.Version), err
}
