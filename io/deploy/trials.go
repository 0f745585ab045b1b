package deploy

import (
	"context"
	"time"

	"radishwell/core"
	"radishwell/io/peer"
	"radishwell/wire"
)

const (
	// trialCallTimeout bounds a call to the entry that grants trials. Entries are a few milliseconds
	// apart.
	trialCallTimeout = 150 * time.Millisecond
	// maxTrialKeepers is the number of entries that are asked in turn until one responds.
	maxTrialKeepers = 3
	// maxTrialLeft is for how long a request runs whose entry does not say.
	maxTrialLeft = 30 * time.Second
	// maxTrialEnds bounds the ended trials that wait to be reported. Those beyond end by themselves.
	maxTrialEnds = 256
)

// trials implements core.Trials by calls to the first entry by rank that responds, so that a
// request that may crash upstreams runs once at a time, whichever entries it comes to. While an
// entry reaches none of the first, it grants its own trials: a request then runs once at a time
// in each part of the fleet.
type trials struct {
	entry *entry
	// ended has the trials whose end is to be reported.
	ended chan *wire.TrialCall
}

var _ core.Trials = (*trials)(nil)

// Begin implements core.Trials.
func (t *trials) Begin(ctx context.Context, keys []string, upstream core.HostName, until time.Time) bool {
	left := max(1, until.Sub(t.entry.clock.Now()))
	return t.call(ctx, &wire.TrialCall{Keys: keys, Upstream: string(upstream), Left: int64(left)})
}

// End implements core.Trials.
func (t *trials) End(keys []string, upstream core.HostName, ran bool) {
	select {
	case t.ended <- &wire.TrialCall{Keys: keys, Upstream: string(upstream), Ended: true, Void: !ran}:
	default:
	}
}

// run reports ended trials until the context ends.
func (t *trials) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-t.ended:
			t.call(ctx, c)
		}
	}
}

// call calls the entry that grants trials, which may be this one, and reports whether it grants one.
func (t *trials) call(ctx context.Context, c *wire.TrialCall) (granted bool) {
	e := t.entry
	before, _ := e.members.predecessors()
	if len(before) > 0 {
		c.Strikes, c.Parts = e.nextStrikes(), e.nextParts()
	}
	for _, m := range before[:min(len(before), maxTrialKeepers)] {
		to := peer.Target{Host: m.Name, Address: m.Control}
		var reply *wire.TrialReply
		answered := callWithin(ctx, trialCallTimeout, to, func(ctx context.Context) (err error) {
			reply, err = e.client.Trial(ctx, to, c)
			return err
		})
		switch {
		case answered:
			e.joinStrikes(reply.GetStrikes())
			e.joinParts(reply.GetParts())
			return reply.GetGranted()
		case ctx.Err() != nil:
			return false
		}
	}
	return t.apply(c)
}

// apply grants or ends a trial as the entry that all others ask.
func (t *trials) apply(c *wire.TrialCall) (granted bool) {
	p, upstream := t.entry.proxy, core.HostName(c.GetUpstream())
	if c.GetEnded() {
		p.CloseTrial(c.GetKeys(), upstream, !c.GetVoid())
		return false
	}
	left := time.Duration(c.GetLeft())
	if left == 0 {
		left = maxTrialLeft
	}
	return p.GrantTrial(c.GetKeys(), upstream, t.entry.clock.Now().Add(left))
}

// serve serves a call of another entry that considers this one the first.
func (t *trials) serve(c *wire.TrialCall) (*wire.TrialReply, error) {
	e := t.entry
	e.joinStrikes(c.GetStrikes())
	e.joinParts(c.GetParts())
	granted := t.apply(c)
	return &wire.TrialReply{Granted: granted, Strikes: e.nextStrikes(), Parts: e.nextParts()}, nil
}
