package copies

import (
	"cmp"
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
	// storeShare is the part of the weight store's rate that is used, since hosts
	// whose loads this process cannot see load too.
	storeShare = 0.9
	// storeSpan is over how long that rate is counted.
	storeSpan = 5 * time.Second
	// keepTime is how long a copy stays once it is there: the requests that waited
	// for it have begun there by then. At 3 s other callers waited longer for theirs
	// (mean worth of two deployments 0.617 instead of 0.638, two scores each).
	keepTime = 1200 * time.Millisecond
	// swapPenalty is the worth of a second of loading time when hosts are weighed
	// against each other for the same copy.
	swapPenalty = 0.01
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
	// Leaving hosts' copies do not count.
	Leaving bool
	Held    []core.ModelName
	// Loading is the model on its way, there at LoadedBy.
	Loading  core.ModelName
	LoadedBy time.Time
	Memory   core.Bytes
	// Adapters is the memory that loaded adapters take.
	Adapters core.Bytes
	// Near tells where the host has a copy of a model's weights.
	Near func(core.ModelName) core.Tier
}

// Move is the next change of one host: the models to give up, then the one to
// load.
type Move struct {
	Host  core.HostName
	Evict []core.ModelName
	Load  core.ModelName
	From  core.Tier
	// Why the move was made, for the log: the copies there were, what the model
	// is asked for, and what the copy is worth against those it displaces.
	Copies      int
	Demand      Demand
	Worth, Loss float64
	// By is when the load should be done, and Until when the move counts as not
	// taken up if no report shows it.
	By, Until time.Time
}

// Planner decides moves for the hosts of one service. Set the exported fields
// before use. It is not safe for use by several goroutines.
type Planner struct {
	// Parallel is how many loads the weight store serves at once at full speed.
	Parallel int

	moves  map[core.HostName]Move
	starts []time.Time
	// since is when a copy was first seen.
	since map[copyKey]time.Time
	ready map[core.ModelName]time.Time
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
	// copies counts, by model, the hosts that hold it or are about to.
	copies map[core.ModelName]int
	// onDisk are the models that some host can load without the weight store.
	onDisk  map[core.ModelName]bool
	loading int
	moves   []Move
}

// Plan returns the moves to make now. Equal inputs give equal moves.
func (p *Planner) Plan(now time.Time, s *rtable.Service, hosts []*Host, demand map[core.ModelName]Demand) []Move {
	p.settle(now, hosts)
	p.note(now, hosts)
	w := &plan{
		Planner: p, now: now, service: s, hosts: hosts, demand: demand,
		copies: map[core.ModelName]int{}, onDisk: map[core.ModelName]bool{},
	}
	w.count()
	for _, name := range w.wanted() {
		w.place(name)
	}
	w.foresee()
	return w.moves
}

// Ready returns when a model's next copy should be there; false where none is
// on its way.
func (p *Planner) Ready(name core.ModelName) (time.Time, bool) {
	at, ok := p.ready[name]
	return at, ok
}

// settle forgets moves that the hosts' reports show, or that were not taken up.
func (p *Planner) settle(now time.Time, hosts []*Host) {
	if p.moves == nil {
		p.moves = map[core.HostName]Move{}
	}
	for id, m := range p.moves {
		i := slices.IndexFunc(hosts, func(h *Host) bool { return h.ID == id })
		if i < 0 || slices.Contains(hosts[i].Held, m.Load) || hosts[i].Loading == m.Load || !now.Before(m.Until) {
			delete(p.moves, id)
		}
	}
	p.starts = slices.DeleteFunc(p.starts, func(at time.Time) bool { return now.Sub(at) >= storeSpan })
}

func (w *plan) count() {
	for _, h := range w.hosts {
		if h.Leaving {
			continue
		}
		for name := range w.service.Models {
			if h.Near(name) != core.TierStore {
				w.onDisk[name] = true
			}
		}
		move, moving := w.Planner.moves[h.ID]
		for _, m := range h.Held {
			if !moving || !slices.Contains(move.Evict, m) {
				w.copies[m]++
			}
		}
		switch {
		case h.Loading != "" && !slices.Contains(h.Held, h.Loading):
			w.copies[h.Loading]++
			if h.Near(h.Loading) == core.TierStore {
				w.loading++
			}
		case moving:
			w.copies[move.Load]++
			if move.From == core.TierStore {
				w.loading++
			}
		}
	}
}

// worth returns what the nth copy of a model is worth, in requests a second
// that it serves in their target.
func (w *plan) worth(name core.ModelName, nth int) float64 {
	d := w.demand[name]
	first := silentWorth + d.Rate
	if w.onDisk[name] {
		first = silentWorth + d.Hasty + (d.Rate-d.Hasty)*swapWorth
	}
	if nth <= 1 {
		return first + float64(d.Waiting)*waitingWorth
	}
	if len(w.demand) == 0 && nth <= startCopies && nth <= w.copies[name] {
		return first
	}
	before, after := timely(d.Work/float64(nth-1)), timely(d.Work/float64(nth))
	return d.Rate*(after-before) + first*math.Pow(furtherWorth, float64(nth-1))
}

// timely returns the part of the requests of engines that each have a load that is
// served in time. Past fullLoad they serve what they can, so that a further copy
// is worth something however much too few there are.
func timely(load float64) float64 {
	switch {
	case load <= easyLoad:
		return 1
	case load <= fullLoad:
		return 1 - (1-fullShare)*(load-easyLoad)/(fullLoad-easyLoad)
	default:
		return fullShare * fullLoad / load
	}
}

// wanted returns the models whose next copy is worth most, most first.
func (w *plan) wanted() []core.ModelName {
	names := make([]core.ModelName, 0, len(w.service.Models))
	for name := range w.service.Models {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b core.ModelName) int {
		return cmp.Or(cmp.Compare(w.worth(b, w.copies[b]+1), w.worth(a, w.copies[a]+1)), cmp.Compare(a, b))
	})
	return names
}

// choice is a host for one more copy of a model.
type choice struct {
	host  *Host
	evict []core.ModelName
	from  core.Tier
	loss  float64
	score float64
}

// place finds the host for one more copy of a model, if that is worth it.
func (w *plan) place(name core.ModelName) {
	worth := w.worth(name, w.copies[name]+1)
	if w.copies[name] > 0 && worth < leastFurther {
		return
	}
	var best choice
	for _, h := range w.hosts {
		c, ok := w.try(h, name, worth)
		if ok && (best.host == nil || c.score > best.score) {
			best = c
		}
	}
	if best.host == nil {
		return
	}
	took := w.duration(name, best.from)
	move := Move{
		Copies: w.copies[name], Demand: w.demand[name], Worth: worth, Loss: best.loss,
		Host: best.host.ID, Evict: best.evict, Load: name, From: best.from, By: w.now.Add(took), Until: w.now.Add(settle),
	}
	w.moves = append(w.moves, move)
	w.Planner.moves[move.Host] = move
	best.host.Open = false
	w.copies[name]++
	for _, m := range best.evict {
		w.copies[m]--
	}
	if best.from == core.TierStore {
		w.loading++
		w.starts = append(w.starts, w.now)
	}
}

func (w *plan) try(h *Host, name core.ModelName, worth float64) (choice, bool) {
	if !h.Open || h.Leaving || slices.Contains(h.Held, name) || h.Loading == name {
		return choice{}, false
	}
	if _, moving := w.Planner.moves[h.ID]; moving {
		return choice{}, false
	}
	from := h.Near(name)
	if from == core.TierStore && (!w.mayRead() || !w.maySpend(name)) {
		return choice{}, false
	}
	evict, loss, ok := w.room(h, name)
	if !ok || loss > worth*hysteresis {
		return choice{}, false
	}
	return choice{host: h, evict: evict, from: from, loss: loss, score: -loss - swapPenalty*w.duration(name, from).Seconds()}, true
}

// mayRead tells whether the weight store takes one more load. More loads at once
// than it serves at full speed make each of them slower, and none is ready
// sooner.
func (w *plan) mayRead() bool {
	if w.loading >= max(1, w.Parallel) {
		return false
	}
	rate := w.service.LoadsPerSecond
	return rate <= 0 || float64(len(w.starts)+1) <= max(1, rate*storeSpan.Seconds()*storeShare)
}

// maySpend tells whether a load that takes seconds may be spent on a model. Those
// that nobody asks for leave half of the weight store's speed to the others, and
// all of it while requests wait: on its host the load also holds up the adapters
// and swaps that callers wait for.
func (w *plan) maySpend(name core.ModelName) bool {
	if w.demand[name].Rate > 0 || w.demand[name].Waiting > 0 || len(w.demand) == 0 {
		return true
	}
	for _, d := range w.demand {
		if d.Waiting > 0 {
			return false
		}
	}
	return w.loading < max(1, w.Parallel/2)
}

// room returns the models that a host gives up for another and what they are
// worth together.
func (w *plan) room(h *Host, name core.ModelName) (evict []core.ModelName, loss float64, ok bool) {
	free := h.Memory - h.Adapters
	for _, m := range h.Held {
		free -= w.service.Models[m].Weights
	}
	need := w.service.Models[name].Weights
	if free >= need {
		return nil, 0, true
	}
	held := slices.DeleteFunc(slices.Clone(h.Held), func(m core.ModelName) bool {
		return w.now.Sub(w.since[copyKey{h.ID, m}]) < keepTime
	})
	slices.SortFunc(held, func(a, b core.ModelName) int {
		return cmp.Or(cmp.Compare(w.worth(a, w.copies[a]), w.worth(b, w.copies[b])), cmp.Compare(a, b))
	})
	for _, m := range held {
		if free >= need {
			break
		}
		evict = append(evict, m)
		loss += w.worth(m, w.copies[m])
		free += w.service.Models[m].Weights
	}
	return evict, loss, free >= need
}

func (w *plan) duration(name core.ModelName, from core.Tier) time.Duration {
	m := w.service.Models[name]
	switch from {
	case core.TierMemory:
		return m.FromMemory
	case core.TierDisk:
		return m.FromDisk
	}
	// Loads beyond those served at full speed share it.
	over := float64(w.loading+1) / float64(max(1, w.Parallel))
	return time.Duration(float64(m.Load) * max(1, over))
}

// foresee works out when models will have a copy: those on their way when they
// should be there, those that are waited for after the loads before them.
func (w *plan) foresee() {
	w.ready = map[core.ModelName]time.Time{}
	var store []time.Time
	for _, h := range w.hosts {
		name, by, from := w.underWay(h)
		if name == "" {
			continue
		}
		if at, ok := w.ready[name]; !ok || by.Before(at) {
			w.ready[name] = by
		}
		if from == core.TierStore {
			store = append(store, by)
		}
	}
	for len(store) < max(1, w.Parallel) {
		store = append(store, w.now)
	}
	for _, name := range w.wanted() {
		if _, ok := w.ready[name]; ok || w.copies[name] > 0 || w.demand[name].Waiting == 0 {
			continue
		}
		slices.SortFunc(store, time.Time.Compare)
		at, from, ok := w.soonest(name, store[0])
		if !ok {
			continue
		}
		w.ready[name] = at
		if from == core.TierStore {
			store[0] = at
		}
	}
}

// underWay returns the load that a host carries out or is about to.
func (w *plan) underWay(h *Host) (name core.ModelName, by time.Time, from core.Tier) {
	if move, moving := w.Planner.moves[h.ID]; moving {
		return move.Load, move.By, move.From
	}
	if h.Loading == "" {
		return "", time.Time{}, 0
	}
	return h.Loading, h.LoadedBy, h.Near(h.Loading)
}

// soonest returns when the first of the hosts could have a model loaded, if the
// weight store is free from a time on.
func (w *plan) soonest(name core.ModelName, store time.Time) (at time.Time, from core.Tier, ok bool) {
	for _, h := range w.hosts {
		if h.Leaving {
			continue
		}
		begin := w.now
		if _, by, _ := w.underWay(h); by.After(begin) {
			begin = by
		}
		near := h.Near(name)
		if near == core.TierStore && store.After(begin) {
			begin = store
		}
		end := begin.Add(w.duration(name, near))
		if !ok || end.Before(at) {
			at, from, ok = end, near, true
		}
	}
	return at, from, ok
}
