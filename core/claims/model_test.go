package claims

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"radishwell/core"
	"radishwell/core/dedupe"
	"radishwell/core/eventq"
)

// simulation runs entries, agents and the platform in simulated time. Faults
// between them are drawn from rng, or chosen by fault if that is set.
type simulation struct {
	rng      *rand.Rand
	now      time.Time
	queue    eventq.Queue[func()]
	disabled disabledGuards
	// faultRate is the probability of a fault at each step.
	faultRate float64
	// fault returns the fault to inject at a step. If it is nil, faults are drawn
	// at random.
	fault func(step string) string

	objects    map[string]core.Object
	version    core.Version
	down       bool
	entries    []*entryNode
	agents     []*agentNode
	sends      []*send
	runs       []run
	violations []string
	log        []string
}

// logf adds a line to the schedule's log.
func (w *simulation) logf(format string, args ...any) {
	w.log = append(w.log, w.now.Format("05.000 ")+fmt.Sprintf(format, args...))
}

// disabledGuards lists guards to switch off, to show that the checks detect their
// absence.
type disabledGuards struct {
	noClaims, noSeal, noIncarnation, noVersions, trustUnsure, forgetsRefused, earlyExpiry bool
}

// node is the state that entries and agents have in common.
type node struct {
	epoch  int       // number of starts
	paused time.Time // end of the pause
}

type entryNode struct {
	node
	id      int
	journal *Journal
	pending map[uint64]func(Answer)
	tick    time.Time
}

type agentNode struct {
	node
	host    core.HostName
	table   *dedupe.Table
	gone    bool
	readers []*reader
}

// reader is an entry's connection that reads an answer from an agent.
type reader struct {
	send  *send
	claim Claim
	reply func(Ending, *core.Refusal, string)
	buf   []byte
}

// send is a request sent by a caller to one entry; callers may repeat it.
type send struct {
	name          string
	key           string
	entry         *entryNode
	call          *Call
	steps         int
	finished      bool
	lost          bool // the entry crashed
	refusal       *core.Refusal
	answer        string
	runsAtRefusal int // runs of the key when the agent or entry made the refusal
}

type run struct {
	key      dedupe.KeyID
	claimant uint64
	attempt  uint64
	answer   string
}

var start = time.Date(2026, 3, 1, 20, 0, 0, 0, time.UTC)

func newSimulation(seed uint64, entries, agents int) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), now: start, objects: make(map[string]core.Object)}
	for i := range entries {
		e := &entryNode{id: i}
		w.entries = append(w.entries, e)
		w.bootEntry(e)
	}
	for i := range agents {
		a := &agentNode{host: core.HostName(fmt.Sprintf("agent-%d", i))}
		w.agents = append(w.agents, a)
		w.bootAgent(a)
	}
	return w
}

func (w *simulation) bootEntry(e *entryNode) {
	e.epoch++
	e.tick = time.Time{}
	e.pending = make(map[uint64]func(Answer))
	e.journal = &Journal{Slots: 6, SegmentBytes: 340, MaxWaiting: 100}
	for _, s := range w.sends {
		if s.entry == e && !s.finished {
			s.finished, s.lost = true, true
		}
	}
}

func (w *simulation) bootAgent(a *agentNode) {
	a.epoch++
	inc := core.Incarnation(a.epoch)
	if w.disabled.noIncarnation {
		inc = 1
	}
	a.table = &dedupe.Table{Incarnation: inc, MaxBytes: 200, MaxRecords: 100}
	for _, r := range a.readers {
		w.after(w.latency(), func() { r.reply(EndLost, nil, "") })
	}
	a.readers = nil
}

func (w *simulation) after(d time.Duration, do func()) {
	w.queue.Push(w.now.Add(d), do)
}

// at calls do at a node after d, or when the node's pause ends. It calls lost
// instead if the node has restarted since.
func (w *simulation) at(n *node, d time.Duration, do, lost func()) {
	epoch := n.epoch
	w.after(d, func() {
		switch {
		case n.epoch != epoch:
			if lost != nil {
				lost()
			}
		case w.now.Before(n.paused):
			w.at(n, n.paused.Sub(w.now), do, lost)
		default:
			do()
		}
	})
}

func (w *simulation) latency() time.Duration {
	if w.fault == nil && w.rng.IntN(20) == 0 {
		return time.Duration(w.rng.Int64N(int64(4 * time.Second)))
	}
	return time.Duration(w.rng.Int64N(int64(5 * time.Millisecond)))
}

// pick returns the fault to inject at a step: one of faults, or "".
func (w *simulation) pick(step string, faults ...string) string {
	if w.fault != nil {
		f := w.fault(step)
		if slices.Contains(faults, f) {
			return f
		}
		return ""
	}
	if w.rng.Float64() >= w.faultRate {
		return ""
	}
	return faults[w.rng.IntN(len(faults))]
}

func (w *simulation) runUntil(end time.Time) {
	for next, ok := w.queue.NextTime(); ok && !next.After(end); next, ok = w.queue.NextTime() {
		var do func()
		w.now, do = w.queue.Pop()
		do()
	}
	w.now = end
}

// apply carries out the effects that a journal returned.
func (w *simulation) apply(e *entryNode, out Effects) {
	for _, name := range out.Reads {
		w.platform(e, "read", name, nil, e.journal.ReadDone)
	}
	if out.Write != nil {
		w.platform(e, "append", out.Write.Object.Name, out.Write, e.journal.WriteDone)
	}
	for _, a := range out.Answers {
		// The entry may have been restarted because of a previous answer.
		if done := e.pending[a.Token]; done != nil {
			delete(e.pending, a.Token)
			done(a)
		}
	}
	if next := e.journal.NextTick(); !next.IsZero() && (e.tick.IsZero() || next.Before(e.tick)) {
		e.tick = next
		w.at(&e.node, max(0, next.Sub(w.now)), func() {
			e.tick = time.Time{}
			w.apply(e, e.journal.Tick(w.now))
		}, nil)
	}
}

// platform calls the platform for an entry's journal, with the faults of a step.
func (w *simulation) platform(e *entryNode, step, name string, write *Write, done func(time.Time, Reply) Effects) {
	epoch := e.epoch
	respond := func(d time.Duration, r Reply) {
		w.at(&e.node, d, func() {
			if e.epoch == epoch { // a restarted entry doesn't get the response
				w.apply(e, done(w.now, r))
			}
		}, nil)
	}
	unknown := Reply{Name: name, Fault: core.Unknown}
	w.after(w.latency(), func() {
		switch w.pick(step, "unavailable", "lost-before", "lost-after", "late") {
		case "unavailable":
			respond(w.latency(), Reply{Name: name, Fault: core.Unavailable})
		case "lost-before":
			respond(time.Second, unknown)
		case "lost-after":
			w.change(name, write)
			respond(time.Second, unknown)
		case "late":
			w.after(time.Duration(w.rng.Int64N(int64(3*time.Second))), func() { w.change(name, write) })
			respond(time.Second, unknown)
		default:
			respond(w.latency(), w.change(name, write))
		}
	})
}

// change reads an object, or writes it if the write's condition holds.
func (w *simulation) change(name string, write *Write) Reply {
	have, ok := w.objects[name]
	switch {
	case w.down:
		return Reply{Name: name, Fault: core.Unavailable}
	case write == nil && !ok:
		return Reply{Name: name, Fault: core.NotFound}
	case write == nil:
		return Reply{Name: name, Object: have, OK: true}
	case write.Create && ok && !w.disabled.noVersions:
		return Reply{Name: name, Fault: core.Exists}
	case !write.Create && have.Version != write.Object.Version && !w.disabled.noVersions:
		return Reply{Name: name, Fault: core.Conflict}
	}
	w.version++
	o := write.Object
	o.Version = w.version
	w.objects[name] = o
	return Reply{Name: name, Object: o, OK: true}
}

// send makes a caller send a keyed request to an entry.
func (w *simulation) send(name, key string, body core.Fingerprint, at int, patience time.Duration) *send {
	deadline := w.now.Add(patience)
	s := &send{name: name, key: key, entry: w.entries[at]}
	s.call = &Call{
		ID: dedupe.KeyOf("owner", key), Fingerprint: body, Claimant: w.rng.Uint64(),
		Deadline: deadline, Expires: ExpiryOf(deadline, 10*time.Minute),
	}
	if w.disabled.earlyExpiry {
		s.call.Expires = ExpiryOf(w.now, 0)
	}
	w.sends = append(w.sends, s)
	w.do(s, s.call.Start(w.now))
	return s
}

// runsOf returns the runs of a key.
func (w *simulation) runsOf(id dedupe.KeyID) []run {
	var out []run
	for _, r := range w.runs {
		if r.key == id {
			out = append(out, r)
		}
	}
	return out
}
