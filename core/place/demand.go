package place

import (
	"math"
	"slices"
	"time"

	"radishwell/core"
)

// SetDemand sets the current demand of a model in hosts: requests in progress and
// waiting, divided by the number that one host processes at once, smoothed over
// about half a minute. The demand of an adapter also counts for its base.
//
// Without it, a popular model would keep the two hosts of an idle one during a
// burst or under a few callers who bring most of the load. The gap between
// RaiseThreshold and LowerThreshold and the delay keep swings from moving grants.
func (p *Planner) SetDemand(now time.Time, name core.ModelName, demand float64) {
	m := p.model(name)
	p.balanced = p.balanced && (demand > 0 || m.demand == 0)
	m.demand = demand
	p.updateLevel(now, m)
}

func (p *Planner) updateLevel(now time.Time, m *model) {
	up := int(math.Ceil(m.demand / RaiseThreshold))
	if m.entry != nil {
		up = min(up, m.entry.maxHolders())
	}
	if up > m.level {
		m.level = up
		p.levelChanged(m)
	}
	if m.level <= IdleHolders || m.demand >= float64(m.level-1)*LowerThreshold {
		m.lowerAt = time.Time{}
		delete(p.lowering, m.name)
		return
	}
	if m.lowerAt.IsZero() {
		m.lowerAt = now.Add(LowerDelay)
		p.lowering[m.name] = true
	}
}

func (p *Planner) levelChanged(m *model) {
	p.owner(m.usage.owner).limitsStale = true
	p.markDirty(m)
}

// lowerLevels lowers by one the level of each model whose demand has been low for
// LowerDelay.
func (p *Planner) lowerLevels(now time.Time) {
	for name := range p.lowering {
		m := p.models[name]
		if m.lowerAt.IsZero() {
			p.updateLevel(now, m)
			continue
		}
		if now.Before(m.lowerAt) {
			continue
		}
		m.level--
		m.lowerAt = time.Time{}
		p.levelChanged(m)
		p.updateLevel(now, m)
	}
}

// wantedHolders returns the number of holders that demand and the model's own
// limit call for.
func (m *model) wantedHolders() int {
	return min(max(m.level, IdleHolders), m.entry.maxHolders())
}

// adoptLevel starts from the number of hosts that the previous decider granted, so
// that a change of decider moves nothing.
func (p *Planner) adoptLevel(m *model) {
	m.level = max(m.level, countActive(m.spec.Holders))
	if m.level > IdleHolders {
		p.lowering[m.name] = true
	}
}

func countActive(holders []core.GrantHolder) int {
	n := 0
	for _, h := range holders {
		if h.State == core.GrantActive {
			n++
		}
	}
	return n
}

func holderIndex(holders []core.GrantHolder, id HostID) int {
	return slices.IndexFunc(holders, func(h core.GrantHolder) bool {
		return h.Host == id.Host && h.UID == id.UID
	})
}
