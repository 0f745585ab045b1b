package lease

import (
	"cmp"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishwell/core"
)

// Thresholds of the decider's lease. Its loss delays changes of grants only, so
// the term is long enough to cost few platform calls (a contender reads at
// most once in a term, the holder writes three times) and short enough that
// demand which outgrows its grants waits seconds, not minutes.
const (
	// Term is how long an observed version of the lease keeps others out.
	Term = 12 * time.Second
	// Margin is how much earlier the holder stops believing than the soonest
	// that others may take over. It covers clocks whose rates differ by up to
	// a fifth, far more than an undisciplined crystal, and slow scheduling.
	Margin = Term / 5
	// renewals is how often the holder writes in a term: two may fail in a row
	// before the lease lapses.
	renewals = 3
	// Retry is the pause after a call that failed.
	Retry = 2 * time.Second
	// spread is the time over which contenders spread their takeover, so that
	// hundreds of entries don't write to one object at once.
	spread = 2 * time.Second
)

// Call is what the machine asks its shell to do with the lease object.
type Call uint8

// Calls. At most one is outstanding; the next comes after its Answer.
const (
	// None: nothing to do before the returned time.
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

// Reply is the answer to an Action.
type Reply struct {
	// Object is what the platform returned, where Failed is false.
	Object core.Object
	Failed bool
	// Fault is the kind of failure, where Failed is set.
	Fault core.PlatformFault
}

// Lease is one contender's view of the lease. Its exported fields are set before
// first use. It is not safe for concurrent use.
type Lease struct {
	Host        core.HostName
	Incarnation core.Incarnation
	// Kind and Name are the lease object's; the decider's where they are empty.
	Kind core.Kind
	Name string
	// Term and Margin are used instead of the decider's where they are set.
	Term, Margin time.Duration
	// Blank tells that the platform held no grants when this process started.
	// Then nobody has decided before, and who creates the lease decides at once:
	// the fleet's first start needs no wait for the term.
	Blank bool

	// known tells that version and spec describe the last observation;
	// absent that it was an observation of no object.
	known   bool
	absent  bool
	version core.Version
	spec    Spec
	// free is the soonest takeover that the last observation allows; checked is
	// when the object was last found at that version.
	free    time.Time
	checked time.Time

	// mine tells that the object names this process; fence is its number.
	mine  bool
	fence core.Fence
	// until is when this process stops believing, calm when it may begin to.
	until time.Time
	calm  time.Time
	// floor is the largest fencing number met anywhere.
	floor core.Fence

	out    Call
	sent   time.Time
	lookAt time.Time
}

func (l *Lease) term() time.Duration { return cmp.Or(l.Term, Term) }

// belief is how long after a write was sent its holder believes.
func (l *Lease) belief() time.Duration { return l.term() - cmp.Or(l.Margin, Margin) }

func (l *Lease) object(s Spec, version core.Version) core.Object {
	o := s.object(version)
	o.Kind, o.Name = cmp.Or(l.Kind, o.Kind), cmp.Or(l.Name, o.Name)
	return o
}

// Observe tells of a fencing number found in a grant or order. The lease's own
// number will be larger even if the platform's versions were set back.
func (l *Lease) Observe(f core.Fence) { l.floor = max(l.floor, f) }

// Decides reports whether this process may decide at now, and its fencing
// number. It must be asked again right before each write.
func (l *Lease) Decides(now time.Time) (core.Fence, bool) {
	if !l.mine || now.Before(l.calm) || !now.Before(l.until) {
		return 0, false
	}
	return l.fence, true
}

// Until returns when this process stops believing that it holds the lease,
// unless it renews. It is the zero time if it never held it.
func (l *Lease) Until() time.Time { return l.until }

// Holder returns the holder named by the newest observation; empty if unknown.
func (l *Lease) Holder() core.HostName {
	if !l.known || l.absent {
		return ""
	}
	return l.spec.Holder
}

// Next returns the call to make now, or None and when to ask again. After a
// call other than None it returns None until Answer has been told its outcome.
func (l *Lease) Next(now time.Time) (Action, time.Time) {
	if l.out != None {
		return Action{}, now.Add(Retry)
	}
	if now.Before(l.lookAt) {
		return Action{}, l.lookAt
	}
	a := l.choose(now)
	l.out = a.Call
	l.sent = now
	return a, now.Add(Retry)
}

// choose is reached only when lookAt has passed.
func (l *Lease) choose(now time.Time) Action {
	switch {
	case !l.known:
		return Action{Call: Read}
	case l.mine:
		return Action{Call: Update, Object: l.renewal(now)}
	case l.checked.Before(l.free):
		// A read is cheaper for the platform than an update that conflicts:
		// most contenders find that the holder has renewed.
		return Action{Call: Read}
	case l.absent:
		return Action{Call: Create, Object: l.claim(now)}
	}
	return Action{Call: Update, Object: l.claim(now)}
}

func (l *Lease) claim(now time.Time) core.Object {
	version := l.version
	if l.absent {
		version = 0
	}
	s := Spec{Holder: l.Host, Incarnation: l.Incarnation, Until: now.Add(l.belief()), Created: l.absent}
	return l.object(s, version)
}

func (l *Lease) renewal(now time.Time) core.Object {
	s := Spec{Holder: l.Host, Incarnation: l.Incarnation, Fence: l.fence, Until: now.Add(l.belief())}
	return l.object(s, l.version)
}

// Answer tells the outcome of the action that Next returned last.
func (l *Lease) Answer(now time.Time, r Reply) {
	call := l.out
	l.out = None
	if call == None {
		return
	}
	if !r.Failed {
		l.accept(now, call, r.Object)
		return
	}
	l.reject(now, call, r.Fault)
}

func (l *Lease) accept(now time.Time, call Call, o core.Object) {
	if o.Version < l.version {
		// The platform itself is never behind a copy, unless it was restored.
		l.version = 0
		l.known = false
	}
	l.Seen(now, o)
	if call == Read {
		return
	}
	// Only an answered write of its own makes a process believe, counted from
	// when the write was sent: the platform can't have applied it earlier.
	// A write whose answer was lost is found by reading back, and believed only
	// after the next renewal has been answered.
	if l.mine && l.version == o.Version {
		l.until = l.sent.Add(l.belief())
		l.lookAt = l.sent.Add(l.term() / renewals)
	}
}

func (l *Lease) reject(now time.Time, call Call, f core.PlatformFault) {
	switch f {
	case core.NotFound:
		l.lost(now)
		return
	case core.Conflict, core.Exists:
		// The object has moved on. If another holds it now, belief ends here
		// and not when the term would have ended.
		l.until = time.Time{}
		l.known = false
		l.lookAt = now
		return
	}
	if f == core.Unknown && call != Read {
		// The write may have been applied or may be applied later. Reading back
		// tells; a later write is conditional on the version read, so that at
		// most one of the two takes effect.
		l.known = false
	}
	l.lookAt = now.Add(Retry)
	if f == core.Unavailable && !l.mine {
		// Hundreds of contenders must not meet a platform that comes back with
		// a call each at the same moment.
		l.lookAt = now.Add(l.term()/2 + l.delay(l.version))
	}
}

// lost handles an observation of no object: never created, or deleted by hand.
func (l *Lease) lost(now time.Time) {
	l.checked = now
	if l.absent {
		l.known = true
		l.lookAt = later(now, l.free)
		return
	}
	l.known = true
	l.absent = true
	l.spec = Spec{}
	l.drop()
	l.free = now.Add(l.delay(0))
	if l.Blank {
		l.free = now
	}
	l.lookAt = l.free
}

// Seen tells of the lease object as found in a read, a watch or a peer's copy.
// Older copies than the newest seen are ignored.
func (l *Lease) Seen(now time.Time, o core.Object) {
	if o.Deleted {
		if o.Version > l.version {
			l.version = o.Version
			l.absent = false
			l.lost(now)
		}
		return
	}
	if o.Version < l.version || l.absent && o.Version == l.version {
		return
	}
	same := o.Version == l.version
	if l.known && same {
		l.again(now)
		return
	}
	s, err := Parse(o)
	l.known = true
	l.absent = false
	l.version = o.Version
	l.spec = s
	l.Observe(s.Fence)
	if err == nil && s.Holder == l.Host && s.Incarnation == l.Incarnation && s.Holder != "" {
		l.own(now, o.Version, s.Created)
		return
	}
	l.drop()
	if same && !l.free.IsZero() {
		l.again(now)
		return
	}
	l.checked = now
	l.free = now.Add(l.term() + l.delay(o.Version))
	if err == nil && s.Holder == "" {
		l.free = now.Add(l.delay(o.Version))
	}
	l.lookAt = l.free
}

// again handles an observation of the version already known: it doesn't move
// the soonest takeover.
func (l *Lease) again(now time.Time) {
	l.checked = now
	if !l.mine {
		l.lookAt = later(now, l.free)
	}
}

func (l *Lease) own(now time.Time, v core.Version, created bool) {
	if !l.mine {
		l.mine = true
		if created && !l.Blank {
			// There was no object, perhaps because it was deleted by hand a moment
			// ago: its holder still believes, for less than a term. Waiting here and
			// not before the creation holds also where the creation was long on its
			// way and another one came and went meanwhile.
			l.calm = now.Add(l.term())
		}
		// The version of the acquiring write grows with every write of the kind,
		// also over deletion by hand and creation anew.
		l.fence = max(core.Fence(v), l.floor+1)
		l.floor = l.fence
	}
	l.lookAt = now
}

func (l *Lease) drop() {
	l.mine = false
	l.fence = 0
	l.until = time.Time{}
	l.calm = time.Time{}
}

// StepDown returns the update that gives the lease up at a planned stop, so
// that the next decider need not wait for the term. The machine stops deciding
// at once and must not be used for anything but Decides afterwards.
func (l *Lease) StepDown() (core.Object, bool) {
	held := l.mine
	o := l.object(Spec{Fence: l.fence}, l.version)
	l.drop()
	return o, held
}

// delay spreads contenders over the time after a lease has lapsed. Each host
// has another place after each version, so that none is always first.
func (l *Lease) delay(v core.Version) time.Duration {
	name := binary.LittleEndian.AppendUint64(nil, uint64(v))
	name = append(name, l.Host...)
	return time.Duration(xxhash.Sum64(name) % uint64(spread))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
