package soak

import (
	"fmt"
	"syscall"
	"time"

	"radishwell/io/fakes/midbox"
	"radishwell/platform/stand"
)

// inject starts a step. It returns a function that ends it, or nil if the step has no
// duration.
func (t *testbed) inject(s Step) (end func()) {
	entry, agent := t.entries[s.Target%len(t.entries)], t.agents[s.Target%len(t.agents)]
	storeBox := t.storeBoxes[s.Target%len(t.storeBoxes)]
	engine, host := t.upstreams[s.Target%engines], t.upstreams[s.Target%len(t.upstreams)]
	switch s.Kind {
	case KillEntry:
		entry.Signal(syscall.SIGKILL)
	case KillAgent:
		agent.Signal(syscall.SIGKILL)
	case KillAll:
		for _, p := range t.procs() {
			p.Signal(syscall.SIGKILL)
		}
	case KillEntries:
		t.killEntries(s.Variant)
	case StopEntry:
		entry.Signal(syscall.SIGTERM)
	case StopAgent:
		agent.Signal(syscall.SIGTERM)
	case PauseEntry:
		return pause(entry)
	case PauseAgent:
		return pause(agent)
	case Reload:
		for _, p := range t.procs() {
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
		t.eachBox((*midbox.Box).Reset)
	case SilenceAll:
		t.eachBox((*midbox.Box).Silence)
	case StoreDown:
		return t.failStore(stand.Down)
	case StoreSilent:
		return t.failStore(stand.Silent)
	case StoreLossy:
		return t.failStore(stand.Lossy)
	case StoreCompact:
		t.store.Compact()
	case SpoilAnswers:
		return injectFault(host, spoilFault(s.Variant))
	case LoseAnswers:
		return injectFault(host, stand.NoResponse)
	case FailAnswers:
		return injectFault(host, []stand.WorkerFault{stand.ServerError, stand.Ambiguous}[s.Variant%2])
	case ShedRequests:
		return injectFault(host, stand.Shed)
	case HangRequests:
		return injectFault(host, stand.Hang)
	case RestartUpstream:
		t.restart(host)
	case NewTable:
		t.writeTable()
	case LimitUpstream:
		rate := []float64{0.5, 1, 2, 4}[s.Variant%4]
		host.SetRateLimit(&rate)
		return func() { host.SetRateLimit(nil) }
	case LeaveUpstream:
		host.AnnounceLeaving()
		return func() { t.restart(host) }
	case BackoffUpstream:
		host.SetBackoff(time.Duration(500+s.Variant%2500) * time.Millisecond)
		return injectFault(host, stand.Shed)
	case ResizeTable:
		t.resizeTable()
	case NarrowStore:
		storeBox.Limit(midbox.ToClient, &midbox.Link{Rate: float64(int(100+s.Variant%300) << 10)})
		return func() { storeBox.Limit(midbox.ToClient, nil) }
	case CrashingRequest:
		t.startCrashing(s)
	case CrashingPart:
		t.startCrashingPart(s)
	case FallingUpstreams:
		return t.fall(s)
	case PreferEntry:
		return t.preferEntry(s)
	case BusyEngine:
		engine.SetReading(10_000 + s.Variant%60_000)
		return func() { engine.SetReading(0) }
	case LoseCached:
		engine.LoseCachedEvents()
	case SlowReaders:
		return t.readSlowly(s)
	case DropFraming:
		return dropFraming(host, []stand.WorkerFault{stand.NoFault, stand.EndsInsideEvent, stand.EndsAfterEvent, stand.ResetMidway}[s.Variant%4])
	case ReleaseUpstream:
		t.release(engine)
	case MisstateVersion:
		return t.misstateVersion(engine, s.Variant)
	case ForeignEntry:
		return t.addForeignEntry(host, s.Variant)
	case RestoreStore:
		held := t.store.Copy()
		return func() { t.restoreStore(held) }
	}
	return nil
}

func (t *testbed) procs() []*Proc { return append(append([]*Proc{}, t.entries...), t.agents...) }

func (t *testbed) eachBox(do func(*midbox.Box)) {
	for _, b := range t.storeBoxes {
		do(b)
	}
	for _, u := range t.upstreams {
		do(u.box)
		if u.agentBox != nil {
			do(u.agentBox)
		}
	}
}

func (t *testbed) failStore(f stand.Fault) func() {
	t.store.SetFault(f)
	return func() { t.store.SetFault(stand.Fine) }
}

const (
	// rewriteDelay is the time from a restore of the store to the rewriting of what the
	// operator and the upstreams had written since the copy.
	rewriteDelay = 500 * time.Millisecond
	// lostWrites is the number of changes of the registry that a restore undoes. They are
	// more than are written again, so that the store's revisions stay behind those that
	// entries hold. lostDelay is the time in which entries read them.
	lostWrites = 200
	lostDelay  = time.Second
)

// restoreStore restores the store from a copy. What processes have written since is lost; the
// operator and the upstreams write theirs again.
func (t *testbed) restoreStore(held stand.Copy) {
	for i := range lostWrites {
		t.store.Put("servers", "lost", fmt.Sprintf(`{"service":"plain","address":"127.0.0.1:9","zone":"dc-1","slots":6,"state":"draining","sequence":%d}`, i))
	}
	time.Sleep(lostDelay)
	t.store.Restore(held)
	time.Sleep(rewriteDelay)
	t.mu.Lock()
	t.store.Put("config", "main", t.table)
	for _, u := range t.upstreams {
		t.register(u)
	}
	t.mu.Unlock()
	t.writeTable()
}

// restart starts a new incarnation of an upstream under the same id, without any state.
func (t *testbed) restart(u *upstream) { t.restartAs(u, "") }

// restartAs is restart, and changes the version of the upstream's software unless it is empty.
func (t *testbed) restartAs(u *upstream, version string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u.box.Reset()
	u.started++
	u.Restart(u.started)
	if version != "" {
		u.setVersion(version)
	}
	t.register(u)
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

// spoilFault returns the fault of a variant of SpoilAnswers.
func spoilFault(variant int) stand.WorkerFault {
	faults := []stand.WorkerFault{stand.WrongID, stand.Unsigned, stand.Truncated, stand.ExtraResponse, stand.HeaderOnly}
	// A share of each other fault, so that the variants of the seeds in TestSoak and KNOWN-RED.txt
	// keep theirs.
	if variant/len(faults)%4 == 1 {
		return stand.EndsInsideHead
	}
	return faults[variant%len(faults)]
}

func injectFault(u *upstream, f stand.WorkerFault) func() {
	u.SetFault(f)
	return func() { u.SetFault(stand.NoFault) }
}

// dropFraming makes an upstream answer without a length or chunks, with a fault. The fault ends
// first, since one that ends answers early cannot be noticed in answers with framing.
func dropFraming(u *upstream, f stand.WorkerFault) func() {
	u.SetUnframed(true)
	u.SetFault(f)
	return func() {
		u.SetFault(stand.NoFault)
		u.SetUnframed(false)
	}
}
