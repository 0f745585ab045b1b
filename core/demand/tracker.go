package demand

import (
	"maps"
	"slices"
	"time"

	"radishwell/core"
	"radishwell/core/copies"
	"radishwell/core/fleet"
	"radishwell/core/rtable"
)

const (
	// hastyTarget is the target below which a caller cannot wait for a load from a host's
	// disk, which takes about a second with the order for it.
	hastyTarget = 1500 * time.Millisecond
	// prefillRate is the assumed prefill rate of an engine in prompt tokens per second.
	prefillRate = 1000 * fleet.PrefillRate
	// initialTokenTime is the assumed time in which an engine generates a token until a
	// stream has been measured, in seconds. tokenTimeWeight is the weight of each new
	// sample in the moving average.
	initialTokenTime = 0.005
	tokenTimeWeight  = 0.1
	// minTokenTime and maxTokenTime bound each sample, in seconds, because a single stream
	// that was cut or delayed says little about the engine.
	minTokenTime = 0.0005
	maxTokenTime = 0.05
	// sharedMissRate is the fraction of the shared tokens of prompts that engines have to
	// prefill again.
	sharedMissRate = 0.2
)

// Tracker holds the demand for models at one entry. The zero Tracker is ready for use. It
// is not safe for concurrent use.
type Tracker struct {
	models map[core.ModelName]*modelDemand
	// newArrivals are the arrivals since the last TakeArrivals.
	newArrivals map[core.ModelName]Arrivals
}

type modelDemand struct {
	rates
	waiting int
	// continuing counts the waiting requests that continue streams, by software version.
	continuing map[core.SoftwareVersion]int
	// tokenTime is the average time in which the model's engines generate a token, in
	// seconds, zero before a stream has been measured.
	tokenTime float64
}

// versions returns the software versions at which requests wait that continue streams, sorted.
func (m *modelDemand) versions() []core.SoftwareVersion {
	return slices.Sorted(maps.Keys(m.continuing))
}

func (t *Tracker) model(name core.ModelName) *modelDemand {
	if t.models == nil {
		t.models = map[core.ModelName]*modelDemand{}
	}
	m := t.models[name]
	if m == nil {
		m = &modelDemand{}
		t.models[name] = m
	}
	return m
}

// NoteRequest records a request for a model.
func (t *Tracker) NoteRequest(now time.Time, name core.ModelName, target time.Duration, ask *core.RequestHead, s *rtable.Service) {
	m := t.model(name)
	a := Arrivals{Count: 1, Work: m.workOf(ask, s)}
	if target < hastyTarget {
		a.Hasty = 1
	}
	m.add(now, a)
	if t.newArrivals == nil {
		t.newArrivals = map[core.ModelName]Arrivals{}
	}
	t.newArrivals[name] = t.newArrivals[name].Add(a)
}

// workOf returns the engine time that a request takes, in seconds. Its prompt occupies the
// engine alone, while its answer takes one of the places in the engine's batch.
//
// This matters for models with one or two busy copies on engines of different sizes. If
// each engine were assumed to run the same number of requests, the models with the highest
// demand would get copies that engines with large batches do not need, at the expense of
// other models.
func (m *modelDemand) workOf(ask *core.RequestHead, s *rtable.Service) float64 {
	shared := 0
	for i, p := range ask.Parts {
		if i < len(ask.Parts)-1 {
			shared += p.Tokens
		}
	}
	prefill := float64(ask.Prompt) - (1-sharedMissRate)*float64(min(shared, ask.Prompt))
	tokenTime := m.tokenTime
	if tokenTime == 0 {
		tokenTime = initialTokenTime
	}
	return prefill/prefillRate + float64(ask.Answer)*tokenTime/concurrency(ask, s)
}

// concurrency returns how many requests of a kind an engine runs at once, which is limited
// by its batch and by its prompt cache.
func concurrency(ask *core.RequestHead, s *rtable.Service) float64 {
	n := float64(s.Batch)
	if size := ask.Prompt + ask.Answer; s.PromptMemory > 0 && size > 0 {
		n = min(n, float64(s.PromptMemory)/float64(size))
	}
	return max(1, n)
}

// NoteStream records the duration of a stream with the given number of tokens, from its
// first event to its last.
func (t *Tracker) NoteStream(name core.ModelName, tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	m := t.model(name)
	sample := min(maxTokenTime, max(minTokenTime, took.Seconds()/float64(tokens)))
	if m.tokenTime == 0 {
		m.tokenTime = sample
		return
	}
	m.tokenTime += tokenTimeWeight * (sample - m.tokenTime)
}

// AddWaiting adds change to the number of requests that wait for a model.
func (t *Tracker) AddWaiting(name core.ModelName, change int) { t.model(name).waiting += change }

// AddContinuing adds change to the number of requests that wait for a model on a host of a
// software version, since they continue streams. They are among those of AddWaiting.
func (t *Tracker) AddContinuing(name core.ModelName, version core.SoftwareVersion, change int) {
	m := t.model(name)
	if m.continuing == nil {
		m.continuing = map[core.SoftwareVersion]int{}
	}
	if m.continuing[version] += change; m.continuing[version] <= 0 {
		delete(m.continuing, version)
	}
}

// Waiting returns the waiting requests by model.
func (t *Tracker) Waiting() map[core.ModelName]Waits {
	out := map[core.ModelName]Waits{}
	for name, m := range t.models {
		if m.waiting > 0 {
			out[name] = Waits{Count: m.waiting, Continuing: m.versions()}
		}
	}
	return out
}

// TakeArrivals returns the arrivals since the last TakeArrivals.
func (t *Tracker) TakeArrivals() map[core.ModelName]Arrivals {
	out := t.newArrivals
	t.newArrivals = nil
	return out
}

// All returns the demand by model, and forgets models without demand.
func (t *Tracker) All(now time.Time) map[core.ModelName]copies.Demand {
	out := make(map[core.ModelName]copies.Demand, len(t.models))
	for name, m := range t.models {
		d, ok := m.demand(now, m.waiting)
		d.Continuing = m.versions()
		if !ok {
			delete(t.models, name)
			continue
		}
		out[name] = d
	}
	return out
}
