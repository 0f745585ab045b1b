package deploy

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"radishwell/core"
	"radishwell/core/orphan"
	"radishwell/io/driver"
	"radishwell/io/events"
	"radishwell/io/loop"
	"radishwell/io/objapi"
	plat "radishwell/platform"
)

// fencePause is the pause after a try to get a fencing number that failed. The
// upstream takes no orders before there is one.
const fencePause = 300 * time.Millisecond

// fence is this agent's fencing number: the store's revision at its start, so
// that it grows from one start to the next.
type fence struct{ number atomic.Uint64 }

func (f *fence) get() (core.Fence, bool) {
	n := f.number.Load()
	return core.Fence(n), n > 0
}

func (p *Process) buildAgent() {
	f := &fence{}
	d := &driver.Driver{
		Self: p.Settings.Name, Clock: p.clock, Meter: p.meter, Fence: f.get,
		Upstream: &plat.Upstream{Address: p.Settings.Managed.Upstream, Client: &http.Client{Transport: objapi.Transport(nil)}},
	}
	d.Start()
	p.handler.Upstream, p.handler.Goal, p.handler.Adapter = d.ServeUpstream, d.ServeGoal, d.ServeAdapter
	p.parts = append(p.parts, d.Run, func(ctx context.Context) error { return p.takeFence(ctx, f) })
}

// start is the record that an agent leaves in the store when it starts.
type start struct {
	Began time.Time `json:"began"`
	// Upstream is the engine beside the agent. While the record is there, nobody else
	// orders that engine.
	Upstream netip.AddrPort `json:"upstream"`
}

// takeFence records the agent's start in the store and takes the revision of
// that record for its fencing number.
func (p *Process) takeFence(ctx context.Context, f *fence) error {
	for {
		number, err := p.recordStart(ctx)
		if err == nil {
			err = p.awaitEntry(ctx)
		}
		if err == nil {
			f.number.Store(number)
			events.Log(events.FenceTaken, "fence", number)
			<-ctx.Done()
			return nil
		}
		events.Fail(events.PlatformUnreachable, err, "kind", core.KindAgent)
		if !loop.Sleep(ctx, fencePause) {
			return nil
		}
	}
}

// awaitEntry waits until no entry orders the engine beside this agent, where one of its
// data centre may have done so before the agent's record was there.
func (p *Process) awaitEntry(ctx context.Context) error {
	_, err := p.store.Get(ctx, core.KindOrders, string(p.Settings.DataCentre))
	var failed *core.PlatformError
	switch {
	case errors.As(err, &failed) && failed.Fault == core.NotFound:
		return nil
	case err != nil:
		return err
	}
	loop.Sleep(ctx, orphan.AgentWait)
	return nil
}

func (p *Process) recordStart(ctx context.Context) (uint64, error) {
	spec, err := json.Marshal(start{Began: p.clock.Now(), Upstream: p.Settings.Managed.Upstream})
	if err != nil {
		return 0, err
	}
	made, err := p.put(ctx, core.Object{Kind: core.KindAgent, Name: string(p.Settings.Name), Spec: spec})
	return uint64(made.Version), err
}
