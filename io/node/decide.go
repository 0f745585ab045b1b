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
	// roundTime is the time between two looks of the decider, and roundBudget
	// the most grants it writes in one: 60 writes a second, a sixth of what the
	// platform takes.
	roundTime   = 500 * time.Millisecond
	roundBudget = 30
	// writersAtOnce bounds the decider's writes in flight.
	writersAtOnce = 8
	// relistTime bounds the list of one kind.
	relistTime = 5 * time.Second
	// writeTime bounds one call of the platform.
	writeTime = 2 * time.Second
	// statusBudget is the most catalogue statuses written in one round.
	statusBudget = 20
)

// decider is the part of an entry that may decide for the fleet. Every entry has
// one and keeps its view; only the holder of the lease writes.
type decider struct {
	self     core.HostName
	clock    core.Clock
	platform core.Platform
	world    *world

	mu      sync.Mutex
	lease   lease.Lease
	planner place.Planner
	decides bool
	// demand adds up the entries' reports; the planner hears of all sums again
	// at retellAt.
	demand   place.Sums
	retellAt time.Time
	poke     chan struct{}
	// listedAt is the fencing number under which everything was read last. It
	// belongs to run.
	listedAt core.Fence
	// took is told when this entry begins and ends to decide, and whether nobody
	// has decided before it.
	took func(in, fresh bool)
}

func newDecider(self core.HostName, incarnation core.Incarnation, clock core.Clock, platform core.Platform, w *world) *decider {
	return &decider{
		self: self, clock: clock, platform: platform, world: w,
		lease: lease.Lease{Host: self, Incarnation: incarnation}, poke: make(chan struct{}, 1),
		took: func(bool, bool) {},
	}
}

// seen takes an object that the process has learnt of.
func (d *decider) seen(o core.Object) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch o.Kind {
	case core.KindLease:
		if o.Name == lease.Name {
			d.lease.ObserveObject(d.clock.Now(), o)
		}
	case core.KindHost:
		d.seenHost(o)
	case core.KindGrant:
		d.seenGrant(o)
	}
	loop.Poke(d.poke)
}

func (d *decider) seenHost(o core.Object) {
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

func (d *decider) seenGrant(o core.Object) {
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

// reported takes changes of the catalogue in force.
func (d *decider) reported(list []catlog.Report, s *catlog.Snapshot) {
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
	loop.Poke(d.poke)
}

// setEntry tells the planner of a model or adapter. One that is merely pending,
// since what it refers to is not there yet, keeps its grants: it is not served
// meanwhile, and comes back at the same version.
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

// holder returns which entry decides, as far as this one knows.
func (d *decider) holder() core.HostName {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lease.Holder()
}

// deciding tells whether this entry decides at present.
func (d *decider) deciding() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, decides := d.lease.Decides(d.clock.Now())
	return decides
}

// run keeps the lease and, while this entry holds it, decides.
func (d *decider) run(ctx context.Context, known, fresh func() bool) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-d.poke:
			// Changes come in bursts; the next look takes them together.
		case <-ctx.Done():
			d.stepDown()
			return nil
		}
		// A process that has not read everything from the platform could not
		// decide anything, so it does not ask for the lease either.
		if known() {
			d.listed(fresh())
			d.keepLease(ctx)
			d.round(ctx)
		}
		timer.Reset(roundTime)
	}
}

// listed tells the lease what the platform holds. Fresh tells that this process
// itself has read the grants: only then does their absence mean that nobody has
// decided before.
func (d *decider) listed(fresh bool) {
	blank := fresh && d.world.blank()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lease.NoPriorHolder = blank
}

// keepLease makes the calls that the lease asks for.
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
	d.noteLease()
}

func (d *decider) callLease(ctx context.Context, a lease.Action) (core.Object, error) {
	ctx, stop := context.WithTimeout(ctx, writeTime)
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

// faultOf classes a platform's error; one that is none of its own leaves open
// whether the call took effect.
func faultOf(err error) core.PlatformFault {
	var known *core.PlatformError
	if errors.As(err, &known) {
		return known.Fault
	}
	return core.Unknown
}

func (d *decider) noteLease() {
	d.mu.Lock()
	defer d.mu.Unlock()
	fence, decides := d.lease.Decides(d.clock.Now())
	if decides == d.decides {
		return
	}
	d.decides = decides
	d.took(decides, d.lease.NoPriorHolder)
	if decides {
		events.Log(events.LeaseTaken, "host", d.self, "fence", fence)
		return
	}
	events.Log(events.LeaseLost, "host", d.self)
}

// round writes the grants that are due, and the statuses of catalogue entries.
func (d *decider) round(ctx context.Context) {
	d.mu.Lock()
	fence, decides := d.lease.Decides(d.clock.Now())
	if !decides {
		d.mu.Unlock()
		return
	}
	d.mu.Unlock()
	if !d.relist(ctx, fence) {
		return
	}
	d.mu.Lock()
	unproven := d.planner.UnknownHolders()
	writes := d.planner.Round(d.clock.Now(), fence, roundBudget)
	d.mu.Unlock()
	for _, id := range unproven {
		d.prove(ctx, id)
	}
	d.writeAll(ctx, writes)
	d.writeStatuses(ctx)
}

// relist reads everything from the platform once under each fencing number. What
// peers have brought may be behind it, and a decision made from an older entry
// or without the newest grants would have to be taken back.
func (d *decider) relist(ctx context.Context, fence core.Fence) bool {
	if d.listedAt == fence {
		return true
	}
	for _, kind := range storedKinds() {
		call, stop := context.WithTimeout(ctx, relistTime)
		l, err := d.platform.List(call, kind)
		stop()
		if err != nil {
			events.Fail(events.DecisionFailed, err, "kind", kind)
			return false
		}
		for i := range l.Objects {
			l.Objects[i].Kind = kind
		}
		d.world.apply(l.Objects)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listedAt = fence
	d.planner.CatalogueListed()
	return true
}

// prove asks the platform whether it still lists a holder's host.
func (d *decider) prove(ctx context.Context, id place.HostID) {
	ctx, stop := context.WithTimeout(ctx, writeTime)
	defer stop()
	o, err := d.platform.Get(ctx, core.KindHost, string(id.Host))
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err == nil && o.UID == id.UID:
		d.seenHost(o)
	case err == nil, faultOf(err) == core.NotFound:
		d.planner.RemoveHost(id)
	}
}

// writeStatuses tells operators how their entries stand. One process writes
// them: the one that decides.
func (d *decider) writeStatuses(ctx context.Context) {
	for _, o := range d.world.due(statusBudget) {
		call, stop := context.WithTimeout(ctx, writeTime)
		_, err := d.platform.UpdateStatus(call, o)
		stop()
		if err != nil && faultOf(err) != core.Conflict {
			events.Fail(events.StatusNotWritten, err, "kind", o.Kind, "name", o.Name)
			return
		}
	}
}

// stepDown gives the lease up at a planned stop, so that another entry need not
// wait for its end.
func (d *decider) stepDown() {
	d.mu.Lock()
	o, ok := d.lease.StepDown()
	d.mu.Unlock()
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), writeTime)
	defer stop()
	// A lost answer leaves the lease to its term.
	_, _ = d.platform.Update(ctx, o)
}
