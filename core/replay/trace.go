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
	// Base is the model that an adapter needs loaded, too.
	Base  core.ModelName
	Class core.Class
	// Accelerators is the part of accelerators that the item holds.
	Accelerators float64
	// Load is how long a load takes.
	Load time.Duration
}

// Arrival is one request.
type Arrival struct {
	At   time.Time
	Item core.ModelName
	// Takes is how long the request runs once the item is loaded.
	Takes time.Duration
}

// Trace is the arrivals of one deployment, in the order of their times. What
// comes before Measure is for the policies to learn from.
type Trace struct {
	Name     string
	Items    []Item
	Arrivals []Arrival
	Measure  time.Time
	End      time.Time
}

// Shape of the generated traces.
const (
	learnDays   = 14
	measureDays = 7
	day         = 24 * time.Hour
)

// first is the first day of generated traces, a Monday.
var first = time.Date(2026, 11, 2, 0, 0, 0, 0, time.UTC)

// maker draws a trace.
type maker struct {
	rng   *rand.Rand
	trace Trace
}

func newMaker(name string, seed uint64) *maker {
	return &maker{rng: rand.New(rand.NewPCG(seed, 1)), trace: Trace{
		Name: name, Measure: first.Add(learnDays * day), End: first.Add((learnDays + measureDays) * day),
	}}
}

func (m *maker) done() Trace {
	slices.SortStableFunc(m.trace.Arrivals, func(a, b Arrival) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Item, b.Item))
	})
	m.trace.Arrivals = slices.DeleteFunc(m.trace.Arrivals, func(a Arrival) bool { return !a.At.Before(m.trace.End) })
	return m.trace
}

// lognormal draws a duration with a median; sigma is the spread of its
// logarithm.
func (m *maker) lognormal(median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(m.rng.NormFloat64()*sigma))
}

func (m *maker) normal(mean, deviation time.Duration) time.Duration {
	return mean + time.Duration(m.rng.NormFloat64()*float64(deviation))
}

// session adds requests with pauses between them.
func (m *maker) session(name core.ModelName, at time.Time, requests int, pause time.Duration) {
	for range requests {
		takes := m.lognormal(2*time.Second, 0.6)
		m.trace.Arrivals = append(m.trace.Arrivals, Arrival{At: at, Item: name, Takes: takes})
		at = at.Add(takes + m.lognormal(pause, 1))
	}
}

// model adds a model; those of a service differ in size and so in load time.
func (m *maker) model(i int, class core.Class) core.ModelName {
	name := core.ModelName(fmt.Sprintf("model-%02d", i))
	size := 0.25 + 0.75*m.rng.Float64()
	m.trace.Items = append(m.trace.Items, Item{
		Name: name, Class: class, Accelerators: size, Load: time.Duration(4+16*size) * time.Second,
	})
	return name
}

// Adapters are small and load within milliseconds.
const (
	adapterPart = 0.004
	adapterLoad = 8 * time.Millisecond
)

func (m *maker) adapter(i int, base core.ModelName, class core.Class) core.ModelName {
	name := core.ModelName(fmt.Sprintf("adapter-%03d", i))
	m.trace.Items = append(m.trace.Items, Item{Name: name, Base: base, Class: class, Accelerators: adapterPart, Load: adapterLoad})
	return name
}

// Evenings is a deployment of volunteer treasurers: about 30 models and 55
// adapters, each wanted on a few evenings a week at its treasurer's own hour.
func Evenings(seed uint64) Trace {
	m := newMaker("evenings", seed)
	const models, adapters = 30, 55
	var names []core.ModelName
	for i := range models {
		names = append(names, m.model(i, core.Evening))
	}
	for i := range adapters {
		names = append(names, m.adapter(i, names[m.rng.IntN(models)], core.Evening))
	}
	for _, name := range names {
		hour := m.normal(20*time.Hour+15*time.Minute, 50*time.Minute)
		often := []float64{0.15, 0.5, 0.85}[m.rng.IntN(3)]
		for d := range learnDays + measureDays {
			if m.rng.Float64() < often {
				at := first.Add(time.Duration(d)*day + m.normal(hour, 20*time.Minute))
				m.session(name, at, 4+m.rng.IntN(30), 45*time.Second)
			}
			if m.rng.Float64() < 0.05 {
				m.session(name, first.Add(time.Duration(d)*day+time.Duration(8+m.rng.IntN(10))*time.Hour), 1+m.rng.IntN(3), time.Minute)
			}
		}
	}
	return m.done()
}

// WorkingDays is a deployment of fitters and designers: about 35 models and 115
// adapters, wanted in bursts on working days, and some reviews at night.
func WorkingDays(seed uint64) Trace {
	m := newMaker("working-days", seed)
	const models, adapters = 35, 115
	var names []core.ModelName
	for i := range models {
		class := core.Interactive
		if i%7 == 6 {
			class = core.Overnight
		}
		names = append(names, m.model(i, class))
	}
	for i := range adapters {
		names = append(names, m.adapter(i, names[m.rng.IntN(models)], core.Interactive))
	}
	for i, name := range names {
		bursts := []float64{0.3, 1, 4}[m.rng.IntN(3)]
		for d := range learnDays + measureDays {
			if i < models && i%7 == 6 {
				m.session(name, first.Add(time.Duration(d)*day+m.normal(time.Hour, 30*time.Minute)), 20+m.rng.IntN(40), 5*time.Second)
				continue
			}
			if d%7 >= 5 {
				continue
			}
			m.workday(name, first.Add(time.Duration(d)*day), bursts)
		}
	}
	return m.done()
}

// workday adds about as many bursts as asked for, most in the morning and after
// the midday break.
func (m *maker) workday(name core.ModelName, midnight time.Time, bursts float64) {
	for range 12 {
		if m.rng.Float64() >= bursts/12 {
			continue
		}
		hour := 5*time.Hour + 30*time.Minute
		if m.rng.IntN(2) == 0 {
			hour = 11 * time.Hour
		}
		m.session(name, midnight.Add(m.normal(hour+time.Hour, 70*time.Minute)), 2+m.rng.IntN(8), 25*time.Second)
	}
}
