package deploy

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"radishwell/core"
	"radishwell/core/lease"
	"radishwell/core/tend"
	"radishwell/io/driver"
	"radishwell/io/events"
	"radishwell/io/loop"
	"radishwell/io/objapi"
	plat "radishwell/platform"
)

const (
	// tendEvery is how often an entry looks after engines without agents.
	tendEvery = 200 * time.Millisecond
	// tenders is how many entries of a data centre, the first by rank, may order such
	// engines: all would ask the store for the lease and the agents' records.
	tenders = 3
)

// tender orders the engines of this entry's data centre that have no agent, while this
// entry holds the lease on them.
type tender struct {
	entry *entry

	mu    sync.Mutex
	lease lease.Lease
	// contends tells that there are such engines, leaving that the process stops.
	contends, leaving bool
	held              map[netip.AddrPort]*tended
	// book belongs to run.
	book tend.Book
}

// tended is an engine that this entry orders.
type tended struct {
	driver *driver.Driver
	stop   context.CancelFunc
}

// bootTime is the time since the host started, as a time. It counts the time for which
// the host was suspended, which the steady clock of the process does not: by that one a
// holder that was suspended would go on to order under a lease which others have taken
// over meanwhile. Steps of the time of day do not move it.
func bootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without the clock no lease is believed in: this is after the end of each.
		events.Fail(events.DecisionFailed, err, "clock", "boottime")
		return time.Unix(math.MaxInt32, 0)
	}
	return time.Unix(ts.Unix())
}

// buildTender sets up what may order engines without agents.
func (e *entry) buildTender() {
	s := e.Settings
	e.tender = &tender{
		entry: e, held: map[netip.AddrPort]*tended{},
		lease: lease.Lease{
			Host: s.Name, Incarnation: core.Incarnation(time.Now().UnixNano()), Kind: core.KindOrders, Name: string(s.DataCentre),
			Term: tend.LeaseTerm, Margin: tend.LeaseMargin,
			// Nothing deletes the object, so where there is none nobody has held it.
			NoPriorHolder: true,
		},
	}
}

// run takes engines on and gives them up until the context ends.
func (t *tender) run(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- t.runLease(ctx) }()
	for loop.Sleep(ctx, tendEvery) {
		t.step(ctx)
	}
	t.giveUp(nil)
	return <-ended
}

// step looks once after the engines without agents.
func (t *tender) step(ctx context.Context) {
	now := bootTime()
	engines := t.engines()
	t.book.See(now, engines, t.entry.links.heardAgent)
	_, holds := t.fence()
	if t.eligible() && t.book.MustList(now, holds) {
		t.list(ctx, now)
	}
	t.mu.Lock()
	t.contends = t.book.Lacks() && !t.leaving
	t.mu.Unlock()
	var alone []netip.AddrPort
	if holds {
		alone = t.book.Alone(now)
	}
	t.giveUp(alone)
	for _, e := range alone {
		t.takeOn(ctx, e)
	}
	t.entry.setOrders(len(alone) > 0)
}

// engines returns the engines of this entry's data centre.
func (t *tender) engines() []netip.AddrPort {
	var out []netip.AddrPort
	for address, e := range t.entry.links.engines() {
		if e.centre == t.entry.Settings.DataCentre {
			out = append(out, address)
		}
	}
	return out
}

// eligible tells whether this entry is among those that look after engines without
// agents.
func (t *tender) eligible() bool {
	self := t.entry.members.self
	before := 0
	for _, m := range t.entry.members.others()[self.DataCentre] {
		if m.Before(self) {
			before++
		}
	}
	return before < tenders
}

// list reads which engines have agents.
func (t *tender) list(ctx context.Context, now time.Time) {
	all, err := t.entry.store.List(ctx, core.KindAgent)
	if err != nil {
		events.Fail(events.PlatformUnreachable, err, "kind", core.KindAgent)
		return
	}
	var agents []netip.AddrPort
	for _, o := range all.Objects {
		var s start
		if err := json.Unmarshal(o.Spec, &s); err != nil {
			events.Fail(events.RegistryEntryUnusable, err, "name", o.Name, "revision", o.Version)
			continue
		}
		agents = append(agents, s.Upstream)
	}
	t.book.Listed(now, agents)
}

// fence returns the fencing number of this entry's orders; false while it may not order.
func (t *tender) fence() (core.Fence, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving {
		return 0, false
	}
	return t.lease.Decides(bootTime())
}

// takeOn begins to order an engine.
func (t *tender) takeOn(ctx context.Context, address netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.held[address] != nil {
		return
	}
	own, stop := context.WithCancel(ctx)
	h := &tended{stop: stop, driver: &driver.Driver{
		Self: t.entry.Settings.Name, Clock: t.entry.clock, Meter: t.entry.meter, Remote: true,
		Fence: func() (core.Fence, bool) {
			if own.Err() != nil {
				return 0, false
			}
			return t.fence()
		},
		Upstream: &plat.Upstream{Address: address, Client: &http.Client{Transport: objapi.Transport(nil)}},
	}}
	h.driver.Start()
	t.held[address] = h
	fence, _ := t.lease.Decides(bootTime())
	events.Log(events.EngineTaken, "address", address, "fence", fence)
	go func() {
		if err := h.driver.Run(own); err != nil {
			events.Fail(events.GoroutineFailed, err, "address", address)
		}
	}()
}

// giveUp ends the orders of all engines but some.
func (t *tender) giveUp(but []netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, h := range t.held {
		if !slices.Contains(but, address) {
			h.stop()
			delete(t.held, address)
			events.Log(events.EngineGivenUp, "address", address)
		}
	}
}

// driver returns what drives the engine at an address for other processes' calls.
func (t *tender) driver(address []byte) (*driver.Driver, error) {
	var a netip.AddrPort
	if err := a.UnmarshalBinary(address); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.held[a]; h != nil {
		return h.driver, nil
	}
	return nil, &NotHeldError{Address: a}
}

// NotHeldError answers a call about an engine that this entry does not order.
type NotHeldError struct{ Address netip.AddrPort }

// Error implements error.
func (e *NotHeldError) Error() string { return "this entry does not order " + e.Address.String() }

// serve has calls about the engines that this entry orders answered like an agent's.
func (t *tender) serve() {
	h := &t.entry.handler
	h.Upstream = serveHeld(t, (*driver.Driver).ServeUpstream)
	h.Goal = serveHeld(t, (*driver.Driver).ServeGoal)
	h.Adapter = serveHeld(t, (*driver.Driver).ServeAdapter)
}

// serveHeld has a kind of call served by the driver of the engine that it names.
func serveHeld[C interface{ GetUpstream() []byte }, R any](t *tender, serve func(*driver.Driver, C) (*R, error)) func(C) (*R, error) {
	return func(c C) (*R, error) {
		d, err := t.driver(c.GetUpstream())
		if err != nil {
			return nil, err
		}
		return serve(d, c)
	}
}

// runLease takes and renews the lease while there are engines without agents.
func (t *tender) runLease(ctx context.Context) error {
	for loop.Sleep(ctx, tendEvery) {
		t.mu.Lock()
		var a lease.Action
		if t.contends {
			a, _ = t.lease.Next(bootTime())
		}
		t.mu.Unlock()
		if a.Call == lease.None {
			continue
		}
		reply := t.call(ctx, a)
		t.mu.Lock()
		t.lease.Answer(bootTime(), reply)
		t.mu.Unlock()
	}
	return nil
}

func (t *tender) call(ctx context.Context, a lease.Action) lease.Reply {
	var o core.Object
	var err error
	switch a.Call {
	case lease.Read:
		o, err = t.entry.store.Get(ctx, core.KindOrders, string(t.entry.Settings.DataCentre))
	case lease.Create:
		o, err = t.entry.store.Create(ctx, a.Object)
	default:
		o, err = t.entry.store.Update(ctx, a.Object)
	}
	if err == nil {
		return lease.Reply{Object: o}
	}
	fault := core.Unknown
	var failed *core.PlatformError
	if errors.As(err, &failed) {
		fault = failed.Fault
	}
	if fault != core.NotFound {
		events.Fail(events.PlatformUnreachable, err, "kind", core.KindOrders)
	}
	return lease.Reply{Failed: true, Fault: fault}
}

// leave ends all orders at a planned stop. The lease is not handed over but lapses: the
// next holder's orders have to be seconds after this one's.
func (t *tender) leave() {
	t.mu.Lock()
	t.leaving, t.contends = true, false
	t.mu.Unlock()
	t.giveUp(nil)
}
