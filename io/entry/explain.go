package entry

import (
	"fmt"
	"slices"

	"radishwell/core"
	"radishwell/io/relay"
	"radishwell/wire"
)

// Demand lists the number of requests in progress and waiting for each model, for the
// decider. Models without any are omitted.
func (e *Entry) Demand() []*wire.Demand {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	var out []*wire.Demand
	for name, l := range e.lanes {
		n := l.running + e.queue.Depth(now, name).Items
		if l.target.Model != "" && n > 0 {
			out = append(out, &wire.Demand{Name: name, Requests: float64(n)})
		}
	}
	slices.SortFunc(out, func(a, b *wire.Demand) int { return slices.Compare([]string{a.GetName()}, []string{b.GetName()}) })
	return out
}

// ExplainTarget describes the state of a model or service at this entry, for operators.
func (e *Entry) ExplainTarget(name core.ModelName) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	var lines []string
	if l := e.lanes[string(name)]; l != nil {
		d := e.queue.Depth(now, string(name))
		lines = append(lines, fmt.Sprintf("here %d in progress and %d waiting; one takes about %s, the queue drains one in %s",
			l.running, d.Items, d.ServiceTime, d.DrainTime))
	}
	costs := e.costOf(name)
	lines = append(lines, fmt.Sprintf("a cold start takes about %s from memory, %s from disk, %s from the weight store",
		costs[core.TierMemory], costs[core.TierDisk], costs[core.TierStore]))
	for host, s := range e.hosts {
		for _, i := range s.load.GetItems() {
			if i.GetName() == string(name) {
				lines = append(lines, fmt.Sprintf("%s reported it %s with %d running and %d queued at %s",
					host, core.ItemState(i.GetState()), i.GetRunning(), i.GetQueued(), relay.Time(s.load.GetAt()).UTC().Format("15:04:05.000")))
			}
		}
	}
	slices.Sort(lines[1:])
	return lines
}

// ExplainHost describes what this entry knows of an upstream host, for operators.
func (e *Entry) ExplainHost(name core.HostName) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.hosts[name]
	if s == nil {
		return []string{"this entry has sent it nothing yet"}
	}
	lines := []string{fmt.Sprintf("%d requests of this entry are there now", s.inFlight)}
	if s.load != nil {
		lines = append(lines, fmt.Sprintf("last report at %s: %d running, %d queued, leaving %t",
			relay.Time(s.load.GetAt()).UTC().Format("15:04:05.000"), s.load.GetRunning(), s.load.GetQueued(), s.load.GetLeaving()))
	}
	if h, ok := e.Find(name); ok {
		lines = append(lines, "health "+healthNames[h.Health])
	}
	return lines
}

var healthNames = [...]string{"live", "suspect", "leaving"}
