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
	link := w.storeLinks[s.Target%len(w.storeLinks)]
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
		return cut(link, s.Variant)
	case CutAgent:
		return cut(engine.agentLink, s.Variant)
	case CutUpstream:
		return cut(host.link, s.Variant)
	case DelayUpstream:
		host.link.Delay(time.Duration(20+s.Variant%200) * time.Millisecond)
		return host.link.Heal
	case ResetAll:
		w.eachLink((*midbox.Box).Reset)
	case SilenceAll:
		w.eachLink((*midbox.Box).Silence)
	case StoreDown:
		return w.failStore(stand.Down)
	case StoreSilent:
		return w.failStore(stand.Silent)
	case StoreLossy:
		return w.failStore(stand.Lossy)
	case StoreCompact:
		w.store.Compact()
	case SpoilAnswers:
		return trick(host, []stand.WorkerFault{stand.WrongID, stand.Unsigned, stand.Truncated, stand.ExtraResponse, stand.HeaderOnly}[s.Variant%5])
	case LoseAnswers:
		return trick(host, stand.NoResponse)
	case FailAnswers:
		return trick(host, []stand.WorkerFault{stand.ServerError, stand.Ambiguous}[s.Variant%2])
	case ShedRequests:
		return trick(host, stand.Shed)
	case HangRequests:
		return trick(host, stand.Hang)
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
		return trick(host, stand.Shed)
	case ResizeTable:
		w.resizeTable()
	case NarrowStore:
		link.Limit(midbox.ToClient, &midbox.Link{Rate: float64(int(100+s.Variant%300) << 10)})
		return func() { link.Limit(midbox.ToClient, nil) }
	}
	return nil
}

func (w *testbed) procs() []*Proc { return append(append([]*Proc{}, w.entries...), w.agents...) }

func (w *testbed) eachLink(do func(*midbox.Box)) {
	for _, l := range w.storeLinks {
		do(l)
	}
	for _, u := range w.upstreams {
		do(u.link)
		if u.agentLink != nil {
			do(u.agentLink)
		}
	}
}

func (w *testbed) failStore(f stand.Fault) func() {
	w.store.SetFault(f)
	return func() { w.store.SetFault(stand.Fine) }
}

// restart starts a new incarnation of an upstream under the same id, without any state.
func (w *testbed) restart(u *upstream) {
	u.link.Reset()
	u.born++
	u.Restart(u.born)
	w.register(u)
}

func pause(p *Proc) func() {
	p.Signal(syscall.SIGSTOP)
	return func() { p.Signal(syscall.SIGCONT) }
}

// cut cuts one direction, the other, or both.
func cut(l *midbox.Box, variant int) func() {
	if variant%3 != 1 {
		l.Cut(midbox.ToServer)
	}
	if variant%3 != 0 {
		l.Cut(midbox.ToClient)
	}
	return l.Heal
}

func trick(u *upstream, t stand.WorkerFault) func() {
	u.SetFault(t)
	return func() { u.SetFault(stand.NoFault) }
}
