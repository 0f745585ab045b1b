package proxy

import (
	"context"
	"slices"
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/core/origin"
	"radishwell/core/rtable"
	"radishwell/io/events"
)

const (
	// maxOrigins bounds the records of where streams began, this entry's and others'.
	maxOrigins = 1 << 16
	// minOriginTime is the least time for which such a record is kept, and originMargin is
	// how long it is kept after the caller should have left.
	minOriginTime = 30 * time.Second
	originMargin  = 10 * time.Second
	// unknownOriginRetry is the time after which a caller may ask again if some of the
	// entries that may know where its stream began have not answered.
	unknownOriginRetry = 200 * time.Millisecond
)

// findOrigin finds at which software version the stream began that the caller resumes, and
// restricts the request to hosts that have it. It refuses a stream whose version is not known
// while there are several: what two versions write does not fit together.
func (c *call) findOrigin(ctx context.Context) *core.Refusal {
	if c.route.Kind != rtable.Stream || c.ask.LastEventID == "" {
		return nil
	}
	p := c.proxy
	stale := p.RegistryStale != nil && p.RegistryStale()
	p.mu.Lock()
	now := p.Clock.Now()
	versions := p.view.Versions(now, c.service.Name)
	mixed := slices.ContainsFunc(c.route.Shares, func(s rtable.Share) bool { return p.isMixed(now, s.Service) })
	found, ok := p.origins.Find(now, origin.KeyOf(c.ask.FirstAttempt))
	p.mu.Unlock()
	if ok && c.ask.FirstAttempt != "" {
		c.continueAt(found)
		return nil
	}
	known := origin.Known{Versions: versions, Confirmed: !stale, Loaded: true}
	switch {
	case mixed: // the versions of one service tell nothing
		known = origin.Known{}
	case p.Software != nil:
		known = c.refreshVersions(ctx, known)
	}
	if version, ok := known.Single(); ok {
		c.continueAt(core.StreamOrigin{Service: c.service.Name, Software: version})
		return nil
	}
	var asked core.OriginAnswer
	if p.Origins != nil && (c.ask.FirstAttempt != "" || len(known.Versions) == 1) {
		asked = p.Origins.Find(ctx, c.ask.FirstAttempt, c.service.Name)
	}
	if asked.Found {
		c.continueAt(asked.Origin)
		return nil
	}
	if version, ok := known.Join(asked); ok && !mixed {
		c.continueAt(core.StreamOrigin{Service: c.service.Name, Software: version})
		return nil
	}
	saved := c.findSaved(ctx)
	if saved.Found {
		c.continueAt(saved.Origin)
		return nil
	}
	events.Log(events.StreamOriginUnknown, "request", c.ask.ID, "first-attempt", c.ask.FirstAttempt, "service", c.service.Name,
		"versions", known.Versions, "others-know", asked.Versions, "confirmed", known.Confirmed, "registry-stale", stale, "all-answered", asked.Complete, "platform-read", saved.Complete)
	refusal := core.Refuse(core.CodeNoHost, "the software version at which the stream began is not known")
	if c.ask.FirstAttempt != "" && !(asked.Complete && saved.Complete) {
		refusal.RetryAt = c.retryAt(unknownOriginRetry)
	}
	return refusal
}

// findSaved finds where the stream began in the platform's records, for when all processes have ended
// that knew it.
func (c *call) findSaved(ctx context.Context) core.OriginAnswer {
	p := c.proxy
	if p.SavedOrigins == nil || c.ask.FirstAttempt == "" {
		return core.OriginAnswer{Complete: true}
	}
	saved := p.SavedOrigins.Find(ctx, c.ask.FirstAttempt)
	if saved.Found {
		events.Log(events.StreamOriginRead, "request", c.ask.ID, "first-attempt", c.ask.FirstAttempt, "service", saved.Origin.Service, "version", saved.Origin.Software)
	}
	return saved
}

// noteMoved records that routes have moved to or from some services. The caller holds mu.
func (p *Proxy) noteMoved(services map[core.ServiceName]bool) {
	if p.movedUntil == nil {
		p.movedUntil = map[core.ServiceName]time.Time{}
	}
	for s := range services {
		p.movedUntil[s] = p.Clock.Now().Add(fleet.SoftwareTTL)
	}
	if len(services) > 0 && p.Origins != nil {
		p.Origins.Share()
	}
}

// isMixed reports whether a stream of a route that goes to a service may have begun at another one. The
// caller holds mu.
func (p *Proxy) isMixed(now time.Time, s core.ServiceName) bool {
	return p.keeper.Table().IsSplit(s) || now.Before(p.movedUntil[s])
}

// differs reports whether a stream of a service does not go on at each host that its caller's next attempt
// may be sent to, so that other entries have to know where it began. The caller holds mu.
func (p *Proxy) differs(now time.Time, s core.ServiceName) bool {
	return p.isMixed(now, s) || p.view.HasSeveralVersions(now, s)
}

// refreshVersions confirms a single version by the platform's record, since another entry may have
// begun the stream at a version that this one has not seen listed.
func (c *call) refreshVersions(ctx context.Context, known origin.Known) origin.Known {
	p := c.proxy
	known.Confirmed = len(known.Versions) == 1 && p.Software.Refresh(ctx)
	known.Loaded = p.Software.Loaded()
	p.mu.Lock()
	defer p.mu.Unlock()
	known.Versions = p.view.Versions(p.Clock.Now(), c.service.Name)
	if known.Confirmed {
		known.Add(p.view.RecordedVersions(c.service.Name))
	}
	return known
}

// continueAt restricts the request to hosts that can continue a stream. Of the services of
// the route, the one where the stream began is used.
func (c *call) continueAt(o core.StreamOrigin) {
	c.origin = o
	c.query.Origin = &c.origin
	table := c.proxy.Table()
	begun := table.Services[o.Service]
	inShares := func(s rtable.Share) bool { return s.Service == o.Service }
	if begun == nil || c.service.Name == o.Service || !slices.ContainsFunc(c.route.Shares, inShares) {
		return
	}
	c.service = begun
	c.query.Service = begun.Name
}

// loadMargin is the time beyond that of a load after which a request that waits for a model on a
// host of its stream's version is refused. The planner and the agent have to take it up first,
// and other loads may share the host.
const loadMargin = 1500 * time.Millisecond

// refuseDiscontinued refuses a stream that no host can continue, unless a host of its version
// can load the model before its caller leaves. Callers would otherwise wait in vain. The caller
// of refuseDiscontinued holds the proxy's mu.
func (c *call) refuseDiscontinued(now time.Time, choice fleet.Choice) *core.Refusal {
	if c.loadBy.IsZero() && choice.Loadable {
		c.loadBy = now.Add(c.service.Models[c.query.Model].LoadTime(choice.From) + loadMargin)
	}
	if now.Before(c.loadBy) && c.loadBy.Before(c.callerLeavesAt()) {
		c.setContinuing(true)
		return nil
	}
	if c.ran > 0 || c.started {
		return c.lost()
	}
	return core.RefuseUntil(
		core.CodeNoHost, "no host with the software version at which the stream began can continue it", c.retryAt(allLeavingRetry),
	)
}

// setContinuing sets whether the request counts as one that waits for the model on a host of its
// stream's version. The caller holds the proxy's mu.
func (c *call) setContinuing(on bool) {
	if on == c.continuing {
		return
	}
	c.continuing = on
	change := 1
	if !on {
		change = -1
	}
	c.proxy.demand.AddContinuing(c.query.Model, c.query.Origin.Software, change)
	c.proxy.Kick()
}

// beginStream records where a stream begins, or that it continues at a host, before its first
// event from there is forwarded.
func (c *call) beginStream(t *target) {
	c.origin = t.origin
	c.query.Origin = &c.origin
	c.recordSoftware()
	attempt := c.firstAttempt()
	if attempt == "" {
		return
	}
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	until := core.Later(c.deadline, core.Later(c.ask.Deadline, now.Add(minOriginTime)))
	p.origins.PutOwn(now, origin.Record{Key: origin.KeyOf(attempt), Origin: c.origin, Until: until.Add(originMargin)})
	if p.Origins != nil && p.differs(now, t.origin.Service) {
		p.Origins.Share()
	}
}

// recordSoftware waits until the platform's record has the version at which the stream begins, or
// until it is known that it cannot be written now.
func (c *call) recordSoftware() {
	p := c.proxy
	if p.Software == nil {
		return
	}
	begun := fleet.Software{Service: c.origin.Service, Version: c.origin.Software}
	p.mu.Lock()
	recorded := p.view.IsRecorded(begun)
	p.mu.Unlock()
	if !recorded && !p.Software.Add(c.request.Context(), begun.Service, begun.Version) {
		events.Log(events.SoftwareUnrecorded, "request", c.ask.ID, "service", begun.Service, "version", begun.Version)
	}
}

// noteStreamEnd records that a stream was forwarded whole.
func (c *call) noteStreamEnd() {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	p.origins.MarkEnded(origin.KeyOf(c.firstAttempt()))
}

// firstAttempt returns the caller's attempt that brought the first event of the stream; empty
// if the caller resumes a stream and does not name it.
func (c *call) firstAttempt() core.RequestID {
	if c.ask.LastEventID != "" {
		return c.ask.FirstAttempt
	}
	return c.ask.ID
}

// TakeUnsharedOrigins returns the records of where streams began at this entry that other
// entries have not been told, of the services whose streams may have begun at different hosts.
func (p *Proxy) TakeUnsharedOrigins() []origin.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	several := map[core.ServiceName]bool{}
	return p.origins.TakeUnshared(now, func(s core.ServiceName) bool {
		if _, known := several[s]; !known {
			several[s] = p.differs(now, s)
		}
		return several[s]
	})
}

// ReshareOrigins has TakeUnsharedOrigins return the records of the streams in progress once more.
func (p *Proxy) ReshareOrigins() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.origins.Reshare()
}

// KeepOrigins stores records that another entry sends.
func (p *Proxy) KeepOrigins(records []origin.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for _, r := range records {
		p.origins.Put(now, r)
	}
}

// FindOrigin returns what this entry knows of where a stream began, for another entry.
func (p *Proxy) FindOrigin(key core.Fingerprint, service core.ServiceName) core.OriginAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	o, ok := p.origins.Find(now, key)
	return core.OriginAnswer{
		Origin: o, Found: ok, Versions: p.view.Versions(now, service), Answered: true, Complete: true,
		Recorded: p.Software != nil && p.Software.Loaded(),
	}
}

// Departed returns the software versions of hosts that have gone, at which streams may have
// begun that are in progress.
func (p *Proxy) Departed() map[fleet.Software]time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Departed(p.Clock.Now())
}
