package copies

import (
	"math"
	"slices"
	"time"

	"radishwell/core"
	"radishwell/core/rtable"
)

const (
	// idleWorth is the worth of the first copy of a model without recent demand. It is less
	// than that of a model with one request in ten minutes.
	idleWorth = 0.001
	// initialCopies is how many copies of a model are kept while demand is unknown, since a
	// model of which hosts start with several copies is a busy one.
	initialCopies = 3
	// waitingWorth is what each waiting request adds to the worth of a copy, as if it were
	// one request a second.
	waitingWorth = 1.0
	// extraCopyFactor is the worth of each copy after the first, as a fraction of the
	// previous one, if one copy carries the load. Such a copy only saves a load if the host
	// of the first one is lost.
	extraCopyFactor = 0.03
	// minExtraWorth is the least worth of an additional copy. Below it the copy does not
	// pay for its load, even if memory is free.
	minExtraWorth = 0.02
	// queueingLoad is the utilization of an engine above which its requests begin to be
	// late. At saturationLoad only saturationShare of the requests are in time, and the
	// number served in time grows no further. Queues form well before an engine is fully
	// busy because each prefill delays the other requests by a quarter of a second.
	queueingLoad    = 0.3
	saturationLoad  = 0.8
	saturationShare = 0.6
	// diskWorthFactor is the worth of a first copy to callers who can wait for a load from a
	// host's disk, as a fraction of its worth to those who cannot.
	diskWorthFactor = 0.4
	// hysteresis is the highest worth of the displaced copies as a fraction of the new
	// copy's worth. Without it two models with about equal demand would displace each other
	// repeatedly.
	hysteresis = 0.6
	// moveTTL is how long a move that was sent counts as under way without being visible in
	// the host's reports: two exchanges with its agent.
	moveTTL = 1500 * time.Millisecond
	// deliveryTime is the longest time that a move takes to reach its agent on a healthy
	// network.
	deliveryTime = 100 * time.Millisecond
	// minHoldTime is how long a new copy is exempt from eviction, so that the requests that
	// waited for it have started. A longer time would block models that other callers wait
	// for.
	minHoldTime = 1200 * time.Millisecond
	// drainTime is how long a host takes to evict a model with requests in progress, which
	// it finishes first.
	drainTime = time.Second
	// busyEvictionWait is how long callers wait for a model before a last copy of another
	// model that is in use is evicted for it. Without this bound, callers of a model whose
	// hosts are all in use would wait until they give up.
	busyEvictionWait = 2 * time.Second
	// loadTimePenalty is the cost of a second of loading time in the choice among hosts for
	// the same copy: about what its callers lose by it. Copies then go where the weights
	// are in memory or on disk.
	loadTimePenalty = 0.3
	// slowPenalty is the cost in that choice of an engine that stands still against one of usual
	// speed, for a model that takes an engine's whole time. Busy models go to quick engines and
	// leave the slow ones to rare models.
	slowPenalty = 0.5
	// limitPenalty is the cost of a host with a rate limit in that choice.
	limitPenalty = 1.0
	// pairBonus is the advantage in that choice of a host whose software version has a single
	// copy of the model: streams of that copy can then continue at the new one.
	pairBonus = 0.1
)

// Demand is the demand for a model over all entries.
type Demand struct {
	// Rate is in requests per second. Hasty is the part of Rate whose target latency is
	// shorter than a load from a host's disk.
	Rate, Hasty float64
	// Work is the fraction of one engine's time that the requests take.
	Work float64
	// Waiting is the number of requests that wait for a copy.
	Waiting int
	// Continuing lists, sorted, the software versions at which requests wait that continue
	// streams.
	Continuing []core.SoftwareVersion
}

// Add returns the sum of two demands.
func (d Demand) Add(e Demand) Demand {
	return Demand{
		Rate: d.Rate + e.Rate, Hasty: d.Hasty + e.Hasty, Work: d.Work + e.Work, Waiting: d.Waiting + e.Waiting,
		Continuing: MergeVersions(d.Continuing, e.Continuing),
	}
}

// MergeVersions returns the versions of two sorted lists, sorted, each once.
func MergeVersions(a, b []core.SoftwareVersion) []core.SoftwareVersion {
	if len(a)+len(b) == 0 {
		return nil
	}
	return slices.Compact(slices.Sorted(slices.Values(slices.Concat(a, b))))
}

// Host is the planner's view of an upstream host.
type Host struct {
	ID core.HostName
	// TakesOrders is set if the host takes an order now: it is reachable, not leaving and
	// not busy.
	TakesOrders bool
	// ReportedAt is when the host's agent took the report that all of this comes from.
	ReportedAt time.Time
	// Leaving is set if the host is leaving. Its copies are not counted.
	Leaving bool
	// Limit is the host's rate limit.
	Limit core.RateLimit
	// Speed is the speed of the host's engine as a fraction of the usual one; zero if it is
	// unknown or usual.
	Speed    float64
	Software core.SoftwareVersion
	Held     []core.ModelName
	// Active counts the requests in progress by model.
	Active map[core.ModelName]int
	// Loading is the model that is being loaded, and LoadedBy is when the load should be
	// done.
	Loading  core.ModelName
	LoadedBy time.Time
	Memory   core.Bytes
	// Adapters is the memory used by loaded adapters.
	Adapters core.Bytes
	// InMemory and OnDisk are the models whose weights are in the host's memory or on its
	// disk.
	InMemory, OnDisk []core.ModelName
}

// speed returns the host's speed as a fraction of the usual one.
func (h *Host) speed() float64 {
	if h.Speed <= 0 {
		return 1
	}
	return min(1, h.Speed)
}

// Near returns the nearest tier from which the host can load a model.
func (h *Host) Near(name core.ModelName) core.Tier {
	return core.NearestTier(name, h.InMemory, h.OnDisk)
}

// Move is the next change on one host: the models to evict, then the one to load.
type Move struct {
	Host  core.HostName
	Evict []core.ModelName
	Load  core.ModelName
	From  core.Tier
	// Idle is set if none of the evicted models has requests in progress.
	Idle bool
	// The following fields explain the move in the log: the number of copies before it, the
	// demand for the model, and the worth of the copy and of those that it displaces.
	Copies      int
	Demand      Demand
	Worth, Loss float64
	// Speed is the speed of the host as in Host, one if it is usual.
	Speed float64
	// At is when the move was decided, By when the load should be done, and Until when the
	// move is given up if no report shows it.
	At, By, Until time.Time
}

// Planner decides the moves for the hosts of one service. Set the exported fields before
// use. It is not safe for concurrent use.
type Planner struct {
	// Parallel is the assumed number of loads that the weight store serves at once at full
	// speed until one has been measured.
	Parallel int
	// Since is when this process last became the planner, zero if it has no predecessors. They
	// may have ordered all loads that the weight store allowed until then.
	Since time.Time

	width Width

	moves  map[core.HostName]Move
	budget storeBudget
	// since is when each copy was first seen.
	since map[copyKey]time.Time
	ready map[core.ModelName]time.Time
	// waits is the time since which requests have been waiting for a model without a copy.
	waits map[core.ModelName]time.Time
}

// copyKey identifies a copy of a model on a host.
type copyKey struct {
	host  core.HostName
	model core.ModelName
}

// versionKey identifies the copies of a model on hosts of a software version.
type versionKey struct {
	model   core.ModelName
	version core.SoftwareVersion
}

// noteCopies records when each copy was first seen. The age of the copies in the first call
// is unknown, and they count as old.
func (p *Planner) noteCopies(now time.Time, hosts []*Host) {
	old := p.since
	p.since = make(map[copyKey]time.Time, len(old))
	for _, h := range hosts {
		for _, m := range h.Held {
			key := copyKey{h.ID, m}
			at, known := old[key]
			if !known && old != nil {
				at = now
			}
			p.since[key] = at
		}
	}
}

// plan is the state of one decision.
type plan struct {
	*Planner
	now     time.Time
	service *rtable.Service
	hosts   []*Host
	demand  map[core.ModelName]Demand
	// copies is the number of hosts, by model, that hold it or are about to, less the
	// shortfall.
	copies map[core.ModelName]int
	// capacity is the sum of the speeds of these hosts, by model.
	capacity map[core.ModelName]float64
	// shortfall is, by model, how many whole copies are missing because hosts with a rate
	// limit serve only part of the load.
	shortfall map[core.ModelName]float64
	// near lists the hosts that can load a model without the weight store.
	near map[core.ModelName][]*Host
	// byVersion counts, by model and software version, the hosts that hold the model or are
	// about to.
	byVersion  map[versionKey]int
	storeLoads int
	// waiting is set if requests wait for any model.
	waiting bool
	moves   []Move
}

// Plan returns the moves to make now. It is deterministic: equal inputs give equal moves.
func (p *Planner) Plan(now time.Time, s *rtable.Service, hosts []*Host, demand map[core.ModelName]Demand) []Move {
	p.expireMoves(now, hosts)
	if rate := s.LoadsPerSecond; rate > 0 {
		p.budget.empty(p.Since, storeInterval(rate))
	}
	p.noteCopies(now, hosts)
	p.width.First = float64(p.Parallel)
	p.width.Note(now, hosts, func(m core.ModelName) time.Duration { return s.Models[m].Load })
	w := &plan{
		Planner: p, now: now, service: s, hosts: hosts, demand: demand,
		copies: map[core.ModelName]int{}, capacity: map[core.ModelName]float64{}, shortfall: map[core.ModelName]float64{}, near: make(map[core.ModelName][]*Host, len(s.Models)),
		byVersion: map[versionKey]int{},
	}
	w.countCopies()
	w.recordWaits()
	w.placeContinuing()
	w.placeAll()
	w.predictReady()
	return w.moves
}

// Ready returns when a model's next copy should be available, false if none is on its way.
func (p *Planner) Ready(name core.ModelName) (time.Time, bool) {
	at, ok := p.ready[name]
	return at, ok
}

// Width returns the estimated number of loads that the weight store serves at once at full
// speed.
func (p *Planner) Width() float64 { return p.width.value }

// AdoptWidth adopts the width that another process measured.
func (p *Planner) AdoptWidth(width float64) { p.width.Adopt(width) }

// confirmed reports whether a host's report shows that the move is being carried out.
func (m *Move) confirmed(h *Host) bool { return slices.Contains(h.Held, m.Load) || h.Loading == m.Load }

// ignored reports whether the host takes orders although the move must have reached its
// agent. Without this check, a move that an agent dropped kept its host from other moves
// for a second and a half.
func (m *Move) ignored(h *Host) bool {
	return h.TakesOrders && h.ReportedAt.After(m.At.Add(deliveryTime))
}

// expireMoves forgets moves that are confirmed by the hosts' reports, were ignored or have
// expired.
func (p *Planner) expireMoves(now time.Time, hosts []*Host) {
	if p.moves == nil {
		p.moves = map[core.HostName]Move{}
	}
	for id, m := range p.moves {
		i := slices.IndexFunc(hosts, func(h *Host) bool { return h.ID == id })
		if i < 0 || m.confirmed(hosts[i]) || m.ignored(hosts[i]) || !now.Before(m.Until) {
			delete(p.moves, id)
		}
	}
}

// recordWaits records whether any requests wait, and since when they have waited for models
// without a copy.
func (w *plan) recordWaits() {
	old := w.waits
	w.waits = map[core.ModelName]time.Time{}
	for name, d := range w.demand {
		w.waiting = w.waiting || d.Waiting > 0
		if d.Waiting == 0 || w.copies[name] > 0 {
			continue
		}
		at, ok := old[name]
		if !ok {
			at = w.now
		}
		w.waits[name] = at
	}
}

func (w *plan) countCopies() {
	for _, h := range w.hosts {
		if h.Leaving {
			continue
		}
		for _, name := range h.OnDisk {
			w.near[name] = append(w.near[name], h)
		}
		for _, name := range h.InMemory {
			if !slices.Contains(h.OnDisk, name) {
				w.near[name] = append(w.near[name], h)
			}
		}
		move, moving := w.Planner.moves[h.ID]
		for _, m := range h.Held {
			if !moving || !slices.Contains(move.Evict, m) {
				w.addCopy(h, m)
			}
		}
		switch {
		case h.Loading != "" && !slices.Contains(h.Held, h.Loading):
			w.addCopy(h, h.Loading)
			if h.Near(h.Loading) == core.TierStore {
				w.storeLoads++
			}
		case moving:
			w.addCopy(h, move.Load)
			if move.From == core.TierStore {
				w.storeLoads++
			}
		}
	}
	for name, part := range w.shortfall {
		missing := math.Round(part)
		w.copies[name] = max(0, w.copies[name]-int(missing))
		w.capacity[name] = max(0, w.capacity[name]-missing)
	}
}

// addCopy counts a copy. A copy on a host with a rate limit counts for the fraction of the
// model's requests that the limit allows.
//
// Without this, a model whose hosts all have rate limits would seem to have enough copies
// while its callers are refused.
func (w *plan) addCopy(h *Host, name core.ModelName) {
	w.copies[name]++
	w.capacity[name] += h.speed()
	w.byVersion[versionKey{name, h.Software}]++
	if rate := w.demand[name].Rate; h.Limit.Limited && rate > h.Limit.Rate {
		w.shortfall[name] += 1 - h.Limit.Rate/rate
	}
}
