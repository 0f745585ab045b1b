package script

import (
	"maps"
	"slices"
	"time"

	"radishwell/core"
	"radishwell/core/ledger"
	"radishwell/core/place"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// message is a call in flight to the platform or an engine, or its answer.
type message struct {
	label string
	from  *proc
	// run executes a call and returns the function that delivers its answer to the
	// sender. For an answer, run delivers it and returns nil.
	run func() func()
	// fail notifies the sender that no answer came in time. It is nil for calls
	// whose sender no longer waits.
	fail   func()
	answer bool
	// order is set if the call is an order to the engine of host.
	order bool
	// host is set for calls to the engine of a host.
	host *upstreamHost
	// expires is when an abandoned order to an engine that ignores fencing numbers is
	// dropped. Such an order arrives within ledger.MaxOrderDelay or never, as the
	// agent runs on the engine's host.
	expires time.Time
}

// proc is the common part of deciders and agents.
type proc struct {
	name   string
	dead   bool
	paused bool
	// partitioned is set if the process can't reach the platform.
	partitioned bool
	// inbox has the events that arrived during a pause.
	inbox []func()
	// rate is the speed of the process's clock relative to the real time.
	rate float64
	step func()
	take func(o object)
}

// dispatch runs f in the process, after the end of its pause if it is paused.
func (p *proc) dispatch(f func()) {
	switch {
	case p.dead:
	case p.paused:
		p.inbox = append(p.inbox, f)
	default:
		f()
	}
}

// upstreamHost is an upstream host with its engine, and its agent if one is
// running.
type upstreamHost struct {
	host   place.Host
	engine *engine
	agent  *agent
	up     bool
}

// world is one run of a scenario.
type world struct {
	now      time.Time
	store    store
	net      []*message
	held     []*message
	deciders map[string]*decider
	hosts    map[core.HostName]*upstreamHost
	sizes    map[core.ModelName]place.Entry
	uids     int
	// faults has the deliberate faults, which show that the checks detect them.
	faults map[string]bool
	check  checker
}

func newWorld() *world {
	w := &world{
		now: epoch, deciders: map[string]*decider{}, hosts: map[core.HostName]*upstreamHost{},
		sizes: map[core.ModelName]place.Entry{}, faults: map[string]bool{},
	}
	w.store.objects = map[key]object{}
	w.store.onWrite = w.checkWrite
	w.check.init()
	return w
}

// clock returns the time on a process's clock.
func (w *world) clock(p *proc) time.Time {
	return epoch.Add(time.Duration(float64(w.now.Sub(epoch)) * p.rate))
}

// call sends a call. done receives the answer; fail is called if there is none.
func call[T any](w *world, p *proc, host *upstreamHost, label string, do func() T, done func(T), fail func()) {
	w.net = append(w.net, &message{
		label: p.name + " " + label, from: p, host: host, fail: fail,
		run: func() func() {
			r := do()
			return func() { done(r) }
		},
	})
}

// pick returns the message with index n modulo the number of messages, and its
// index.
func (w *world) pick(n int) (*message, int) {
	if len(w.net) == 0 {
		return nil, 0
	}
	i := n % len(w.net)
	return w.net[i], i
}

// find returns the index of the first message with the given label.
func (w *world) find(label string) int {
	return slices.IndexFunc(w.net, func(m *message) bool { return m.label == label })
}

func (w *world) remove(i int) { w.net = slices.Delete(w.net, i, i+1) }

// deliver executes a call or delivers an answer.
func (w *world) deliver(n int) {
	m, i := w.pick(n)
	if m == nil {
		return
	}
	w.remove(i)
	if m.answer {
		m.from.dispatch(func() { m.run() })
		return
	}
	if m.host != nil && !m.host.up || m.host == nil && m.from.partitioned {
		w.giveUp(m)
		return
	}
	back := m.run()
	if m.fail == nil || m.from.dead {
		return
	}
	w.net = append(w.net, &message{
		label: m.label + " answer", from: m.from, fail: m.fail, answer: true, host: m.host,
		run: func() func() { back(); return nil },
	})
}

// lose drops a call or an answer. The sender times out.
func (w *world) lose(n int) {
	m, i := w.pick(n)
	if m == nil {
		return
	}
	w.remove(i)
	w.giveUp(m)
}

func (w *world) giveUp(m *message) {
	if m.fail != nil {
		m.from.dispatch(m.fail)
	}
}

// timeOut makes the sender of a call time out. The call stays in flight.
func (w *world) timeOut(n int) {
	m, _ := w.pick(n)
	if m == nil || m.answer || m.fail == nil {
		return
	}
	w.giveUp(m)
	w.abandon(m)
}

// hold delays a message until releaseHeld is called.
func (w *world) hold(n int) {
	m, i := w.pick(n)
	if m != nil {
		w.remove(i)
		w.held = append(w.held, m)
	}
}

// releaseHeld puts the held messages first in the queue.
func (w *world) releaseHeld() {
	w.net = slices.Concat(w.held, w.net)
	w.held = nil
}

// abandon marks a call whose sender no longer waits for the answer.
func (w *world) abandon(m *message) {
	m.fail = nil
	if m.host != nil && !m.host.engine.checksFence {
		m.expires = w.now.Add(ledger.MaxOrderDelay)
	}
}

// orderOf returns the index of a host's first order in flight that was abandoned,
// or that was not.
func (w *world) orderOf(host string, abandoned bool) int {
	return slices.IndexFunc(w.net, func(m *message) bool {
		return m.order && !m.answer && string(m.host.host.Name) == host && (m.fail == nil) == abandoned
	})
}

// abandonOrder makes a host's agent time out on an order, which stays in flight.
func (w *world) abandonOrder(host string) {
	if i := w.orderOf(host, false); i >= 0 {
		w.timeOut(i)
	}
}

// arrive delivers an abandoned order to a host's engine.
func (w *world) arrive(host string) {
	if i := w.orderOf(host, true); i >= 0 {
		w.deliver(i)
	}
}

// effect delivers an order to a host's engine and loses the answer.
func (w *world) effect(host string) {
	if i := w.orderOf(host, false); i >= 0 {
		w.deliver(i)
		w.lose(len(w.net) - 1)
	}
}

func (w *world) tick(d time.Duration) {
	w.now = w.now.Add(d)
	over := func(m *message) bool { return !m.expires.IsZero() && !w.now.Before(m.expires) }
	w.net = slices.DeleteFunc(w.net, over)
	w.held = slices.DeleteFunc(w.held, over)
}

// crash ends a process. The calls that it has sent stay in flight if keep is set.
func (w *world) crash(p *proc, keep bool) {
	p.dead = true
	lost := func(m *message) bool { return m.from == p && (m.answer || !keep) }
	w.net = slices.DeleteFunc(w.net, lost)
	w.held = slices.DeleteFunc(w.held, lost)
	for _, m := range slices.Concat(w.net, w.held) {
		if m.from == p && m.fail != nil {
			w.abandon(m)
		}
	}
}

// procs returns the running processes by name.
func (w *world) procs() map[string]*proc {
	all := map[string]*proc{}
	for n, d := range w.deciders {
		all[n] = &d.proc
	}
	for n, m := range w.hosts {
		if m.agent != nil {
			all[string(n)] = &m.agent.proc
		}
	}
	return all
}

// settle runs all processes, messages and engines in order for a while.
func (w *world) settle(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.tick(time.Second)
		all := w.procs()
		for _, name := range slices.Sorted(maps.Keys(all)) {
			w.run(all[name])
			w.sync(all[name])
		}
		for range 2 * len(w.net) {
			w.deliver(0)
		}
		for _, name := range slices.Sorted(maps.Keys(w.hosts)) {
			for range len(w.hosts[name].engine.items) {
				w.hosts[name].engine.work(0)
			}
		}
		w.check.world(w)
		if w.check.failed != "" {
			return
		}
	}
}

func (w *world) run(p *proc) {
	if p.paused || p.dead {
		return
	}
	p.step()
}

// turn lets a process act, delivers its calls and their answers except orders,
// and lets it act on the answers.
func (w *world) turn(p *proc) {
	w.run(p)
	for range 2 {
		for i := 0; i < len(w.net); {
			if m := w.net[i]; m.from != p || m.order || m.fail == nil {
				i++
				continue
			}
			w.deliver(i)
		}
	}
	w.run(p)
}

// sync sends a process the current state of the objects that were written last,
// as a working watch does.
func (w *world) sync(p *proc) {
	if w.store.down || p.partitioned {
		return
	}
	latest := map[key]object{}
	for _, o := range w.store.history[max(0, len(w.store.history)-200):] {
		latest[o.key] = o
	}
	for _, k := range sortedKeys(latest) {
		p.dispatch(func() { p.take(latest[k]) })
	}
}

func sortedKeys(m map[key]object) []key {
	return slices.SortedFunc(maps.Keys(m), func(a, b key) int {
		return slices.Compare([]string{string(a.kind), a.name}, []string{string(b.kind), b.name})
	})
}
