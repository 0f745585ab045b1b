package replay

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"radishwell/core"
)

// Item is a model or adapter of a trace.
type Item struct {
	Name core.ModelName
	// Base is the model that must be loaded for an adapter to run.
	Base  core.ModelName
	Class core.Class
	// Accelerators is the number of accelerators that the item takes; fractions
	// are shares of one.
	Accelerators float64
	// Load is the duration of a load.
	Load time.Duration
}

// Arrival is the arrival of a request.
type Arrival struct {
	At   time.Time
	Item core.ModelName
	// Duration is the duration of the request once the item is loaded.
	Duration time.Duration
}

// Trace is the sequence of arrivals of one deployment, ordered by time. Policies
// learn from the arrivals before MeasureFrom; results cover the later ones.
type Trace struct {
	Name        string
	Items       []Item
	Arrivals    []Arrival
	MeasureFrom time.Time
	End         time.Time
}

// Durations of the generated traces.
const (
	learnDays   = 14
	measureDays = 7
	day         = 24 * time.Hour
)

// firstDay is the first day of generated traces, a Monday.
var firstDay = time.Date(2026, 11, 2, 0, 0, 0, 0, time.UTC)

// generator generates a random trace.
type generator struct {
	rng   *rand.Rand
	trace Trace
}

func newGenerator(name string, seed uint64) *generator {
	return &generator{rng: rand.New(rand.NewPCG(seed, 1)), trace: Trace{
		Name: name, MeasureFrom: firstDay.Add(learnDays * day), End: firstDay.Add((learnDays + measureDays) * day),
	}}
}

// finish returns the trace with its arrivals in order.
func (g *generator) finish() Trace {
	slices.SortStableFunc(g.trace.Arrivals, func(a, b Arrival) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Item, b.Item))
	})
	g.trace.Arrivals = slices.DeleteFunc(g.trace.Arrivals, func(a Arrival) bool { return !a.At.Before(g.trace.End) })
	return g.trace
}

// lognormal draws a duration from a log-normal distribution with the given
// median. sigma is the standard deviation of its logarithm.
func (g *generator) lognormal(median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(g.rng.NormFloat64()*sigma))
}

// normal draws a duration from a normal distribution.
func (g *generator) normal(mean, deviation time.Duration) time.Duration {
	return mean + time.Duration(g.rng.NormFloat64()*float64(deviation))
}

// session adds requests with pauses between them. The pauses are log-normal with
// the given median.
func (g *generator) session(name core.ModelName, at time.Time, requests int, pause time.Duration) {
	for range requests {
		takes := g.lognormal(2*time.Second, 0.6)
		g.trace.Arrivals = append(g.trace.Arrivals, Arrival{At: at, Item: name, Duration: takes})
		at = at.Add(takes + g.lognormal(pause, 1))
	}
}

// model adds a model of random size. Larger models take longer to load.
func (g *generator) model(i int, class core.Class) core.ModelName {
	name := core.ModelName(fmt.Sprintf("model-%02d", i))
	size := 0.25 + 0.75*g.rng.Float64()
	g.trace.Items = append(g.trace.Items, Item{
		Name: name, Class: class, Accelerators: size, Load: time.Duration(4+16*size) * time.Second,
	})
	return name
}

// Adapters are small and load within milliseconds.
const (
	adapterShare = 0.004 // of an accelerator
	adapterLoad  = 8 * time.Millisecond
)

// adapter adds an adapter on a base model.
func (g *generator) adapter(i int, base core.ModelName, class core.Class) core.ModelName {
	name := core.ModelName(fmt.Sprintf("adapter-%03d", i))
	g.trace.Items = append(g.trace.Items, Item{Name: name, Base: base, Class: class, Accelerators: adapterShare, Load: adapterLoad})
	return name
}

// Evenings generates the trace of a deployment for volunteer treasurers: 30
// models and 55 adapters, each used on a few evenings a week at about the same
// hour.
func Evenings(seed uint64) Trace {
	g := newGenerator("evenings", seed)
	const models, adapters = 30, 55
	var names []core.ModelName
	for i := range models {
		names = append(names, g.model(i, core.Evening))
	}
	for i := range adapters {
		names = append(names, g.adapter(i, names[g.rng.IntN(models)], core.Evening))
	}
	for _, name := range names {
		hour := g.normal(20*time.Hour+15*time.Minute, 50*time.Minute)
		probability := []float64{0.15, 0.5, 0.85}[g.rng.IntN(3)]
		for d := range learnDays + measureDays {
			if g.rng.Float64() < probability {
				at := firstDay.Add(time.Duration(d)*day + g.normal(hour, 20*time.Minute))
				g.session(name, at, 4+g.rng.IntN(30), 45*time.Second)
			}
			if g.rng.Float64() < 0.05 {
				g.session(name, firstDay.Add(time.Duration(d)*day+time.Duration(8+g.rng.IntN(10))*time.Hour), 1+g.rng.IntN(3), time.Minute)
			}
		}
	}
	return g.finish()
}

// WorkingDays generates the trace of a deployment for fitters and designers: 35
// models and 115 adapters, used in bursts on working days, and some models for
// reviews at night.
func WorkingDays(seed uint64) Trace {
	g := newGenerator("working-days", seed)
	const models, adapters = 35, 115
	var names []core.ModelName
	for i := range models {
		class := core.Interactive
		if i%7 == 6 {
			class = core.Overnight
		}
		names = append(names, g.model(i, class))
	}
	for i := range adapters {
		names = append(names, g.adapter(i, names[g.rng.IntN(models)], core.Interactive))
	}
	for i, name := range names {
		bursts := []float64{0.3, 1, 4}[g.rng.IntN(3)]
		for d := range learnDays + measureDays {
			if i < models && i%7 == 6 {
				g.session(name, firstDay.Add(time.Duration(d)*day+g.normal(time.Hour, 30*time.Minute)), 20+g.rng.IntN(40), 5*time.Second)
				continue
			}
			if d%7 >= 5 {
				continue
			}
			g.workday(name, firstDay.Add(time.Duration(d)*day), bursts)
		}
	}
	return g.finish()
}

// workday adds the given number of bursts on average, around the morning and
// after the midday break.
func (g *generator) workday(name core.ModelName, midnight time.Time, bursts float64) {
	for range 12 {
		if g.rng.Float64() >= bursts/12 {
			continue
		}
		hour := 5*time.Hour + 30*time.Minute
		if g.rng.IntN(2) == 0 {
			hour = 11 * time.Hour
		}
		g.session(name, midnight.Add(g.normal(hour+time.Hour, 70*time.Minute)), 2+g.rng.IntN(8), 25*time.Second)
	}
}
