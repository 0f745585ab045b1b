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

// message is a call on its way to the platform or an engine, or its answer.
type message struct {
	label string
	from  *proc
	// run has the call's effect and returns what the answer does at the sender;
	// for an answer it is that itself and returns nil.
	run func() func()
	// fail tells the sender that no answer came in time.
	fail   func()
	answer bool
	// order tells that the call is an order to host's engine.
	order bool
	// host is set for calls of a host's engine.
	host *machine
	// until ends an abandoned order to an engine that ignores fencing numbers:
	// the agent shares its host, so it arrives within ledger.Settle or never.
	until time.Time
}

// proc is what deciders and agents have in common.
type proc struct {
	name   string
	dead   bool
	paused bool
	// parted tells that the process can't reach the platform.
	parted bool
	inbox  []func()
	// rate is how fast the process's clock runs.
	rate float64
	step func()
	take func(o object)
}

// tell runs f in the process, or once it is no longer paused.
func (p *proc) tell(f func()) {
	switch {
	case p.dead:
	case p.paused:
		p.inbox = append(p.inbox, f)
	default:
		f()
	}
}

// machine is an upstream host: its engine, and its agent if one runs.
type machine struct {
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
	hosts    map[core.HostName]*machine
	sizes    map[core.ModelName]place.Entry
	uids     int
	// faults are deliberate breaks, to show that the checks see them.
	faults map[string]bool
	check  checker
}

func newWorld() *world {
	w := &world{
		now: epoch, deciders: map[string]*decider{}, hosts: map[core.HostName]*machine{},
		sizes: map[core.ModelName]place.Entry{}, faults: map[string]bool{},
	}
	w.store.objects = map[key]object{}
	w.store.wrote = w.wrote
	w.check.init()
	return w
}

func (w *world) clock(p *proc) time.Time {
	return epoch.Add(time.Duration(float64(w.now.Sub(epoch)) * p.rate))
}

// call puts a call on its way. done gets the answer, fail is told of none.
func call[T any](w *world, p *proc, host *machine, label string, do func() T, done func(T), fail func()) {
	w.net = append(w.net, &message{
		label: p.name + " " + label, from: p, host: host, fail: fail,
		run: func() func() {
			r := do()
			return func() { done(r) }
		},
	})
}

func (w *world) pick(n int) (*message, int) {
	if len(w.net) == 0 {
		return nil, 0
	}
	i := n % len(w.net)
	return w.net[i], i
}

// find returns the index of the first message whose label is given.
func (w *world) find(label string) int {
	return slices.IndexFunc(w.net, func(m *message) bool { return m.label == label })
}

func (w *world) remove(i int) { w.net = slices.Delete(w.net, i, i+1) }

// deliver lets a call take effect, or an answer arrive.
func (w *world) deliver(n int) {
	m, i := w.pick(n)
	if m == nil {
		return
	}
	w.remove(i)
	if m.answer {
		m.from.tell(func() { m.run() })
		return
	}
	if m.host != nil && !m.host.up || m.host == nil && m.from.parted {
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

// lose drops a call or an answer; the sender finds that none came.
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
		m.from.tell(m.fail)
	}
}

// late makes the sender give up a call that stays on its way.
func (w *world) late(n int) {
	m, _ := w.pick(n)
	if m == nil || m.answer || m.fail == nil {
		return
	}
	w.giveUp(m)
	w.abandon(m)
}

// hold keeps a message from arriving until free.
func (w *world) hold(n int) {
	m, i := w.pick(n)
	if m != nil {
		w.remove(i)
		w.held = append(w.held, m)
	}
}

func (w *world) free() {
	w.net = slices.Concat(w.held, w.net)
	w.held = nil
}

func (w *world) abandon(m *message) {
	m.fail = nil
	if m.host != nil && !m.host.engine.checks {
		m.until = w.now.Add(ledger.MaxOrderDelay)
	}
}

// orderOf returns the index of a host's first order that was given up, or not.
func (w *world) orderOf(host string, abandoned bool) int {
	return slices.IndexFunc(w.net, func(m *message) bool {
		return m.order && !m.answer && string(m.host.host.Name) == host && (m.fail == nil) == abandoned
	})
}

func (w *world) abandonOrder(host string) {
	if i := w.orderOf(host, false); i >= 0 {
		w.late(i)
	}
}

func (w *world) arrive(host string) {
	if i := w.orderOf(host, true); i >= 0 {
		w.deliver(i)
	}
}

func (w *world) effect(host string) {
	if i := w.orderOf(host, false); i >= 0 {
		w.deliver(i)
		w.lose(len(w.net) - 1)
	}
}

func (w *world) tick(d time.Duration) {
	w.now = w.now.Add(d)
	over := func(m *message) bool { return !m.until.IsZero() && !w.now.Before(m.until) }
	w.net = slices.DeleteFunc(w.net, over)
	w.held = slices.DeleteFunc(w.held, over)
}

// crash ends a process; calls it has sent stay on their way if keep is set.
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

// settle lets everything run in order for a while.
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

// turn lets a process act, delivers its calls but for orders, and lets it act
// on the answers.
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

// sync brings a process every object as it is, as a watch that works does.
func (w *world) sync(p *proc) {
	if w.store.down || p.parted {
		return
	}
	latest := map[key]object{}
	for _, o := range w.store.history[max(0, len(w.store.history)-200):] {
		latest[o.key] = o
	}
	for _, k := range sortedKeys(latest) {
		p.tell(func() { p.take(latest[k]) })
	}
}

func sortedKeys(m map[key]object) []key {
	return slices.SortedFunc(maps.Keys(m), func(a, b key) int {
		return slices.Compare([]string{string(a.kind), a.name}, []string{string(b.kind), b.name})
	})
}
