package demand

import (
	"time"

	"radishwell/core"
	"radishwell/core/copies"
	"radishwell/core/fleet"
	"radishwell/core/rtable"
)

const (
	// hastyTarget is the target below which a caller does not bear a load from a
	// host's disk, which takes about a second with the order for it.
	hastyTarget = 1500 * time.Millisecond
	// readPace is the prompt tokens that an engine is taken to read in a second.
	readPace = 1000 * fleet.ReadRate
	// firstStep is how long an engine is taken to make a token before a stream has
	// been measured, in seconds, and stepWeight the weight of each new measure.
	firstStep  = 0.005
	stepWeight = 0.1
	// leastStep and mostStep bound what is taken over from a measure, in seconds: one
	// stream that broke off or was held up says little of the engine.
	leastStep = 0.0005
	mostStep  = 0.05
	// sharedUnread is the part of the shared tokens of prompts that engines read
	// again.
	sharedUnread = 0.2
)

// Book is what one entry's models are asked for. The zero Book is ready for use; it is
// not safe for use by several goroutines.
type Book struct {
	models map[core.ModelName]*model
	// fresh are the arrivals since the last Take.
	fresh map[core.ModelName]Arrivals
}

type model struct {
	rates
	waiting int
	// step is how long the model's engines lately took to make a token, in seconds; zero
	// before a stream has been measured.
	step float64
}

func (b *Book) of(name core.ModelName) *model {
	if b.models == nil {
		b.models = map[core.ModelName]*model{}
	}
	m := b.models[name]
	if m == nil {
		m = &model{}
		b.models[name] = m
	}
	return m
}

// Asked notes a request for a model.
func (b *Book) Asked(now time.Time, name core.ModelName, target time.Duration, ask *core.RequestHead, s *rtable.Service) {
	m := b.of(name)
	a := Arrivals{Count: 1, Work: m.workOf(ask, s)}
	if target < hastyTarget {
		a.Hasty = 1
	}
	m.add(now, a)
	if b.fresh == nil {
		b.fresh = map[core.ModelName]Arrivals{}
	}
	b.fresh[name] = b.fresh[name].Add(a)
}

// workOf returns the part of an engine's time that a request takes, in seconds: its
// prompt is read alone, and while its answer is made it takes one of the places in
// the engine's batch.
//
// It answers the load of models with one or two busy copies on engines of different
// sizes. Counted as if each engine ran the same number of requests, the models asked
// for most get copies that engines with large batches do not need, in the way of others.
func (m *model) workOf(ask *core.RequestHead, s *rtable.Service) float64 {
	shared := 0
	for i, p := range ask.Parts {
		if i < len(ask.Parts)-1 {
			shared += p.Tokens
		}
	}
	read := float64(ask.Prompt) - (1-sharedUnread)*float64(min(shared, ask.Prompt))
	step := m.step
	if step == 0 {
		step = firstStep
	}
	return read/readPace + float64(ask.Answer)*step/places(ask, s)
}

// places returns how many requests of a kind an engine runs at once, by its batch
// and by its memory for prompts.
func places(ask *core.RequestHead, s *rtable.Service) float64 {
	n := float64(s.Batch)
	if size := ask.Prompt + ask.Answer; s.PromptMemory > 0 && size > 0 {
		n = min(n, float64(s.PromptMemory)/float64(size))
	}
	return max(1, n)
}

// Made notes how long a stream of so many tokens took from its first event to its
// last.
func (b *Book) Made(name core.ModelName, tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	m := b.of(name)
	step := min(mostStep, max(leastStep, took.Seconds()/float64(tokens)))
	if m.step == 0 {
		m.step = step
		return
	}
	m.step += stepWeight * (step - m.step)
}

// Wait counts the requests that wait for a model.
func (b *Book) Wait(name core.ModelName, change int) { b.of(name).waiting += change }

// Waiting returns the models that requests wait for, with their number.
func (b *Book) Waiting() map[core.ModelName]int {
	out := map[core.ModelName]int{}
	for name, m := range b.models {
		if m.waiting > 0 {
			out[name] = m.waiting
		}
	}
	return out
}

// Take returns the arrivals since the last Take.
func (b *Book) Take() map[core.ModelName]Arrivals {
	out := b.fresh
	b.fresh = nil
	return out
}

// All returns the demand for all models that are asked for.
func (b *Book) All(now time.Time) map[core.ModelName]copies.Demand {
	out := make(map[core.ModelName]copies.Demand, len(b.models))
	for name, m := range b.models {
		d, ok := m.demand(now, m.waiting)
		if !ok {
			delete(b.models, name)
			continue
		}
		out[name] = d
	}
	return out
}
