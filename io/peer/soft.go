package peer

import (
	"cmp"
	"slices"
	"time"

	"radishwell/core"
	"radishwell/io/loop"
	"radishwell/wire"
)

// Kinds of marks.
const (
	MarkLeaving = "leaving"
	MarkSlow    = "slow"
	// MarkLimited is the rate that an upstream names, or that it names none any more.
	MarkLimited = "limited"
)

const (
	// maxMarks bounds the marks held; the largest wave of leaving hosts, a data
	// centre of 213 with a few marks each, fits well.
	maxMarks = 2048
	// maxMarkAge bounds how far ahead a mark may expire, so that a process with
	// a wrong clock can't keep a host out for ever.
	maxMarkAge = 15 * time.Minute
	// extension is by how much a mark must be extended to be news.
	extension = 10 * time.Second
	// A message carries all marks that were news within youngTime, up to
	// maxYoung, and maxOld of the others in turn, for those who missed them.
	// With all marks in each message, a data centre of 213 hosts that leaves
	// would cost each process some 68 KB a second for as long as they last.
	youngTime = 5 * time.Second
	maxYoung  = 64
	maxOld    = 8
)

// Mark is expiring soft state about a host. It only ever keeps work away from
// a host, or ends that, and is lost without harm.
type Mark struct {
	Host core.HostName
	// Kind is MarkLeaving, MarkSlow or MarkLimited.
	Kind string
	// Incarnation is the life of the host's process that is meant.
	Incarnation core.Incarnation
	// Expires is when the mark is forgotten.
	Expires time.Time
	// Rate is requests a second for MarkLimited, zero where the upstream names none.
	Rate float64
}

// markID is what is joined by the latest expiry.
type markID struct {
	host        core.HostName
	kind        string
	incarnation core.Incarnation
}

// markValue is what marks of one identity differ in.
type markValue struct {
	expires time.Time
	rate    float64
}

// softState holds the marks that are in force.
type softState struct {
	marks map[markID]markValue
	// young are the marks that are still news, and until when.
	young map[markID]time.Time
	// turn counts the messages, to tell the other marks in turn.
	turn int
}

// add joins marks and returns those that are news.
func (s *softState) add(marks []Mark, now time.Time) []Mark {
	if s.marks == nil {
		s.marks = map[markID]markValue{}
		s.young = map[markID]time.Time{}
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
		if !ok || m.Expires.Sub(held.expires) > extension || m.Rate != held.rate {
			s.young[id] = now.Add(youngTime)
			news = append(news, m)
		}
	}
	s.trim(now)
	return news
}

// trim forgets expired marks and, beyond the bound, those that expire first.
func (s *softState) trim(now time.Time) {
	for id, until := range s.young {
		if !until.After(now) {
			delete(s.young, id)
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
	all := s.list(now)
	slices.SortStableFunc(all, func(a, b Mark) int { return a.Expires.Compare(b.Expires) })
	for _, m := range all[:len(all)-maxMarks] {
		delete(s.marks, markID{m.Host, m.Kind, m.Incarnation})
	}
}

// list returns the marks in force in a fixed order.
func (s *softState) list(now time.Time) []Mark {
	var all []Mark
	for id, v := range s.marks {
		if v.expires.After(now) {
			all = append(all, Mark{Host: id.host, Kind: id.kind, Incarnation: id.incarnation, Expires: v.expires, Rate: v.rate})
		}
	}
	slices.SortFunc(all, func(a, b Mark) int {
		return cmp.Or(
			cmp.Compare(a.Host, b.Host),
			cmp.Compare(a.Kind, b.Kind),
			cmp.Compare(a.Incarnation, b.Incarnation),
		)
	})
	return all
}

// tell returns the marks to put into the next message.
func (s *softState) tell(now time.Time) []Mark {
	var young, old []Mark
	for _, m := range s.list(now) {
		if s.young[markID{m.Host, m.Kind, m.Incarnation}].After(now) && len(young) < maxYoung {
			young = append(young, m)
		} else {
			old = append(old, m)
		}
	}
	for i := range min(maxOld, len(old)) {
		young = append(young, old[(s.turn*maxOld+i)%len(old)])
	}
	s.turn++
	return young
}

func (s *softState) wire(now time.Time) []*wire.Mark {
	var out []*wire.Mark
	for _, m := range s.tell(now) {
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

// Mark spreads a mark over the fleet.
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

// Kick makes the next exchange with peers come at once. It is called when
// there are new strikes to tell.
func (s *Store) Kick() {
	s.init()
	loop.Poke(s.kick)
}

func (s *Store) addMarks(marks []Mark) {
	s.mu.Lock()
	news := s.soft.add(marks, s.Clock.Now())
	s.mu.Unlock()
	if len(news) == 0 {
		return
	}
	loop.Poke(s.kick)
	if s.Marked != nil {
		s.Marked(news)
	}
}

// takeSoft takes in a peer's marks and strikes.
func (s *Store) takeSoft(marks []*wire.Mark, strikes []*wire.Strike) {
	if len(marks) > 0 {
		list := make([]Mark, 0, len(marks))
		for _, m := range marks {
			list = append(list, Mark{
				Host:        core.HostName(m.GetHost()),
				Kind:        m.GetKind(),
				Incarnation: core.Incarnation(m.GetIncarnation()),
				Expires:     time.Unix(0, m.GetExpires()),
				Rate:        m.GetRate(),
			})
		}
		s.addMarks(list)
	}
	if len(strikes) > 0 && s.Struck != nil && s.Struck(strikes) {
		loop.Poke(s.kick)
	}
}
