package node

import (
	"time"

	"radishwell/core"
	"radishwell/wire"
)

const (
	// demandAge is how long an entry's report counts; it covers two lost ones.
	demandAge = 7 * time.Second
	// retellTime bounds how late a changed limit of concurrency changes the need.
	retellTime = 10 * time.Second
)

// takeDemand takes one entry's report and tells the planner the sums.
func (d *decider) takeDemand(c *wire.DemandCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	work := make(map[core.ModelName]float64, len(c.GetDemands()))
	for _, one := range c.GetDemands() {
		work[core.ModelName(one.GetName())] = one.GetRequests()
	}
	changed := d.demand.SetReport(now, now.Add(demandAge), core.HostName(c.GetEntry()), work)
	if !now.Before(d.retellAt) {
		d.retellAt = now.Add(retellTime)
		changed = append(changed, d.demand.Names()...)
	}
	for _, model := range changed {
		per := hostConcurrency
		if e, ok := d.world.snapshot().Model(model); ok && e.Limits.Concurrency > 0 {
			per = e.Limits.Concurrency
		}
		d.planner.SetDemand(now, model, d.demand.Of(model)/float64(per))
	}
}

// hostConcurrency is how many requests of one model a host works on at once
// where the catalogue sets no limit; agents use the same number.
const hostConcurrency = 64
