package node

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/catlog"
	"radishwell/core/lease"
	"radishwell/core/place"
	"radishwell/io/events"
	"radishwell/io/loop"
)

const (
	// roundInterval is the time between two rounds of the decider, and
	// roundBudget the most grants it writes in one: 60 writes a second, a sixth
	// of what the platform accepts.
	roundInterval = 500 * time.Millisecond
	roundBudget   = 30
	// maxConcurrentWrites bounds the decider's writes in flight.
	maxConcurrentWrites = 8
	// listTimeout bounds the list call for one kind.
	listTimeout = 5 * time.Second
	// writeTimeout bounds one call to the platform that writes or gets an object.
	writeTimeout = 2 * time.Second
	// statusBudget is the most catalogue statuses written in one round.
	statusBudget = 20
)

// decider decides for the fleet which hosts may load which models, in the form of
// grants. Every entry has one and keeps its state current; only the holder of the
// lease writes.
type decider struct {
	self     core.HostName
	clock    core.Clock
	platform core.Platform
	fleet    *fleetView

	mu      sync.Mutex
	lease   lease.Lease
	planner place.Planner
	decides bool
	// demand adds up the entries' reports. All sums are passed to the planner
	// again at nextFullUpdate.
	demand         place.Sums
	nextFullUpdate time.Time
	wake           chan struct{}
	// listedFence is the fencing number under which all objects were last listed.
	// Only run uses it.
	listedFence core.Fence
	// onChange is called when this entry begins or ceases to be the decider.
	// first is set if there was no decider before it. The caller holds mu.
	onChange func(deciding, first bool)
}

func newDecider(self core.HostName, incarnation core.Incarnation, clock core.Clock, platform core.Platform, f *fleetView) *decider {
	return &decider{
		self: self, clock: clock, platform: platform, fleet: f,
		lease: lease.Lease{Host: self, Incarnation: incarnation}, wake: make(chan struct{}, 1),
		onChange: func(bool, bool) {},
	}
}

// observe records an object that the process has received.
func (d *decider) observe(o core.Object) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch o.Kind {
	case core.KindLease:
		if o.Name == lease.Name {
			d.lease.ObserveObject(d.clock.Now(), o)
		}
	case core.KindHost:
		d.observeHost(o)
	case core.KindGrant:
		d.observeGrant(o)
	}
	loop.Wake(d.wake)
}

func (d *decider) observeHost(o core.Object) {
	if o.Deleted {
		d.planner.RemoveHost(place.HostID{Host: core.HostName(o.Name), UID: o.UID})
		return
	}
	var s core.HostSpec
	if json.Unmarshal(o.Spec, &s) != nil || s.Role != core.UpstreamHost {
		return
	}
	d.planner.SetHost(place.Host{
		Name: core.HostName(o.Name), UID: o.UID, Service: s.Service, DataCentre: s.DataCentre, Rack: s.Rack,
		Accelerators: s.Accelerators, Memory: s.Memory, State: s.State,
	})
}

func (d *decider) observeGrant(o core.Object) {
	name := core.ModelName(o.Name)
	if o.Deleted {
		d.planner.DeleteGrant(name, o.Version)
		return
	}
	var s core.GrantSpec
	if json.Unmarshal(o.Spec, &s) != nil {
		return
	}
	d.lease.ObserveFence(s.Fence)
	d.planner.SetGrant(name, s, o.Version)
}

// applyCatalogue passes changes of the catalogue to the planner.
func (d *decider) applyCatalogue(list []catlog.Report, s *catlog.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range list {
		switch r.Kind {
		case core.KindModel, core.KindAdapter:
			d.setEntry(r, s)
		case core.KindOwner:
			d.setOwner(core.OwnerName(r.Name), s)
		}
	}
	loop.Wake(d.wake)
}

// setEntry passes a model or adapter to the planner. An entry that is pending
// because an object that it refers to is missing keeps its grants: it is not served
// in the meantime and comes back at the same version.
func (d *decider) setEntry(r catlog.Report, s *catlog.Snapshot) {
	name := core.ModelName(r.Name)
	e, ok := s.Model(name)
	if r.Deleted {
		d.planner.DeleteEntry(name, r.Version)
	}
	if !ok {
		return
	}
	d.planner.SetEntry(place.Entry{
		Name: name, Version: e.Version, Owner: e.Owner, Service: e.Target.Service, Class: e.Class, Memory: e.Memory,
		Accelerators: e.Accelerators, Replicas: e.Limits.Replicas, Base: e.Target.Base,
	})
}

func (d *decider) setOwner(name core.OwnerName, s *catlog.Snapshot) {
	var limit core.Bytes
	if a, ok := s.Account(name); ok {
		limit = a.Limits.Memory
	}
	d.planner.SetOwner(name, limit)
}

// holder returns the entry that holds the lease, as far as this one knows.
func (d *decider) holder() core.HostName {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lease.Holder()
}

// isDeciding reports whether this entry is the decider.
func (d *decider) isDeciding() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, decides := d.lease.Decides(d.clock.Now())
	return decides
}

// run acquires or renews the lease and decides while this entry holds it, until ctx
// ends. It waits until known reports true. fresh reports whether this process itself
// has read the grants from the platform.
func (d *decider) run(ctx context.Context, known, fresh func() bool) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-d.wake:
			// Changes arrive in bursts; one round handles all that have arrived.
		case <-ctx.Done():
			d.stepDown()
			return nil
		}
		// A process without a full replica can't decide, so it doesn't ask for
		// the lease either.
		if known() {
			d.updatePriorHolder(fresh())
			d.keepLease(ctx)
			d.round(ctx)
		}
		timer.Reset(roundInterval)
	}
}

// updatePriorHolder records in the lease whether there can have been a decider
// before. Only if this process itself has read the grants from the platform (fresh)
// does their absence show that there was none.
func (d *decider) updatePriorHolder(fresh bool) {
	none := fresh && d.fleet.noGrants()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lease.NoPriorHolder = none
}

// keepLease makes the platform calls that core/lease asks for.
func (d *decider) keepLease(ctx context.Context) {
	for ctx.Err() == nil {
		d.mu.Lock()
		action, _ := d.lease.Next(d.clock.Now())
		d.mu.Unlock()
		if action.Call == lease.None {
			break
		}
		o, err := d.callLease(ctx, action)
		d.mu.Lock()
		d.lease.Answer(d.clock.Now(), leaseReply(o, err))
		d.mu.Unlock()
	}
	d.recordTerm()
}

func (d *decider) callLease(ctx context.Context, a lease.Action) (core.Object, error) {
	ctx, stop := context.WithTimeout(ctx, writeTimeout)
	defer stop()
	switch a.Call {
	case lease.Create:
		return d.platform.Create(ctx, a.Object)
	case lease.Update:
		return d.platform.Update(ctx, a.Object)
	default:
		return d.platform.Get(ctx, core.KindLease, lease.Name)
	}
}

func leaseReply(o core.Object, err error) lease.Reply {
	if err == nil {
		return lease.Reply{Object: o}
	}
	return lease.Reply{Failed: true, Fault: faultOf(err)}
}

// faultOf returns the fault of a platform call. For an error of another type it
// returns core.Unknown: the call may have taken effect.
func faultOf(err error) core.PlatformFault {
	var known *core.PlatformError
	if errors.As(err, &known) {
		return known.Fault
	}
	return core.Unknown
}

// recordTerm records and logs when this entry begins or ceases to be the decider, and
// calls onChange.
func (d *decider) recordTerm() {
	d.mu.Lock()
	defer d.mu.Unlock()
	fence, decides := d.lease.Decides(d.clock.Now())
	if decides == d.decides {
		return
	}
	d.decides = decides
	d.onChange(decides, d.lease.NoPriorHolder)
	if decides {
		events.Log(events.LeaseTaken, "host", d.self, "fence", fence)
		return
	}
	events.Log(events.LeaseLost, "host", d.self)
}

// round writes the grants that are due and the statuses of catalogue entries, if
// this entry is the decider.
func (d *decider) round(ctx context.Context) {
	d.mu.Lock()
	fence, decides := d.lease.Decides(d.clock.Now())
	if !decides {
		d.mu.Unlock()
		return
	}
	d.mu.Unlock()
	if !d.listAll(ctx, fence) {
		return
	}
	d.mu.Lock()
	unknown := d.planner.UnknownHolders()
	writes := d.planner.Round(d.clock.Now(), fence, roundBudget)
	d.mu.Unlock()
	for _, id := range unknown {
		d.verifyHolder(ctx, id)
	}
	d.writeAll(ctx, writes)
	d.writeStatuses(ctx)
}

// listAll lists all objects from the platform once per fencing number and reports
// whether that has succeeded. Copies from peers may be outdated, and a decision based
// on an older catalogue entry or older grants would have to be revoked.
func (d *decider) listAll(ctx context.Context, fence core.Fence) bool {
	if d.listedFence == fence {
		return true
	}
	for _, kind := range storedKinds() {
		call, stop := context.WithTimeout(ctx, listTimeout)
		l, err := d.platform.List(call, kind)
		stop()
		if err != nil {
			events.Fail(events.DecisionFailed, err, "kind", kind)
			return false
		}
		for i := range l.Objects {
			l.Objects[i].Kind = kind
		}
		d.fleet.apply(l.Objects)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listedFence = fence
	d.planner.CatalogueListed()
	return true
}

// verifyHolder asks the platform whether it still lists a holder's host, and removes
// the host from the planner if not.
func (d *decider) verifyHolder(ctx context.Context, id place.HostID) {
	ctx, stop := context.WithTimeout(ctx, writeTimeout)
	defer stop()
	o, err := d.platform.Get(ctx, core.KindHost, string(id.Host))
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err == nil && o.UID == id.UID:
		d.observeHost(o)
	case err == nil, faultOf(err) == core.NotFound:
		d.planner.RemoveHost(id)
	}
}

// writeStatuses writes the statuses of catalogue entries for operators. Only the
// decider does, so that they have one writer.
func (d *decider) writeStatuses(ctx context.Context) {
	for _, o := range d.fleet.dueStatuses(statusBudget) {
		call, stop := context.WithTimeout(ctx, writeTimeout)
		_, err := d.platform.UpdateStatus(call, o)
		stop()
		if err != nil && faultOf(err) != core.Conflict {
			events.Fail(events.StatusNotWritten, err, "kind", o.Kind, "name", o.Name)
			return
		}
	}
}

// stepDown releases the lease at a planned stop, so that another entry need not wait
// until it expires.
func (d *decider) stepDown() {
	d.mu.Lock()
	o, ok := d.lease.StepDown()
	d.mu.Unlock()
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), writeTimeout)
	defer stop()
	// If the call fails, the lease expires at the end of its term.
	_, _ = d.platform.Update(ctx, o)
}
