package peer

import (
	"cmp"
	"slices"
	"time"

	"radishwell/core"
	"radishwell/io/loop"
	"radishwell/wire"
)

// Kinds of marks. The processes may use further ones.
const (
	// MarkLeaving is set for a host that is leaving: its process is shutting down, the
	// platform lists the host as leaving, or its upstream announced it in an answer.
	MarkLeaving = "leaving"
	// MarkSlow is set for a host that is slow.
	MarkSlow = "slow"
	// MarkLimited carries the rate limit that an upstream names, or the end of such a
	// limit.
	MarkLimited = "limited"
)

const (
	// maxMarks bounds the marks held. The largest wave of leaving hosts, a data centre of
	// 213 with a few marks each, is well below it.
	maxMarks = 2048
	// maxMarkAge bounds how far ahead a mark may expire, so that a process with a wrong
	// clock cannot exclude a host for ever.
	maxMarkAge = 15 * time.Minute
	// minExtension is by how much the expiry of a mark must move for the mark to count as
	// changed. A new rate always counts.
	minExtension = 10 * time.Second
	// A message carries the marks that changed within recentTime, up to maxRecentMarks,
	// and in rotation up to maxRepeatedMarks of the others, for peers that missed them.
	// With all marks in each message, a data centre of 213 hosts that leaves would cost
	// each process some 68 KB a second for as long as the marks last.
	recentTime       = 5 * time.Second
	maxRecentMarks   = 64
	maxRepeatedMarks = 8
)

// Mark is expiring soft state about a host. A mark only ever keeps work away from a host,
// or ends that, so its loss is harmless.
type Mark struct {
	Host core.HostName
	// Kind is MarkLeaving, MarkSlow, MarkLimited or another kind that the processes have
	// agreed on. The Store treats all kinds alike.
	Kind string
	// Incarnation identifies the run of the host's process to which the mark applies.
	Incarnation core.Incarnation
	// Expires is when the mark is removed.
	Expires time.Time
	// Rate is the limit in requests per second for MarkLimited; zero if the upstream
	// names none.
	Rate float64
}

// markID identifies a mark. Of marks with the same identity, the one that expires last
// wins.
type markID struct {
	host        core.HostName
	kind        string
	incarnation core.Incarnation
}

// markValue holds the parts of a mark that are not its identity.
type markValue struct {
	expires time.Time
	rate    float64
}

// softState holds the marks in force. Store.mu guards it.
type softState struct {
	marks map[markID]markValue
	// recent holds the marks that changed recently, and until when they count as recent.
	recent map[markID]time.Time
	// rotation counts the messages, which selects the other marks in rotation.
	rotation int
}

// add joins marks and returns those that are new or changed.
func (s *softState) add(marks []Mark, now time.Time) []Mark {
	if s.marks == nil {
		s.marks = map[markID]markValue{}
		s.recent = map[markID]time.Time{}
	}
	var news []Mark
	for _, m := range marks {
		if limit := now.Add(maxMarkAge); m.Expires.After(limit) {
			m.Expires = limit
		}
		id := markID{m.Host, m.Kind, m.Incarnation}
		held, ok := s.marks[id]
		if !m.Expires.After(now) || ok && !m.Expires.After(held.expires) {
			continue
		}
		s.marks[id] = markValue{expires: m.Expires, rate: m.Rate}
		if !ok || m.Expires.Sub(held.expires) > minExtension || m.Rate != held.rate {
			s.recent[id] = now.Add(recentTime)
			news = append(news, m)
		}
	}
	s.prune(now)
	return news
}

// prune removes expired marks and, beyond maxMarks, those that expire first.
func (s *softState) prune(now time.Time) {
	for id, until := range s.recent {
		if !until.After(now) {
			delete(s.recent, id)
		}
	}
	for id, v := range s.marks {
		if !v.expires.After(now) {
			delete(s.marks, id)
		}
	}
	if len(s.marks) <= maxMarks {
		return
	}
	marks := s.list(now)
	slices.SortStableFunc(marks, func(a, b Mark) int { return a.Expires.Compare(b.Expires) })
	for _, m := range marks[:len(marks)-maxMarks] {
		delete(s.marks, markID{m.Host, m.Kind, m.Incarnation})
	}
}

// list returns the marks in force in a fixed order.
func (s *softState) list(now time.Time) []Mark {
	var marks []Mark
	for id, v := range s.marks {
		if v.expires.After(now) {
			marks = append(marks, Mark{Host: id.host, Kind: id.kind, Incarnation: id.incarnation, Expires: v.expires, Rate: v.rate})
		}
	}
	slices.SortFunc(marks, func(a, b Mark) int {
		return cmp.Or(
			cmp.Compare(a.Host, b.Host),
			cmp.Compare(a.Kind, b.Kind),
			cmp.Compare(a.Incarnation, b.Incarnation),
		)
	})
	return marks
}

// nextMarks returns the marks to put into the next message.
func (s *softState) nextMarks(now time.Time) []Mark {
	var out, others []Mark
	for _, m := range s.list(now) {
		if s.recent[markID{m.Host, m.Kind, m.Incarnation}].After(now) && len(out) < maxRecentMarks {
			out = append(out, m)
		} else {
			others = append(others, m)
		}
	}
	for i := range min(maxRepeatedMarks, len(others)) {
		out = append(out, others[(s.rotation*maxRepeatedMarks+i)%len(others)])
	}
	s.rotation++
	return out
}

// wire returns the next message's marks in their wire form.
func (s *softState) wire(now time.Time) []*wire.Mark {
	var out []*wire.Mark
	for _, m := range s.nextMarks(now) {
		out = append(out, &wire.Mark{
			Host:        string(m.Host),
			Kind:        m.Kind,
			Incarnation: uint64(m.Incarnation),
			Expires:     m.Expires.UnixNano(),
			Rate:        m.Rate,
		})
	}
	return out
}

// Mark sets a mark and spreads it over the fleet.
func (s *Store) Mark(m Mark) {
	s.init()
	s.addMarks([]Mark{m})
}

// Marks returns the marks in force.
func (s *Store) Marks() []Mark {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.soft.list(s.Clock.Now())
}

// SyncNow starts the next exchange with peers at once. It is called when there are new
// strikes to send.
func (s *Store) SyncNow() {
	s.init()
	loop.Wake(s.syncWake)
}

// addMarks joins marks. If any of them is new or changed, it starts the next exchange and
// calls OnMarks.
func (s *Store) addMarks(marks []Mark) {
	s.mu.Lock()
	news := s.soft.add(marks, s.Clock.Now())
	s.mu.Unlock()
	if len(news) == 0 {
		return
	}
	loop.Wake(s.syncWake)
	if s.OnMarks != nil {
		s.OnMarks(news)
	}
}

// Gossip is state that processes pass on to each other with their exchanges. Both functions may
// be nil and are called from several goroutines.
type Gossip[T any] struct {
	// Next returns the items for the next message to a peer.
	Next func() []T
	// Join applies the items of a peer and reports whether any was new. New items are passed on
	// at once.
	Join func([]T) (news bool)
}

func (g *Gossip[T]) next() []T {
	if g.Next == nil {
		return nil
	}
	return g.Next()
}

func (g *Gossip[T]) join(s *Store, items []T) {
	if len(items) > 0 && g.Join != nil && g.Join(items) {
		loop.Wake(s.syncWake)
	}
}

// joinMarks joins a peer's marks.
func (s *Store) joinMarks(marks []*wire.Mark) {
	if len(marks) > 0 {
		in := make([]Mark, 0, len(marks))
		for _, m := range marks {
			in = append(in, Mark{
				Host:        core.HostName(m.GetHost()),
				Kind:        m.GetKind(),
				Incarnation: core.Incarnation(m.GetIncarnation()),
				Expires:     time.Unix(0, m.GetExpires()),
				Rate:        m.GetRate(),
			})
		}
		s.addMarks(in)
	}
}
