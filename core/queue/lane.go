package queue

import (
	"time"

	"radishwell/core"
)

// lane is what waits for one thing, such as a model.
type lane struct {
	load
	name     string
	sections [core.ClassCount]*section
	pace     pace
	// ready is when the lane can start work at the earliest, such as when a load
	// ends; zero for at once.
	ready   time.Time
	running int
	// place is the lane's index in Queue.active, -1 while it is empty.
	place int
	// used orders idle lanes by when they were used last.
	used uint64
}

func newLane(name string) *lane {
	l := &lane{name: name, place: -1}
	for c := range l.sections {
		l.sections[c] = newSection(l, core.Class(c))
	}
	return l
}

// ahead foresees how much cost the lane starts before an item would be started
// that came now. A caller's own work goes before it; then each level serves the
// others about as much as it serves the item's side, but no more than they have.
func (l *lane) ahead(i Item) int64 {
	s := l.sections[i.Class]
	cost := s.ahead(i)
	total := cost
	for c, other := range l.sections {
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
func (l *lane) start(now time.Time, i Item) time.Time {
	from := now
	if l.ready.After(now) {
		from = l.ready
	}
	return from.Add(l.pace.wait(now, l.ahead(i), l.running))
}

// idle reports whether the lane has nothing to do.
func (l *lane) idle() bool { return l.items == 0 && l.running == 0 }

// best returns the class that goes next in the lane and its start tag.
func (q *Queue) best(l *lane) (core.Class, int64) {
	var found core.Class
	var least int64
	any := false
	for c, s := range l.sections {
		if s.items == 0 {
			continue
		}
		tag := q.clock.start(q.classes[c].tag)
		if !any || tag < least {
			found, least, any = core.Class(c), tag, true
		}
	}
	return found, least
}
