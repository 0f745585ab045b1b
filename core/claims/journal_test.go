package claims

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/dedupe"
)

// direct connects a single journal to a platform that responds at once.
type direct struct {
	j       *Journal
	objects map[string]core.Object
	version core.Version
	bytes   int64
	answers map[uint64]Answer
	token   uint64
}

func newDirect(j *Journal) *direct {
	return &direct{j: j, objects: make(map[string]core.Object), answers: make(map[uint64]Answer)}
}

func (d *direct) submit(now time.Time, c Claim) uint64 {
	d.token++
	d.execute(now, d.j.Submit(now, Submission{Token: d.token, Claim: c, GiveUp: now.Add(2 * time.Second)}))
	return d.token
}

func (d *direct) execute(now time.Time, out Effects) {
	for _, a := range out.Answers {
		d.answers[a.Token] = a
	}
	for _, name := range out.Reads {
		o, ok := d.objects[name]
		d.execute(now, d.j.ReadDone(now, Reply{Name: name, Object: o, OK: ok, Fault: core.NotFound}))
	}
	if out.Write != nil {
		d.execute(now, d.j.WriteDone(now, d.apply(out.Write.Object)))
	}
}

func (d *direct) apply(o core.Object) Reply {
	if d.objects[o.Name].Version != o.Version {
		return Reply{Name: o.Name, Fault: core.Conflict}
	}
	d.version++
	d.bytes += int64(len(o.Spec))
	o.Version = d.version
	d.objects[o.Name] = o
	return Reply{Name: o.Name, Object: o, OK: true}
}

func (d *direct) tick(now time.Time) { d.execute(now, d.j.Tick(now)) }

func claimOf(key int, attempt uint64, claimant uint64, now time.Time) Claim {
	return Claim{
		ID: dedupe.KeyOf("owner", fmt.Sprint(key)), Fingerprint: 7, Host: core.HostName(fmt.Sprintf("agent-%d", key%9)),
		Incarnation: 1, Claimant: claimant, Attempt: attempt, Expires: ExpiryOf(now, time.Hour),
	}
}

func small() *Journal { return &Journal{Slots: 4, SegmentBytes: 600, MaxWaiting: 100} }

func TestAttemptsFollowEachOther(t *testing.T) {
	now := start
	d := newDirect(small())
	step := func(attempt, claimant uint64, body core.Fingerprint, want Result, holder uint64) {
		t.Helper()
		now = now.Add(time.Second)
		c := claimOf(1, attempt, claimant, start)
		c.Fingerprint = body
		a := d.answers[d.submit(now, c)]
		assert.Equal(t, a.Result, want)
		assert.Equal(t, a.Holder.Claimant, holder)
	}
	step(1, 10, 7, Won, 10)
	step(1, 11, 7, Held, 10)
	step(1, 10, 7, Won, 10) // the claimant missed the answer and submits the claim again
	step(3, 11, 7, Held, 10)
	step(2, 11, 8, Held, 10) // a request with another body gets no attempt of the key
	step(2, 11, 7, Won, 11)
	step(2, 12, 7, Held, 11)
}

// TestTwoWritersOneWinner has two entries write the same journal and claim the
// same attempt. Exactly one of them must win, whichever writes first.
func TestTwoWritersOneWinner(t *testing.T) {
	a, b := newDirect(small()), newDirect(small())
	a.j.Slots, b.j.Slots = 16, 16
	b.objects = a.objects
	for key := range 40 {
		now := start.Add(time.Duration(key) * time.Second)
		first, second := a, b
		if key%3 == 0 {
			first, second = b, a
		}
		b.version = max(a.version, b.version)
		a.version = b.version
		won := first.answers[first.submit(now, claimOf(key%4, uint64(1+key/4), 1, start))]
		b.version = max(a.version, b.version)
		a.version = b.version
		second.submit(now, claimOf(key%4, uint64(1+key/4), 2, start))
		second.tick(now.Add(GroupInterval))
		lost := second.answers[second.token]
		assert.Equal(t, won.Result, Won)
		assert.Equal(t, lost.Result, Held)
		assert.Equal(t, lost.Holder.Claimant, uint64(1))
	}
}

// TestFullRingRefusesUntilClaimsAgeOut checks that a ring whose oldest claims
// have not expired isn't overwritten, as their requests could run twice. Claims
// must be refused until the oldest ones expire.
func TestFullRingRefusesUntilClaimsAgeOut(t *testing.T) {
	d := newDirect(small())
	now := start
	last := Answer{Result: Won}
	key := 0
	for ; last.Result != Unsure; key++ {
		now = now.Add(100 * time.Millisecond)
		last = d.answers[d.submit(now, claimOf(key, 1, 1, start))]
		assert.Assert(t, key < 200)
	}
	assert.Equal(t, last.RetryAt, claimOf(0, 1, 1, start).Expires)
	assert.Equal(t, d.j.Keys(), key-1)
	now = last.RetryAt
	a := d.answers[d.submit(now, claimOf(0, 1, 9, now))]
	assert.Equal(t, a.Result, Won)
	assert.Equal(t, a.Holder.Claimant, uint64(9))
	assert.Equal(t, d.j.Keys(), 1) // expired claims are removed
}

// TestReadWholeJournal checks that an entry that takes over a journal, whose ring
// has been overwritten several times, knows every claim of its predecessor.
func TestReadWholeJournal(t *testing.T) {
	d := newDirect(small())
	d.j.Slots = 8
	now := start
	for key := range 300 {
		now = now.Add(100 * time.Millisecond)
		c := claimOf(key, 1, 1, now)
		c.Expires = ExpiryOf(now, 2*time.Second)
		assert.Equal(t, d.answers[d.submit(now, c)].Result, Won)
	}
	next := newDirect(small())
	next.j.Slots = 8
	next.objects, next.version = d.objects, d.version
	next.execute(now, next.j.Preload(now))
	for key := 285; key < 300; key++ {
		c, ok := next.j.Latest(now, dedupe.KeyOf("owner", fmt.Sprint(key)))
		assert.Assert(t, ok, key)
		assert.Equal(t, c.Host, core.HostName(fmt.Sprintf("agent-%d", key%9)))
	}
}

// TestMissingSegmentStopsJournal checks that nothing is granted after an operator
// has deleted a segment by hand. Otherwise the requests of the lost claims would
// run again.
func TestMissingSegmentStopsJournal(t *testing.T) {
	d := newDirect(small())
	now := start
	for key := range 25 {
		now = now.Add(100 * time.Millisecond)
		d.submit(now, claimOf(key, 1, 1, start))
	}
	delete(d.objects, SlotName(0, 2))
	next := newDirect(small())
	next.objects, next.version = d.objects, d.version
	token := next.submit(now, claimOf(99, 1, 1, start))
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		next.tick(now)
	}
	assert.Equal(t, next.answers[token].Result, Unsure)
}

// TestOtherRingSizeGrantsNothing checks that an entry configured with another
// ring size grants nothing: it would look for the newest segment in the wrong
// slot.
func TestOtherRingSizeGrantsNothing(t *testing.T) {
	d := newDirect(small())
	d.submit(start, claimOf(1, 1, 1, start))
	other := newDirect(small())
	other.j.Slots = 5
	other.objects, other.version = d.objects, d.version
	token := other.submit(start, claimOf(2, 1, 1, start))
	other.tick(start.Add(2 * time.Second))
	assert.Equal(t, other.answers[token].Result, Unsure)
	assert.Equal(t, len(other.objects), 1)
}

func TestRankMovesOnlyJournalsOfRemovedEntry(t *testing.T) {
	all := []core.HostName{"entry-a", "entry-b", "entry-c", "entry-d"}
	leading := make(map[core.HostName]int)
	for j := range 200 {
		ranked := Rank(j, all)
		leading[ranked[0]]++
		rest := Rank(j, all[1:])
		if ranked[0] != "entry-a" {
			assert.Equal(t, rest[0], ranked[0])
		}
	}
	for _, h := range all {
		assert.Assert(t, leading[h] > 25, "%s leads %d of 200", h, leading[h])
	}
}

func FuzzDecodeSegment(f *testing.F) {
	s := segment{Number: 3, Closed: true}
	s.add(claimOf(1, 1, 1, start))
	f.Add(s.encode())
	f.Add([]byte(`{"number":1,"agents":[],"claims":"AAAA"}`))
	f.Fuzz(func(t *testing.T, spec []byte) {
		s, err := decodeSegment("x", spec)
		if err != nil {
			return
		}
		again, err := decodeSegment("x", s.encode())
		assert.NilError(t, err)
		for i := range s.count() {
			assert.DeepEqual(t, again.claim(i), s.claim(i))
		}
	})
}
