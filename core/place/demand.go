package place

import (
	"math"
	"slices"
	"time"

	"radishwell/core"
)

// SetDemand tells how many hosts' work a model has now: requests in progress
// and waiting, divided by what one host works on at once, smoothed over about
// half a minute. An adapter's demand belongs to its base too.
//
// It answers a burst, or a few callers who bring most of the load. Without it a
// popular model would keep the two hosts of an idle one; without the gap
// between Full and Slack and the wait, every swing would move grants.
func (p *Planner) SetDemand(now time.Time, name core.ModelName, need float64) {
	m := p.model(name)
	p.balanced = p.balanced && (need > 0 || m.need == 0)
	m.need = need
	p.level(now, m)
}

func (p *Planner) level(now time.Time, m *model) {
	up := int(math.Ceil(m.need / Full))
	if m.entry != nil {
		up = min(up, m.entry.limit())
	}
	if up > m.level {
		m.level = up
		p.relevel(m)
	}
	if m.level <= Idle || m.need >= float64(m.level-1)*Slack {
		m.lowerAt = time.Time{}
		delete(p.lowering, m.name)
		return
	}
	if m.lowerAt.IsZero() {
		m.lowerAt = now.Add(LowerAfter)
		p.lowering[m.name] = true
	}
}

func (p *Planner) relevel(m *model) {
	p.owner(m.use.owner).stale = true
	p.touch(m)
}

// lower takes back one level of each model whose demand has long been low.
func (p *Planner) lower(now time.Time) {
	for name := range p.lowering {
		m := p.models[name]
		if m.lowerAt.IsZero() {
			p.level(now, m)
			continue
		}
		if now.Before(m.lowerAt) {
			continue
		}
		m.level--
		m.lowerAt = time.Time{}
		p.relevel(m)
		p.level(now, m)
	}
}

// want is how many holders demand and the model's own limit call for.
func (m *model) want() int {
	return min(max(m.level, Idle), m.entry.limit())
}

// adopt starts from what the last decider had granted, so that a change of
// decider moves nothing.
func (p *Planner) adopt(m *model) {
	m.level = max(m.level, active(m.spec.Holders))
	if m.level > Idle {
		p.lowering[m.name] = true
	}
}

func active(holders []core.GrantHolder) int {
	n := 0
	for _, h := range holders {
		if h.State == core.GrantActive {
			n++
		}
	}
	return n
}

func index(holders []core.GrantHolder, id HostID) int {
	return slices.IndexFunc(holders, func(h core.GrantHolder) bool {
		return h.Host == id.Host && h.UID == id.UID
	})
}
