package lease

import (
	"cmp"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishwell/core"
)

// These are the times of the decider's lease. Losing it only delays changes of
// grants, so the term is long enough to cost few platform calls (a contender reads
// at most once per term, the holder writes three times) and short enough that
// demand which outgrows its grants waits seconds, not minutes.
const (
	// Term is how long an observed version of the lease keeps other contenders from
	// taking over.
	Term = 12 * time.Second
	// Margin is how much earlier the holder stops deciding than the earliest
	// takeover. It covers clocks whose rates differ by up to a fifth, far more than
	// an undisciplined crystal, and scheduling delays.
	Margin = Term / 5
	// renewalsPerTerm is how often the holder writes in a term: two writes may fail
	// in a row before the lease lapses.
	renewalsPerTerm = 3
	// RetryInterval is the delay after a failed call.
	RetryInterval = 2 * time.Second
	// takeoverSpread is the time over which contenders spread their takeover, so that
	// hundreds of entries don't write to one object at once.
	takeoverSpread = 2 * time.Second
)

// Call is a call on the lease object that Next requests from the I/O layer.
type Call uint8

// At most one call is in flight; Next returns another after Answer.
const (
	// None: there is nothing to do before the returned time.
	None Call = iota
	// Read: get the object.
	Read
	// Create: create Object.
	Create
	// Update: update Object on the condition of its Version.
	Update
)

// Action is the next call on the lease object.
type Action struct {
	Call   Call
	Object core.Object
}

// Reply is the platform's reply to an Action.
type Reply struct {
	// Object is the object that the platform returned, if Failed is false.
	Object core.Object
	Failed bool
	// Fault is the kind of failure, if Failed is true.
	Fault core.PlatformFault
}

// Lease is one contender's view of the lease. Its exported fields must be set
// before first use. It is not safe for concurrent use.
type Lease struct {
	Host        core.HostName
	Incarnation core.Incarnation
	// Kind and Name identify the lease object. The zero values stand for the
	// decider's lease.
	Kind core.Kind
	Name string
	// Term and Margin replace the constants of the same name unless they are zero.
	Term, Margin time.Duration
	// NoPriorHolder is set if the platform held no grants when this process started.
	// Nobody has decided before then, and the creator of the lease decides at once:
	// the first start of a fleet does not wait for the term. It must not be set if the
	// platform may have lost the lease.
	NoPriorHolder bool

	// observed is set if version and spec hold the last observation; absent is set if
	// it found no object.
	observed bool
	absent   bool
	version  core.Version
	spec     Spec
	// takeoverAt is the earliest takeover that the last observation allows; checkedAt
	// is when the object was last found at that version.
	takeoverAt time.Time
	checkedAt  time.Time

	// held is set if the object names this process; fence is its fencing number.
	held  bool
	fence core.Fence
	// This process may decide from validFrom until validUntil.
	validUntil time.Time
	validFrom  time.Time
	// maxFence is the largest fencing number seen anywhere.
	maxFence core.Fence

	inFlight   Call
	sentAt     time.Time
	nextCallAt time.Time
}

func (l *Lease) term() time.Duration { return cmp.Or(l.Term, Term) }

// validity returns how long after the sending of a write its holder may decide.
func (l *Lease) validity() time.Duration { return l.term() - cmp.Or(l.Margin, Margin) }

func (l *Lease) object(s Spec, version core.Version) core.Object {
	o := s.object(version)
	o.Kind, o.Name = cmp.Or(l.Kind, o.Kind), cmp.Or(l.Name, o.Name)
	return o
}

// ObserveFence records a fencing number found in a grant or order. The lease's
// next fencing number will be larger even if the platform's versions were reset.
func (l *Lease) ObserveFence(f core.Fence) { l.maxFence = max(l.maxFence, f) }

// Decides reports whether this process may decide at the given time, and its
// fencing number. It must be called again right before each write.
func (l *Lease) Decides(now time.Time) (core.Fence, bool) {
	if !l.held || now.Before(l.validFrom) || !now.Before(l.validUntil) {
		return 0, false
	}
	return l.fence, true
}

// Until returns when this process stops deciding unless it renews the lease. It is
// zero if the process does not know that it holds the lease.
func (l *Lease) Until() time.Time { return l.validUntil }

// Holder returns the holder named by the newest observation; empty if unknown.
func (l *Lease) Holder() core.HostName {
	if !l.observed || l.absent {
		return ""
	}
	return l.spec.Holder
}

// Next returns the call to make now, or None and when to call Next again. After a
// call other than None it returns None until Answer.
func (l *Lease) Next(now time.Time) (Action, time.Time) {
	if l.inFlight != None {
		return Action{}, now.Add(RetryInterval)
	}
	if now.Before(l.nextCallAt) {
		return Action{}, l.nextCallAt
	}
	a := l.chooseAction(now)
	l.inFlight = a.Call
	l.sentAt = now
	return a, now.Add(RetryInterval)
}

// chooseAction returns the next call once nextCallAt has passed.
func (l *Lease) chooseAction(now time.Time) Action {
	switch {
	case !l.observed:
		return Action{Call: Read}
	case l.held:
		return Action{Call: Update, Object: l.renewal(now)}
	case l.checkedAt.Before(l.takeoverAt):
		// A read is cheaper for the platform than an update that conflicts, and most
		// contenders find that the holder has renewed.
		return Action{Call: Read}
	case l.absent:
		return Action{Call: Create, Object: l.acquisition(now)}
	}
	return Action{Call: Update, Object: l.acquisition(now)}
}

func (l *Lease) acquisition(now time.Time) core.Object {
	version := l.version
	if l.absent {
		version = 0
	}
	s := Spec{Holder: l.Host, Incarnation: l.Incarnation, Until: now.Add(l.validity()), Created: l.absent}
	return l.object(s, version)
}

func (l *Lease) renewal(now time.Time) core.Object {
	s := Spec{Holder: l.Host, Incarnation: l.Incarnation, Fence: l.fence, Until: now.Add(l.validity())}
	return l.object(s, l.version)
}

// Answer processes the reply to the action that Next returned last.
func (l *Lease) Answer(now time.Time, r Reply) {
	call := l.inFlight
	l.inFlight = None
	if call == None {
		return
	}
	if !r.Failed {
		l.handleReply(now, call, r.Object)
		return
	}
	l.handleFault(now, call, r.Fault)
}

func (l *Lease) handleReply(now time.Time, call Call, o core.Object) {
	if o.Version < l.version {
		// The platform itself is never behind a copy, unless it was restored.
		l.version = 0
		l.observed = false
	}
	l.ObserveObject(now, o)
	if call == Read {
		return
	}
	// A process may decide only after a reply to a write of its own, counted from
	// when the write was sent: the platform can't have applied it earlier. After a
	// lost reply the process finds its write by reading, and decides only after the
	// reply to its next renewal.
	if l.held && l.version == o.Version {
		l.validUntil = l.sentAt.Add(l.validity())
		l.nextCallAt = l.sentAt.Add(l.term() / renewalsPerTerm)
	}
}

func (l *Lease) handleFault(now time.Time, call Call, f core.PlatformFault) {
	switch f {
	case core.NotFound:
		l.handleAbsence(now)
		return
	case core.Conflict, core.Exists:
		// The object has a newer version, so another process may hold the lease. This
		// one stops deciding now, not only when its term ends.
		l.validUntil = time.Time{}
		l.observed = false
		l.nextCallAt = now
		return
	}
	if f == core.Unknown && call != Read {
		// The write may have been applied or may be applied later; reading the object
		// shows which. A later write is conditional on the version read, so that at most
		// one of the two takes effect.
		l.observed = false
	}
	l.nextCallAt = now.Add(RetryInterval)
	if f == core.Unavailable && !l.held {
		// Hundreds of contenders must not all call a recovering platform at the same
		// moment.
		l.nextCallAt = now.Add(l.term()/2 + l.takeoverDelay(l.version))
	}
}

// handleAbsence handles the observation that there is no object: it was never
// created, or it was deleted manually.
func (l *Lease) handleAbsence(now time.Time) {
	l.checkedAt = now
	if l.absent {
		l.observed = true
		l.nextCallAt = core.Later(now, l.takeoverAt)
		return
	}
	l.observed = true
	l.absent = true
	l.spec = Spec{}
	l.invalidate()
	l.takeoverAt = now.Add(l.takeoverDelay(0))
	if l.NoPriorHolder {
		l.takeoverAt = now
	}
	l.nextCallAt = l.takeoverAt
}

// ObserveObject processes the lease object as found in a read, a watch or a peer's
// copy. Copies older than the newest seen are ignored.
func (l *Lease) ObserveObject(now time.Time, o core.Object) {
	if o.Deleted {
		if o.Version > l.version {
			l.version = o.Version
			l.absent = false
			l.handleAbsence(now)
		}
		return
	}
	if o.Version < l.version || l.absent && o.Version == l.version {
		return
	}
	same := o.Version == l.version
	if l.observed && same {
		l.sameVersion(now)
		return
	}
	s, err := Parse(o)
	restored := l.version != 0 && o.Version.Era() > l.version.Era()
	l.observed = true
	l.absent = false
	l.version = o.Version
	l.spec = s
	l.ObserveFence(s.Fence)
	if err == nil && s.Holder == l.Host && s.Incarnation == l.Incarnation && s.Holder != "" {
		if restored {
			// Another process may have held the lease after this one and before the restore.
			l.invalidate()
		}
		l.handleOwned(now, o.Version, s.Created && !l.NoPriorHolder || restored)
		return
	}
	l.invalidate()
	if same && !l.takeoverAt.IsZero() {
		l.sameVersion(now)
		return
	}
	l.checkedAt = now
	l.takeoverAt = now.Add(l.term() + l.takeoverDelay(o.Version))
	if err == nil && s.Holder == "" {
		l.takeoverAt = now.Add(l.takeoverDelay(o.Version))
	}
	l.nextCallAt = l.takeoverAt
}

// sameVersion handles an observation of the version already known, which does not
// change the earliest takeover.
func (l *Lease) sameVersion(now time.Time) {
	l.checkedAt = now
	if !l.held {
		l.nextCallAt = core.Later(now, l.takeoverAt)
	}
}

// handleOwned handles an observation of an object that names this process. unsure is set if
// there may be an unknown holder.
func (l *Lease) handleOwned(now time.Time, v core.Version, unsure bool) {
	if !l.held {
		l.held = true
		if unsure {
			// There was no object, perhaps because it was deleted manually a moment ago, or
			// the object is that of a restored copy. Its holder may still decide, for less
			// than a term. Waiting here and not before the creation is also safe if the
			// creation was delayed on its way while another object was created and deleted.
			l.validFrom = now.Add(l.term())
		}
		// The version of the acquiring write grows with every write of the kind, even
		// after the object was deleted manually and created again.
		l.fence = max(core.Fence(v), l.maxFence+1)
		l.maxFence = l.fence
	}
	l.nextCallAt = now
}

func (l *Lease) invalidate() {
	l.held = false
	l.fence = 0
	l.validUntil = time.Time{}
	l.validFrom = time.Time{}
}

// StepDown returns the update that releases the lease at a planned stop, so that
// the next decider does not wait for the term, and whether this process held it.
// The process stops deciding at once. Only Decides may be called afterwards.
func (l *Lease) StepDown() (core.Object, bool) {
	held := l.held
	o := l.object(Spec{Fence: l.fence}, l.version)
	l.invalidate()
	return o, held
}

// takeoverDelay spreads contenders over the time after a lease has lapsed. The
// delay of a host differs between versions, so that no host is always first.
func (l *Lease) takeoverDelay(v core.Version) time.Duration {
	name := binary.LittleEndian.AppendUint64(nil, uint64(v))
	name = append(name, l.Host...)
	return time.Duration(xxhash.Sum64(name) % uint64(takeoverSpread))
}
