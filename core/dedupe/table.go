package dedupe

import (
	"container/heap"
	"time"

	"radishwell/core"
)

// Table is an agent's table of keyed requests. It is not safe for concurrent
// use. Its exported fields must be set before the first call.
type Table struct {
	// Incarnation is the agent's incarnation. Attempts claimed for another one are
	// refused.
	Incarnation core.Incarnation
	// MaxBytes bounds the total size of the kept answers, including those of
	// running attempts.
	MaxBytes core.Bytes
	// MaxRecords bounds the number of keys. New keys beyond it are refused.
	MaxRecords int

	records map[KeyID]*record
	bytes   int64
	expiry  expiryHeap
	done    []finished
	lastSeq uint64
	// maxDropped is the latest expiry among the dropped records. A claim that
	// expires no later may have had a record that was dropped.
	maxDropped time.Time
}

// finished is an attempt with a complete answer, in the order of eviction.
type finished struct {
	id  KeyID
	seq uint64
}

// Verdict is the decision on an attempt that arrived.
type Verdict struct {
	// State is Running if the attempt is to be started or is running, and Done if
	// its answer is complete. Otherwise Refusal is set.
	State State
	// Start is set if this caller of Begin must run the attempt now.
	Start   bool
	Refusal *core.Refusal
}

// Begin accepts or refuses an attempt that an entry hands over. The caller must
// run the attempt if the verdict has Start set, and must not run it otherwise.
func (t *Table) Begin(now time.Time, c Call) Verdict {
	t.expire(now)
	if c.Incarnation != t.Incarnation {
		return refuse(core.CodeSealed, core.NotRun, "the agent has restarted since the claim")
	}
	r := t.records[c.ID]
	if r == nil {
		return t.beginNew(now, c)
	}
	switch {
	case r.fingerprint != c.Fingerprint && r.state != Sealed:
		return refuse(core.CodeKeyReused, core.NotRun, "the key was used with another request")
	case c.Attempt < r.attempt:
		return refuse(core.CodeSealed, core.NotRun, "a later attempt has replaced this one")
	case r.state == Sealed && c.Attempt == r.attempt:
		return refuse(core.CodeSealed, core.NotRun, "the attempt was sealed before it arrived")
	case r.state == Sealed && !now.Before(c.Deadline):
		return tooLate()
	case r.state == Sealed:
		t.start(r, c)
		return Verdict{State: Running, Start: true}
	case c.Attempt > r.attempt:
		// The previous attempt ran on this agent. This one can have been claimed only
		// if clocks disagree on when the key expired.
		return refuse(core.CodeAnswerLost, core.MayHaveRun, "an earlier attempt ran here")
	default:
		return verdictOf(r)
	}
}

// Attach returns whether the answer of an attempt can be read; it never starts a
// run. For an attempt that the agent refused, it returns that refusal.
func (t *Table) Attach(now time.Time, c Call) Verdict {
	t.expire(now)
	r := t.records[c.ID]
	if c.Incarnation != t.Incarnation || r == nil || r.attempt != c.Attempt {
		return refuse(core.CodeAnswerLost, core.MayHaveRun, "the agent doesn't know the attempt")
	}
	if r.fingerprint != c.Fingerprint && r.state != Sealed {
		return refuse(core.CodeKeyReused, core.NotRun, "the key was used with another request")
	}
	if r.state == Sealed && r.refusal != nil {
		return Verdict{State: Sealed, Refusal: r.refusal}
	}
	if r.state == Sealed {
		return refuse(core.CodeSealed, core.NotRun, "the attempt was sealed before it ran")
	}
	return verdictOf(r)
}

// Seal returns the state of an attempt. An attempt that has not arrived is
// sealed by the call: it is refused if it arrives later.
//
// Without the seal, an attempt that is still in flight, for example because its
// entry paused between claim and hand-over, could run after the calling entry had
// claimed and run the next attempt.
func (t *Table) Seal(now time.Time, c Call) State {
	t.expire(now)
	if c.Incarnation != t.Incarnation {
		return Lost
	}
	r := t.records[c.ID]
	if r == nil {
		return t.sealNew(c)
	}
	if c.Attempt < r.attempt {
		return Sealed
	}
	if c.Attempt == r.attempt {
		return r.visibleState()
	}
	if r.state != Sealed {
		return Lost
	}
	r.attempt = c.Attempt
	r.refusal = nil
	t.extend(c.ID, r, c.Expires)
	return Sealed
}

func (t *Table) beginNew(now time.Time, c Call) Verdict {
	if !now.Before(c.Deadline) {
		return tooLate()
	}
	// A record of this claim may have been dropped, so the attempt may have run.
	if !c.Expires.After(t.maxDropped) {
		return refuse(core.CodeAnswerLost, core.MayHaveRun, "the agent no longer remembers keys as old as this one")
	}
	if len(t.records) >= t.MaxRecords {
		v := refuse(core.CodeOverload, core.NotRun, "the agent's table of keyed requests is full")
		v.Refusal.RetryAt = t.NextExpiry()
		return v
	}
	r := &record{}
	t.insert(c, r)
	t.start(r, c)
	return Verdict{State: Running, Start: true}
}

func (t *Table) sealNew(c Call) State {
	if !c.Expires.After(t.maxDropped) || len(t.records) >= t.MaxRecords {
		return Lost
	}
	t.insert(c, &record{state: Sealed, attempt: c.Attempt, fingerprint: c.Fingerprint})
	return Sealed
}

func (t *Table) start(r *record, c Call) {
	r.attempt = c.Attempt
	r.fingerprint = c.Fingerprint
	r.state = Running
	r.refusal = nil
	r.answer = &answer{}
	t.extend(c.ID, r, c.Expires)
}

func (t *Table) insert(c Call, r *record) {
	if t.records == nil {
		t.records = make(map[KeyID]*record)
	}
	t.records[c.ID] = r
	r.expires = c.Expires
	heap.Push(&t.expiry, expiryItem{at: c.Expires, id: c.ID})
}

// extend keeps a record until the later of its own expiry and expires.
func (t *Table) extend(id KeyID, r *record, expires time.Time) {
	if !expires.After(r.expires) {
		return
	}
	r.expires = expires
	heap.Push(&t.expiry, expiryItem{at: expires, id: id})
}

// Len returns the number of keys in the table.
func (t *Table) Len() int { return len(t.records) }

// Bytes returns the total size of the kept answers.
func (t *Table) Bytes() core.Bytes { return core.Bytes(t.bytes) }

// NextExpiry returns when the next record expires; zero if there is none.
func (t *Table) NextExpiry() time.Time {
	if len(t.expiry) == 0 {
		return time.Time{}
	}
	return t.expiry[0].at
}

// Expire drops records whose claims have expired. Records of running attempts
// stay until the attempts end.
func (t *Table) Expire(now time.Time) { t.expire(now) }

func (t *Table) expire(now time.Time) {
	for len(t.expiry) > 0 && !now.Before(t.expiry[0].at) {
		item := heap.Pop(&t.expiry).(expiryItem)
		r := t.records[item.id]
		if r == nil || r.expires.After(item.at) || r.state == Running {
			continue
		}
		t.drop(item.id, r)
	}
}

func (t *Table) drop(id KeyID, r *record) {
	t.release(r)
	delete(t.records, id)
	if r.expires.After(t.maxDropped) {
		t.maxDropped = r.expires
	}
}

// tooLate refuses an attempt that arrived after its deadline and is not sealed.
// Callers must check for a seal first: entries take CodeDeadline to mean that the
// request did not run, but after a seal the next attempt may have run.
func tooLate() Verdict {
	return refuse(core.CodeDeadline, core.NotRun, "the deadline passed before the request arrived")
}

func verdictOf(r *record) Verdict {
	if r.visibleState() == Lost {
		return refuse(core.CodeAnswerLost, core.MayHaveRun, "the answer is no longer kept")
	}
	return Verdict{State: r.state}
}

func refuse(code core.Code, outcome core.Outcome, reason string) Verdict {
	state := Sealed
	if outcome == core.MayHaveRun {
		state = Lost
	}
	return Verdict{State: state, Refusal: &core.Refusal{Code: code, Outcome: outcome, Reason: reason}}
}
