package node

import (
	"time"

	"radishwell/core"
	"radishwell/wire"
)

const (
	// demandLifetime is how long an entry's report counts, which allows for two
	// lost reports.
	demandLifetime = 7 * time.Second
	// fullUpdateInterval bounds the time until a changed concurrency limit has an
	// effect on the number of hosts needed.
	fullUpdateInterval = 10 * time.Second
)

// recordDemand records one entry's report and passes the changed sums to the planner,
// in hosts needed.
func (d *decider) recordDemand(c *wire.DemandCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	work := make(map[core.ModelName]float64, len(c.GetDemands()))
	for _, one := range c.GetDemands() {
		work[core.ModelName(one.GetName())] = one.GetRequests()
	}
	changed := d.demand.SetReport(now, now.Add(demandLifetime), core.HostName(c.GetEntry()), work)
	if !now.Before(d.nextFullUpdate) {
		d.nextFullUpdate = now.Add(fullUpdateInterval)
		changed = append(changed, d.demand.Names()...)
	}
	for _, model := range changed {
		per := hostConcurrency
		if e, ok := d.fleet.snapshot().Model(model); ok && e.Limits.Concurrency > 0 {
			per = e.Limits.Concurrency
		}
		d.planner.SetDemand(now, model, d.demand.Of(model)/float64(per))
	}
}

// hostConcurrency is the number of requests of one model that a host runs at once if
// the catalogue sets no limit. Package agent's defaultConcurrency is the same.
const hostConcurrency = 64
