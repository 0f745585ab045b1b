package queue

import (
	"time"

	"radishwell/core"
)

// costAhead estimates how much cost the track starts before an item that
// arrives now. The caller's own waiting items go first. Each level then serves
// the others about as much as it serves the item's branch, but no more than
// they have waiting.
func (t *track) costAhead(i Item) int64 {
	cost := t.classes[i.Class].costAhead(i)
	total := cost
	for c, other := range t.classes {
		switch class := core.Class(c); {
		case class == i.Class || other == nil || other.items == 0:
		case t.lane.strict && class < i.Class:
			total += other.cost
		case !t.lane.strict:
			part := (cost + i.Cost) * Weights[class] / Weights[i.Class]
			total += min(other.cost, part)
		}
	}
	return total
}

func (s *classQueue) costAhead(i Item) int64 {
	if s == nil || s.items == 0 {
		return 0
	}
	p, ok := s.owners[i.Owner]
	if !ok {
		return min(s.cost, int64(len(s.owners))*i.Cost)
	}
	return min(s.cost, int64(len(s.owners))*(p.costAhead(i)+i.Cost))
}

func (p *ownerQueue) costAhead(i Item) int64 {
	f, ok := p.callers[i.Caller]
	if !ok {
		return min(p.cost, int64(len(p.callers))*i.Cost)
	}
	return min(p.cost, int64(len(p.callers))*(f.cost+i.Cost))
}

// estimateStart returns the time at which an item that arrives now is expected
// to start.
func (t *track) estimateStart(now time.Time, i Item) time.Time {
	from := now
	if t.lane.ready.After(now) {
		from = t.lane.ready
	}
	if t.drain.heldByLimits && !t.waits(i.Class, i.Owner) {
		return from
	}
	return from.Add(t.drain.drainTime(now, t.costAhead(i), t.running))
}

// latestStart returns the last time at which the entry can start and still
// finish by its deadline, according to the current estimates.
func (e *entry) latestStart(t *track) time.Time {
	if e.Deadline.IsZero() {
		return forever
	}
	if e.probe {
		return e.Deadline
	}
	return e.Deadline.Add(-t.drain.serviceTime(e.Cost))
}
