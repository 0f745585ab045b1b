package deploy

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"radishwell/core"
	"radishwell/core/lease"
	"radishwell/core/orphan"
	"radishwell/io/awake"
	"radishwell/io/driver"
	"radishwell/io/events"
	"radishwell/io/loop"
	"radishwell/io/objapi"
	"radishwell/io/reply"
	plat "radishwell/platform"
)

const (
	// orderInterval is the interval at which an entry checks for engines without agents.
	orderInterval = 200 * time.Millisecond
	// maxOrderers is the number of entries per data centre, the first by rank, that may order
	// such engines. If all did, all would read the lease and the agents' records from the
	// store.
	maxOrderers = 3
	// agentPingTimeout bounds asking agents whether they respond.
	agentPingTimeout = 500 * time.Millisecond
)

// orderer orders the engines in this entry's data centre that have no agent, that is, it has
// them load and unload models. It does so while this entry holds the lease on them.
type orderer struct {
	entry *entry

	mu    sync.Mutex
	lease lease.Lease
	// wantsLease is set while there are engines without agents, and stopping once the process
	// stops.
	wantsLease, stopping bool
	// driven are the engines that this entry orders.
	driven map[netip.AddrPort]*orderedEngine
	// tracker decides which engines have no agent, by the agents' records in an era of the
	// store. Only run and what it calls use them.
	tracker orphan.Tracker
	era     uint64
	// answered are the engines whose agents have answered this entry when it asked them.
	answered map[netip.AddrPort]bool
}

// orderedEngine is an engine that this entry orders.
type orderedEngine struct {
	driver *driver.Driver
	stop   context.CancelFunc
}

// bootTime returns the time since the host booted, as a time.Time. It includes the time for
// which the host was suspended, which the monotonic clock of the process does not. By that
// clock, a lease holder that was suspended would continue to order engines after another
// entry has taken over the lease. Steps of the wall clock do not affect it.
func bootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without the clock every lease has to count as expired.
		events.Fail(events.DecisionFailed, err, "clock", "boottime")
		return time.Unix(math.MaxInt32, 0)
	}
	return time.Unix(ts.Unix())
}

// buildOrderer sets up the ordering of engines without agents.
func (e *entry) buildOrderer() {
	s := e.Settings
	e.orderer = &orderer{
		entry: e, driven: map[netip.AddrPort]*orderedEngine{}, answered: map[netip.AddrPort]bool{},
		lease: lease.Lease{
			Host: s.Name, Incarnation: core.Incarnation(time.Now().UnixNano()), Kind: core.KindOrders, Name: string(s.DataCentre),
			Term: orphan.LeaseTerm, Margin: orphan.LeaseMargin,
		},
	}
}

// run starts and stops ordering engines until the context ends.
func (r *orderer) run(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- r.runLease(ctx) }()
	for loop.Sleep(ctx, orderInterval) {
		r.step(ctx)
	}
	r.stopOrdering(nil)
	return <-ended
}

// step updates the set of engines that this entry orders.
func (r *orderer) step(ctx context.Context) {
	now := bootTime()
	engines := r.engines()
	if era := r.entry.storeEra(); era > r.era {
		r.era = era
		r.tracker.NoteRestore()
	}
	maps.DeleteFunc(r.answered, func(address netip.AddrPort, _ bool) bool { return !slices.Contains(engines, address) })
	responded := func(address netip.AddrPort) bool { return r.answered[address] || r.entry.links.agentResponded(address) }
	r.tracker.SetEngines(now, engines, responded)
	_, holdsLease := r.fence()
	if r.eligible() && r.tracker.MustReadRecords(now, holdsLease) {
		r.stopOrdering(r.tracker.WithoutAgent(now.Add(agentPingTimeout))) // the records read may expire meanwhile
		r.pingAgents(ctx, r.tracker.Unresponsive(now))
		now = bootTime()
		r.tracker.SetEngines(now, engines, responded)
		r.listAgents(ctx, now)
	}
	r.mu.Lock()
	r.wantsLease = r.tracker.AnyWithoutAgent() && !r.stopping
	r.mu.Unlock()
	var withoutAgent []netip.AddrPort
	if holdsLease {
		withoutAgent = r.tracker.WithoutAgent(now)
	}
	r.stopOrdering(withoutAgent)
	for _, e := range withoutAgent {
		r.startOrdering(ctx, e)
	}
	r.entry.setOrders(len(withoutAgent) > 0)
}

// engines returns the addresses of the engines in this entry's data centre.
func (r *orderer) engines() []netip.AddrPort {
	var out []netip.AddrPort
	for address, e := range r.entry.links.engines() {
		if e.centre == r.entry.Settings.DataCentre {
			out = append(out, address)
		}
	}
	return out
}

// eligible reports whether this entry is among those that may order engines without agents.
func (r *orderer) eligible() bool {
	self := r.entry.members.self
	before := 0
	for _, m := range r.entry.members.others()[self.DataCentre] {
		if m.Before(self) {
			before++
		}
	}
	return before < maxOrderers
}

// pingAgents asks the agents of engines whether they respond. An entry that gets its reports from a relay
// polls no agents itself, and their records may be lost or name another address of the engine.
func (r *orderer) pingAgents(ctx context.Context, engines []netip.AddrPort) {
	ctx, stop := awake.WithTimeout(ctx, agentPingTimeout)
	defer stop()
	answers := make(chan netip.AddrPort, len(engines))
	for _, address := range engines {
		go func() {
			if r.entry.client.Ping(ctx, r.entry.links.agentTarget(address)) != nil {
				address = netip.AddrPort{} // there may be no agent
			}
			answers <- address
		}()
	}
	for range engines {
		if address := <-answers; address.IsValid() {
			r.answered[address] = true
		}
	}
}

// listAgents reads from the store which engines have agents.
func (r *orderer) listAgents(ctx context.Context, now time.Time) {
	all, err := r.entry.store.List(ctx, core.KindAgent)
	if err != nil {
		events.Fail(events.PlatformUnreachable, err, "kind", core.KindAgent)
		return
	}
	var agents []netip.AddrPort
	for _, o := range all.Objects {
		var s startRecord
		if err := json.Unmarshal(o.Spec, &s); err != nil {
			events.Fail(events.RegistryEntryUnusable, err, "name", o.Name, "revision", o.Version)
			continue
		}
		agents = append(agents, s.Upstream)
	}
	r.tracker.SetRecords(now, agents)
}

// fence returns the fencing number of this entry's orders; false while it may not order
// engines.
func (r *orderer) fence() (core.Fence, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return 0, false
	}
	return r.lease.Decides(bootTime())
}

// startOrdering starts ordering an engine.
func (r *orderer) startOrdering(ctx context.Context, address netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.driven[address] != nil {
		return
	}
	own, stop := context.WithCancel(ctx)
	h := &orderedEngine{stop: stop, driver: &driver.Driver{
		Self: r.entry.Settings.Name, Clock: r.entry.clock, Meter: r.entry.meter, Remote: true,
		Fence: func() (core.Fence, bool) {
			if own.Err() != nil {
				return 0, false
			}
			return r.fence()
		},
		Upstream: &plat.Upstream{Address: address, Client: reply.NewClient(objapi.Transport(nil))},
	}}
	h.driver.Start()
	r.driven[address] = h
	fence, _ := r.lease.Decides(bootTime())
	events.Log(events.EngineTaken, "address", address, "fence", fence)
	go func() {
		if err := h.driver.Run(own); err != nil {
			events.Fail(events.GoroutineFailed, err, "address", address)
		}
	}()
}

// stopOrdering stops ordering all engines except those given.
func (r *orderer) stopOrdering(except []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, h := range r.driven {
		if !slices.Contains(except, address) {
			h.stop()
			delete(r.driven, address)
			events.Log(events.EngineGivenUp, "address", address)
		}
	}
}

// driverOf returns the driver of the engine at an encoded address, for calls of other
// processes. Its error is a NotHeldError if this entry does not order the engine.
func (r *orderer) driverOf(address []byte) (*driver.Driver, error) {
	var a netip.AddrPort
	if err := a.UnmarshalBinary(address); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if h := r.driven[a]; h != nil {
		return h.driver, nil
	}
	return nil, &NotHeldError{Address: a}
}

// NotHeldError is the reply to a call about an engine that this entry does not order.
type NotHeldError struct{ Address netip.AddrPort }

// Error implements error.
func (e *NotHeldError) Error() string { return "this entry does not order " + e.Address.String() }

// serve registers handlers of the calls that agents serve, for the engines that this entry
// orders.
func (r *orderer) serve() {
	h := &r.entry.handler
	h.Upstream = serveOrdered(r, (*driver.Driver).ServeUpstream)
	h.Goal = serveOrdered(r, (*driver.Driver).ServeGoal)
	h.Adapter = serveOrdered(r, (*driver.Driver).ServeAdapter)
}

// serveOrdered returns a handler that passes a call to the driver of the engine that the call
// names.
func serveOrdered[C interface{ GetUpstream() []byte }, R any](r *orderer, serve func(*driver.Driver, C) (*R, error)) func(C) (*R, error) {
	return func(c C) (*R, error) {
		d, err := r.driverOf(c.GetUpstream())
		if err != nil {
			return nil, err
		}
		return serve(d, c)
	}
}

// runLease acquires and renews the lease while there are engines without agents.
func (r *orderer) runLease(ctx context.Context) error {
	for loop.Sleep(ctx, orderInterval) {
		r.mu.Lock()
		var a lease.Action
		if r.wantsLease {
			a, _ = r.lease.Next(bootTime())
		}
		r.mu.Unlock()
		if a.Call == lease.None {
			continue
		}
		reply := r.callStore(ctx, a)
		r.mu.Lock()
		// The object is never deleted, so if it does not exist there was no holder, unless a
		// restore of the store has lost it.
		r.lease.NoPriorHolder = r.entry.storeEra() == 0
		r.lease.Answer(bootTime(), reply)
		r.mu.Unlock()
	}
	return nil
}

// callStore makes the call to the store that the lease asks for.
func (r *orderer) callStore(ctx context.Context, a lease.Action) lease.Reply {
	var o core.Object
	var err error
	switch a.Call {
	case lease.Read:
		o, err = r.entry.store.Get(ctx, core.KindOrders, string(r.entry.Settings.DataCentre))
	case lease.Create:
		o, err = r.entry.store.Create(ctx, a.Object)
	default:
		o, err = r.entry.store.Update(ctx, a.Object)
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

// stop ends all orders at a planned stop. The lease is not released but expires, since the
// orders of the next holder must come seconds after those of this one.
func (r *orderer) stop() {
	r.mu.Lock()
	r.stopping, r.wantsLease = true, false
	r.mu.Unlock()
	r.stopOrdering(nil)
}
