package warm

import (
	"cmp"
	"math"
	"slices"
	"time"

	"radishwell/core"
)

// Worth is the worth of a second that a caller waits for a cold start, in accelerator
// seconds, by class. A deployment scales it.
type Worth [core.ClassCount]float64

// DefaultWorth gives the most worth to interactive and evening requests, where a person
// waits, and very little to work that nobody waits for. With a load time of ten seconds and
// no statistics, an interactive model is kept for ten minutes and an overnight one for
// twenty seconds.
var DefaultWorth = Worth{core.Interactive: 60, core.Evening: 60, core.Overnight: 2}

// Scale returns the worth multiplied by a factor.
func (w Worth) Scale(scale float64) Worth {
	for i := range w {
		w[i] *= scale
	}
	return w
}

const (
	// defaultLoad is the assumed load time if none has been measured.
	defaultLoad = 5 * time.Second
	// loadWeight is the weight of a new sample in the moving average of the load time.
	loadWeight = 0.25
	// worthWeight is the weight of one more use in the moving average of an item's worth.
	worthWeight = 0.1
	// sessionPause is the shortest pause after which a use begins a new session.
	sessionPause = 20 * time.Minute
	// lookahead is the number of slots that are examined for expected uses.
	lookahead = 8
	// maxPrewarm is the maximum number of loads ahead of need per call. They are queued
	// behind loads that callers wait for.
	maxPrewarm = 4
)

// Item describes a model or adapter to the policy.
type Item struct {
	Name  core.ModelName
	Class core.Class
	// Accelerators is the share of accelerators that the item holds while it is loaded: 0.5
	// for a model that takes half of one.
	Accelerators float64
}

// itemState is the state of one item.
type itemState struct {
	item  Item
	habit habit
	// load is the measured load time in seconds, zero if unknown.
	load float64
	busy int
	// worth is the average worth of a second of waiting over the item's uses.
	worth float64
	// idleSince is when the last use ended, and used is set if there has been a use.
	idleSince time.Time
	used      bool
}

// Policy holds the statistics of all items of one host and decides when to load and unload
// them. Set the exported fields before use. It is not safe for concurrent use.
type Policy struct {
	// Worth is the worth for this deployment, DefaultWorth if it is zero.
	Worth Worth

	items map[core.ModelName]*itemState
}

// Set adds or updates an item.
func (p *Policy) Set(i Item) {
	if p.items == nil {
		p.items = map[core.ModelName]*itemState{}
	}
	s := p.items[i.Name]
	if s == nil {
		s = &itemState{}
		p.items[i.Name] = s
	}
	s.item = i
}

// Remove removes an item that is no longer in the catalogue.
func (p *Policy) Remove(name core.ModelName) { delete(p.items, name) }

// Begin records the arrival of a request of a class for the item. A request for an adapter
// also counts as one of the same class for its base model.
func (p *Policy) Begin(now time.Time, name core.ModelName, class core.Class) {
	s := p.items[name]
	if s == nil {
		return
	}
	gap := now.Sub(s.idleSince)
	if s.busy == 0 && s.used {
		s.habit.recordGap(gap)
	}
	// Only the beginnings of sessions count for the times of day. The uses of a session are
	// correlated and would otherwise count as independent events.
	if s.busy == 0 && (!s.used || gap > sessionPause) {
		s.habit.recordUse(now)
	}
	if s.busy == 0 {
		s.updateWorth(p.worthOf(class))
	}
	s.busy++
	s.used = true
}

// updateWorth adds the worth of one more use to the average. The cost of a cold start
// depends on who waits: the model for overnight reviews may also be the base of an adapter
// that is used interactively.
func (s *itemState) updateWorth(worth float64) {
	if !s.used {
		s.worth = worth
		return
	}
	s.worth += (worth - s.worth) * worthWeight
}

// End records the end of a request for the item.
func (p *Policy) End(now time.Time, name core.ModelName) {
	s := p.items[name]
	if s == nil || s.busy == 0 {
		return
	}
	s.busy--
	s.idleSince = now
}

// NoteLoad records the duration of a load of the item.
func (p *Policy) NoteLoad(name core.ModelName, took time.Duration) {
	s := p.items[name]
	if s == nil {
		return
	}
	if s.load == 0 {
		s.load = took.Seconds()
		return
	}
	s.load += (took.Seconds() - s.load) * loadWeight
}

// LoadTime returns the expected load time of the item, false if none has been measured. A
// guess would cause requests to be refused because of a wait that nobody knows.
func (p *Policy) LoadTime(name core.ModelName) (time.Duration, bool) {
	s := p.items[name]
	if s == nil || s.load == 0 {
		return 0, false
	}
	return toDuration(s.load), true
}

// coldCost returns the cost of a cold start, in accelerator seconds.
func (p *Policy) coldCost(s *itemState) float64 {
	worth := s.worth
	if !s.used {
		worth = p.worthOf(s.item.Class)
	}
	return s.loadSeconds() * worth
}

func (p *Policy) worthOf(class core.Class) float64 {
	worth := p.Worth
	if worth == (Worth{}) {
		worth = DefaultWorth
	}
	return worth[min(class, core.ClassCount-1)]
}

func (s *itemState) loadSeconds() float64 {
	if s.load == 0 {
		return defaultLoad.Seconds()
	}
	return s.load
}

// KeepUntil returns the time until which an idle loaded item is worth the accelerator time
// that it takes. If that is not after now, the item should be unloaded. An item in use is
// kept.
func (p *Policy) KeepUntil(now time.Time, name core.ModelName) time.Time {
	s := p.items[name]
	switch {
	case s == nil:
		return now
	case s.busy > 0:
		return now.Add(slotTime)
	}
	until := s.idleSince.Add(p.holdTime(s))
	if !until.After(now) {
		if by, _ := p.keepByTimeOfDay(now, s); by.After(now) {
			return by
		}
	}
	return until
}

// holdTime returns how long the item is kept after a use: the time with the lowest average
// cost if the next gap is drawn from those seen. The prior has the weight of priorGaps
// gaps. If no gaps have been seen, the result is the break-even time.
func (p *Policy) holdTime(s *itemState) time.Duration {
	rate := max(s.item.Accelerators, math.SmallestNonzeroFloat32)
	breakEven := p.coldCost(s) / rate
	total := float64(s.habit.beyondLast)
	for _, n := range s.habit.gaps {
		total += float64(n)
	}
	best, least := time.Duration(0), math.Inf(1)
	for _, keep := range keepTimes(breakEven) {
		c := s.habit.holdCost(keep, breakEven, total) + priorGaps*priorCost(keep, breakEven)
		if c < least {
			best, least = toDuration(keep), c
		}
	}
	return best
}

// keepTimes returns the keep times to compare: zero, the bounds of the bins below the
// longest time that can pay off, and the break-even time.
func keepTimes(breakEven float64) []float64 {
	list := []float64{0}
	for b := range gapBins {
		if end := binEnds[b]; end < 4*breakEven {
			list = append(list, end)
		}
	}
	list = append(list, breakEven)
	slices.Sort(list)
	return list
}

// holdCost returns the cost, in seconds of holding, of a keep time over the gaps seen: a
// gap within the keep time costs its own length, and a longer one costs the keep time and a
// cold start.
func (h *habit) holdCost(keep, breakEven, total float64) float64 {
	cost, within := 0.0, 0.0
	for b, n := range h.gaps {
		end := binEnds[b]
		if end > keep*1.0001 {
			break
		}
		within += float64(n)
		cost += float64(n) * end
	}
	return cost + (total-within)*(keep+breakEven)
}

// priorHazard is the assumed number of uses in a break-even time without statistics. At 1,
// keeping and unloading would cost the same at every moment. A slightly higher value makes
// the break-even time the optimum, which is the solution of the ski rental problem.
const priorHazard = 1.2

// priorCost returns the cost of a keep time without statistics: uses come at a steady rate
// until the break-even time and not after it.
func priorCost(keep, breakEven float64) float64 {
	if breakEven == 0 {
		return keep
	}
	rate := priorHazard / breakEven
	within := min(keep, breakEven)
	noUse := math.Exp(-rate * within)
	return (1-noUse)/rate + noUse*(breakEven+keep-within)
}

func toDuration(s float64) time.Duration {
	return time.Duration(min(s, (7*24*time.Hour).Seconds()) * float64(time.Second))
}

// keepByTimeOfDay returns the time until which the times of day justify keeping the item
// loaded, and the expected net saving. It chooses the slot at whose end the saving by
// probable uses exceeds the cost of holding by most. If the cost is always higher, it
// returns now.
func (p *Policy) keepByTimeOfDay(now time.Time, s *itemState) (time.Time, float64) {
	s.habit.advanceDays(now)
	rate := s.item.Accelerators
	coldCost := p.coldCost(s)
	slot, kind, index := slotOf(now)
	end := time.Unix((slot+1)*int64(slotTime/time.Second), 0)
	part := end.Sub(now).Seconds()
	// none is the probability that no use has begun so far, and gain is the expected saving
	// less the expected cost of holding so far.
	none, gain := 1.0, 0.0
	best, most := -1, 0.0
	for n := range lookahead {
		probability := s.habit.probability(kind, index) * part / slotTime.Seconds()
		gain += none * (probability*coldCost - rate*part*(1-probability/2))
		none *= 1 - probability
		if gain > most {
			best, most = n, gain
		}
		part = slotTime.Seconds()
		if index++; index == daySlots {
			_, kind, index = slotOf(end.Add(time.Duration(n) * slotTime))
		}
	}
	if best < 0 {
		return now, 0
	}
	return end.Add(time.Duration(best) * slotTime), most
}

// Advice recommends loading an item ahead of need.
type Advice struct {
	Name core.ModelName
	// Gain is the expected saving in accelerator seconds.
	Gain float64
}

// Prewarm returns the items that are not loaded but worth loading now, because a use soon
// after the load is probable enough. They are in descending order of gain.
func (p *Policy) Prewarm(now time.Time, loaded func(core.ModelName) bool) []Advice {
	var list []Advice
	for name, s := range p.items {
		if s.busy > 0 || !s.used || loaded(name) {
			continue
		}
		if gain := p.prewarmGain(now, s); gain > 0 {
			list = append(list, Advice{Name: name, Gain: gain})
		}
	}
	slices.SortFunc(list, func(a, b Advice) int {
		return cmp.Or(cmp.Compare(b.Gain, a.Gain), cmp.Compare(a.Name, b.Name))
	})
	return list[:min(len(list), maxPrewarm)]
}

// prewarmGain returns the expected saving of loading an item now: that of keeping it from
// the end of the load on, less the cost of the load. If the item would not be kept after
// the load, there is no gain, so that no such load is undone at once.
func (p *Policy) prewarmGain(now time.Time, s *itemState) float64 {
	took := s.loadSeconds()
	_, gain := p.keepByTimeOfDay(now.Add(toDuration(took)), s)
	return gain - s.item.Accelerators*took
}

// Score returns how much an idle item should be kept compared to others when memory is
// short: the cost of a cold start multiplied by the time for which the item would be kept,
// per accelerator.
func (p *Policy) Score(now time.Time, name core.ModelName) float64 {
	s := p.items[name]
	if s == nil {
		return 0
	}
	left := p.KeepUntil(now, name).Sub(now).Seconds()
	return max(0, left) * p.coldCost(s) / max(s.item.Accelerators, 0.01)
}

// Len returns the number of items.
func (p *Policy) Len() int { return len(p.items) }
