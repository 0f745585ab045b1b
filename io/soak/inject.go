package soak

import (
	"syscall"
	"time"

	"radishwell/io/fakes/midbox"
	"radishwell/platform/stand"
)

// inject starts a step. It returns a function that ends it, or nil if the step has no
// duration.
func (w *testbed) inject(s Step) (end func()) {
	entry, agent := w.entries[s.Target%len(w.entries)], w.agents[s.Target%len(w.agents)]
	storeBox := w.storeBoxes[s.Target%len(w.storeBoxes)]
	engine, host := w.upstreams[s.Target%engines], w.upstreams[s.Target%len(w.upstreams)]
	switch s.Kind {
	case KillEntry:
		entry.Signal(syscall.SIGKILL)
	case KillAgent:
		agent.Signal(syscall.SIGKILL)
	case KillAll:
		for _, p := range w.procs() {
			p.Signal(syscall.SIGKILL)
		}
	case StopEntry:
		entry.Signal(syscall.SIGTERM)
	case StopAgent:
		agent.Signal(syscall.SIGTERM)
	case PauseEntry:
		return pause(entry)
	case PauseAgent:
		return pause(agent)
	case Reload:
		for _, p := range w.procs() {
			p.Signal(syscall.SIGHUP)
		}
	case CutStore:
		return cut(storeBox, s.Variant)
	case CutAgent:
		return cut(engine.agentBox, s.Variant)
	case CutUpstream:
		return cut(host.box, s.Variant)
	case DelayUpstream:
		host.box.Delay(time.Duration(20+s.Variant%200) * time.Millisecond)
		return host.box.Heal
	case ResetAll:
		w.eachBox((*midbox.Box).Reset)
	case SilenceAll:
		w.eachBox((*midbox.Box).Silence)
	case StoreDown:
		return w.failStore(stand.Down)
	case StoreSilent:
		return w.failStore(stand.Silent)
	case StoreLossy:
		return w.failStore(stand.Lossy)
	case StoreCompact:
		w.store.Compact()
	case SpoilAnswers:
		return injectFault(host, []stand.WorkerFault{stand.WrongID, stand.Unsigned, stand.Truncated, stand.ExtraResponse, stand.HeaderOnly}[s.Variant%5])
	case LoseAnswers:
		return injectFault(host, stand.NoResponse)
	case FailAnswers:
		return injectFault(host, []stand.WorkerFault{stand.ServerError, stand.Ambiguous}[s.Variant%2])
	case ShedRequests:
		return injectFault(host, stand.Shed)
	case HangRequests:
		return injectFault(host, stand.Hang)
	case RestartUpstream:
		w.restart(host)
	case NewTable:
		w.writeTable()
	case LimitUpstream:
		rate := []float64{0.5, 1, 2, 4}[s.Variant%4]
		host.SetRateLimit(&rate)
		return func() { host.SetRateLimit(nil) }
	case LeaveUpstream:
		host.AnnounceLeaving()
		return func() { w.restart(host) }
	case BackoffUpstream:
		host.SetBackoff(time.Duration(500+s.Variant%2500) * time.Millisecond)
		return injectFault(host, stand.Shed)
	case ResizeTable:
		w.resizeTable()
	case NarrowStore:
		storeBox.Limit(midbox.ToClient, &midbox.Link{Rate: float64(int(100+s.Variant%300) << 10)})
		return func() { storeBox.Limit(midbox.ToClient, nil) }
	}
	return nil
}

func (w *testbed) procs() []*Proc { return append(append([]*Proc{}, w.entries...), w.agents...) }

func (w *testbed) eachBox(do func(*midbox.Box)) {
	for _, b := range w.storeBoxes {
		do(b)
	}
	for _, u := range w.upstreams {
		do(u.box)
		if u.agentBox != nil {
			do(u.agentBox)
		}
	}
}

func (w *testbed) failStore(f stand.Fault) func() {
	w.store.SetFault(f)
	return func() { w.store.SetFault(stand.Fine) }
}

// restart starts a new incarnation of an upstream under the same id, without any state.
func (w *testbed) restart(u *upstream) {
	u.box.Reset()
	u.started++
	u.Restart(u.started)
	w.register(u)
}

func pause(p *Proc) func() {
	p.Signal(syscall.SIGSTOP)
	return func() { p.Signal(syscall.SIGCONT) }
}

// cut cuts one direction, the other, or both.
func cut(b *midbox.Box, variant int) func() {
	if variant%3 != 1 {
		b.Cut(midbox.ToServer)
	}
	if variant%3 != 0 {
		b.Cut(midbox.ToClient)
	}
	return b.Heal
}

func injectFault(u *upstream, t stand.WorkerFault) func() {
	u.SetFault(t)
	return func() { u.SetFault(stand.NoFault) }
}
