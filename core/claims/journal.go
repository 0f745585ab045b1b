package claims

import (
	"fmt"
	"time"

	"radishwell/core"
	"radishwell/core/dedupe"
	"radishwell/core/retry"
)

// GroupInterval is the least time between two writes to one journal.
//
// It answers a burst of keyed requests: a write for each would pass the
// platform's several hundred writes a second, which all else shares. With one
// group every 50 ms, 4 journals take 80 writes a second whatever the load, and
// a claim waits 25 ms on average under load and not at all on an idle journal.
const GroupInterval = 50 * time.Millisecond

const (
	// firstBackoff doubles with each failure up to maxBackoff, so that a journal
	// costs a platform that is down one call a second.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
	// failFastAfter is how long the platform has to fail before claims are
	// refused at once: shorter gaps are waited out.
	failFastAfter = time.Second
	// readsAtOnce bounds the reads in flight when a journal is read whole.
	readsAtOnce = 32
)

// Journal is the state machine of one journal at one entry. It is not safe for
// concurrent use. Fields are set before the first call.
//
// Every method that takes an event returns the Effects to carry out. Reads and
// Write are calls on the platform, whose outcomes come back by Read and Wrote.
type Journal struct {
	// Number is the journal's, from 0.
	Number int
	// Slots is the number of segments in the ring, and SegmentBytes the size at
	// which a segment is closed. Both bound the journal. All entries must agree
	// on Slots; one that doesn't is refused all claims. SegmentBytes must be well
	// below the platform's limit for values.
	Slots        int
	SegmentBytes core.Bytes
	// MaxWaiting bounds the claims that wait; more are refused at once.
	MaxWaiting int

	interval time.Duration // for tests; GroupInterval where zero

	slots   []slot
	names   map[string]int // slots by object name
	reading int            // slots in state slotReading
	tail    int            // slot of the newest segment; -1 for none
	open    segment
	index   index
	waiting []Ask
	write   *write
	warm    bool
	checked bool // the slots form a ring without gaps
	tried   bool // a gap was read again already

	nextWrite time.Time
	retryAt   time.Time
	failed    int
	failing   time.Time // since when; zero while calls succeed
	count     Counts
}

// Counts are totals since the start.
type Counts struct {
	Writes, Reads, Conflicts, Failures, Won, Held, Unsure uint64
}

// Write is a conditional change of a segment object: Platform.Create where
// Create is set, else Platform.Update.
type Write struct {
	Create bool
	Object core.Object
}

// Effects are what an event asks for.
type Effects struct {
	// Reads are names of objects of kind core.KindClaim to get.
	Reads   []string
	Write   *Write
	Answers []Answer
}

// Reply is the outcome of a platform call. Fault counts only where OK is false.
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

// slot is what the journal knows of one object of its ring.
type slot struct {
	state  slotState
	exists bool
	uid    string
	// version is the object's; an update is conditional on it.
	version core.Version
	number  uint64
	closed  bool
	// expires is the latest expiry among its claims.
	expires time.Time
}

// write is the group being written.
type write struct {
	slot    int
	segment segment
	asks    []Ask
	claims  []Claim
}

// SlotName returns the name of the object in a journal's ring.
func SlotName(journal, slot int) string { return fmt.Sprintf("journal-%d-slot-%04d", journal, slot) }

// Ask takes a claim. Its answer comes in the Effects of this or a later event.
func (j *Journal) Ask(now time.Time, a Ask) Effects {
	var out Effects
	if a.Claim.Attempt == 0 || a.Claim.Attempt > maxAttempt {
		j.answer(&out, Answer{Token: a.Token, Result: Unsure, RetryAt: j.retry(now)})
		return out
	}
	if j.decide(now, a, &out) {
		return out
	}
	if len(j.waiting) >= j.MaxWaiting || j.failsFast(now) {
		j.answer(&out, Answer{Token: a.Token, Result: Unsure, RetryAt: j.retry(now)})
		return out
	}
	j.waiting = append(j.waiting, a)
	j.pump(now, &out)
	return out
}

// Warm reads the journal, so that the first claim needn't wait for that. An
// entry calls it when it takes a journal over.
func (j *Journal) Warm(now time.Time) Effects {
	var out Effects
	j.warm = true
	j.pump(now, &out)
	return out
}

// Tick is called at the time that Next returns.
func (j *Journal) Tick(now time.Time) Effects {
	var out Effects
	j.pump(now, &out)
	return out
}

// Next returns when Tick is due; zero where no time is.
func (j *Journal) Next() time.Time {
	var next time.Time
	add := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, a := range j.waiting {
		add(a.GiveUp)
	}
	if j.write != nil {
		for _, a := range j.write.asks {
			add(a.GiveUp)
		}
		return next
	}
	if j.reading > 0 || (len(j.waiting) == 0 && !j.warm) {
		return next
	}
	if j.checked {
		add(later(j.nextWrite, j.retryAt))
	} else {
		add(j.retryAt)
	}
	return next
}

// Waiting returns the number of claims without an answer.
func (j *Journal) Waiting() int {
	n := len(j.waiting)
	if j.write != nil {
		n += len(j.write.asks)
	}
	return n
}

// Ready tells that the journal has been read whole and its segments fit.
func (j *Journal) Ready() bool { return j.checked }

// Keys returns the number of keys remembered.
func (j *Journal) Keys() int { return len(j.index.entries) }

// Counts returns totals since the start.
func (j *Journal) Counts() Counts { return j.count }

// Latest returns the latest claim this entry knows of a key. It may be behind
// what other entries have recorded.
func (j *Journal) Latest(now time.Time, id dedupe.KeyID) (Claim, bool) {
	return j.index.latest(now, id)
}

// pump does whatever can be done now.
func (j *Journal) pump(now time.Time, out *Effects) {
	j.giveUp(now, out)
	j.waiting = drop(j.waiting, func(a Ask) bool { return j.decide(now, a, out) })
	j.init()
	if now.Before(j.retryAt) || j.write != nil || (len(j.waiting) == 0 && !j.warm) {
		return
	}
	if !j.read(now, out) {
		return
	}
	j.waiting = drop(j.waiting, func(a Ask) bool { return j.decide(now, a, out) })
	if len(j.waiting) > 0 && !now.Before(j.nextWrite) {
		j.startWrite(now, out)
	}
}

// giveUp answers the claims whose claimants stop waiting. One that is being
// written may still be recorded; it then names an attempt that is never handed
// over, which whoever meets it has sealed.
func (j *Journal) giveUp(now time.Time, out *Effects) {
	late := func(a Ask) bool {
		if now.Before(a.GiveUp) {
			return false
		}
		j.answer(out, Answer{Token: a.Token, Result: Unsure, RetryAt: j.retry(now)})
		return true
	}
	j.waiting = drop(j.waiting, late)
	if j.write != nil {
		j.write.asks = drop(j.write.asks, late)
	}
}

func (j *Journal) init() {
	if j.slots != nil {
		return
	}
	j.slots = make([]slot, j.Slots)
	j.names = make(map[string]int, j.Slots)
	for i := range j.slots {
		j.names[SlotName(j.Number, i)] = i
	}
	j.tail = -1
}

// decide answers a claim that the index decides. The index holds only what is
// durable. It may be behind other entries, which is safe: nobody hands over on
// Held, and the agent of an attempt that has been sealed refuses it. So repeats
// of known keys are answered while the platform is down, too.
func (j *Journal) decide(now time.Time, a Ask, out *Effects) bool {
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
		j.count.Won++
	case Held:
		j.count.Held++
	case Unsure:
		j.count.Unsure++
	}
	out.Answers = append(out.Answers, a)
}

// failsFast tells that the platform has failed for a while and isn't to be
// tried yet. Without it, each claim of an outage would wait out its time in a
// queue that grows with the load.
func (j *Journal) failsFast(now time.Time) bool {
	return !j.failing.IsZero() && !now.Before(j.failing.Add(failFastAfter)) && now.Before(j.retryAt)
}

func (j *Journal) fail(now time.Time) {
	j.count.Failures++
	if j.failing.IsZero() {
		j.failing = now
	}
	j.retryAt = now.Add(retry.Backoff(firstBackoff, maxBackoff, j.failed))
	j.failed++
}

func (j *Journal) succeed() {
	j.failing = time.Time{}
	j.retryAt = time.Time{}
	j.failed = 0
}

func (j *Journal) retry(now time.Time) time.Time { return later(now.Add(maxBackoff), j.retryAt) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// drop removes the asks that gone accepts, in place.
func drop(asks []Ask, gone func(Ask) bool) []Ask {
	kept := asks[:0]
	for _, a := range asks {
		if !gone(a) {
			kept = append(kept, a)
		}
	}
	return kept
}
