package origin_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/origin"
)

// ring is what the platform holds of a log.
type ring struct {
	objects  map[int][]origin.Record
	versions map[int]core.Version
	last     core.Version
}

func newRing() *ring {
	return &ring{objects: map[int][]origin.Record{}, versions: map[int]core.Version{}}
}

// write writes what waits in a log to the platform.
func (r *ring) write(t *testing.T, l *origin.Log, now time.Time) {
	t.Helper()
	place, version, records, ok := l.Next(now)
	if !ok {
		return
	}
	assert.Equal(t, version, r.versions[place])
	r.last++
	r.versions[place], r.objects[place] = r.last, append([]origin.Record(nil), records...)
	l.Written(r.last)
}

// keys returns the keys of all records in the platform.
func (r *ring) keys() map[core.Fingerprint]bool {
	out := map[core.Fingerprint]bool{}
	for _, records := range r.objects {
		for _, record := range records {
			out[record.Key] = true
		}
	}
	return out
}

func (r *ring) has(key core.Fingerprint) bool { return r.keys()[key] }

func newLog(versions map[int]core.Version) *origin.Log {
	l := &origin.Log{Objects: 12, Span: 4 * time.Second, MaxRecords: 1000}
	l.Load(versions)
	return l
}

// recordUntil returns the record of a stream that may be taken up until a time.
func recordUntil(n int, until time.Time) origin.Record {
	return origin.Record{
		Key: origin.KeyOf(core.RequestID(fmt.Sprint("q-", n))), Origin: core.StreamOrigin{Service: "llm", Software: "v1"}, Until: until,
	}
}

// Guards against records that are overwritten while their streams may still be taken up.
func TestSavedRecordsOutlastTheirStreams(t *testing.T) {
	for name, most := range map[string]time.Duration{"short streams": 45 * time.Second, "streams longer than the ring": 5 * time.Minute} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			l, saved, now := newLog(nil), newRing(), start
			var all []origin.Record
			for n := range 1000 {
				now = now.Add(time.Duration(rng.ExpFloat64() * float64(200*time.Millisecond)))
				r := recordUntil(n, now.Add(time.Duration(rng.Float64()*float64(most))))
				all = append(all, r)
				l.Add(now, []origin.Record{r})
				if rng.IntN(5) > 0 {
					continue
				}
				saved.write(t, l, now)
				keys := saved.keys()
				all = slices.DeleteFunc(all, func(r origin.Record) bool { return !now.Before(r.Until) })
				for _, r := range all {
					assert.Assert(t, keys[r.Key], "%v", r.Until.Sub(now))
				}
			}
			assert.Equal(t, len(saved.objects), 12)
		})
	}
}

// Guards against the record of a stream that was taken up and is overwritten when that of its beginning may
// be.
func TestSavedRecordOfTakenUpStreamIsKeptLonger(t *testing.T) {
	l, saved, now := newLog(nil), newRing(), start
	for n := range 69 {
		list := []origin.Record{recordUntil(100+n, now.Add(40*time.Second))}
		if n == 0 || n == 30 {
			list = append(list, recordUntil(1, now.Add(40*time.Second)))
		}
		l.Add(now, list)
		saved.write(t, l, now)
		assert.Assert(t, saved.has(recordUntil(1, now).Key), "second %d", n)
		now = now.Add(time.Second)
	}
}

// Guards against a process that overwrites what it saved last before it ended.
func TestStartedProcessOverwritesItsOldestRecords(t *testing.T) {
	l, saved, now := newLog(nil), newRing(), start
	for n := range 30 {
		l.Add(now, []origin.Record{recordUntil(n, now.Add(40*time.Second))})
		saved.write(t, l, now)
		now = now.Add(4 * time.Second)
	}
	again := newLog(saved.versions)
	for n := range 10 {
		again.Add(now, []origin.Record{recordUntil(100+n, now.Add(40*time.Second))})
		saved.write(t, again, now)
		now = now.Add(4 * time.Second)
	}
	for n := 28; n < 30; n++ {
		assert.Assert(t, saved.has(recordUntil(n, now).Key))
	}
}

// Guards against records that are lost with a write that failed.
func TestFailedWriteIsRepeated(t *testing.T) {
	l, saved := newLog(nil), newRing()
	l.Add(start, []origin.Record{recordUntil(1, start.Add(time.Minute))})
	_, _, _, ok := l.Next(start)
	assert.Assert(t, ok)
	l.Failed(0)
	l.Add(start, []origin.Record{recordUntil(2, start.Add(time.Minute))})
	saved.write(t, l, start)
	assert.Assert(t, saved.has(recordUntil(1, start).Key) && saved.has(recordUntil(2, start).Key))
	assert.Assert(t, !l.Waits())
}

func TestLogIsBounded(t *testing.T) {
	l := &origin.Log{Objects: 2, Span: time.Hour, MaxRecords: 10}
	l.Load(nil)
	for n := range 100 {
		l.Add(start, []origin.Record{recordUntil(n, start.Add(time.Hour))})
		if n%7 > 0 {
			continue
		}
		_, _, records, ok := l.Next(start)
		assert.Assert(t, ok && len(records) <= 10)
		l.Written(1)
	}
}
