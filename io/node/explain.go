package node

import (
	"fmt"

	"radishwell/core"
	"radishwell/io/agent"
	"radishwell/io/entry"
)

// Subjects that operators can ask explanations of.
const (
	subjectRequest = "request"
	subjectModel   = "model"
	subjectHost    = "host"
)

// explainEntry explains a subject from an entry's state.
func (n *Node) explainEntry(e *entry.Entry, d *decider, subject, name string) []string {
	switch subject {
	case subjectRequest:
		return e.ExplainRequest(core.RequestID(name))
	case subjectModel:
		return append(n.explainGrant(core.ModelName(name), d), e.ExplainTarget(core.ModelName(name))...)
	case subjectHost:
		return append(n.explainListed(core.HostName(name)), e.ExplainHost(core.HostName(name))...)
	}
	return nil
}

// explainAgent explains a subject from an agent's state.
func (n *Node) explainAgent(a *agent.Agent, subject, name string) []string {
	switch subject {
	case subjectRequest:
		return a.ExplainRequest(core.RequestID(name))
	case subjectModel:
		return a.ExplainModel(core.ModelName(name))
	case subjectHost:
		if core.HostName(name) == n.Settings.Name {
			return a.ExplainHost()
		}
	}
	return nil
}

// explainGrant describes a model's entry in the catalogue and its grants.
func (n *Node) explainGrant(name core.ModelName, d *decider) []string {
	entry, ok := n.fleet.snapshot().Model(name)
	if !ok {
		return []string{"no model or adapter " + string(name) + " is in force"}
	}
	lines := []string{fmt.Sprintf("%s of %s in %s, class %s, %s on each accelerator, in force since version %d",
		entry.Kind, entry.Owner, entry.Target.Service, entry.Class, entry.Memory, entry.Version)}
	g, ok := n.fleet.grant(name)
	if !ok {
		return append(lines, "no host may load it yet; the decider is "+string(d.holder()))
	}
	for _, h := range g.spec.Holders {
		lines = append(lines, fmt.Sprintf("grant of version %d: %s is %s", g.version, h.Host, h.State))
	}
	return append(lines, fmt.Sprintf("decided under fence %d from entry version %d; the decider is %s", g.spec.Fence, g.spec.Entry, d.holder()))
}

// explainListed describes a host as the platform lists it.
func (n *Node) explainListed(name core.HostName) []string {
	h, ok := n.fleet.host(name)
	if !ok {
		return []string{"the platform lists no host " + string(name)}
	}
	return []string{fmt.Sprintf("listed as %s %s of %s in %s", h.spec.State, h.spec.Role, h.spec.Service, h.spec.DataCentre)}
}
