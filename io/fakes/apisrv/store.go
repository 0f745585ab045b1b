package apisrv

import (
	"sort"
	"sync"
	"time"

	"radishwell/core"
)

// defaultHistory is the number of events that are kept for watches that resume.
const defaultHistory = 10_000

// event is a change that was committed at a time.
type event struct {
	object  core.Object
	created bool
	at      time.Time
}

// store holds the objects and the bounded history of their changes.
type store struct {
	mu      sync.Mutex
	history int
	version core.Version
	nextUID uint64
	objects map[core.Kind]map[string]core.Object
	log     []event
	// compacted is the version through which events have been dropped.
	compacted core.Version
	// changed is closed and replaced at every change.
	changed chan struct{}
	// hostLag is the delay after which reads of the kind "hosts" see changes; visibleHosts
	// holds the hosts that they see.
	hostLag      time.Duration
	visibleHosts map[string]core.Object
	// visibleThrough is the version up to which visibleHosts is complete.
	visibleThrough core.Version
}

func newStore(history int) *store {
	if history <= 0 {
		history = defaultHistory
	}
	return &store{
		history:      history,
		objects:      map[core.Kind]map[string]core.Object{},
		changed:      make(chan struct{}),
		visibleHosts: map[string]core.Object{},
	}
}

// commit assigns the next version to o and records the change. The caller must hold mu.
func (s *store) commit(o core.Object, created bool, now time.Time) core.Object {
	s.version++
	o.Version = s.version
	byName := s.objects[o.Kind]
	if byName == nil {
		byName = map[string]core.Object{}
		s.objects[o.Kind] = byName
	}
	byName[o.Name] = o
	if o.Deleted {
		delete(byName, o.Name)
	}
	s.log = append(s.log, event{object: o, created: created, at: now})
	if len(s.log) > s.history {
		s.compact(len(s.log) - s.history)
	}
	s.notify()
	return o
}

// notify wakes all waiting watches. The caller must hold mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops the n oldest events. The caller must hold mu.
func (s *store) compact(n int) {
	for _, e := range s.log[:n] {
		s.show(e)
		s.compacted = e.object.Version
	}
	s.log = append([]event(nil), s.log[n:]...)
}

// show makes a change of a host visible to reads. The caller must hold mu.
func (s *store) show(e event) {
	if e.object.Version <= s.visibleThrough {
		return
	}
	s.visibleThrough = e.object.Version
	if e.object.Kind != core.KindHost {
		return
	}
	s.visibleHosts[e.object.Name] = e.object
	if e.object.Deleted {
		delete(s.visibleHosts, e.object.Name)
	}
}

// advance makes all changes visible that are older than hostLag. The caller must hold mu.
func (s *store) advance(now time.Time) {
	for _, e := range s.since(s.visibleThrough) {
		if e.object.Kind == core.KindHost && e.at.Add(s.hostLag).After(now) {
			return
		}
		s.show(e)
	}
	s.visibleThrough = s.version
}

// since returns the events after a version. The caller must hold mu.
func (s *store) since(v core.Version) []event {
	i := sort.Search(len(s.log), func(i int) bool { return s.log[i].object.Version > v })
	return s.log[i:]
}

// view returns the objects of a kind as reads see them, and their version. The caller
// must hold mu.
func (s *store) view(kind core.Kind, now time.Time) (map[string]core.Object, core.Version) {
	if kind != core.KindHost {
		return s.objects[kind], s.version
	}
	s.advance(now)
	return s.visibleHosts, s.visibleThrough
}

// batch holds the events that a watch has to send next.
type batch struct {
	events []event
	// through is the version up to which the watch is complete after this batch.
	through core.Version
	// gone is set if events after the version of the watch have been dropped.
	gone bool
	// changed is closed at the next change. due is the time at which the next change that
	// lags behind becomes visible, or zero if there is none.
	changed <-chan struct{}
	due     time.Time
}

// after returns the visible changes of a kind after a version.
func (s *store) after(kind core.Kind, from core.Version, now time.Time) batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := batch{through: from, changed: s.changed}
	if from < s.compacted {
		b.gone = true
		return b
	}
	_, visible := s.view(kind, now)
	for _, e := range s.since(from) {
		switch {
		case e.object.Kind != kind:
		case e.object.Version > visible:
			b.due = e.at.Add(s.hostLag)
			b.through = max(from, visible)
			return b
		default:
			b.events = append(b.events, e)
		}
	}
	b.through = max(from, visible)
	return b
}
