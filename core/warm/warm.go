package warm

import (
	"cmp"
	"math"
	"slices"
	"time"

	"radishwell/core"
)

// Worth is how many accelerator seconds a caller's second of waiting for a cold
// start is worth, by class. A deployment scales it.
type Worth [core.ClassCount]float64

// DefaultWorth weighs a person in front of a client above one in a session,
// and work that nobody waits for hardly at all. With a load of ten seconds an
// interactive model is kept for ten minutes on no knowledge, an overnight one
// for twenty seconds.
var DefaultWorth = Worth{core.Interactive: 60, core.Evening: 60, core.Overnight: 2}

// Times returns the worth of a deployment that values waits by so much more.
func (w Worth) Times(scale float64) Worth {
	for i := range w {
		w[i] *= scale
	}
	return w
}

const (
	// unknownLoad stands in for the time of a load that was never measured.
	unknownLoad = 5 * time.Second
	// loadWeight is how much of a measured load time one load replaces.
	loadWeight = 0.25
	// worthWeight is how much of an item's worth one more use replaces.
	worthWeight = 0.1
	// sessionPause is the pause after which a use begins a new session.
	sessionPause = 20 * time.Minute
	// ahead is how far the times of day are looked ahead.
	ahead = 8
	// mostPrewarm bounds the loads ahead of need in one look. They wait behind
	// loads that callers wait for.
	mostPrewarm = 4
)

// Item is what the policy needs to know of a model or adapter.
type Item struct {
	Name  core.ModelName
	Class core.Class
	// Accelerators is how much of accelerators the item holds while it is
	// loaded: a model that takes half of one counts half.
	Accelerators float64
}

// state is one item's.
type state struct {
	item  Item
	habit habit
	// load is the measured time of a load in seconds; zero while unknown.
	load float64
	busy int
	// worth is what a second of waiting for the item is worth, by its uses.
	worth float64
	// idle is when the last use ended; used tells that there was one.
	idle time.Time
	used bool
}

// Policy holds what was seen of all items of one host. Its exported fields are
// set before use. It needs no lock of its own.
type Policy struct {
	// Worth is the deployment's; DefaultWorth where zero.
	Worth Worth

	items map[core.ModelName]*state
}

// Set makes an item known, or changes it.
func (p *Policy) Set(i Item) {
	if p.items == nil {
		p.items = map[core.ModelName]*state{}
	}
	s := p.items[i.Name]
	if s == nil {
		s = &state{}
		p.items[i.Name] = s
	}
	s.item = i
}

// Drop forgets an item that has left the catalogue.
func (p *Policy) Drop(name core.ModelName) { delete(p.items, name) }

// Begin notes that a request of a class for the item has arrived. An adapter's
// request is one for its base, too, and of the same class there.
func (p *Policy) Begin(now time.Time, name core.ModelName, class core.Class) {
	s := p.items[name]
	if s == nil {
		return
	}
	gap := now.Sub(s.idle)
	if s.busy == 0 && s.used {
		s.habit.sawGap(gap)
	}
	// Only beginnings count for the times of day. Uses within a session come or
	// stay away together, and would be taken for as many chances.
	if s.busy == 0 && (!s.used || gap > sessionPause) {
		s.habit.sawUse(now)
	}
	if s.busy == 0 {
		s.blend(p.worthOf(class))
	}
	s.busy++
	s.used = true
}

// blend takes the worth of one more use's waiting in. What a cold start costs is
// a matter of who waits for it: a model of reviews at night is also the base of
// an adapter that somebody uses in front of a client.
func (s *state) blend(worth float64) {
	if !s.used {
		s.worth = worth
		return
	}
	s.worth += (worth - s.worth) * worthWeight
}

// End notes that a request for the item has ended.
func (p *Policy) End(now time.Time, name core.ModelName) {
	s := p.items[name]
	if s == nil || s.busy == 0 {
		return
	}
	s.busy--
	s.idle = now
}

// Loaded notes how long a load of the item took.
func (p *Policy) Loaded(name core.ModelName, took time.Duration) {
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

// LoadTime returns how long a load of the item should take; false where none was
// measured. A guess would have requests refused for a wait that nobody knows.
func (p *Policy) LoadTime(name core.ModelName) (time.Duration, bool) {
	s := p.items[name]
	if s == nil || s.load == 0 {
		return 0, false
	}
	return seconds(s.load), true
}

// cold is what a cold start costs, in accelerator seconds.
func (p *Policy) cold(s *state) float64 {
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

func (s *state) loadSeconds() float64 {
	if s.load == 0 {
		return unknownLoad.Seconds()
	}
	return s.load
}

// KeepUntil returns until when an idle loaded item is worth its accelerator's
// time: now or earlier where it should be unloaded. An item in use is kept.
func (p *Policy) KeepUntil(now time.Time, name core.ModelName) time.Time {
	s := p.items[name]
	switch {
	case s == nil:
		return now
	case s.busy > 0:
		return now.Add(slotTime)
	}
	until := s.idle.Add(p.hold(s))
	if !until.After(now) {
		if by, _ := p.dayUntil(now, s); by.After(now) {
			return by
		}
	}
	return until
}

// hold returns how long the item is kept after a use, by the times between uses
// seen: the time that costs least on average if the next gap is drawn from them.
// Not knowing has the weight of priorGaps gaps; without gaps seen the answer is
// the break-even time.
func (p *Policy) hold(s *state) time.Duration {
	rate := max(s.item.Accelerators, math.SmallestNonzeroFloat32)
	even := p.cold(s) / rate
	total := float64(s.habit.longer)
	for _, n := range s.habit.gaps {
		total += float64(n)
	}
	best, least := time.Duration(0), math.Inf(1)
	for _, keep := range candidates(even) {
		c := s.habit.costOf(keep, even, total) + priorGaps*priorCost(keep, even)
		if c < least {
			best, least = seconds(keep), c
		}
	}
	return best
}

// candidates are the times to keep that are weighed: none, the ends of the bins
// below the most that can pay, and the break-even time.
func candidates(even float64) []float64 {
	list := []float64{0}
	for b := range gapBins {
		if end := binEnds[b]; end < 4*even {
			list = append(list, end)
		}
	}
	list = append(list, even)
	slices.Sort(list)
	return list
}

// costOf is the cost, in seconds of holding, of keeping the item for a time over
// the gaps seen: a gap within it costs its own length, a longer one the time
// kept and a cold start.
func (h *habit) costOf(keep, even, total float64) float64 {
	cost, within := 0.0, 0.0
	for b, n := range h.gaps {
		end := binEnds[b]
		if end > keep*1.0001 {
			break
		}
		within += float64(n)
		cost += float64(n) * end
	}
	return cost + (total-within)*(keep+even)
}

// priorHazard is the chance of a use, in a break-even time, that is assumed
// where nothing is known. At one, keeping and unloading cost the same at every
// moment; a little more makes the break-even time itself the best, which is ski
// rental's answer.
const priorHazard = 1.2

// priorCost is the cost of keeping an item for a time where nothing is known:
// uses come at a steady rate until the break-even time, and none after it.
func priorCost(keep, even float64) float64 {
	if even == 0 {
		return keep
	}
	rate := priorHazard / even
	within := min(keep, even)
	alone := math.Exp(-rate * within)
	return (1-alone)/rate + alone*(even+keep-within)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, (7*24*time.Hour).Seconds()) * float64(time.Second))
}

// dayUntil returns until when the times of day speak for keeping the item
// loaded, and what that should save: the end of the stretch of slots in which
// what a use saves, by its chance, is more than holding until then costs. It is
// now where there is none.
func (p *Policy) dayUntil(now time.Time, s *state) (time.Time, float64) {
	s.habit.turnDay(now)
	rate := s.item.Accelerators
	cold := p.cold(s)
	slot, kind, place := slotOf(now)
	end := time.Unix((slot+1)*int64(slotTime/time.Second), 0)
	part := end.Sub(now).Seconds()
	// none is the chance that no use has begun yet, gain the expected saving
	// less the expected cost of holding so far.
	none, gain := 1.0, 0.0
	best, most := -1, 0.0
	for n := range ahead {
		chance := s.habit.chance(kind, place) * part / slotTime.Seconds()
		gain += none * (chance*cold - rate*part*(1-chance/2))
		none *= 1 - chance
		if gain > most {
			best, most = n, gain
		}
		part = slotTime.Seconds()
		if place++; place == daySlots {
			_, kind, place = slotOf(end.Add(time.Duration(n) * slotTime))
		}
	}
	if best < 0 {
		return now, 0
	}
	return end.Add(time.Duration(best) * slotTime), most
}

// Advice is a load ahead of need.
type Advice struct {
	Name core.ModelName
	// Gain is what it should save, in accelerator seconds.
	Gain float64
}

// Prewarm lists the items, of those not loaded, that are worth loading now: a
// use is likely enough within the time that a load takes and the slot after it.
// The most useful come first.
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
	return list[:min(len(list), mostPrewarm)]
}

// prewarmGain is what loading an item now should save: what keeping it from the
// end of the load on should, less the load itself. A load ahead of need whose
// item would not be kept afterwards gains nothing, so none is undone at once.
func (p *Policy) prewarmGain(now time.Time, s *state) float64 {
	took := s.loadSeconds()
	_, gain := p.dayUntil(now.Add(seconds(took)), s)
	return gain - s.item.Accelerators*took
}

// Score tells how much an idle item should be kept against others when memory
// is short: what its loss costs, by the chance that it is wanted within the
// time it would be kept, for each accelerator second it takes.
func (p *Policy) Score(now time.Time, name core.ModelName) float64 {
	s := p.items[name]
	if s == nil {
		return 0
	}
	left := p.KeepUntil(now, name).Sub(now).Seconds()
	return max(0, left) * p.cold(s) / max(s.item.Accelerators, 0.01)
}

// Len returns the number of items known.
func (p *Policy) Len() int { return len(p.items) }
