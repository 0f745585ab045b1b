package agent

import (
	"fmt"

	"radishwell/core"
	"radishwell/core/strike"
)

// ExplainRequest tells how a request stands at this host.
func (a *Agent) ExplainRequest(id core.RequestID) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.byID[id]
	if r == nil {
		return nil
	}
	lines := []string{fmt.Sprintf("arrived at %s at %s from %s", a.Host, r.arrived.UTC().Format("15:04:05.000"), r.head.GetEntry())}
	switch {
	case !r.ended.IsZero():
		lines = append(lines, "ended at "+r.ended.UTC().Format("15:04:05.000"))
		if refusal := r.spool.Refused(a.Host); refusal != nil {
			lines = append(lines, refusal.Error())
		}
	case r.began:
		lines = append(lines, fmt.Sprintf("is in the engine; %d bytes of its answer have arrived", r.received.Load()))
	default:
		lines = append(lines, fmt.Sprintf("waits; %s is %s here", r.target.Name(), a.ledger.Item(r.target.Model).State))
	}
	if r.cold {
		lines = append(lines, "it waited for a load")
	}
	return lines
}

// ExplainModel tells how a model stands at this host.
func (a *Agent) ExplainModel(name core.ModelName) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := a.ledger.Item(name)
	state, certain := a.Grant(name)
	lines := []string{fmt.Sprintf("%s is %s at %s since %s, %d requests in it, on accelerators %v",
		name, i.State, a.Host, i.Since.UTC().Format("15:04:05.000"), i.Users, i.Accelerators)}
	switch {
	case !certain:
		lines = append(lines, "the platform has not confirmed grants since this process started: what is loaded is served, nothing is loaded")
	case state == "":
		lines = append(lines, "this host has no grant for it")
	default:
		lines = append(lines, "this host's grant is "+string(state))
	}
	if l := a.lanes[string(name)]; l != nil {
		lines = append(lines, fmt.Sprintf("%d running and %d waiting", l.running, l.waiting))
	}
	return lines
}

// ExplainHost tells how this host stands.
func (a *Agent) ExplainHost() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	lines := []string{fmt.Sprintf("%s of %s: engine reached %t, leaving %t, %d requests in the engine", a.Host, a.Service, a.reached, a.leaving, a.inWork)}
	promised, capacity := a.ledger.Reserved(), a.ledger.Capacity()
	for i := range capacity {
		lines = append(lines, fmt.Sprintf("accelerator %d: %s of %s promised", i, promised[i], capacity[i]))
	}
	for _, i := range a.ledger.Items() {
		lines = append(lines, fmt.Sprintf("%s is %s with %d requests in it", i.Name, i.State, i.Users))
	}
	return lines
}

// Strikes returns what this agent knows against requests, for peers.
func (a *Agent) Strikes() []strike.Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.book.Records(a.Clock.Now())
}

// MergeStrikes takes strikes from peers and tells whether any was news.
func (a *Agent) MergeStrikes(list []strike.Record) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.book.Merge(a.Clock.Now(), list)) > 0
}
