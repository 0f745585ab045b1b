package strike

import (
	"time"

	"radishwell/core"
)

const (
	// trialDelay is the delay of a suspect's trial after its last strike. By then,
	// copies that were running elsewhere when the first engine died have crashed
	// theirs, and three such crashes are proof without a trial.
	trialDelay = time.Second
	// idleTimeout is how long a suspect waits for its engine to become idle before
	// the engine is drained for it. It is long compared with most requests, so that
	// the batch of a busy engine isn't stopped for each neighbour of a crash.
	idleTimeout = 2 * time.Second
	// maxDrain bounds how long other requests are held back for one suspect.
	maxDrain = 8 * time.Second
	// drainInterval is the least time between two drains, so that suspects take at
	// most a third of an engine's time from other requests.
	drainInterval = 16 * time.Second
)

// Action is what an agent does with the next request in its queue.
type Action uint8

// Actions.
const (
	// Run: pass it to the engine now.
	Run Action = iota
	// Wait: keep it queued. Call MayRun again when a running request ends, and at
	// Verdict.At.
	Wait
	// Deny: refuse it with Verdict.Refusal.
	Deny
)

// Verdict is the result of MayRun.
type Verdict struct {
	Action Action
	// Alone is set, with Run, if no other request may start before this one has ended.
	Alone bool
	// At is when to call MayRun again after Wait; Refusal is set with Deny.
	At      time.Time
	Refusal *core.Refusal
}

// Gate decides at one agent when a request may go to its engine, so that suspects
// run alone. The exported field must be set before first use.
type Gate struct {
	Book *Book

	// waitingSince is when a suspect began to wait for an idle engine.
	waitingSince time.Time
	drainEnd     time.Time
	nextDrain    time.Time
}

// MayRun decides whether a request may start while others run, which are given by
// their fingerprints. trial is set if the entry forwarded it as a suspect.
//
// A request that became a suspect in the queue is refused, so that its entry sends
// it to the host of its trial. Otherwise copies in several queues would each have
// a trial, and each crash an engine.
func (g *Gate) MayRun(now time.Time, f core.Fingerprint, trial bool, running []core.Fingerprint) Verdict {
	if refusal := g.Book.Refuse(now, f); refusal != nil {
		return Verdict{Action: Deny, Refusal: refusal}
	}
	trialTime := g.Book.TrialTime(now, f)
	if !trialTime.IsZero() && !trial {
		refusal := core.RefuseUntil(core.CodeOverload, "the request has to run alone on another host", trialTime)
		return Verdict{Action: Deny, Refusal: refusal}
	}
	if now.Before(trialTime) {
		return Verdict{Action: Wait, At: trialTime}
	}
	if !trialTime.IsZero() {
		return g.admitSuspect(now, running)
	}
	if g.suspectRuns(now, running) || g.draining(now) {
		return Verdict{Action: Wait, At: g.drainEnd}
	}
	return Verdict{Action: Run}
}

func (g *Gate) admitSuspect(now time.Time, running []core.Fingerprint) Verdict {
	if len(running) == 0 {
		g.waitingSince = time.Time{}
		if g.draining(now) {
			g.drainEnd = now
			g.nextDrain = now.Add(drainInterval)
		}
		return Verdict{Action: Run, Alone: true}
	}
	if g.waitingSince.IsZero() {
		g.waitingSince = now
	}
	start := core.Later(g.waitingSince.Add(idleTimeout), g.nextDrain)
	if now.Before(start) {
		return Verdict{Action: Wait, At: start}
	}
	if !g.draining(now) {
		g.drainEnd = now.Add(maxDrain)
		g.nextDrain = g.drainEnd.Add(drainInterval)
	}
	return Verdict{Action: Wait, At: g.drainEnd}
}

// suspectRuns reports whether the only running request is a suspect.
func (g *Gate) suspectRuns(now time.Time, running []core.Fingerprint) bool {
	return len(running) == 1 && g.Book.Find(now, running[0]).Standing != Clean
}

func (g *Gate) draining(now time.Time) bool { return now.Before(g.drainEnd) }

// RecordEnd records that a request ended well; alone is set if no other request
// ran at the same time. A suspect that ran alone has passed: its record to send to
// peers is returned with true. Its neighbours in the crash stay suspects until
// they have run alone, too.
func (g *Gate) RecordEnd(now time.Time, f core.Fingerprint, alone bool) (Record, bool) {
	if !alone || g.Book.Find(now, f).Standing != Suspect {
		return Record{}, false
	}
	return g.Book.RecordPass(now, f), true
}
