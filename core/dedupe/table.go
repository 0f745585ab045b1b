package dedupe

import (
	"container/heap"
	"time"

	"radishwell/core"
)

// Table is an agent's table of keyed requests. It is not safe for concurrent
// use. Fields are set before the first call.
type Table struct {
	// Incarnation is the agent's own. Attempts claimed for another are refused.
	Incarnation core.Incarnation
	// MaxBytes bounds the answers kept, running ones included.
	MaxBytes core.Bytes
	// MaxRecords bounds the keys remembered; new attempts are refused beyond it.
	MaxRecords int

	records map[KeyID]*record
	bytes   int64
	expiry  expiryHeap
	done    []finished
	turn    uint64
	// forgotten is the latest expiry among records that were dropped. A claim
	// that expires no later may have had one.
	forgotten time.Time
}

type finished struct {
	id   KeyID
	turn uint64
}

// Verdict is what to do with an attempt that arrived.
type Verdict struct {
	// State is Running where the attempt is to be run (Start) or is running or
	// Done where its answer can be read; else Refusal is set.
	State State
	// Start tells that the attempt is to be run now, by this caller of Begin.
	Start   bool
	Refusal *core.Refusal
}

// Begin takes an attempt that an entry hands over. The attempt is to be run
// only if the verdict says Start.
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
		// The attempt before this one ran here, so the claim of this one can
		// only come from clocks that disagree on when the key aged out.
		return refuse(core.CodeRanElsewhere, core.MayHaveRun, "an earlier attempt ran here")
	default:
		return verdictOf(r)
	}
}

// Attach asks for the answer of an attempt; it never starts a run. Of an attempt
// that the agent refused it returns that refusal.
func (t *Table) Attach(now time.Time, c Call) Verdict {
	t.expire(now)
	r := t.records[c.ID]
	if c.Incarnation != t.Incarnation || r == nil || r.attempt != c.Attempt {
		return refuse(core.CodeRanElsewhere, core.MayHaveRun, "the agent doesn't know the attempt")
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

// Seal tells what became of an attempt. One that has not arrived is sealed by
// the question: if it arrives later it is refused.
//
// Without the seal, an attempt that is still under way (its entry was paused
// between claim and hand-over) would run after the asker had claimed and run
// the next one.
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
		return r.standing()
	}
	if r.state != Sealed {
		return Lost
	}
	r.attempt = c.Attempt
	r.refusal = nil
	t.prolong(c.ID, r, c.Expires)
	return Sealed
}

func (t *Table) beginNew(now time.Time, c Call) Verdict {
	if !now.Before(c.Deadline) {
		return tooLate()
	}
	// An attempt of a claim that may have had a dropped record could have run.
	if !c.Expires.After(t.forgotten) {
		return refuse(core.CodeRanElsewhere, core.MayHaveRun, "the agent no longer remembers keys as old as this one")
	}
	if len(t.records) >= t.MaxRecords {
		v := refuse(core.CodeOverload, core.NotRun, "the agent's table of keyed requests is full")
		v.Refusal.RetryAt = t.Next()
		return v
	}
	r := &record{}
	t.insert(c, r)
	t.start(r, c)
	return Verdict{State: Running, Start: true}
}

func (t *Table) sealNew(c Call) State {
	if !c.Expires.After(t.forgotten) || len(t.records) >= t.MaxRecords {
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
	t.prolong(c.ID, r, c.Expires)
}

func (t *Table) insert(c Call, r *record) {
	if t.records == nil {
		t.records = make(map[KeyID]*record)
	}
	t.records[c.ID] = r
	r.expires = c.Expires
	heap.Push(&t.expiry, expiryItem{at: c.Expires, id: c.ID})
}

// prolong keeps a record for as long as the later of two claims is valid.
func (t *Table) prolong(id KeyID, r *record, expires time.Time) {
	if !expires.After(r.expires) {
		return
	}
	r.expires = expires
	heap.Push(&t.expiry, expiryItem{at: expires, id: id})
}

// Len returns the number of keys remembered.
func (t *Table) Len() int { return len(t.records) }

// Bytes returns the size of the answers kept.
func (t *Table) Bytes() core.Bytes { return core.Bytes(t.bytes) }

// Next returns when the next record expires; zero where there is none.
func (t *Table) Next() time.Time {
	if len(t.expiry) == 0 {
		return time.Time{}
	}
	return t.expiry[0].at
}

// Expire drops records whose claims have aged out. Running ones stay until
// they end.
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
	if r.expires.After(t.forgotten) {
		t.forgotten = r.expires
	}
}

// tooLate refuses an attempt that nobody has sealed. Seals are looked at first:
// of a sealed attempt one may not say just "not run", as another may have run.
func tooLate() Verdict {
	return refuse(core.CodeDeadline, core.NotRun, "the deadline passed before the request arrived")
}

func verdictOf(r *record) Verdict {
	if r.standing() == Lost {
		return refuse(core.CodeRanElsewhere, core.MayHaveRun, "the answer is no longer kept")
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
