package node

import (
	"context"
	"encoding/json"

	"radishwell/core"
	"radishwell/core/place"
	"radishwell/io/events"
)

// writeAll makes the writes, at most maxConcurrentWrites at a time, and waits for their
// ends.
func (d *decider) writeAll(ctx context.Context, writes []place.Write) {
	semaphore := make(chan struct{}, maxConcurrentWrites)
	ended := make(chan struct{}, len(writes))
	for _, w := range writes {
		semaphore <- struct{}{}
		go func() {
			d.write(ctx, w)
			<-semaphore
			ended <- struct{}{}
		}()
	}
	for range writes {
		<-ended
	}
}

// write writes one grant. It checks the lease again right before, since a process that
// was paused after the round may no longer be the decider. A write that is sent after the
// lease was lost nevertheless can't overwrite one of the next decider, because it is
// conditional on the object's version.
func (d *decider) write(ctx context.Context, w place.Write) {
	d.mu.Lock()
	_, decides := d.lease.Decides(d.clock.Now())
	d.mu.Unlock()
	outcome := place.Refused
	var fresh core.Object
	if decides {
		var err error
		if fresh, err = d.sendWrite(ctx, w); err != nil {
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
		d.observeWrite(w, fresh)
	}
}

// observeWrite applies a write's result to this process at once; other processes get
// it from the watch.
func (d *decider) observeWrite(w place.Write, o core.Object) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeGrant(o)
}

func (d *decider) sendWrite(ctx context.Context, w place.Write) (core.Object, error) {
	ctx, stop := context.WithTimeout(ctx, writeTimeout)
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
