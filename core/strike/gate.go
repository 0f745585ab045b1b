package strike

import (
	"time"

	"radishwell/core"
)

const (
	// settle is how long after its last strike a suspect waits for its trial.
	// Copies of it that were running elsewhere when the first engine died have
	// crashed theirs by then, and three such crashes are proof without a trial.
	settle = time.Second
	// patience is how long a suspect waits for its engine to be empty by itself
	// before the engine takes no other work: long against most requests, so that
	// a busy engine's batch isn't stopped for each neighbour of a crash.
	patience = 2 * time.Second
	// drainFor bounds how long other work is then held back for one suspect.
	drainFor = 8 * time.Second
	// rest is the least time between two such drains, so that suspects take at
	// most a third of an engine's time from the others.
	rest = 16 * time.Second
)

// Action is what an agent does with a request that is next in its queue.
type Action uint8

// Actions.
const (
	// Run: hand it to the engine now.
	Run Action = iota
	// Wait: leave it queued; ask again when a running request ends, and at
	// Verdict.At.
	Wait
	// Deny: refuse it with Verdict.Refusal.
	Deny
)

// Verdict is the answer to MayRun.
type Verdict struct {
	Action Action
	// Alone tells, for Run, that nothing else may start before it has ended.
	Alone   bool
	At      time.Time
	Refusal *core.Refusal
}

// Gate decides at one agent when a request may go to its engine, so that
// suspects run alone. Fields are set before the first call.
type Gate struct {
	Book *Book

	// waits is since when a suspect waits for the engine to be empty.
	waits     time.Time
	drainEnds time.Time
	restEnds  time.Time
}

// MayRun says whether a request may start beside those that are running, given
// by their fingerprints. Trial tells that the entry handed it over as a suspect.
//
// One that became a suspect in the queue is refused, so that its entry sends it
// to the host of its trial. Otherwise copies of it in several queues would each
// be tried, and each kill an engine.
func (g *Gate) MayRun(now time.Time, f core.Fingerprint, trial bool, running []core.Fingerprint) Verdict {
	if refusal := g.Book.Refuse(now, f); refusal != nil {
		return Verdict{Action: Deny, Refusal: refusal}
	}
	settled := g.Book.Settled(now, f)
	if !settled.IsZero() && !trial {
		refusal := core.RefuseUntil(core.CodeOverload, "the request has to run alone on another host", settled)
		return Verdict{Action: Deny, Refusal: refusal}
	}
	if now.Before(settled) {
		return Verdict{Action: Wait, At: settled}
	}
	if !settled.IsZero() {
		return g.suspect(now, running)
	}
	if g.aloneRuns(now, running) || g.draining(now) {
		return Verdict{Action: Wait, At: g.drainEnds}
	}
	return Verdict{Action: Run}
}

func (g *Gate) suspect(now time.Time, running []core.Fingerprint) Verdict {
	if len(running) == 0 {
		g.waits = time.Time{}
		if g.draining(now) {
			g.drainEnds = now
			g.restEnds = now.Add(rest)
		}
		return Verdict{Action: Run, Alone: true}
	}
	if g.waits.IsZero() {
		g.waits = now
	}
	start := latest(g.waits.Add(patience), g.restEnds)
	if now.Before(start) {
		return Verdict{Action: Wait, At: start}
	}
	if !g.draining(now) {
		g.drainEnds = now.Add(drainFor)
		g.restEnds = g.drainEnds.Add(rest)
	}
	return Verdict{Action: Wait, At: g.drainEnds}
}

// aloneRuns tells that the one running request is a suspect.
func (g *Gate) aloneRuns(now time.Time, running []core.Fingerprint) bool {
	return len(running) == 1 && g.Book.Find(now, running[0]).Standing != Clean
}

func (g *Gate) draining(now time.Time) bool { return now.Before(g.drainEnds) }

// Ended notes that a request ended well. Alone tells that nothing else ran
// while it did; a suspect has then passed, and the record to send to peers is
// returned with true. Its neighbours in the crash stay suspects until they,
// too, have run alone.
func (g *Gate) Ended(now time.Time, f core.Fingerprint, alone bool) (Record, bool) {
	if !alone || g.Book.Find(now, f).Standing != Suspect {
		return Record{}, false
	}
	return g.Book.Passed(now, f), true
}
