package parts

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"radishwell/core"
)

// Table holds what one process knows of the parts of prompts. It is not safe for concurrent use.
// The exported fields must be set before first use.
type Table struct {
	// MaxRecords bounds the parts with crashes, and MaxServed those that were served and were in
	// none.
	MaxRecords, MaxServed int
	// Requests, if set, returns for each request that has crashed several upstreams by itself which these
	// were.
	Requests func(now time.Time) [][]core.HostName

	records map[Name]*entry
	// served has the parts without a record with which requests were served; older holds those of
	// the time before, until served is full again.
	served, older map[Name]seen
	// refusals are worked out again at recheckAt and after a change. refused has all parts in them.
	refusals  []refusal
	refused   map[Name]bool
	recheckAt time.Time
	// tried are the upstreams that crashed in trials, as of then.
	tried upstreamSet
	// next is the position of the next record that is sent in turn.
	next int
}

// entry is a record with what this process alone knows.
type entry struct {
	Record
	changedAt time.Time
	// since is when the part had enough crashes to be refused, zero if it has not.
	since time.Time
}

// seen is when requests with a part were served: when the latest began at its upstream whose
// answer has gone on for some time, and when the latest whole answer ended.
type seen struct{ began, answered time.Time }

// NoteBegun records that the answer to a request with the given parts has gone on for some time, and
// when it began. That is no proof that the parts crash no upstream.
func (t *Table) NoteBegun(began time.Time, list []Name) {
	for _, name := range list {
		if e := t.records[name]; e != nil {
			e.ServedAt = core.Later(e.ServedAt, began)
			continue
		}
		t.rememberServed(name, seen{began: began})
	}
}

// NoteAnswered records that a request with the given parts, which began at its upstream at a time,
// has been answered whole. tried are those of them that it was tried for. It reports whether other
// processes should be told at once.
func (t *Table) NoteAnswered(now, began time.Time, list, tried []Name) (news bool) {
	for _, name := range list {
		e := t.records[name]
		if e == nil {
			t.rememberServed(name, seen{began, now})
			continue
		}
		before := len(e.counting(now))
		e.ServedAt = core.Later(e.ServedAt, began)
		e.addAnswer(now, Answer{At: now, Tried: slices.Contains(tried, name)})
		if t.refused[name] || len(e.counting(now)) < before {
			t.noteChange(now, e)
			news = true
		}
	}
	return news
}

func (t *Table) rememberServed(name Name, s seen) {
	if t.served == nil || len(t.served) >= t.MaxServed/2 {
		t.served, t.older = map[Name]seen{}, t.served
	}
	have := t.served[name]
	t.served[name] = seen{core.Later(have.began, s.began), core.Later(have.answered, s.answered)}
}

// NoteCrash records the end of an upstream at which requests with the given parts were in progress.
// It reports whether anything was new.
func (t *Table) NoteCrash(now time.Time, c Crash, list []Name) (news bool) {
	for _, name := range list {
		e := t.record(name)
		if e.add(now, c) {
			t.noteChange(now, e)
			news = true
		}
	}
	t.evict(now)
	return news
}

// record returns the record of a part, a new one if there is none.
func (t *Table) record(name Name) *entry {
	e := t.records[name]
	if e != nil {
		return e
	}
	if t.records == nil {
		t.records = map[Name]*entry{}
	}
	have, older := t.served[name], t.older[name]
	e = &entry{Record: Record{Part: name, ServedAt: core.Later(have.began, older.began)}}
	if at := core.Later(have.answered, older.answered); !at.IsZero() {
		e.Answers = []Answer{{At: at}}
	}
	t.records[name] = e
	return e
}

func (t *Table) noteChange(now time.Time, e *entry) {
	e.changedAt = now
	t.recheckAt = time.Time{}
}

// Merge merges records of other processes and reports whether any was new.
func (t *Table) Merge(now time.Time, list []Record) (news bool) {
	for _, r := range list {
		if len(r.Part) > 2*maxID+1 || len(r.Crashes) == 0 && t.records[r.Part] == nil {
			continue
		}
		e := t.record(r.Part)
		before := len(e.counting(now))
		if e.join(now, &r) || len(e.counting(now)) < before {
			t.noteChange(now, e)
			news = true
		}
	}
	t.evict(now)
	return news
}

// evict removes, beyond MaxRecords, the records with the fewest crashes that count, the oldest
// first.
func (t *Table) evict(now time.Time) {
	if len(t.records) <= t.MaxRecords {
		return
	}
	ranked, _ := t.ranked(now)
	for _, e := range ranked[:len(ranked)-t.MaxRecords*3/4] {
		delete(t.records, e.Part)
	}
}

// ranked returns the records with the fewest crashes that count first, the oldest of these first, and the
// number of these crashes for each.
func (t *Table) ranked(now time.Time) (ranked []*entry, counts map[*entry]int) {
	ranked, counts = slices.Collect(maps.Values(t.records)), t.countAll(now)
	slices.SortFunc(ranked, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(counts[a], counts[b]), a.lastCrash().Compare(b.lastCrash()), cmp.Compare(a.Part, b.Part))
	})
	return ranked, counts
}

// countAll returns the number of crashes that count, for each record.
func (t *Table) countAll(now time.Time) map[*entry]int {
	out := make(map[*entry]int, len(t.records))
	for _, e := range t.records {
		out[e] = len(e.counting(now))
	}
	return out
}

const (
	// maxSent bounds the records in one message. maxSentInTurn is the number of those that are
	// chosen in turn, for processes that missed them.
	maxSent, maxSentInTurn = 32, 4
	// recentTime is how long a change is sent in each message. It reaches all processes within it.
	recentTime = 10 * time.Second
)

// Next returns the records for the next message to another process: those of refused parts, those
// that changed lately, and of the others a few in turn.
func (t *Table) Next(now time.Time) []Record {
	t.judge(now)
	var first, others []*entry
	for _, e := range t.records {
		if t.refused[e.Part] || now.Sub(e.changedAt) < recentTime {
			first = append(first, e)
		} else {
			others = append(others, e)
		}
	}
	counts := t.countAll(now)
	slices.SortFunc(first, func(a, b *entry) int {
		return cmp.Or(
			core.CompareBool(t.refused[b.Part], t.refused[a.Part]), cmp.Compare(counts[b], counts[a]),
			b.changedAt.Compare(a.changedAt), cmp.Compare(a.Part, b.Part),
		)
	})
	n := min(len(first), maxSent-maxSentInTurn)
	first, others = first[:n:n], append(others, first[n:]...)
	slices.SortFunc(others, func(a, b *entry) int { return cmp.Compare(a.Part, b.Part) })
	for range min(maxSentInTurn, len(others)) {
		first = append(first, others[t.next%len(others)])
		t.next++
	}
	out := make([]Record, 0, len(first))
	for _, e := range first {
		out = append(out, e.clone())
	}
	return out
}

// Refused returns the records of the refused parts. A crash in a trial that others may explain is
// not marked as one.
func (t *Table) Refused(now time.Time) []Record {
	t.judge(now)
	var out []Record
	for _, r := range t.refusals {
		for _, e := range r.entries {
			out = append(out, t.storable(now, e))
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Part, b.Part) })
	return out
}

// storable returns a record for a store that lacks others: a crash in a trial that those may explain is
// not marked as one.
func (t *Table) storable(now time.Time, r *Record) Record {
	out := r.clone()
	for i, c := range out.Crashes {
		out.Crashes[i].Tried = c.Tried && t.isSolitary(now, r, c)
	}
	return out
}

// Crashed returns the records with crashes that count, n at most: those with the most crashes, and the
// latest of these. Crashes in trials are marked as by Refused.
func (t *Table) Crashed(now time.Time, n int) (out []Record) {
	ranked, counts := t.ranked(now)
	for _, e := range slices.Backward(ranked) {
		if len(out) == n || counts[e] == 0 {
			break
		}
		out = append(out, t.storable(now, &e.Record))
	}
	return out
}

// upstreamSet is a set of upstreams that crashed.
type upstreamSet map[core.HostName]bool

// countOthers returns the number of upstreams of a list that are not in the set.
func (s upstreamSet) countOthers(list []Crash) int {
	n := 0
	for _, c := range list {
		if !s[c.Upstream] {
			n++
		}
	}
	return n
}

func (s upstreamSet) add(list []Crash) {
	for _, c := range list {
		s[c.Upstream] = true
	}
}
