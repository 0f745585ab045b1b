package node

import (
	"time"

	"radishwell/core"
	"radishwell/wire"
)

// demandAge is how long an entry's report counts; it covers two lost ones.
const demandAge = 7 * time.Second

// report is one entry's demand.
type report struct {
	until   time.Time
	demands map[core.ModelName]float64
}

// takeDemand takes one entry's report and tells the planner the sums.
func (d *decider) takeDemand(c *wire.DemandCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	r := report{until: now.Add(demandAge), demands: map[core.ModelName]float64{}}
	for _, one := range c.GetDemands() {
		r.demands[core.ModelName(one.GetName())] = one.GetRequests()
	}
	d.reports[c.GetEntry()] = r
	sums := map[core.ModelName]float64{}
	for name, r := range d.reports {
		if now.After(r.until) {
			delete(d.reports, name)
			continue
		}
		for model, n := range r.demands {
			sums[model] += n
		}
	}
	d.setDemands(now, sums)
}

// setDemands tells the planner how many hosts' work each model has. Models that
// have none any more are told once.
func (d *decider) setDemands(now time.Time, sums map[core.ModelName]float64) {
	for model := range d.demanded {
		if _, ok := sums[model]; !ok {
			d.planner.SetDemand(now, model, 0)
			delete(d.demanded, model)
		}
	}
	for model, n := range sums {
		per := hostConcurrency
		if e, ok := d.world.snapshot().Model(model); ok && e.Limits.Concurrency > 0 {
			per = e.Limits.Concurrency
		}
		d.planner.SetDemand(now, model, n/float64(per))
		d.demanded[model] = true
	}
}

// hostConcurrency is how many requests of one model a host works on at once
// where the catalogue sets no limit; agents use the same number.
const hostConcurrency = 64
