package claims

import (
	"fmt"
	"slices"
	"time"

	"radishwell/core"
	"radishwell/core/dedupe"
)

// do carries out the next step of a call, as an entry does.
func (w *simulation) do(s *send, step Step) {
	if s.finished {
		return
	}
	s.steps++
	w.logf("send %s %s entry %d: %s", s.name, s.key, s.entry.id, step.text())
	switch step.Kind {
	case StepPick:
		a := w.agents[w.rng.IntN(len(w.agents))]
		inc := core.Incarnation(a.epoch)
		if w.disabled.noIncarnation {
			inc = 1
		}
		w.do(s, s.call.Picked(a.host, inc))
	case StepClaim:
		w.claim(s, step.Claim, 2)
	case StepHandOver:
		next := w.once(s)
		w.toAgent(s, step.Claim, "hand-over", func(a *agentNode) { w.handOver(s, a, step.Claim, next) },
			func(*agentNode) { next(func() Step { return s.call.Ended(w.now, EndLost, nil, false) }) })
	case StepAsk:
		w.at(&s.entry.node, step.At.Sub(w.now), func() { w.ask(s, step.Claim) }, nil)
	case StepAttach:
		next := w.once(s)
		w.toAgent(s, step.Claim, "attach", func(a *agentNode) {
			w.stream(s, a, step.Claim, a.table.Attach(w.now, callOf(s, step.Claim)), next)
		}, func(*agentNode) { next(func() Step { return s.call.Ended(w.now, EndLost, nil, false) }) })
	case StepRefuse, StepDone:
		s.finished = true
		if s.refusal != step.Refusal || s.refusal == nil {
			s.refusal = step.Refusal
			s.runsAtRefusal = len(w.runsOf(s.call.ID))
		}
	}
}

func (s Step) text() string {
	kinds := []string{"pick", "claim", "hand-over", "ask", "attach", "refuse", "done"}
	c := s.Claim
	return fmt.Sprintf("%s attempt %d at %s/%d claimant %d; %v", kinds[s.Kind], c.Attempt, c.Host, c.Incarnation, c.Claimant%1000, s.Refusal)
}

func callOf(s *send, c Claim) dedupe.Call {
	return dedupe.Call{
		ID: c.ID, Attempt: c.Attempt, Incarnation: c.Incarnation, Fingerprint: s.call.Fingerprint,
		Expires: c.Expires, Deadline: s.call.Deadline,
	}
}

// claim submits a claim at a random entry, or at the request's own if faults are
// chosen. It retries if no answer arrives.
func (w *simulation) claim(s *send, c Claim, tries int) {
	if w.disabled.noClaims {
		w.do(s, s.call.Claimed(w.now, Answer{Result: Won, Holder: c}))
		return
	}
	journal := s.entry
	if w.fault == nil {
		journal = w.entries[w.rng.IntN(len(w.entries))]
	}
	fault := w.pick("claim", "ask-lost", "answer-lost")
	next := w.once(s)
	settled := false
	settle := func(a Answer) {
		settled = true
		if a.Result == Unsure && w.disabled.trustUnsure {
			a.Result, a.Holder = Won, c
		}
		next(func() Step { return s.call.Claimed(w.now, a) })
	}
	onTimeout := func() {
		if settled {
			return
		}
		if tries > 1 {
			settled = true
			w.claim(s, c, tries-1)
			return
		}
		settle(Answer{Result: Unsure, RetryAt: w.now.Add(time.Second)})
	}
	w.at(&s.entry.node, 3*time.Second, onTimeout, nil)
	if fault == "ask-lost" {
		return
	}
	w.at(&journal.node, w.latency(), func() {
		token := w.rng.Uint64()
		journal.pending[token] = func(a Answer) {
			if fault != "answer-lost" {
				w.at(&s.entry.node, w.latency(), func() { settle(a) }, nil)
			}
		}
		w.apply(journal, journal.journal.Submit(w.now, Submission{Token: token, Claim: c, GiveUp: w.now.Add(2 * time.Second)}))
	}, nil)
}

// once returns a function that continues the call with the result of the current
// step. Only the first result counts, as an entry closes the connection after it.
func (w *simulation) once(s *send) func(event func() Step) {
	step := s.steps
	return func(event func() Step) {
		if s.steps == step && !s.finished {
			w.do(s, event())
		}
	}
}

// toAgent sends a message to the agent of a claim: it calls do there, or lost at
// the entry. With the fault "late", a message that was reported as lost still arrives.
func (w *simulation) toAgent(s *send, c Claim, step string, do, lost func(*agentNode)) {
	a := w.agents[slices.IndexFunc(w.agents, func(a *agentNode) bool { return a.host == c.Host })]
	reportLost := func() { w.at(&s.entry.node, w.latency(), func() { lost(a) }, nil) }
	if a.gone {
		reportLost()
		return
	}
	fault := w.pick(step, "lost", "late", "entry-dies", "entry-pauses", "agent-restarts", "host-gone")
	if fault != "" {
		w.logf("send %s: %s %s", s.name, step, fault)
	}
	switch fault {
	case "lost":
		reportLost()
		return
	case "late":
		reportLost()
		epoch := a.epoch
		w.after(time.Duration(w.rng.Int64N(int64(3*time.Second))), func() {
			if a.epoch == epoch || w.disabled.noIncarnation {
				do(a)
			}
		})
		return
	case "entry-dies":
		w.bootEntry(s.entry)
		return
	case "entry-pauses":
		s.entry.paused = w.now.Add(2 * time.Second)
		w.at(&s.entry.node, 0, func() { w.at(&a.node, w.latency(), func() { do(a) }, reportLost) }, nil)
		return
	case "agent-restarts":
		w.bootAgent(a)
	case "host-gone":
		a.gone = true
		w.bootAgent(a)
		reportLost()
		return
	}
	w.at(&a.node, w.latency(), func() { do(a) }, reportLost)
}

func (w *simulation) ask(s *send, c Claim) {
	next := w.once(s)
	w.toAgent(s, c, "ask", func(a *agentNode) {
		var state dedupe.State
		if w.disabled.noSeal {
			state = dedupe.State(a.table.Attach(w.now, callOf(s, c)).State)
			if v := a.table.Attach(w.now, callOf(s, c)); v.Refusal != nil && c.Incarnation == a.table.Incarnation {
				state = dedupe.Sealed
			}
		} else {
			state = a.table.Seal(w.now, callOf(s, c))
		}
		w.at(&s.entry.node, w.latency(), func() {
			next(func() Step { return s.call.Asked(w.now, AttemptStatus{Reached: true, State: state}) })
		}, nil)
	}, func(a *agentNode) { next(func() Step { return s.call.Asked(w.now, AttemptStatus{Gone: a.gone}) }) })
}

func (w *simulation) handOver(s *send, a *agentNode, c Claim, next func(func() Step)) {
	v := a.table.Begin(w.now, callOf(s, c))
	if v.Start {
		w.at(&a.node, w.latency(), func() { w.start(s, a, c, next) }, nil)
	}
	w.stream(s, a, c, v, next)
}

// start runs an attempt at the agent's engine, or refuses it from its queue.
func (w *simulation) start(s *send, a *agentNode, c Claim, next func(func() Step)) {
	if refused := w.pick("queue", "refused"); refused != "" || !w.now.Before(s.call.Deadline) {
		if w.disabled.forgetsRefused {
			empty := &dedupe.Table{Incarnation: a.table.Incarnation, MaxBytes: 200, MaxRecords: 100}
			a.table = empty
			w.at(&a.node, w.latency(), func() { w.handOver(s, a, c, next) }, nil)
		} else {
			a.table.Finish(w.now, c.ID, c.Attempt, dedupe.End{Refusal: core.Refuse(core.CodeQueueFull, "full")})
		}
		w.resumeReaders(a)
		return
	}
	r := run{key: c.ID, claimant: c.Claimant, attempt: c.Attempt, answer: fmt.Sprintf("%s/%d/%d/%d", s.key, c.Attempt, c.Claimant, len(w.runs))}
	w.runs = append(w.runs, r)
	w.logf("run %s at %s/%d", r.answer, a.host, a.table.Incarnation)
	end := dedupe.End{}
	pieces := []string{r.answer[:1], r.answer[1:4], r.answer[4:]}
	switch w.pick("run", "engine-dies", "agent-restarts") {
	case "engine-dies":
		pieces = pieces[:1]
		end.Refusal = &core.Refusal{Code: core.CodeUpstreamLost, Outcome: core.MayHaveRun}
	case "agent-restarts":
		w.bootAgent(a)
		return
	}
	var d time.Duration
	for _, p := range pieces {
		d += w.latency()
		w.at(&a.node, d, func() { a.table.Append(c.ID, c.Attempt, []byte(p)); w.resumeReaders(a) }, nil)
	}
	w.at(&a.node, d, func() { a.table.Finish(w.now, c.ID, c.Attempt, end); w.resumeReaders(a) }, nil)
}

// stream relays the answer to an attempt, or its refusal, to an entry.
func (w *simulation) stream(s *send, a *agentNode, c Claim, v dedupe.Verdict, next func(func() Step)) {
	r := &reader{send: s, claim: c}
	r.reply = func(e Ending, refusal *core.Refusal, text string) {
		runs := len(w.runsOf(c.ID))
		w.at(&s.entry.node, w.latency(), func() {
			again := w.fault == nil && w.rng.IntN(2) == 0
			next(func() Step {
				s.answer, s.refusal, s.runsAtRefusal = text, refusal, runs
				return s.call.Ended(w.now, e, refusal, again)
			})
		}, nil)
	}
	if v.Refusal != nil {
		r.reply(EndRefused, v.Refusal, "")
		return
	}
	a.readers = append(a.readers, r)
	w.resumeReaders(a)
}

// resumeReaders resumes all readers of an agent.
func (w *simulation) resumeReaders(a *agentNode) {
	a.readers = slices.DeleteFunc(a.readers, func(r *reader) bool { return w.resumeReader(a, r) })
}

// resumeReader relays the part of an answer that an agent has produced since the
// last call. It reports whether the
// reader is finished.
func (w *simulation) resumeReader(a *agentNode, r *reader) bool {
	v, ok := a.table.Read(r.claim.ID, r.claim.Attempt, int64(len(r.buf)))
	if !ok {
		again := a.table.Attach(w.now, callOf(r.send, r.claim))
		if again.Refusal != nil {
			r.reply(EndRefused, again.Refusal, "")
		}
		return again.Refusal != nil
	}
	for _, c := range v.Chunks {
		r.buf = append(r.buf, c...)
	}
	if w.pick("answer", "lost") != "" {
		r.reply(EndLost, nil, "")
		return true
	}
	switch {
	case v.End == nil:
		return false
	case v.End.Refusal != nil:
		r.reply(EndRefused, v.End.Refusal, "")
	default:
		r.reply(EndComplete, nil, string(r.buf))
	}
	return true
}
