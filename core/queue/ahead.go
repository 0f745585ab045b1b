package queue

import (
	"time"

	"radishwell/core"
)

// ahead foresees how much cost the track starts before an item would be started
// that came now. A caller's own work goes before it; then each level serves the
// others about as much as it serves the item's side, but no more than they have.
func (t *track) ahead(i Item) int64 {
	cost := t.sections[i.Class].ahead(i)
	total := cost
	for c, other := range t.sections {
		if core.Class(c) == i.Class || other.items == 0 {
			continue
		}
		part := (cost + i.Cost) * Weights[c] / Weights[i.Class]
		total += min(other.cost, part)
	}
	return total
}

func (s *section) ahead(i Item) int64 {
	if s.items == 0 {
		return 0
	}
	p, ok := s.parties[i.Owner]
	if !ok {
		return min(s.cost, int64(len(s.parties))*i.Cost)
	}
	return min(s.cost, int64(len(s.parties))*(p.ahead(i)+i.Cost))
}

func (p *party) ahead(i Item) int64 {
	f, ok := p.flows[i.Caller]
	if !ok {
		return min(p.cost, int64(len(p.flows))*i.Cost)
	}
	return min(p.cost, int64(len(p.flows))*(f.cost+i.Cost))
}

// start foresees when an item that came now would be started.
func (t *track) start(now time.Time, i Item) time.Time {
	from := now
	if t.lane.ready.After(now) {
		from = t.lane.ready
	}
	if _, waits := t.sections[i.Class].parties[i.Owner]; t.pace.open && !waits {
		return from
	}
	return from.Add(t.pace.wait(now, t.ahead(i), t.running))
}

// lastStart is the last moment at which a start is of use, by what is measured
// at present.
func (e *entry) lastStart(t *track) time.Time {
	if e.Deadline.IsZero() {
		return forever
	}
	if e.inDoubt {
		return e.Deadline
	}
	return e.Deadline.Add(-t.pace.service(e.Cost))
}
