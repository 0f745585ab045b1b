package proxy

import (
	"math"
	"time"

	"radishwell/core"
	"radishwell/core/copies"
	"radishwell/core/fleet"
	"radishwell/core/rtable"
)

const (
	// longSpan and shortSpan are the times over which the rate of requests for a
	// model is averaged. The long one keeps a model in sight that is asked for once
	// in ten seconds, the short one sees demand that moves within a few seconds.
	longSpan  = 20 * time.Second
	shortSpan = 4 * time.Second
	// hastyTarget is the target below which a caller does not bear a load from a
	// host's disk, which takes about a second with the order for it.
	hastyTarget = 1500 * time.Millisecond
	// leastShort is the short average from which it counts: three requests within
	// it.
	leastShort = 0.6
	// leastRate is below what counts as demand: one request some minutes ago.
	leastRate = 1e-4
	// readPace is the prompt tokens that an engine is taken to read in a second.
	readPace = 1000 * fleet.ReadRate
	// firstStep is how long an engine is taken to make a token before a stream has
	// been measured, in seconds, and stepWeight the weight of each new measure.
	// Engines served so far take 1.4 to 5.3 ms among few requests.
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

// average is a moving average of a rate, by the second.
type average struct {
	value float64
	at    time.Time
}

func (a *average) over(now time.Time, span time.Duration) float64 {
	if a.value == 0 {
		return 0
	}
	return a.value * math.Exp(-now.Sub(a.at).Seconds()/span.Seconds())
}

func (a *average) add(now time.Time, amount float64, span time.Duration) {
	a.value = a.over(now, span) + amount/span.Seconds()
	a.at = now
}

// demandBook is what this entry's models are asked for.
type demandBook struct {
	models map[core.ModelName]*modelDemand
}

type modelDemand struct {
	long, short, hasty, work average
	waiting                  int
	// step is how long the model's engines lately took to make a token, in seconds; zero
	// before a stream has been measured.
	step float64
}

func (b *demandBook) of(name core.ModelName) *modelDemand {
	d := b.models[name]
	if d == nil {
		d = &modelDemand{}
		b.models[name] = d
	}
	return d
}

// asked notes a request for a model.
func (b *demandBook) asked(now time.Time, name core.ModelName, target time.Duration, ask *core.Ask, s *rtable.Service) {
	d := b.of(name)
	work := d.workOf(ask, s)
	d.long.add(now, 1, longSpan)
	d.short.add(now, 1, shortSpan)
	d.work.add(now, work, shortSpan)
	if target < hastyTarget {
		d.hasty.add(now, 1, longSpan)
	}
}

// rate returns the requests a second. The short average counts only once several
// have come: by one request it rises to five times the long one, and models asked
// for alike would displace each other by turns.
func (d *modelDemand) rate(now time.Time) float64 {
	long, short := d.long.over(now, longSpan), d.short.over(now, shortSpan)
	if short < leastShort {
		return long
	}
	return max(long, short)
}

// workOf returns the part of an engine's time that a request takes, in seconds: its
// prompt is read alone, and while its answer is made it takes one of the places in
// the engine's batch.
//
// It answers the load of models with one or two busy copies on engines of different
// sizes. Measured as if 20 requests shared each engine, the models asked for most
// were given four copies on engines that run 96 at once; these stood in the way of
// eight other models.
func (d *modelDemand) workOf(ask *core.Ask, s *rtable.Service) float64 {
	shared := 0
	for i, p := range ask.Parts {
		if i < len(ask.Parts)-1 {
			shared += p.Tokens
		}
	}
	read := float64(ask.Prompt) - (1-sharedUnread)*float64(min(shared, ask.Prompt))
	step := d.step
	if step == 0 {
		step = firstStep
	}
	return read/readPace + float64(ask.Answer)*step/places(ask, s)
}

// places returns how many requests of a kind an engine runs at once, by its batch
// and by its memory for prompts.
func places(ask *core.Ask, s *rtable.Service) float64 {
	n := float64(s.Batch)
	if size := ask.Prompt + ask.Answer; s.PromptMemory > 0 && size > 0 {
		n = min(n, float64(s.PromptMemory)/float64(size))
	}
	return max(1, n)
}

// made notes how long a stream of so many tokens took from its first event to its
// last.
func (b *demandBook) made(name core.ModelName, tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	d := b.of(name)
	step := min(mostStep, max(leastStep, took.Seconds()/float64(tokens)))
	if d.step == 0 {
		d.step = step
		return
	}
	d.step += stepWeight * (step - d.step)
}

func (b *demandBook) all(now time.Time) map[core.ModelName]copies.Demand {
	out := make(map[core.ModelName]copies.Demand, len(b.models))
	for name, d := range b.models {
		rate := d.rate(now)
		if rate < leastRate && d.waiting == 0 {
			delete(b.models, name)
			continue
		}
		out[name] = copies.Demand{
			Rate: rate, Hasty: min(rate, d.hasty.over(now, longSpan)), Work: d.work.over(now, shortSpan), Waiting: d.waiting,
		}
	}
	return out
}
