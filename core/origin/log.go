package origin

import (
	"maps"
	"slices"
	"time"

	"radishwell/core"
)

// Of so many entries one keeps records in the platform, within bounds.
const (
	entriesPerWriter = 12
	minWriters       = 2
	maxWriters       = 32
)

// writersKey is the key by which the entries that keep records in the platform are chosen.
const writersKey core.Fingerprint = 0x6f726967696e73

// Writers returns the entries that keep records in the platform, of all entries of a fleet.
func Writers(entries []core.HostName) []core.HostName {
	return Holders(writersKey, entries, min(max(len(entries)/entriesPerWriter, minWriters), maxWriters))
}

// Log keeps the records of one process in a ring of objects in the platform, from which they are read
// once all processes that held them have ended. Records are gathered in one object for some time, then
// the oldest object is overwritten, so that the calls to the platform grow neither with the number of
// streams nor with that of entries. Set the exported fields before use. It is not safe for concurrent use.
type Log struct {
	// Objects is the number of objects in the ring, and Span how long records are gathered in one.
	Objects int
	Span    time.Duration
	// MaxRecords bounds the records in one object.
	MaxRecords int

	ring    []object
	current int
	// since is when the current object was begun, zero if none was.
	since time.Time
	// waiting are the records that no object holds yet, and known the expiry of those in the log.
	waiting []Record
	known   map[core.Fingerprint]time.Time
	pruneAt int
}

// object is one object of the ring. version is that in the platform, zero if it is not there.
type object struct {
	records []Record
	version core.Version
}

// Load applies the versions of this process's objects in the platform, by their places in the ring.
// It is called before Next.
func (l *Log) Load(versions map[int]core.Version) {
	l.ring = make([]object, l.Objects)
	for i, v := range versions {
		if i >= 0 && i < l.Objects {
			l.ring[i].version = v
		}
	}
	// The object that was written last precedes the one that is overwritten first.
	l.current = 0
	for i, o := range l.ring {
		if o.version > l.ring[l.current].version {
			l.current = i
		}
	}
}

// minLonger is by how much longer a record has to be kept for it to be written once more, as that of a
// stream that its caller has taken up. Times of records that other processes send differ by less.
const minLonger = time.Second

// Add adds records that the log does not hold yet, or not for as long.
func (l *Log) Add(now time.Time, records []Record) {
	if l.known == nil {
		l.known = map[core.Fingerprint]time.Time{}
	}
	for _, r := range records {
		held := r.Until.Sub(l.known[r.Key]) < minLonger
		if held || !now.Before(r.Until) || len(l.waiting) >= l.MaxRecords {
			continue
		}
		l.known[r.Key] = r.Until
		l.waiting = append(l.waiting, r)
	}
	if len(l.known) >= max(l.pruneAt, minPruned) {
		maps.DeleteFunc(l.known, func(_ core.Fingerprint, until time.Time) bool { return !now.Before(until) })
		l.pruneAt = 2 * len(l.known)
	}
}

// Waits reports whether there are records that Next would return.
func (l *Log) Waits() bool { return len(l.waiting) > 0 }

// Next returns the object to write, and the records that it is to hold. It returns false if no
// record waits.
func (l *Log) Next(now time.Time) (place int, version core.Version, records []Record, ok bool) {
	if len(l.waiting) == 0 {
		return 0, 0, nil, false
	}
	o := &l.ring[l.current]
	if l.since.IsZero() || now.Sub(l.since) >= l.Span || len(o.records)+len(l.waiting) > l.MaxRecords {
		l.current = (l.current + 1) % l.Objects
		l.since = now
		o = &l.ring[l.current]
	}
	expired := func(r Record) bool { return !now.Before(r.Until) }
	o.records = slices.DeleteFunc(append(o.records, l.waiting...), expired)
	if excess := len(o.records) - l.MaxRecords; excess > 0 {
		o.records = slices.Delete(o.records, 0, excess)
	}
	l.waiting = nil
	return l.current, o.version, o.records, true
}

// Written records that the object returned last was written. Version is that in the platform now.
func (l *Log) Written(version core.Version) { l.ring[l.current].version = version }

// Failed records that the object returned last was not written: its records are returned again.
// Version is that in the platform, as far as known.
func (l *Log) Failed(version core.Version) {
	o := &l.ring[l.current]
	l.waiting, o.records = append(o.records, l.waiting...), nil
	o.version = version
}
