package origin

import (
	"slices"
	"time"

	"radishwell/core"
)

// Record says where the stream began whose first event a caller's attempt brought.
type Record struct {
	Key    core.Fingerprint
	Origin core.StreamOrigin
	// Until is when the record is dropped. The caller has left by then.
	Until time.Time
}

// KeyOf returns the key of the record of a caller's attempt.
func KeyOf(attempt core.RequestID) core.Fingerprint {
	return core.FingerprintOf([]byte(attempt))
}

// minPruned is the number of records below which expired ones are not looked for.
const minPruned = 256

// Table holds records. Set the exported field before use. It is not safe for concurrent use.
type Table struct {
	// MaxRecords bounds the number of records; zero means no bound.
	MaxRecords int

	records map[core.Fingerprint]entry
	// pruneAt is the number of records at which expired ones are dropped.
	pruneAt int
}

// entry is a record in the table. running is set for a stream of this entry that has not ended, and
// unshared if no other process has been told of it.
type entry struct {
	Record
	running, unshared bool
}

// Put stores a record. The latest one of a key counts: a stream may be begun anew at another
// host as long as its caller has received no event.
func (t *Table) Put(now time.Time, r Record) { t.put(now, entry{Record: r}) }

// PutOwn stores a record of a stream that began at this entry, which TakeUnshared returns
// later.
func (t *Table) PutOwn(now time.Time, r Record) {
	t.put(now, entry{Record: r, running: true, unshared: true})
}

func (t *Table) put(now time.Time, e entry) {
	if t.records == nil {
		t.records = map[core.Fingerprint]entry{}
	}
	if len(t.records) >= max(t.pruneAt, minPruned) || t.full() {
		t.prune(now)
	}
	if _, known := t.records[e.Key]; !known && t.full() {
		t.dropFirst()
	}
	t.records[e.Key] = e
}

func (t *Table) full() bool { return t.MaxRecords > 0 && len(t.records) >= t.MaxRecords }

func (t *Table) prune(now time.Time) {
	for key, e := range t.records {
		if !now.Before(e.Until) {
			delete(t.records, key)
		}
	}
	t.pruneAt = 2 * len(t.records)
}

// dropFirst drops the record that expires first.
func (t *Table) dropFirst() {
	var first entry
	for _, e := range t.records {
		if first.Until.IsZero() || e.Until.Before(first.Until) {
			first = e
		}
	}
	delete(t.records, first.Key)
}

// Find returns where a stream began, false if that is not known.
func (t *Table) Find(now time.Time, key core.Fingerprint) (core.StreamOrigin, bool) {
	e, ok := t.records[key]
	if !ok || !now.Before(e.Until) {
		return core.StreamOrigin{}, false
	}
	return e.Origin, true
}

// MarkEnded records that a stream has ended, so that other entries need not be told of it. Its
// record is kept: the end of the answer may not reach the caller.
func (t *Table) MarkEnded(key core.Fingerprint) {
	if e, ok := t.records[key]; ok {
		e.running, e.unshared = false, false
		t.records[key] = e
	}
}

// Reshare has TakeUnshared return the records of this entry's streams that have not ended once more.
// It is called when other processes are to hold them.
func (t *Table) Reshare() {
	for key, e := range t.records {
		if e.running && !e.unshared {
			e.unshared = true
			t.records[key] = e
		}
	}
}

// Versions returns the software versions at which streams of a service began, sorted.
func (t *Table) Versions(now time.Time, service core.ServiceName) (out []core.SoftwareVersion) {
	for _, e := range t.records {
		if e.Origin.Service == service && now.Before(e.Until) && !slices.Contains(out, e.Origin.Software) {
			out = append(out, e.Origin.Software)
		}
	}
	slices.Sort(out)
	return out
}

// Len returns the number of records, expired ones included.
func (t *Table) Len() int { return len(t.records) }

// TakeUnshared returns the records of this entry's streams that it has not returned before
// and that share accepts.
func (t *Table) TakeUnshared(now time.Time, share func(core.ServiceName) bool) (out []Record) {
	for key, e := range t.records {
		if !e.unshared || !now.Before(e.Until) || !share(e.Origin.Service) {
			continue
		}
		e.unshared = false
		t.records[key] = e
		out = append(out, e.Record)
	}
	return out
}
