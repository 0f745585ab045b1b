package script

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"radishwell/core"
	"radishwell/core/lease"
	"radishwell/core/place"
)

// directive is one line of a scenario: its name and the words after it.
type directive struct {
	usage string
	run   func(w *world, a args)
}

// args are the words after a directive's name; one that is missing reads as
// empty or zero, so that a schedule can be cut down freely.
type args []string

func (a args) word(i int) string {
	if i < len(a) {
		return a[i]
	}
	return ""
}

func (a args) num(i int) int {
	n, _ := strconv.Atoi(a.word(i))
	return max(n, 0)
}

func (a args) float(i int) float64 {
	f, _ := strconv.ParseFloat(a.word(i), 64)
	return f
}

func (a args) span(i int) time.Duration {
	d, _ := time.ParseDuration(a.word(i))
	return max(d, 0)
}

var directives map[string]directive

func init() {
	directives = map[string]directive{
		// What there is.
		"host":    {"NAME DATA-CENTRE RACK ACCELERATORS GIB [ignores]: a host and its agent", runHost},
		"model":   {"NAME OWNER GIB ACCELERATORS REPLICAS: a catalogue entry, or a change of it", runModel},
		"adapter": {"NAME BASE OWNER GIB REPLICAS", runAdapter},
		"drop":    {"NAME: deletes an entry", runDrop},
		"owner":   {"NAME GIB: an owner's memory limit", runOwner},
		"decider": {"NAME [CLOCK-RATE]: starts an entry", runDecider},
		// Time and messages.
		"tick":    {"DURATION", func(w *world, a args) { w.tick(a.span(0)) }},
		"settle":  {"DURATION: everything runs in order", func(w *world, a args) { w.settle(a.span(0)) }},
		"step":    {"PROCESS: lets it act", func(w *world, a args) { w.with(a, w.run) }},
		"turn":    {"PROCESS: it acts and gets its answers, but for those to orders", func(w *world, a args) { w.with(a, w.turn) }},
		"overrun": {"DECIDER: decides though its term may be over, as when paused", runOverrun},
		"sync":    {"PROCESS: brings it all objects", func(w *world, a args) { w.with(a, w.sync) }},
		"copy":    {"PROCESS N: brings it the N-th last version of anything", runCopy},
		"deliver": {"N or LABEL", func(w *world, a args) { w.each(a, w.deliver) }},
		"lose":    {"N or LABEL: message is dropped, the caller gives up", func(w *world, a args) { w.each(a, w.lose) }},
		"late":    {"N or LABEL: the caller gives up, the call stays on its way", func(w *world, a args) { w.each(a, w.late) }},
		"hold":    {"N or LABEL: the message doesn't arrive before free", func(w *world, a args) { w.each(a, w.hold) }},
		"free":    {"what was held arrives next", func(w *world, _ args) { w.free() }},
		"abandon": {"HOST: its agent gives up the order on its way, which stays so", func(w *world, a args) { w.abandonOrder(a.word(0)) }},
		"arrive":  {"HOST: an order that was given up reaches its engine", func(w *world, a args) { w.arrive(a.word(0)) }},
		"effect":  {"HOST: the order on its way takes effect, its answer is lost", func(w *world, a args) { w.effect(a.word(0)) }},
		// Faults.
		"outage":  {"on|off: the platform refuses every call", func(w *world, a args) { w.store.down = a.word(0) == "on" }},
		"part":    {"PROCESS on|off: it can't reach the platform", func(w *world, a args) { w.with(a, func(p *proc) { p.parted = a.word(1) == "on" }) }},
		"pause":   {"PROCESS", func(w *world, a args) { w.with(a, func(p *proc) { p.paused = true }) }},
		"resume":  {"PROCESS", func(w *world, a args) { w.with(a, w.resume) }},
		"crash":   {"PROCESS [keep]: ends it; keep leaves its calls on their way", runCrash},
		"start":   {"PROCESS: starts it anew", runStart},
		"reboot":  {"HOST: its engine restarts", func(w *world, a args) { w.host(a, func(m *machine) { m.engine.restart() }) }},
		"hang":    {"HOST on|off: its engine's loads and unloads don't end", runHang},
		"mute":    {"HOST: its engine doesn't keep numbers, though it should", func(w *world, a args) { w.host(a, func(m *machine) { m.engine.mute = true }) }},
		"leave":   {"HOST: listed as leaving", runLeave},
		"kill":    {"HOST: gone without notice, still listed", func(w *world, a args) { w.host(a, w.kill) }},
		"reclaim": {"HOST: kills it if it is listed as leaving", runReclaim},
		"delist":  {"HOST: a killed host is no longer listed", runDelist},
		"join":    {"HOST: a new host under the name of one delisted", runJoin},
		"unlease": {"deletes the lease by hand", func(w *world, _ args) { w.unlease() }},
		"break":   {"FAULT: a deliberate fault, which a check must see", runBreak},
		// Work.
		"work":   {"HOST N: its engine ends a load or unload", func(w *world, a args) { w.host(a, func(m *machine) { m.engine.work(a.num(1)) }) }},
		"want":   {"HOST MODEL", func(w *world, a args) { w.agent(a, func(g *agent) { g.wants[core.ModelName(a.word(1))] = true }) }},
		"only":   {"HOST MODEL: wants this and nothing else", func(w *world, a args) { w.agent(a, func(g *agent) { g.only(core.ModelName(a.word(1))) }) }},
		"unwant": {"HOST MODEL", func(w *world, a args) { w.agent(a, func(g *agent) { delete(g.wants, core.ModelName(a.word(1))) }) }},
		"use":    {"HOST MODEL: a request begins", func(w *world, a args) { w.agent(a, func(g *agent) { g.use(core.ModelName(a.word(1))) }) }},
		"done":   {"HOST N: a request ends", func(w *world, a args) { w.agent(a, func(g *agent) { g.done(a.num(1)) }) }},
		"heal":   {"ends every fault and settles", func(w *world, _ args) { w.heal() }},
		"idle":   {"HOST: all requests end", func(w *world, a args) { w.agent(a, (*agent).idle) }},
		"evict":  {"HOST MODEL: asks that it leaves", func(w *world, a args) { w.agent(a, func(g *agent) { g.evict(core.ModelName(a.word(1))) }) }},
		"demand": {"MODEL HOSTS: as every decider sees it", runDemand},
		// Expectations.
		"expect": {"holders MODEL HOST... | loaded HOST MODEL... | decider NAME | clear HOST MODEL | converged", runExpect},
	}
}

// exec runs one line and checks the invariants.
func (w *world) exec(line string) {
	words := strings.Fields(line)
	if len(words) == 0 || strings.HasPrefix(words[0], "#") {
		return
	}
	d, ok := directives[words[0]]
	if !ok {
		w.check.fail("no directive %q", words[0])
		return
	}
	d.run(w, args(words[1:]))
	w.check.world(w)
}

// with runs f on the process named by the first word, if it lives.
func (w *world) with(a args, f func(*proc)) {
	if d := w.deciders[a.word(0)]; d != nil {
		f(&d.proc)
		return
	}
	w.agent(a, func(g *agent) { f(&g.proc) })
}

func (w *world) host(a args, f func(*machine)) {
	if m := w.hosts[core.HostName(a.word(0))]; m != nil && m.up {
		f(m)
	}
}

func (w *world) agent(a args, f func(*agent)) {
	w.host(a, func(m *machine) {
		if m.agent != nil {
			f(m.agent)
		}
	})
}

// each runs f on the message given by number or label.
func (w *world) each(a args, f func(int)) {
	if _, err := strconv.Atoi(a.word(0)); err == nil {
		f(a.num(0))
		return
	}
	label := strings.Join(a, " ")
	i := w.find(label)
	if i < 0 {
		w.check.fail("no message %q is on its way", label)
		return
	}
	f(i)
}

func (w *world) resume(p *proc) {
	p.paused = false
	inbox := p.inbox
	p.inbox = nil
	for _, f := range inbox {
		p.tell(f)
	}
}

func gib(n int) core.Bytes { return core.Bytes(n) * core.GiB }

func runHost(w *world, a args) {
	h := place.Host{
		Name: core.HostName(a.word(0)), DataCentre: core.DataCentre(a.word(1)), Rack: a.word(2),
		Accelerators: a.num(3), Memory: gib(a.num(4)), Service: "qalam", State: core.HostLive,
	}
	w.addHost(h, a.word(5) != "ignores")
}

func (w *world) addHost(h place.Host, checks bool) {
	w.uids++
	h.UID = "uid" + strconv.Itoa(w.uids)
	e := &engine{epoch: uint64(w.uids), checks: checks, items: map[core.ModelName]core.EngineItem{}}
	for range h.Accelerators {
		e.capacity = append(e.capacity, h.Memory)
	}
	m := &machine{host: h, engine: e, up: true}
	w.hosts[h.Name] = m
	w.store.force(object{key: key{core.KindHost, string(h.Name)}, host: h})
	w.startAgent(m)
}

func runModel(w *world, a args) {
	w.setEntry(place.Entry{
		Name: core.ModelName(a.word(0)), Owner: core.OwnerName(a.word(1)), Service: "qalam",
		Memory: gib(a.num(2)), Accelerators: a.num(3), Replicas: a.num(4),
	})
}

func runAdapter(w *world, a args) {
	w.setEntry(place.Entry{
		Name: core.ModelName(a.word(0)), Base: core.ModelName(a.word(1)), Owner: core.OwnerName(a.word(2)),
		Service: "qalam", Memory: gib(a.num(3)), Replicas: a.num(4),
	})
}

func (w *world) setEntry(e place.Entry) {
	w.sizes[e.Name] = e
	w.store.force(object{key: key{core.KindModel, string(e.Name)}, entry: e})
}

func runDrop(w *world, a args) {
	k := key{core.KindModel, a.word(0)}
	if _, ok := w.store.objects[k]; ok {
		w.store.force(object{key: k, deleted: true})
	}
}

func runOwner(w *world, a args) {
	w.store.force(object{key: key{core.KindOwner, a.word(0)}, owner: gib(a.num(1))})
}

func runDecider(w *world, a args) {
	rate := a.float(1)
	if rate == 0 {
		rate = 1
	}
	if !w.faults["clocks"] {
		rate = min(max(rate, 0.9), 1.1)
	}
	w.startDecider(a.word(0), rate)
}

func runCopy(w *world, a args) {
	n := len(w.store.history)
	if n == 0 {
		return
	}
	o := w.store.history[n-1-a.num(1)%n]
	w.with(a, func(p *proc) { p.tell(func() { p.take(o) }) })
}

func runBreak(w *world, a args) {
	w.faults[a.word(0)] = true
	w.store.careless = w.faults["careless-store"]
	if a.word(0) == "restore" {
		w.store.version = 0
		delete(w.store.objects, key{core.KindLease, lease.Name})
	}
}

func runOverrun(w *world, a args) {
	if d := w.deciders[a.word(0)]; d != nil && d.believed != 0 && d.believed == d.listed {
		d.round(d.believed)
	}
}

func runCrash(w *world, a args) {
	w.with(a, func(p *proc) {
		w.crash(p, a.word(1) == "keep")
		delete(w.deciders, p.name)
		if m := w.hosts[core.HostName(p.name)]; m != nil {
			m.agent = nil
		}
	})
}

func runStart(w *world, a args) {
	if m := w.hosts[core.HostName(a.word(0))]; m != nil {
		w.startAgent(m)
		return
	}
	if w.deciders[a.word(0)] == nil {
		w.startDecider(a.word(0), 1)
	}
}

func runHang(w *world, a args) {
	w.host(a, func(m *machine) { m.engine.hangs = a.word(1) == "on" })
}

func runLeave(w *world, a args) {
	k := key{core.KindHost, a.word(0)}
	if o, ok := w.store.objects[k]; ok {
		o.host.State = core.HostLeaving
		w.store.force(o)
	}
}

func (w *world) kill(m *machine) {
	m.up = false
	if m.agent != nil {
		w.crash(&m.agent.proc, false)
		m.agent = nil
	}
}

// unlease deletes the lease by hand.
func (w *world) unlease() {
	k := key{core.KindLease, lease.Name}
	if _, ok := w.store.objects[k]; ok {
		w.store.force(object{key: k, deleted: true})
	}
}

func runReclaim(w *world, a args) {
	if w.store.objects[key{core.KindHost, a.word(0)}].host.State == core.HostLeaving {
		w.host(a, w.kill)
	}
}

func runDelist(w *world, a args) {
	m := w.hosts[core.HostName(a.word(0))]
	k := key{core.KindHost, a.word(0)}
	if o, ok := w.store.objects[k]; ok && m != nil && !m.up {
		o.deleted = true
		w.store.force(o)
	}
}

func runJoin(w *world, a args) {
	m := w.hosts[core.HostName(a.word(0))]
	if _, listed := w.store.objects[key{core.KindHost, a.word(0)}]; m == nil || listed {
		return
	}
	w.addHost(m.host, m.engine.checks)
}

func runDemand(w *world, a args) {
	for _, d := range w.deciders {
		d.planner.SetDemand(d.now(), core.ModelName(a.word(0)), a.float(1))
	}
}

func runExpect(w *world, a args) {
	var have string
	switch a.word(0) {
	case "holders":
		have = w.holders(core.ModelName(a.word(1)))
	case "loaded":
		if m := w.hosts[core.HostName(a.word(1))]; m != nil {
			have = m.loaded()
		}
	case "decider":
		have = w.holder()
		a = append(args{"", ""}, a[1:]...)
	case "converged":
		have = w.converged()
		a = append(a, "")
	case "clear":
		w.agent(a[1:], func(g *agent) { have = strconv.FormatBool(g.ledger.ProvenAbsent(core.ModelName(a.word(2)))) })
		a = a[1:]
	}
	if want := strings.Join(a[2:], " "); have != want {
		w.check.fail("expected %v, found %q", a, have)
	}
}

func (w *world) holder() string {
	for name, d := range w.deciders {
		if _, ok := d.lease.Decides(d.now()); ok {
			return name
		}
	}
	return "none"
}

// holders lists a model's holders; a revoked one has a minus.
func (w *world) holders(name core.ModelName) string {
	var list []string
	for _, h := range w.store.objects[key{core.KindGrant, string(name)}].grant.Holders {
		text := string(h.Host)
		if h.State == core.GrantRevoked {
			text += "-"
		}
		list = append(list, text)
	}
	return strings.Join(list, " ")
}

func (m *machine) loaded() string {
	var list []string
	for _, it := range m.engine.state().Items {
		if it.State == core.Loaded {
			list = append(list, fmt.Sprint(it.Name))
		}
	}
	return strings.Join(list, " ")
}
