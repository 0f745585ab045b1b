package deploy

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"time"

	"radishwell/core"
	"radishwell/core/copies"
	"radishwell/io/events"
	"radishwell/io/loop"
)

const (
	// saveInterval is the interval at which the planner writes the demand to the store. Each
	// write costs a call, and demand changes within seconds.
	saveInterval = 4 * time.Second
	// decayTime is the time constant of the decay of demand read from the store. Entries
	// have measured the demand again by then.
	decayTime = 6 * time.Second
	// demandObject is the name of the object with the demand.
	demandObject = "models"
)

// savedDemand is the demand that the previous planner wrote to the store before all entries were
// stopped or killed. Without it the first loads after a restart of all processes would be of
// models that are not requested, and each load blocks its host.
type savedDemand struct {
	demands map[core.ModelName]copies.Demand
	// loadedAt is when the demand was read, zero if it was not.
	loadedAt time.Time
	// width is the previous planner's estimate of the weight store's width.
	width float64
	// savedAt is when this entry last wrote the demand, and writing is set during a write.
	savedAt time.Time
	writing bool
}

// demandJSON is the record in the store.
type demandJSON struct {
	Models map[core.ModelName]modelDemandJSON `json:"models"`
	// Width is the number of concurrent loads that the weight store serves at full speed,
	// zero if it is not known.
	Width float64 `json:"width,omitempty"`
}

// modelDemandJSON is the demand for one model, as in copies.Demand.
type modelDemandJSON struct {
	Rate  float64 `json:"rate"`
	Hasty float64 `json:"hasty"`
	Work  float64 `json:"work"`
}

// raise raises each demand to at least the decayed value of the stored one.
func (p *savedDemand) raise(now time.Time, demand map[core.ModelName]copies.Demand) {
	if p.loadedAt.IsZero() {
		return
	}
	left := math.Exp(-now.Sub(p.loadedAt).Seconds() / decayTime.Seconds())
	for name, old := range p.demands {
		d := demand[name]
		d.Rate, d.Hasty, d.Work = max(d.Rate, old.Rate*left), max(d.Hasty, old.Hasty*left), max(d.Work, old.Work*left)
		demand[name] = d
	}
}

// loadDemand reads the stored demand once, with retries, and returns when the context ends.
func (p *planner) loadDemand(ctx context.Context) error {
	for {
		o, err := p.entry.store.Get(ctx, core.KindDemand, demandObject)
		var failed *core.PlatformError
		if errors.As(err, &failed) && failed.Fault != core.NotFound {
			if loop.Sleep(ctx, maxStoreRetry) {
				continue
			}
			return nil
		}
		if err == nil {
			p.applySaved(o)
		}
		<-ctx.Done()
		return nil
	}
}

// applySaved applies the stored demand.
func (p *planner) applySaved(o core.Object) {
	var record demandJSON
	if err := json.Unmarshal(o.Spec, &record); err != nil {
		events.Fail(events.DecisionFailed, err, "kind", core.KindDemand)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.saved.demands = map[core.ModelName]copies.Demand{}
	for name, d := range record.Models {
		p.saved.demands[name] = copies.Demand{Rate: d.Rate, Hasty: d.Hasty, Work: d.Work}
	}
	p.saved.loadedAt, p.saved.width = p.entry.clock.Now(), record.Width
	for _, s := range p.services {
		s.AdoptWidth(record.Width)
	}
	p.entry.proxy.Kick()
}

// saveDemand writes the demand to the store if saveInterval has passed since the last write.
func (p *planner) saveDemand(ctx context.Context, now time.Time, demand map[core.ModelName]copies.Demand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.saved.writing || len(demand) == 0 || now.Sub(p.saved.savedAt) < saveInterval {
		return
	}
	record := demandJSON{Models: map[core.ModelName]modelDemandJSON{}}
	for _, s := range p.services {
		record.Width = max(record.Width, s.Width())
	}
	for name, d := range demand {
		record.Models[name] = modelDemandJSON{Rate: d.Rate, Hasty: d.Hasty, Work: d.Work}
	}
	spec, err := json.Marshal(record)
	if err != nil {
		events.Fail(events.DecisionFailed, err, "kind", core.KindDemand)
		return
	}
	p.saved.savedAt, p.saved.writing = now, true
	go p.writeDemand(ctx, core.Object{Kind: core.KindDemand, Name: demandObject, Spec: spec})
}

// writeDemand writes the demand to the store.
func (p *planner) writeDemand(ctx context.Context, o core.Object) {
	if _, err := p.entry.createOrUpdate(ctx, o); err != nil {
		// It is not retried: the next write replaces it.
		events.Fail(events.DecisionFailed, err, "kind", core.KindDemand)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.saved.writing = false
}
