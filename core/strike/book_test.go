package strike

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
)

var start = time.Date(2026, 3, 1, 20, 0, 0, 0, time.UTC)

func newBook(name core.HostName) *Book { return &Book{Self: name, MaxRecords: 100} }

// newEntryBook returns a book as entries of a managed platform have.
func newEntryBook(name core.HostName) *Book {
	return &Book{Self: name, MaxRecords: 100, Incarnations: true}
}

func assertStanding(t *testing.T, b *Book, now time.Time, f core.Fingerprint, want Standing) {
	t.Helper()
	assert.Equal(t, b.Find(now, f).Standing, want)
	assert.Equal(t, b.Refuse(now, f) != nil, want == Quarantined)
}

func TestStandings(t *testing.T) {
	b := newBook("a")
	assertStanding(t, b, start, 1, Clean)
	b.RecordCrash(start, []core.Fingerprint{1, 2, 2, 3})
	assertStanding(t, b, start, 1, Suspect)
	assertStanding(t, b, start, 2, Suspect)
	b.RecordPass(start, 2)
	assertStanding(t, b, start, 2, Clean)
	b.RecordCrash(start, []core.Fingerprint{1})
	assertStanding(t, b, start, 1, Quarantined)
	assert.Equal(t, len(b.List(start)), 2)
	assertStanding(t, b, start.Add(TTL+1), 1, Clean)
	assert.Equal(t, len(b.Records(start.Add(TTL+1))), 0)
}

// Several entries had copies of a request at one upstream when it crashed. The crash must
// count once.
func TestCrashSeenByManyCountsOnce(t *testing.T) {
	a, b := newEntryBook("edge-1"), newEntryBook("edge-2")
	crash := func(book *Book, upstream core.HostName, at time.Time) {
		book.RecordIncarnationCrash(at, upstream, []Attempt{{Fingerprint: 1}, {Fingerprint: 1}, {Fingerprint: 2}})
	}
	crash(a, "i-1", start)
	crash(b, "i-1", start.Add(time.Second))
	crash(b, "i-2", start.Add(time.Second))
	a.Merge(start, b.Records(start))
	assert.Equal(t, a.Find(start, 1).Count, uint32(2))
	assertStanding(t, a, start, 1, Clean)
	crash(a, "i-3", start)
	assertStanding(t, a, start, 1, Suspect)
	for _, upstream := range []core.HostName{"i-2", "i-3"} {
		assertStanding(t, a, start, 1, Suspect)
		b.RecordIncarnationCrash(start, upstream, []Attempt{{Fingerprint: 1, Alone: true}})
		a.Merge(start, b.Records(start))
		assert.Equal(t, a.Find(start, 1).Count, uint32(3))
	}
	settled := start.Add(2 * solitaryTime)
	assertStanding(t, a, settled, 1, Quarantined)
	assertStanding(t, a, settled, 2, Suspect)
	t.Run("a request that is served is cleared everywhere", func(t *testing.T) {
		b.Clear(start, 2)
		a.Merge(start, b.Records(start))
		assertStanding(t, a, start, 2, Clean)
		assertStanding(t, a, settled, 1, Quarantined)
		crash(a, "i-4", start)
		assert.Equal(t, a.Find(start, 2).Count, uint32(1), "a later crash counts again")
	})
}

// A book with more strikes than fit into a message must reach a peer whole, and the requests
// with the most strikes first.
func TestSharerSendsAllInTurn(t *testing.T) {
	from, to := newEntryBook("edge-1"), newEntryBook("edge-2")
	from.MaxRecords, to.MaxRecords = 1000, 1000
	for _, upstream := range []core.HostName{"i-1", "i-2", "i-3"} {
		from.RecordIncarnationCrash(start, upstream, []Attempt{{Fingerprint: 1, Alone: true}})
	}
	for f := core.Fingerprint(2); f < 300; f++ {
		from.RecordIncarnationCrash(start.Add(time.Second), "i-4", []Attempt{{Fingerprint: f}})
	}
	s := Sharer{}
	first := s.Next(start, from)
	assert.Equal(t, len(first), maxShared)
	to.Merge(start, first)
	assert.Equal(t, to.Find(start, 1).Alone, uint32(3), "those with the most strikes come first")
	assertStanding(t, to, start.Add(2*solitaryTime), 1, Quarantined)
	for range 299/maxSharedInTurn + 1 {
		to.Merge(start, s.Next(start, from))
	}
	assert.DeepEqual(t, to.Records(start), from.Records(start))
}

// A host crashes during a long request that ran alone there. One such crash must not
// quarantine the request.
func TestOneCrashAloneIsNoProof(t *testing.T) {
	b := newBook("a")
	b.RecordCrash(start, []core.Fingerprint{1})
	assertStanding(t, b, start, 1, Suspect)
}

// A request crashes engines only together with others. It passes each trial, so
// the number of trials before it may run with others again must grow.
func TestCrashesOnlyInCompany(t *testing.T) {
	b := newBook("a")
	for i, trials := range []int{1, 2, 3, 4} {
		now := start.Add(time.Duration(i) * time.Second)
		b.RecordCrash(now, []core.Fingerprint{1, 2})
		for range trials {
			assertStanding(t, b, now, 1, Suspect)
			b.RecordPass(now, 1)
		}
		assertStanding(t, b, now, 1, Clean)
	}
	assertStanding(t, b, start, 2, Suspect)
	b.RecordCrash(start.Add(time.Minute), []core.Fingerprint{2})
	assertStanding(t, b, start, 2, Quarantined)
}

// Guards against a proper request that is refused for good since copies of it were at several
// engines that crashed for another reason, such as the loss of a rack.
func TestCrashesInCompanyAreNoProof(t *testing.T) {
	entry := newBook("entry")
	for _, agent := range []core.HostName{"a", "b", "c", "d"} {
		b := newBook(agent)
		entry.Merge(start, b.RecordCrash(start, []core.Fingerprint{1, 2}))
	}
	assert.Equal(t, entry.Find(start, 1).Count, uint32(4))
	assertStanding(t, entry, start, 1, Suspect)
	alone := newBook("e")
	entry.Merge(start, alone.RecordCrash(start, []core.Fingerprint{1}))
	assertStanding(t, entry, start, 1, Quarantined)
	assertStanding(t, entry, start, 2, Suspect)
}

// A prompt that many callers share was in flight at three engines that crashed for
// another reason. It had ended well before, so it must not be refused.
func TestSharedPromptIsNotQuarantined(t *testing.T) {
	b, entry := newBook("a"), newBook("entry")
	copies := &Copies{MaxProven: 10}
	copies.End(start, 1, true)
	for range 3 {
		b.RecordCrash(start, []core.Fingerprint{1, 2})
	}
	for _, f := range entry.Merge(start, b.Records(start)) {
		if copies.TakeProven(start, f) {
			b.Merge(start, []Record{entry.RecordKnownGood(start, f)})
		}
	}
	for _, book := range []*Book{b, entry} {
		assertStanding(t, book, start, 1, Suspect)
		assertStanding(t, book, start, 2, Suspect)
		assert.Assert(t, book.Find(start, 1).Known && !book.Find(start, 2).Known)
	}
	assert.Assert(t, !copies.TakeProven(start, 1))
}

func TestPassDoesntExcuseLaterCrash(t *testing.T) {
	b := newBook("a")
	b.RecordCrash(start, []core.Fingerprint{1, 2})
	b.RecordPass(start.Add(TTL/2), 1)
	later := start.Add(TTL + time.Second)
	b.RecordCrash(later, []core.Fingerprint{1, 3})
	assertStanding(t, b, later, 1, Suspect)
}

// An operator clears a request while a peer that doesn't have the clear mark still
// spreads the old strikes. They must not count again, but a new crash must.
func TestClearIsNotUndoneByOldRecords(t *testing.T) {
	a, b, c := newBook("a"), newBook("b"), newBook("c")
	a.RecordCrash(start, []core.Fingerprint{1})
	a.RecordCrash(start, []core.Fingerprint{1})
	old := a.Records(start)
	b.Merge(start, old)
	c.Merge(start, old)
	mark := b.Clear(start.Add(time.Second), 1)
	b.Merge(start.Add(time.Second), c.Records(start))
	assertStanding(t, b, start.Add(time.Second), 1, Clean)
	a.Merge(start, []Record{mark})
	a.RecordCrash(start.Add(2*time.Second), []core.Fingerprint{1})
	now := start.Add(3 * time.Second)
	b.Merge(now, a.Records(now))
	c.Merge(now, b.Records(now))
	for _, book := range []*Book{a, b, c} {
		assertStanding(t, book, now, 1, Suspect)
	}
}

// Records reach processes in any order, repeated and late. All must agree.
func TestMergeIgnoresOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	for range 200 {
		sources := []*Book{newBook("a"), newBook("b"), newBook("c")}
		var all []Record
		for i := range 12 {
			s := sources[rng.IntN(3)]
			now := start.Add(time.Duration(i) * time.Second)
			switch rng.IntN(5) {
			case 0:
				all = append(all, s.Clear(now, 1))
			case 1:
				all = append(all, s.RecordPass(now, 1))
			default:
				all = append(all, s.RecordCrash(now, []core.Fingerprint{1, core.Fingerprint(2 + rng.IntN(3))})...)
			}
		}
		x, y := newBook("x"), newBook("y")
		now := start.Add(time.Minute)
		x.Merge(now, all)
		rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		y.Merge(now, append(all, all[:4]...))
		assert.DeepEqual(t, x.Records(now), y.Records(now))
	}
}

// Guards against entries that disagree on whether a request crashes upstreams, since they heard of
// the same crashes from entries that had seen different things.
func TestEntriesAgreeOnCrashes(t *testing.T) {
	var all []Record
	for _, a := range []Attempt{{}, {Late: true}, {Alone: true}} {
		for n := range 4 {
			b := newEntryBook("edge")
			a.Fingerprint = 1
			b.RecordIncarnationCrash(start.Add(time.Duration(len(all))*time.Millisecond), core.HostName("i-"+string(rune('a'+n))), []Attempt{a})
			all = append(all, b.Records(start)...)
		}
	}
	mark := newEntryBook("edge")
	mark.Merge(start, all[:1])
	all = append(all, mark.Clear(start.Add(2*time.Millisecond), 1))
	var want []Record
	rng := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		b := newEntryBook("edge-2")
		for _, i := range rng.Perm(len(all)) {
			b.Merge(start, all[i:i+1])
		}
		assert.Equal(t, len(b.Merge(start, all)), 0, "nothing is new a second time")
		if want == nil {
			want = b.Records(start)
		}
		assert.DeepEqual(t, b.Records(start), want)
	}
}

func TestBookIsBounded(t *testing.T) {
	b := newBook("a")
	for i := range 1000 {
		b.RecordCrash(start.Add(time.Duration(i)*time.Second), []core.Fingerprint{core.Fingerprint(i)})
		assert.Assert(t, b.size <= b.MaxRecords)
	}
	assertStanding(t, b, start.Add(1000*time.Second), 999, Suspect)
}

// A suspect reaches a busy engine. It must run alone within a bounded time, and
// the engine's other requests must not be held back for long.
func TestGateDrainsForSuspect(t *testing.T) {
	b := newBook("a")
	b.RecordCrash(start, []core.Fingerprint{1, 2})
	g := &Gate{Book: b}
	busy := []core.Fingerprint{7, 8}
	assert.Equal(t, g.MayRun(start, 1, true, nil).At, start.Add(trialDelay))
	now := start.Add(trialDelay)
	assert.Equal(t, g.MayRun(now, 1, true, busy).Action, Wait)
	assert.Equal(t, g.MayRun(now, 9, false, busy).Action, Run)
	now = now.Add(idleTimeout)
	assert.Equal(t, g.MayRun(now, 1, true, busy).Action, Wait)
	assert.Equal(t, g.MayRun(now, 9, false, busy).Action, Wait)
	v := g.MayRun(now.Add(time.Second), 1, true, nil)
	assert.Assert(t, v.Action == Run && v.Alone)
	assert.Equal(t, g.MayRun(now.Add(time.Second), 9, false, []core.Fingerprint{1}).Action, Wait)
	_, passed := g.RecordEnd(now.Add(2*time.Second), 1, true)
	assert.Assert(t, passed)
	assert.Equal(t, g.MayRun(now.Add(2*time.Second), 9, false, nil).Action, Run)
	// The second suspect must wait before the engine is drained again.
	assert.Equal(t, g.MayRun(now.Add(2*time.Second), 2, true, busy).Action, Wait)
	assert.Equal(t, g.MayRun(now.Add(6*time.Second), 2, true, busy).Action, Wait)
	assert.Equal(t, g.MayRun(now.Add(6*time.Second), 9, false, busy).Action, Run)
}

func TestGateDeniesQuarantined(t *testing.T) {
	b := newBook("a")
	b.RecordCrash(start, []core.Fingerprint{1})
	b.RecordCrash(start, []core.Fingerprint{1})
	v := (&Gate{Book: b}).MayRun(start, 1, true, nil)
	assert.Equal(t, v.Action, Deny)
	assert.Equal(t, v.Refusal.Code, core.CodeQuarantined)
}

// A caller sends one request many times at once. Until it has ended well once, an
// entry must keep the copies on one host.
func TestCopiesStayTogetherUntilProven(t *testing.T) {
	c := &Copies{MaxProven: 2}
	assert.Equal(t, c.RequiredHost(1), core.HostName(""))
	c.Start(1, "a")
	c.Start(1, "a")
	c.End(start, 1, false)
	assert.Equal(t, c.RequiredHost(1), core.HostName("a"))
	c.End(start, 1, true)
	c.Start(1, "b")
	assert.Equal(t, c.RequiredHost(1), core.HostName(""))
	for f := core.Fingerprint(2); f < 4; f++ {
		c.Start(f, "a")
		c.End(start, f, true)
	}
	assert.Equal(t, c.RequiredHost(1), core.HostName("b")) // no longer recorded as proven
}

// A request becomes a suspect while it waits in a queue. It must be refused there,
// since its trial is on another host.
func TestGateReturnsNewSuspects(t *testing.T) {
	b := newBook("a")
	b.RecordCrash(start, []core.Fingerprint{1, 2})
	v := (&Gate{Book: b}).MayRun(start.Add(trialDelay), 1, false, nil)
	assert.Equal(t, v.Action, Deny)
	assert.Equal(t, v.Refusal.Outcome, core.NotRun)
	assert.Equal(t, v.Refusal.Code, core.CodeOverload)
}

func TestTrialIsTheSameForAll(t *testing.T) {
	hosts := []core.HostName{"a", "b", "c", "d"}
	reversed := slices.Clone(hosts)
	slices.Reverse(reversed)
	for f := range core.Fingerprint(100) {
		assert.Equal(t, TrialHost(f, hosts), TrialHost(f, reversed))
	}
	assert.Equal(t, TrialHost(1, nil), core.HostName(""))
}
