package proxy

import (
	"math"
	"time"

	"radishwell/core"
	"radishwell/core/copies"
)

// demandSpan is the time over which the rate of requests for a model is
// averaged. Demand moves within tens of seconds; a model asked for once in ten
// seconds still shows.
const demandSpan = 20 * time.Second

// demandBook is what this entry's models are asked for.
type demandBook struct {
	models map[core.ModelName]*modelDemand
}

type modelDemand struct {
	rate    float64
	at      time.Time
	waiting int
}

func (b *demandBook) of(name core.ModelName) *modelDemand {
	d := b.models[name]
	if d == nil {
		d = &modelDemand{}
		b.models[name] = d
	}
	return d
}

func (d *modelDemand) rateAt(now time.Time) float64 {
	if d.rate == 0 {
		return 0
	}
	return d.rate * math.Exp(-now.Sub(d.at).Seconds()/demandSpan.Seconds())
}

// asked notes a request for a model.
func (b *demandBook) asked(now time.Time, name core.ModelName) {
	d := b.of(name)
	d.rate = d.rateAt(now) + 1/demandSpan.Seconds()
	d.at = now
}

// leastRate is below what counts as demand: one request some minutes ago.
const leastRate = 1e-4

func (b *demandBook) all(now time.Time) map[core.ModelName]copies.Demand {
	out := make(map[core.ModelName]copies.Demand, len(b.models))
	for name, d := range b.models {
		rate := d.rateAt(now)
		if rate < leastRate && d.waiting == 0 {
			delete(b.models, name)
			continue
		}
		out[name] = copies.Demand{Rate: rate, Waiting: d.waiting}
	}
	return out
}
