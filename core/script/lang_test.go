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

// directive is a kind of line in a scenario.
type directive struct {
	// usage documents the arguments and the effect.
	usage string
	run   func(w *world, a args)
}

// args are the arguments of a directive. Missing or invalid ones count as empty
// or zero, so that any line of a schedule can be left out.
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

func (a args) duration(i int) time.Duration {
	d, _ := time.ParseDuration(a.word(i))
	return max(d, 0)
}

var directives map[string]directive

func init() {
	directives = map[string]directive{
		// Objects and processes.
		"host":    {"NAME DATA-CENTRE RACK ACCELERATORS GIB [ignores]: adds a host with its agent; ignores: its engine doesn't check fencing numbers", runHost},
		"model":   {"NAME OWNER GIB ACCELERATORS REPLICAS: adds or changes a model in the catalogue", runModel},
		"adapter": {"NAME BASE OWNER GIB REPLICAS: adds or changes an adapter in the catalogue", runAdapter},
		"drop":    {"NAME: deletes a model or adapter from the catalogue", runDrop},
		"owner":   {"NAME GIB: sets an owner's memory limit", runOwner},
		"decider": {"NAME [CLOCK-RATE]: starts a decider", runDecider},
		// Time and messages.
		"tick":    {"DURATION: advances the time", func(w *world, a args) { w.tick(a.duration(0)) }},
		"settle":  {"DURATION: lets all processes run and all messages arrive in order", func(w *world, a args) { w.settle(a.duration(0)) }},
		"step":    {"PROCESS: lets it act once", func(w *world, a args) { w.withProcess(a, w.run) }},
		"turn":    {"PROCESS: lets it act, and delivers its calls and their answers except orders", func(w *world, a args) { w.withProcess(a, w.turn) }},
		"overrun": {"DECIDER: lets it plan a round although its lease may have expired, as after a pause", runOverrun},
		"sync":    {"PROCESS: sends it the current state of all objects", func(w *world, a args) { w.withProcess(a, w.sync) }},
		"copy":    {"PROCESS N: sends it the object version written N writes ago", runCopy},
		"deliver": {"N or LABEL: delivers a message", func(w *world, a args) { w.withMessage(a, w.deliver) }},
		"lose":    {"N or LABEL: drops a message; the sender times out", func(w *world, a args) { w.withMessage(a, w.lose) }},
		"late":    {"N or LABEL: the sender times out; the call stays in flight", func(w *world, a args) { w.withMessage(a, w.timeOut) }},
		"hold":    {"N or LABEL: delays a message until free", func(w *world, a args) { w.withMessage(a, w.hold) }},
		"free":    {"puts the held messages first in the network's queue", func(w *world, _ args) { w.releaseHeld() }},
		"abandon": {"HOST: its agent times out on an order, which stays in flight", func(w *world, a args) { w.abandonOrder(a.word(0)) }},
		"arrive":  {"HOST: an abandoned order reaches its engine", func(w *world, a args) { w.arrive(a.word(0)) }},
		"effect":  {"HOST: an order in flight takes effect; its answer is lost", func(w *world, a args) { w.effect(a.word(0)) }},
		// Faults.
		"outage":  {"on|off: the platform refuses every call", func(w *world, a args) { w.store.down = a.word(0) == "on" }},
		"part":    {"PROCESS on|off: cuts it off from the platform", func(w *world, a args) { w.withProcess(a, func(p *proc) { p.partitioned = a.word(1) == "on" }) }},
		"pause":   {"PROCESS: suspends it", func(w *world, a args) { w.withProcess(a, func(p *proc) { p.paused = true }) }},
		"resume":  {"PROCESS: ends a pause", func(w *world, a args) { w.withProcess(a, w.resume) }},
		"crash":   {"PROCESS [keep]: ends it; keep: its calls stay in flight", runCrash},
		"start":   {"PROCESS: starts it again", runStart},
		"reboot":  {"HOST: its engine restarts", func(w *world, a args) { w.withHost(a, func(m *upstreamHost) { m.engine.restart() }) }},
		"hang":    {"HOST on|off: its engine's loads and unloads don't complete", runHang},
		"mute":    {"HOST: its engine stops recording fencing numbers", func(w *world, a args) { w.withHost(a, func(m *upstreamHost) { m.engine.forgetsFence = true }) }},
		"leave":   {"HOST: the platform lists it as leaving", runLeave},
		"kill":    {"HOST: it dies without notice and is still listed", func(w *world, a args) { w.withHost(a, w.kill) }},
		"reclaim": {"HOST: kills it if it is listed as leaving", runReclaim},
		"delist":  {"HOST: the platform no longer lists it, if it was killed", runDelist},
		"join":    {"HOST: adds a new host under the name of a delisted one", runJoin},
		"unlease": {"deletes the lease, as an operator might", func(w *world, _ args) { w.unlease() }},
		"break":   {"FAULT: enables a deliberate fault, which a check must detect", runBreak},
		// Work.
		"work":   {"HOST N: its engine completes a load or unload", func(w *world, a args) { w.withHost(a, func(m *upstreamHost) { m.engine.work(a.num(1)) }) }},
		"want":   {"HOST MODEL: its agent is to load a model", func(w *world, a args) { w.withAgent(a, func(g *agent) { g.wants[core.ModelName(a.word(1))] = true }) }},
		"only":   {"HOST MODEL: its agent is to load a model and no others", func(w *world, a args) { w.withAgent(a, func(g *agent) { g.only(core.ModelName(a.word(1))) }) }},
		"unwant": {"HOST MODEL: undoes want", func(w *world, a args) { w.withAgent(a, func(g *agent) { delete(g.wants, core.ModelName(a.word(1))) }) }},
		"use":    {"HOST MODEL: a request begins", func(w *world, a args) { w.withAgent(a, func(g *agent) { g.use(core.ModelName(a.word(1))) }) }},
		"done":   {"HOST N: a request ends", func(w *world, a args) { w.withAgent(a, func(g *agent) { g.done(a.num(1)) }) }},
		"heal":   {"ends every fault and settles", func(w *world, _ args) { w.heal() }},
		"idle":   {"HOST: all requests end", func(w *world, a args) { w.withAgent(a, (*agent).idle) }},
		"evict":  {"HOST MODEL: its agent is to unload a model", func(w *world, a args) { w.withAgent(a, func(g *agent) { g.evict(core.ModelName(a.word(1))) }) }},
		"demand": {"MODEL HOSTS: sets the demand that all deciders see", runDemand},
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

// withProcess runs f on the process named by the first argument, if it is alive.
func (w *world) withProcess(a args, f func(*proc)) {
	if d := w.deciders[a.word(0)]; d != nil {
		f(&d.proc)
		return
	}
	w.withAgent(a, func(g *agent) { f(&g.proc) })
}

// withHost runs f on the host named by the first argument, if it is up.
func (w *world) withHost(a args, f func(*upstreamHost)) {
	if m := w.hosts[core.HostName(a.word(0))]; m != nil && m.up {
		f(m)
	}
}

// withAgent runs f on the agent of the host named by the first argument, if it is
// alive.
func (w *world) withAgent(a args, f func(*agent)) {
	w.withHost(a, func(m *upstreamHost) {
		if m.agent != nil {
			f(m.agent)
		}
	})
}

// withMessage runs f on the message given by its number or label.
func (w *world) withMessage(a args, f func(int)) {
	if _, err := strconv.Atoi(a.word(0)); err == nil {
		f(a.num(0))
		return
	}
	label := strings.Join(a, " ")
	i := w.find(label)
	if i < 0 {
		w.check.fail("no message %q is in flight", label)
		return
	}
	f(i)
}

func (w *world) resume(p *proc) {
	p.paused = false
	inbox := p.inbox
	p.inbox = nil
	for _, f := range inbox {
		p.dispatch(f)
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

func (w *world) addHost(h place.Host, checksFence bool) {
	w.uids++
	h.UID = "uid" + strconv.Itoa(w.uids)
	e := &engine{epoch: uint64(w.uids), checksFence: checksFence, items: map[core.ModelName]core.EngineItem{}}
	for range h.Accelerators {
		e.capacity = append(e.capacity, h.Memory)
	}
	m := &upstreamHost{host: h, engine: e, up: true}
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
	w.withProcess(a, func(p *proc) { p.dispatch(func() { p.take(o) }) })
}

func runBreak(w *world, a args) {
	w.faults[a.word(0)] = true
	w.store.unconditional = w.faults["careless-store"]
	if a.word(0) == "restore" {
		w.store.version = 0
		delete(w.store.objects, key{core.KindLease, lease.Name})
	}
}

func runOverrun(w *world, a args) {
	if d := w.deciders[a.word(0)]; d != nil && d.lastFence != 0 && d.lastFence == d.listed {
		d.round(d.lastFence)
	}
}

func runCrash(w *world, a args) {
	w.withProcess(a, func(p *proc) {
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
	w.withHost(a, func(m *upstreamHost) { m.engine.hangs = a.word(1) == "on" })
}

func runLeave(w *world, a args) {
	k := key{core.KindHost, a.word(0)}
	if o, ok := w.store.objects[k]; ok {
		o.host.State = core.HostLeaving
		w.store.force(o)
	}
}

func (w *world) kill(m *upstreamHost) {
	m.up = false
	if m.agent != nil {
		w.crash(&m.agent.proc, false)
		m.agent = nil
	}
}

// unlease deletes the lease, as an operator might.
func (w *world) unlease() {
	k := key{core.KindLease, lease.Name}
	if _, ok := w.store.objects[k]; ok {
		w.store.force(object{key: k, deleted: true})
	}
}

func runReclaim(w *world, a args) {
	if w.store.objects[key{core.KindHost, a.word(0)}].host.State == core.HostLeaving {
		w.withHost(a, w.kill)
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
	w.addHost(m.host, m.engine.checksFence)
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
		w.withAgent(a[1:], func(g *agent) { have = strconv.FormatBool(g.ledger.ProvenAbsent(core.ModelName(a.word(2)))) })
		a = a[1:]
	}
	if want := strings.Join(a[2:], " "); have != want {
		w.check.fail("expected %v, found %q", a, have)
	}
}

// holder returns the name of a decider that holds the lease, or "none".
func (w *world) holder() string {
	for name, d := range w.deciders {
		if _, ok := d.lease.Decides(d.now()); ok {
			return name
		}
	}
	return "none"
}

// holders lists a model's holders. Revoked ones have a minus sign appended.
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

func (m *upstreamHost) loaded() string {
	var list []string
	for _, it := range m.engine.state().Items {
		if it.State == core.Loaded {
			list = append(list, fmt.Sprint(it.Name))
		}
	}
	return strings.Join(list, " ")
}
