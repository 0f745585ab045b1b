package strike

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
)

// Guards against two requests that may crash upstreams in one trial, of which one is then refused
// for the crash of the other.
func TestTrialsAreApart(t *testing.T) {
	begin := func(trials *Trials, after time.Duration, upstream core.HostName, keys ...string) bool {
		return trials.Begin(start.Add(after), keys, keys, upstream, start.Add(after+time.Minute))
	}
	newTrials := func(t *testing.T) *Trials {
		t.Helper()
		trials := &Trials{MaxTrials: 10}
		assert.Assert(t, begin(trials, 0, "i-1", "a", "part"))
		return trials
	}
	t.Run("a copy elsewhere waits", func(t *testing.T) {
		assert.Assert(t, !begin(newTrials(t), time.Second, "i-2", "a"))
	})
	t.Run("a request with the same part waits", func(t *testing.T) {
		assert.Assert(t, !begin(newTrials(t), time.Second, "i-2", "b", "part"))
	})
	t.Run("another request at the upstream waits", func(t *testing.T) {
		assert.Assert(t, !begin(newTrials(t), time.Second, "i-1", "b"))
	})
	t.Run("a request with the same part runs elsewhere if both may share it", func(t *testing.T) {
		trials := &Trials{MaxTrials: 10}
		at := start.Add(time.Minute)
		assert.Assert(t, trials.Begin(start, []string{"a", "part"}, []string{"a"}, "i-1", at))
		assert.Assert(t, !trials.Begin(start, []string{"b", "part"}, []string{"b", "part"}, "i-2", at))
		assert.Assert(t, !trials.Begin(start, []string{"a", "part"}, []string{"a"}, "i-2", at))
		assert.Assert(t, !trials.Begin(start, []string{"b", "part"}, []string{"b"}, "i-1", at))
		assert.Assert(t, trials.Begin(start, []string{"b", "part"}, []string{"b"}, "i-2", at))
	})
	t.Run("another request elsewhere runs", func(t *testing.T) {
		assert.Assert(t, begin(newTrials(t), time.Second, "i-2", "b"))
	})
	t.Run("the next runs after the end", func(t *testing.T) {
		trials := newTrials(t)
		trials.End([]string{"a"}, "i-1")
		assert.Assert(t, !begin(trials, time.Second, "i-1", "a"), "that was the end of another trial")
		trials.End([]string{"a", "part"}, "i-1")
		assert.Assert(t, begin(trials, time.Second, "i-1", "a"))
	})
	t.Run("the next runs after a trial whose end is lost", func(t *testing.T) {
		assert.Assert(t, begin(newTrials(t), maxTrialTime, "i-1", "a"))
	})
	t.Run("the next runs once the request of a trial whose end is lost has ended", func(t *testing.T) {
		trials := &Trials{MaxTrials: 10}
		assert.Assert(t, trials.Begin(start, []string{"a"}, []string{"a"}, "i-1", start.Add(5*time.Second)))
		assert.Assert(t, !begin(trials, 4*time.Second, "i-1", "a"))
		assert.Assert(t, begin(trials, 5*time.Second, "i-1", "a"))
	})
	t.Run("trials are bounded", func(t *testing.T) {
		trials := newTrials(t)
		for n := range 20 {
			begin(trials, 0, core.HostName(fmt.Sprint("host-", n)), fmt.Sprint("key-", n))
		}
		assert.Equal(t, len(trials.running), 10)
	})
}

// Guards against requests that are refused for good for crashes that they only shared, and against
// one that crashes upstreams and is not, at either stage of its answer.
func TestOnlyTrialsAreProof(t *testing.T) {
	for _, row := range []struct {
		name    string
		crashes []Attempt
		want    Standing
		try     bool
	}{
		{"one crash", []Attempt{{}}, Clean, true},
		{"many crashes in company", []Attempt{{}, {}, {}, {}, {}, {}, {}, {}}, Suspect, true},
		{"one trial", []Attempt{{}, {}, {}, {Alone: true}}, Suspect, true},
		{"two trials", []Attempt{{}, {Alone: true}, {Alone: true}}, Quarantined, true},
		{"two trials and no other crash", []Attempt{{Alone: true}, {Alone: true}}, Clean, true},
		{"two crashes of answers that had gone on", []Attempt{{Late: true}, {Late: true}}, Clean, false},
		{"three crashes of answers that had gone on", []Attempt{{Late: true}, {Late: true}, {Late: true}}, Suspect, true},
		{"crashes at both stages", []Attempt{{}, {}, {Late: true}, {Late: true}}, Clean, true},
		{"late crashes in trials", []Attempt{{Late: true}, {Late: true, Alone: true}, {Late: true, Alone: true}}, Quarantined, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := newEntryBook("edge-1")
			for n, a := range row.crashes {
				a.Fingerprint = 1
				b.RecordIncarnationCrash(start, core.HostName(fmt.Sprint("i-", n)), []Attempt{a})
			}
			settled := start.Add(solitaryTime)
			assertStanding(t, b, settled, 1, row.want)
			assert.Equal(t, b.Find(settled, 1).MayTry, row.try)
		})
	}
}

// Guards against a proper request that is refused for good since its upstreams fell with others in
// both of its trials: it was repeated while all upstreams fell again and again.
func TestTrialsInMassFallsAreNoProof(t *testing.T) {
	at := func(d time.Duration) time.Time { return start.Add(d) }
	newSuspect := func() *Book {
		b := newEntryBook("edge-1")
		for n, a := range []Attempt{{}, {Alone: true}, {Alone: true}} {
			a.Fingerprint = 1
			b.RecordIncarnationCrash(at(time.Duration(n)*5*time.Second), core.HostName(fmt.Sprint("i-", n)), []Attempt{a})
		}
		return b
	}
	now := at(11 * time.Second)
	t.Run("no other upstream falls", func(t *testing.T) {
		assertStanding(t, newSuspect(), now, 1, Quarantined)
		assertStanding(t, newSuspect(), at(10*time.Second), 1, Suspect)
	})
	t.Run("another falls with it", func(t *testing.T) {
		b := newSuspect()
		b.RecordIncarnationCrash(at(9500*time.Millisecond), "j-1", []Attempt{{Fingerprint: 2}})
		assertStanding(t, b, now, 1, Suspect)
	})
	t.Run("another falls under a copy", func(t *testing.T) {
		b := newSuspect()
		b.RecordIncarnationCrash(at(9500*time.Millisecond), "j-1", []Attempt{{Fingerprint: 1}, {Fingerprint: 2}})
		assertStanding(t, b, now, 1, Quarantined)
	})
	t.Run("trials come ever later", func(t *testing.T) {
		b := newSuspect()
		assert.Equal(t, b.Find(now, 1).TryAt, at(10*time.Second+retrialDelay))
		b.RecordIncarnationCrash(at(20*time.Second), "i-9", []Attempt{{Fingerprint: 1, Alone: true}})
		assert.Equal(t, b.Find(at(20*time.Second), 1).TryAt, at(20*time.Second+4*retrialDelay))
	})
}

// Guards against a crash in a trial that counts as proof after all processes have ended, since only they
// knew that another upstream ended beside it.
func TestStoredCrashBesideOthersIsNoProof(t *testing.T) {
	const tried, other = core.Fingerprint(1), core.Fingerprint(2)
	for _, beside := range []bool{false, true} {
		book := newEntryBook("edge-1")
		for n := range 3 {
			at := start.Add(time.Duration(n) * 3 * time.Second)
			book.RecordIncarnationCrash(at, core.HostName(fmt.Sprint("i-", n)), []Attempt{{Fingerprint: tried, Alone: n > 0}})
			if beside {
				book.RecordIncarnationCrash(at, core.HostName(fmt.Sprint("other-", n)), []Attempt{{Fingerprint: other}})
			}
		}
		now := start.Add(20 * time.Second)
		want := Quarantined
		if beside {
			want = Suspect
		}
		assert.Equal(t, book.Find(now, tried).Standing, want)
		for _, stored := range [][]Record{book.Restricted(now)[tried], book.Crashed(now, 1)[0]} {
			restarted := newEntryBook("edge-1")
			restarted.Merge(now, stored)
			assert.Equal(t, restarted.Find(now, tried).Standing, want)
		}
	}
}

// Guards against parts of prompts that are blamed for the crashes of one request, or for its copies at few upstreams.
func TestRepeatedRequestsHaveTheirCrashes(t *testing.T) {
	book := Book{Self: "edge-1", MaxRecords: 10, Incarnations: true}
	for n, upstream := range []core.HostName{"x-1", "x-2", "x-3"} {
		attempts := []Attempt{{Fingerprint: 1}}
		if n > 0 {
			attempts = append(attempts, Attempt{Fingerprint: 2})
		}
		book.RecordIncarnationCrash(start, upstream, attempts)
	}
	assert.DeepEqual(t, book.Repeated(start), [][]core.HostName{{"x-1", "x-2", "x-3"}})
	book.Clear(start, 1)
	assert.Equal(t, len(book.Repeated(start)), 0)
}

// Guards against a request that crashes upstreams in trial after trial, since only crashes that have come back count:
// those of a trial whose entry ends, or whose upstream is slow, come late or never.
func TestGrantedTrialsCount(t *testing.T) {
	newSuspect := func() *Book {
		b := newEntryBook("edge-1")
		for n := range 3 {
			b.RecordIncarnationCrash(start, core.HostName(fmt.Sprint("i-", n)), []Attempt{{Fingerprint: 1}})
		}
		return b
	}
	tryAt := func(b *Book) time.Time { return b.Find(start, 1).TryAt }
	t.Run("without crashes", func(t *testing.T) {
		b := newSuspect()
		b.RecordTrial(start, 1, "j-1")
		assert.Assert(t, tryAt(b).IsZero())
		b.RecordTrial(start, 1, "j-2")
		assert.Equal(t, tryAt(b), start.Add(retrialDelay))
		b.RecordTrial(start.Add(retrialDelay), 1, "j-2")
		assert.Equal(t, tryAt(b), start.Add(5*retrialDelay))
		assertStanding(t, b, start, 1, Suspect)
	})
	t.Run("with their crashes once", func(t *testing.T) {
		b := newSuspect()
		b.RecordTrial(start, 1, "j-1")
		b.RecordIncarnationCrash(start, "j-1", []Attempt{{Fingerprint: 1, Alone: true}})
		assert.Assert(t, tryAt(b).IsZero())
	})
	t.Run("not if the request did not run", func(t *testing.T) {
		b := newSuspect()
		for range 3 {
			b.RecordTrial(start, 1, "j-1")
			b.VoidTrial(start, 1, "j-1")
		}
		b.VoidTrial(start, 1, "j-1")
		assert.Assert(t, tryAt(b).IsZero())
		b.RecordTrial(start, 1, "j-1")
		b.RecordTrial(start, 1, "j-2")
		assert.Equal(t, tryAt(b), start.Add(retrialDelay))
	})
	t.Run("not as proof if the upstream had crashed before", func(t *testing.T) {
		b := newSuspect()
		for _, upstream := range []core.HostName{"i-0", "i-1"} {
			b.RecordTrial(start, 1, upstream)
			b.VoidTrial(start, 1, upstream)
		}
		assertStanding(t, b, start.Add(time.Minute), 1, Suspect)
	})
	t.Run("without a change of the stage of a crash", func(t *testing.T) {
		b := newEntryBook("edge-1")
		for n := range 3 {
			upstream := core.HostName(fmt.Sprint("i-", n))
			b.RecordTrial(start, 1, upstream)
			b.RecordIncarnationCrash(start, upstream, []Attempt{{Fingerprint: 1, Late: true, Alone: true}})
		}
		assert.Equal(t, b.Find(start, 1).Late, uint32(3))
	})
	t.Run("at other processes", func(t *testing.T) {
		b, peer := newSuspect(), newSuspect()
		b.RecordTrial(start, 1, "j-1")
		b.RecordTrial(start, 1, "j-2")
		peer.Merge(start, b.Records(start))
		assert.Equal(t, tryAt(peer), start.Add(retrialDelay))
	})
	t.Run("until the request is served", func(t *testing.T) {
		b := newSuspect()
		b.RecordTrial(start, 1, "j-1")
		b.RecordTrial(start, 1, "j-2")
		b.Clear(start, 1)
		assert.Assert(t, tryAt(b).IsZero())
	})
}
