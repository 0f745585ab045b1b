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
	// keepEvery is how often the planner writes the demand to the store: each
	// write costs a call, and demand moves within seconds.
	keepEvery = 4 * time.Second
	// pastSpan is the time in which demand read from the store fades: by then
	// entries know again what is asked for.
	pastSpan = 6 * time.Second
	// pastObject is the one object that holds it.
	pastObject = "models"
)

// past is the demand before all entries were stopped or killed, as the planner of
// then wrote it to the store. Without it the first loads after a restart of
// everything would be of models that nobody asks for, and each holds up its host.
type past struct {
	demands map[core.ModelName]copies.Demand
	read    time.Time
	// width is what the planner of then took the weight store's width for.
	width   float64
	kept    time.Time
	writing bool
}

// pastJSON is the record in the store.
type pastJSON struct {
	Models map[core.ModelName]pastDemand `json:"models"`
	// Width is how many loads at once the weight store serves at full speed, zero where it
	// is not known.
	Width float64 `json:"width,omitempty"`
}

type pastDemand struct {
	Rate  float64 `json:"rate"`
	Hasty float64 `json:"hasty"`
	Work  float64 `json:"work"`
}

// fill raises demand to what it was before, as far as that has not faded.
func (p *past) fill(now time.Time, demand map[core.ModelName]copies.Demand) {
	if p.read.IsZero() {
		return
	}
	left := math.Exp(-now.Sub(p.read).Seconds() / pastSpan.Seconds())
	for name, old := range p.demands {
		d := demand[name]
		d.Rate, d.Hasty, d.Work = max(d.Rate, old.Rate*left), max(d.Hasty, old.Hasty*left), max(d.Work, old.Work*left)
		demand[name] = d
	}
}

// recall reads the past demand from the store.
func (p *planner) recall(ctx context.Context) error {
	for {
		o, err := p.entry.store.Get(ctx, core.KindDemand, pastObject)
		var failed *core.PlatformError
		if errors.As(err, &failed) && failed.Fault != core.NotFound {
			if loop.Sleep(ctx, storeRetry) {
				continue
			}
			return nil
		}
		if err == nil {
			p.remember(o)
		}
		<-ctx.Done()
		return nil
	}
}

func (p *planner) remember(o core.Object) {
	var record pastJSON
	if err := json.Unmarshal(o.Spec, &record); err != nil {
		events.Fail(events.DecisionFailed, err, "kind", core.KindDemand)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.past.demands = map[core.ModelName]copies.Demand{}
	for name, d := range record.Models {
		p.past.demands[name] = copies.Demand{Rate: d.Rate, Hasty: d.Hasty, Work: d.Work}
	}
	p.past.read, p.past.width = p.entry.clock.Now(), record.Width
	for _, s := range p.services {
		s.AdoptWidth(record.Width)
	}
	p.entry.proxy.Kick()
}

// keep writes the demand to the store now and then.
func (p *planner) keep(ctx context.Context, now time.Time, demand map[core.ModelName]copies.Demand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.past.writing || len(demand) == 0 || now.Sub(p.past.kept) < keepEvery {
		return
	}
	record := pastJSON{Models: map[core.ModelName]pastDemand{}}
	for _, s := range p.services {
		record.Width = max(record.Width, s.Width())
	}
	for name, d := range demand {
		record.Models[name] = pastDemand{Rate: d.Rate, Hasty: d.Hasty, Work: d.Work}
	}
	spec, err := json.Marshal(record)
	if err != nil {
		events.Fail(events.DecisionFailed, err, "kind", core.KindDemand)
		return
	}
	p.past.kept, p.past.writing = now, true
	go p.write(ctx, core.Object{Kind: core.KindDemand, Name: pastObject, Spec: spec})
}

func (p *planner) write(ctx context.Context, o core.Object) {
	if _, err := p.entry.put(ctx, o); err != nil {
		// The next record takes its place.
		events.Fail(events.DecisionFailed, err, "kind", core.KindDemand)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.past.writing = false
}
