package claims

import (
	"fmt"
	"time"

	"radishwell/core"
	"radishwell/core/dedupe"
	"radishwell/core/retry"
)

// GroupInterval is the minimum time between two writes to one journal.
//
// It bounds the write rate during a burst of keyed requests. One write per claim
// would exceed the several hundred writes per second that the platform accepts
// from the whole system. With one group every 50 ms, 4 journals need 80 writes
// per second at any load. A claim waits 25 ms on average under load, and not at
// all on an idle journal.
const GroupInterval = 50 * time.Millisecond

const (
	// firstBackoff doubles with each failure up to maxBackoff, so that during an
	// outage of the platform a journal makes one call per second.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
	// failFastAfter is how long the platform must have been failing before claims
	// are refused without waiting. Claims wait out shorter interruptions.
	failFastAfter = time.Second
	// maxReads bounds the reads in flight while the whole journal is read.
	maxReads = 32
)

// Journal is the state machine of one journal at one entry. It is not safe for
// concurrent use. Its exported fields must be set before the first call.
//
// Every method that takes an event returns the Effects to carry out. Reads and
// Write are calls to the platform, whose results must be passed to ReadDone and
// WriteDone.
type Journal struct {
	// Number is the number of the journal, from 0.
	Number int
	// Slots is the number of slots in the ring, and SegmentBytes the size at which
	// a segment is closed. Together they bound the journal's size. All entries must
	// have the same Slots; an entry with another value is granted no claims.
	// SegmentBytes must be well below the platform's limit for values.
	Slots        int
	SegmentBytes core.Bytes
	// MaxWaiting bounds the number of waiting claims; further ones are refused at
	// once.
	MaxWaiting int

	interval time.Duration // overrides GroupInterval in tests; zero otherwise

	slots         []slot
	slotByName    map[string]int // slot index by object name
	readsInFlight int            // number of slots in state slotReading
	newest        int            // slot of the newest segment; -1 if there is none
	openSegment   segment        // content of the newest open segment
	index         index
	waiting       []Submission
	inFlight      *group // the group being written; nil if none
	preload       bool   // the ring is to be read even if no claims wait
	complete      bool   // the slots form a ring without gaps
	reread        bool   // the slots at gaps have been read a second time

	nextWrite    time.Time
	retryAt      time.Time
	failures     int       // consecutive failed platform calls
	failingSince time.Time // time of the first of them; zero if none
	counts       Counts
}

// Counts holds totals since the start.
type Counts struct {
	Writes, Reads, Conflicts, Failures, Won, Held, Unsure uint64
}

// Write is a conditional write of a segment object: Platform.Create if Create is
// set, Platform.Update otherwise.
type Write struct {
	Create bool
	Object core.Object
}

// Effects are the actions to carry out after an event.
type Effects struct {
	// Reads are the names of objects of kind core.KindClaim to get.
	Reads []string
	// Write is the write to make; nil if there is none.
	Write *Write
	// Answers are the answers to deliver to claimants.
	Answers []Answer
}

// Reply is the result of a platform call. Fault is valid only if OK is false.
type Reply struct {
	Name   string
	Object core.Object
	OK     bool
	Fault  core.PlatformFault
}

type slotState uint8

const (
	slotUnread slotState = iota
	slotReading
	slotRead
)

// slot is the last known state of one object of the ring.
type slot struct {
	state  slotState
	exists bool
	uid    string
	// version is the object's version, on which updates are conditional.
	version core.Version
	number  uint64
	closed  bool
	// expires is the latest expiry among the segment's claims.
	expires time.Time
}

// group is a group of claims that one write records. Claimants that gave up
// during the write are no longer in submissions, but their claims are in claims.
type group struct {
	slot        int
	segment     segment
	submissions []Submission
	claims      []Claim
}

// SlotName returns the name of the object of one slot of a journal's ring.
func SlotName(journal, slot int) string { return fmt.Sprintf("journal-%d-slot-%04d", journal, slot) }

// Submit accepts a claim. Its answer is in the Effects of this or a later event.
func (j *Journal) Submit(now time.Time, a Submission) Effects {
	var out Effects
	if a.Claim.Attempt == 0 || a.Claim.Attempt > maxAttempt {
		j.answer(&out, Answer{Token: a.Token, Result: Unsure, RetryAt: j.retryTime(now)})
		return out
	}
	if j.decide(now, a, &out) {
		return out
	}
	if len(j.waiting) >= j.MaxWaiting || j.failsFast(now) {
		j.answer(&out, Answer{Token: a.Token, Result: Unsure, RetryAt: j.retryTime(now)})
		return out
	}
	j.waiting = append(j.waiting, a)
	j.advance(now, &out)
	return out
}

// Preload reads the journal in advance, so that the first claim doesn't have to
// wait for it. An entry calls it when it takes over a journal.
func (j *Journal) Preload(now time.Time) Effects {
	var out Effects
	j.preload = true
	j.advance(now, &out)
	return out
}

// Tick must be called at the time that NextTick returns.
func (j *Journal) Tick(now time.Time) Effects {
	var out Effects
	j.advance(now, &out)
	return out
}

// NextTick returns the time of the next call of Tick; zero if none is needed.
func (j *Journal) NextTick() time.Time {
	var next time.Time
	add := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, a := range j.waiting {
		add(a.GiveUp)
	}
	if j.inFlight != nil {
		for _, a := range j.inFlight.submissions {
			add(a.GiveUp)
		}
		return next
	}
	if j.readsInFlight > 0 || (len(j.waiting) == 0 && !j.preload) {
		return next
	}
	if j.complete {
		add(core.Later(j.nextWrite, j.retryAt))
	} else {
		add(j.retryAt)
	}
	return next
}

// Waiting returns the number of claims without an answer.
func (j *Journal) Waiting() int {
	n := len(j.waiting)
	if j.inFlight != nil {
		n += len(j.inFlight.submissions)
	}
	return n
}

// Ready reports whether the whole journal has been read and its segments form a
// ring without gaps.
func (j *Journal) Ready() bool { return j.complete }

// Keys returns the number of keys in the index.
func (j *Journal) Keys() int { return len(j.index.entries) }

// Counts returns totals since the start.
func (j *Journal) Counts() Counts { return j.counts }

// Latest returns the latest claim of a key that this entry knows. Other entries
// may have recorded newer ones.
func (j *Journal) Latest(now time.Time, id dedupe.KeyID) (Claim, bool) {
	return j.index.latest(now, id)
}

// advance answers the claims that can be answered now, and starts the next reads
// or the next write.
func (j *Journal) advance(now time.Time, out *Effects) {
	j.answerExpired(now, out)
	j.waiting = removeIf(j.waiting, func(a Submission) bool { return j.decide(now, a, out) })
	j.init()
	if now.Before(j.retryAt) || j.inFlight != nil || (len(j.waiting) == 0 && !j.preload) {
		return
	}
	if !j.readRing(now, out) {
		return
	}
	j.waiting = removeIf(j.waiting, func(a Submission) bool { return j.decide(now, a, out) })
	if len(j.waiting) > 0 && !now.Before(j.nextWrite) {
		j.startWrite(now, out)
	}
}

// answerExpired answers the claims whose claimants have stopped waiting. A claim
// whose write is in flight may still be recorded. Its attempt is then never
// handed over, and any call that comes across the claim seals the attempt.
func (j *Journal) answerExpired(now time.Time, out *Effects) {
	late := func(a Submission) bool {
		if now.Before(a.GiveUp) {
			return false
		}
		j.answer(out, Answer{Token: a.Token, Result: Unsure, RetryAt: j.retryTime(now)})
		return true
	}
	j.waiting = removeIf(j.waiting, late)
	if j.inFlight != nil {
		j.inFlight.submissions = removeIf(j.inFlight.submissions, late)
	}
}

func (j *Journal) init() {
	if j.slots != nil {
		return
	}
	j.slots = make([]slot, j.Slots)
	j.slotByName = make(map[string]int, j.Slots)
	for i := range j.slots {
		j.slotByName[SlotName(j.Number, i)] = i
	}
	j.newest = -1
}

// decide answers a claim from the index, if that suffices. The index holds only
// durable claims. It may lack newer claims of other entries, which is safe: Held
// permits no hand-over, and an agent refuses a sealed attempt. So repeated
// requests with known keys are answered even while the platform is down.
func (j *Journal) decide(now time.Time, a Submission, out *Effects) bool {
	holder, ok := j.index.latest(now, a.Claim.ID)
	if !ok {
		return false
	}
	if sameAttempt(holder, a.Claim) {
		j.answer(out, Answer{Token: a.Token, Result: Won, Holder: holder})
		return true
	}
	if a.Claim.Attempt == holder.Attempt+1 && a.Claim.Fingerprint == holder.Fingerprint {
		return false
	}
	j.answer(out, Answer{Token: a.Token, Result: Held, Holder: holder})
	return true
}

func sameAttempt(a, b Claim) bool {
	return a.Claimant == b.Claimant && a.Attempt == b.Attempt && a.Host == b.Host && a.Incarnation == b.Incarnation
}

func (j *Journal) answer(out *Effects, a Answer) {
	switch a.Result {
	case Won:
		j.counts.Won++
	case Held:
		j.counts.Held++
	case Unsure:
		j.counts.Unsure++
	}
	out.Answers = append(out.Answers, a)
}

// failsFast reports whether the platform has been failing for failFastAfter and
// the backoff has not elapsed. Otherwise each claim during an outage would wait
// until it times out, in a queue that grows with the load.
func (j *Journal) failsFast(now time.Time) bool {
	return !j.failingSince.IsZero() && !now.Before(j.failingSince.Add(failFastAfter)) && now.Before(j.retryAt)
}

func (j *Journal) fail(now time.Time) {
	j.counts.Failures++
	if j.failingSince.IsZero() {
		j.failingSince = now
	}
	j.retryAt = now.Add(retry.Backoff(firstBackoff, maxBackoff, j.failures))
	j.failures++
}

func (j *Journal) succeed() {
	j.failingSince = time.Time{}
	j.retryAt = time.Time{}
	j.failures = 0
}

func (j *Journal) retryTime(now time.Time) time.Time {
	return core.Later(now.Add(maxBackoff), j.retryAt)
}

// removeIf removes the submissions for which gone returns true, in place.
func removeIf(list []Submission, gone func(Submission) bool) []Submission {
	kept := list[:0]
	for _, a := range list {
		if !gone(a) {
			kept = append(kept, a)
		}
	}
	return kept
}
