package copies

import (
	"math"
	"slices"
	"time"

	"radishwell/core"
	"radishwell/core/rtable"
)

const (
	// silentWorth is the worth of the first copy of a model that nobody has asked
	// for lately: less than that of a model asked for once in ten minutes.
	silentWorth = 0.001
	// startCopies is how many copies of a model are kept while nothing is known of
	// demand yet: a model of which hosts start with several is a busy one.
	startCopies = 3
	// waitingWorth is what each request that waits adds to the worth of a copy,
	// as if it had come in a second of its own.
	waitingWorth = 1.0
	// furtherWorth is the worth of each copy after the first, as a part of the
	// one before, where one copy carries the load: a second then saves a load only
	// when its host is lost.
	furtherWorth = 0.03
	// leastFurther is the least worth of a further copy. Below it the load is not
	// paid back, even where memory is free.
	leastFurther = 0.02
	// easyLoad is the part of an engine's time from which its requests begin to be
	// late, and fullLoad that from which it serves no more in time, which are then
	// fullShare of what comes at that load: a prompt that is read holds up the
	// others for a quarter of a second, so queues form well before an engine is
	// busy all the time.
	easyLoad  = 0.3
	fullLoad  = 0.8
	fullShare = 0.6
	// swapWorth is the worth of a first copy to callers who bear a load from a
	// host's disk, as a part of that to callers who do not.
	swapWorth = 0.4
	// hysteresis is how much of a new copy's worth the copies it displaces may
	// have. Without it two models asked for about as often displace each other
	// again and again.
	hysteresis = 0.6
	// settle is for how long a move that was told counts as under way without
	// being seen in the host's reports: two exchanges with its agent.
	settle = 1500 * time.Millisecond
	// takeUp is how long a move is on its way to its agent at the most, on a sound
	// network.
	takeUp = 100 * time.Millisecond
	// storeShare is the part of the weight store's rate that is used, since hosts
	// whose loads this process cannot see load too.
	storeShare = 0.9
	// storeSpan is over how long that rate is counted.
	storeSpan = 5 * time.Second
	// keepTime is how long a copy stays once it is there: the requests that waited
	// for it have begun there by then. Kept for longer, it stands in the way of the
	// models that other callers wait for.
	keepTime = 1200 * time.Millisecond
	// drainTime is how long a host takes to give up a model, whose requests in
	// progress it ends first.
	drainTime = time.Second
	// patience is how long callers wait for a model before a last copy of another
	// that is in use is given up for it. Without such a bound callers of a model whose
	// hosts are all in use would wait until they leave.
	patience = 2 * time.Second
	// swapPenalty is the worth of a second of loading time when hosts are weighed
	// against each other for the same copy: about what its callers lose by it. Copies
	// then go where the weights are in memory or on disk.
	swapPenalty = 0.3
	// limitPenalty is that of a host which names a rate limit.
	limitPenalty = 1.0
)

// Demand is how much a model is asked for, over all entries.
type Demand struct {
	// Rate is requests a second, Hasty those of them whose target is shorter than
	// a load from a host's disk takes.
	Rate, Hasty float64
	// Work is the part of one engine's time that the requests take.
	Work float64
	// Waiting counts the requests that wait for a copy.
	Waiting int
}

// Add returns the sum of two demands.
func (d Demand) Add(e Demand) Demand {
	return Demand{Rate: d.Rate + e.Rate, Hasty: d.Hasty + e.Hasty, Work: d.Work + e.Work, Waiting: d.Waiting + e.Waiting}
}

// Host is an upstream host as the planner sees it.
type Host struct {
	ID core.HostName
	// Open tells that the host takes an order now: it is reached, not leaving and
	// not busy.
	Open bool
	// Seen is when the host gave the report that all this is from.
	Seen time.Time
	// Leaving hosts' copies do not count.
	Leaving bool
	// Limit is the rate of requests that the host takes.
	Limit core.RateLimit
	Held  []core.ModelName
	// Active counts the requests in progress by model.
	Active map[core.ModelName]int
	// Loading is the model on its way, there at LoadedBy.
	Loading  core.ModelName
	LoadedBy time.Time
	Memory   core.Bytes
	// Adapters is the memory that loaded adapters take.
	Adapters core.Bytes
	// InMemory and OnDisk are the models whose weights are near the host.
	InMemory, OnDisk []core.ModelName
}

// Near tells where the host has a copy of a model's weights.
func (h *Host) Near(name core.ModelName) core.Tier {
	return core.NearestTier(name, h.InMemory, h.OnDisk)
}

// Move is the next change of one host: the models to give up, then the one to
// load.
type Move struct {
	Host  core.HostName
	Evict []core.ModelName
	Load  core.ModelName
	From  core.Tier
	// Idle tells that the move was chosen since no requests for what it gives up are in
	// progress.
	Idle bool
	// Why the move was made, for the log: the copies there were, what the model
	// is asked for, and what the copy is worth against those it displaces.
	Copies      int
	Demand      Demand
	Worth, Loss float64
	// At is when the move was made, By when the load should be done, and Until when
	// the move counts as not taken up if no report shows it.
	At, By, Until time.Time
}

// Planner decides moves for the hosts of one service. Set the exported fields
// before use. It is not safe for use by several goroutines.
type Planner struct {
	// Parallel is how many loads the weight store is taken to serve at once at full speed
	// before any was seen.
	Parallel int

	width Width

	moves  map[core.HostName]Move
	starts []time.Time
	// since is when a copy was first seen.
	since map[copyKey]time.Time
	ready map[core.ModelName]time.Time
	// waits is since when requests wait for a model that has no copy.
	waits map[core.ModelName]time.Time
}

// copyKey names a copy of a model on a host.
type copyKey struct {
	host  core.HostName
	model core.ModelName
}

// note keeps when each copy was first seen. Those of a first look have been there
// for a time that is not known, and count as old.
func (p *Planner) note(now time.Time, hosts []*Host) {
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

// plan is the work on one decision.
type plan struct {
	*Planner
	now     time.Time
	service *rtable.Service
	hosts   []*Host
	demand  map[core.ModelName]Demand
	// copies counts, by model, the hosts that hold it or are about to, less what lacks
	// adds up to.
	copies map[core.ModelName]int
	// lacks is, by model, what the copies on hosts that name a rate limit lack of whole
	// ones.
	lacks map[core.ModelName]float64
	// near are the hosts that can load a model without the weight store.
	near    map[core.ModelName][]*Host
	loading int
	// waited tells that requests wait for some model.
	waited bool
	moves  []Move
}

// Plan returns the moves to make now. Equal inputs give equal moves.
func (p *Planner) Plan(now time.Time, s *rtable.Service, hosts []*Host, demand map[core.ModelName]Demand) []Move {
	p.settle(now, hosts)
	p.note(now, hosts)
	p.width.First = float64(p.Parallel)
	p.width.Note(now, hosts, func(m core.ModelName) time.Duration { return s.Models[m].Load })
	w := &plan{
		Planner: p, now: now, service: s, hosts: hosts, demand: demand,
		copies: map[core.ModelName]int{}, lacks: map[core.ModelName]float64{}, near: make(map[core.ModelName][]*Host, len(s.Models)),
	}
	w.count()
	w.noteWaits()
	w.placeAll()
	w.foresee()
	return w.moves
}

// Ready returns when a model's next copy should be there; false where none is
// on its way.
func (p *Planner) Ready(name core.ModelName) (time.Time, bool) {
	at, ok := p.ready[name]
	return at, ok
}

// Width returns how many loads the weight store is taken to serve at once, and Learn takes
// over what another process found out.
func (p *Planner) Width() float64 { return p.width.value }

// Learn takes over how many loads the weight store serves at once.
func (p *Planner) Learn(width float64) { p.width.Learn(width) }

// shown tells whether a host's report shows that the move is carried out.
func (m *Move) shown(h *Host) bool { return slices.Contains(h.Held, m.Load) || h.Loading == m.Load }

// void tells whether a host that could have taken the move up takes orders without
// it. Counted as under way until it runs out, a move that an agent dropped kept its
// host from others for a second and a half.
func (m *Move) void(h *Host) bool { return h.Open && h.Seen.After(m.At.Add(takeUp)) }

// settle forgets moves that the hosts' reports show, or that were not taken up.
func (p *Planner) settle(now time.Time, hosts []*Host) {
	if p.moves == nil {
		p.moves = map[core.HostName]Move{}
	}
	for id, m := range p.moves {
		i := slices.IndexFunc(hosts, func(h *Host) bool { return h.ID == id })
		if i < 0 || m.shown(hosts[i]) || m.void(hosts[i]) || !now.Before(m.Until) {
			delete(p.moves, id)
		}
	}
	p.starts = slices.DeleteFunc(p.starts, func(at time.Time) bool { return now.Sub(at) >= storeSpan })
}

// noteWaits notes whether requests wait at all, and keeps since when they do for models
// without a copy.
func (w *plan) noteWaits() {
	old := w.waits
	w.waits = map[core.ModelName]time.Time{}
	for name, d := range w.demand {
		w.waited = w.waited || d.Waiting > 0
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

func (w *plan) count() {
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
				w.loading++
			}
		case moving:
			w.addCopy(h, move.Load)
			if move.From == core.TierStore {
				w.loading++
			}
		}
	}
	for name, part := range w.lacks {
		w.copies[name] = max(0, w.copies[name]-int(math.Round(part)))
	}
}

// addCopy counts a copy. Those on hosts that name a rate limit count for the part of the model's
// requests that these take.
//
// It answers the load of a model whose hosts are in need all at once: its callers are
// refused there, and its copies, few for the work, seem to be enough.
func (w *plan) addCopy(h *Host, name core.ModelName) {
	w.copies[name]++
	if rate := w.demand[name].Rate; h.Limit.Limited && rate > h.Limit.Rate {
		w.lacks[name] += 1 - h.Limit.Rate/rate
	}
}
