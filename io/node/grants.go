package node

import (
	"context"
	"encoding/json"

	"radishwell/core"
	"radishwell/core/place"
	"radishwell/io/events"
)

func (d *decider) writeAll(ctx context.Context, writes []place.Write) {
	slots := make(chan struct{}, writersAtOnce)
	ended := make(chan struct{}, len(writes))
	for _, w := range writes {
		slots <- struct{}{}
		go func() {
			d.write(ctx, w)
			<-slots
			ended <- struct{}{}
		}()
	}
	for range writes {
		<-ended
	}
}

// write sends one grant. The lease is asked again right before: a process that
// was paused since the round must not go on as the decider. What it sends all
// the same is caught by the condition on the object's version.
func (d *decider) write(ctx context.Context, w place.Write) {
	d.mu.Lock()
	_, decides := d.lease.Decides(d.clock.Now())
	d.mu.Unlock()
	outcome := place.Refused
	var fresh core.Object
	if decides {
		var err error
		if fresh, err = d.send(ctx, w); err != nil {
			outcome = outcomeOf(err)
			events.Fail(events.DecisionFailed, err, "model", w.Name)
		} else {
			outcome = place.Applied
		}
	}
	d.mu.Lock()
	d.planner.SetOutcome(w, outcome)
	d.mu.Unlock()
	if outcome == place.Applied {
		d.logGrant(w)
		d.learn(w, fresh)
	}
}

// learn feeds a write's result to this process at once; its watch brings it to
// the others.
func (d *decider) learn(w place.Write, o core.Object) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seenGrant(o)
}

func (d *decider) send(ctx context.Context, w place.Write) (core.Object, error) {
	ctx, stop := context.WithTimeout(ctx, writeTime)
	defer stop()
	text, err := json.Marshal(w.Spec)
	if err != nil {
		return core.Object{}, err
	}
	o := core.Object{Kind: core.KindGrant, Name: string(w.Name), Version: w.Version, Spec: text}
	if w.Version == 0 {
		return d.platform.Create(ctx, o)
	}
	return d.platform.Update(ctx, o)
}

func outcomeOf(err error) place.Outcome {
	switch faultOf(err) {
	case core.Unavailable, core.Invalid:
		return place.Refused
	case core.Conflict, core.Exists, core.NotFound:
		return place.Conflict
	default:
		return place.Unknown
	}
}

func (d *decider) logGrant(w place.Write) {
	for _, h := range w.Spec.Holders {
		event := events.GrantAdded
		if h.State == core.GrantRevoked {
			event = events.GrantRevoked
		}
		events.Log(event, "model", w.Name, "host", h.Host)
	}
}
