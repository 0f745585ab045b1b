package fleet

import (
	"slices"
	"time"

	"radishwell/core"
)

const (
	// endedTime is how long a life that ended is remembered: the registry lists it
	// until its entry lapses, which takes a few of its heartbeats of 1.2 seconds, and
	// a life that the registry still names after that is not over.
	endedTime = 10 * time.Second
	// mostEnded bounds the lives remembered. A host that restarts each second fills it.
	mostEnded = 8
)

// Life names one life of a host: an ID, and where the host tells it the time of its
// birth in milliseconds since the Unix epoch, since an ID may live twice.
type Life struct {
	ID   core.HostName
	Born int64
}

// Lives tells, beside a host whose own word does not name its life, the life that
// runs from those that the registry still lists. A host that was started anew has a
// new name there, while the old entry lapses seconds later. An agent that takes the
// old name for its host's has every order refused, and as long as entries do not
// know better they send it requests and plan loads for it. The zero Lives is ready
// for use; it is not safe for use by several goroutines.
type Lives struct {
	current Life
	ended   []endedLife
}

type endedLife struct {
	Life
	until time.Time
}

// Current returns the life that runs, empty while none is known.
func (l *Lives) Current() core.HostName { return l.current.ID }

// Said takes in the life that the host itself names.
func (l *Lives) Said(life Life) { l.current = life }

// Named takes in the life that the registry names, and tells whether it is news. A
// life that has ended does not come back.
func (l *Lives) Named(now time.Time, life Life) bool {
	l.forget(now)
	over := func(e endedLife) bool { return e.Life == life }
	if life.ID == "" || life == l.current || slices.ContainsFunc(l.ended, over) {
		return false
	}
	l.current = life
	return true
}

// End notes that the present life has ended: the host was started anew, or said so
// to what was meant for that life.
func (l *Lives) End(now time.Time) {
	if l.current.ID == "" {
		return
	}
	l.ended = append(l.ended, endedLife{Life: l.current, until: now.Add(endedTime)})
	l.ended = l.ended[max(0, len(l.ended)-mostEnded):]
	l.current = Life{}
}

// Ended returns the IDs whose only life ended lately, oldest first. An ID whose
// births are told may live again; its lives are told apart by them.
func (l *Lives) Ended(now time.Time) []core.HostName {
	l.forget(now)
	var out []core.HostName
	for _, e := range l.ended {
		if e.Born == 0 {
			out = append(out, e.ID)
		}
	}
	return out
}

func (l *Lives) forget(now time.Time) {
	l.ended = slices.DeleteFunc(l.ended, func(e endedLife) bool { return !now.Before(e.until) })
}
