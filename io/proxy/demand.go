package proxy

import (
	"math"
	"time"

	"radishwell/core"
	"radishwell/core/copies"
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
	// readPace is the prompt tokens that an engine reads in a second, and
	// tokenWork the part of an engine's time that a generated token takes among
	// the twenty or so requests that its memory holds: engines served so far read
	// 38 tokens in a millisecond and make a step in 5 to 6.
	readPace  = 38_000.0
	tokenWork = 0.00025
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
func (b *demandBook) asked(now time.Time, name core.ModelName, target time.Duration, work float64) {
	d := b.of(name)
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

// workOf returns the engine's time that a request takes, in seconds.
func workOf(ask *core.Ask) float64 {
	shared := 0
	for i, p := range ask.Parts {
		if i < len(ask.Parts)-1 {
			shared += p.Tokens
		}
	}
	read := float64(ask.Prompt) - (1-sharedUnread)*float64(min(shared, ask.Prompt))
	return read/readPace + float64(ask.Answer)*tokenWork
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
