package parts

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"radishwell/core"
)

const (
	// newCrashes is the number of crashes after which a part is refused that no request is known
	// to have been served with, and knownCrashes that for other parts.
	newCrashes, knownCrashes = 3, 5
	// provenCrashes is the number of crashes in trials that prove it. One does not suffice, since
	// the upstream may have crashed for another reason.
	provenCrashes = 2
	// solitaryTime is the time around a crash in a trial in which no upstream may crash without the
	// part, and after which all processes know of those that did.
	solitaryTime = time.Second
	// knownTime is how long a part counts as known after a request with it was served.
	knownTime = 10 * time.Minute
	// settleTime is the time from a known part's last needed crash until it is refused. If several
	// upstreams end for another reason, answers with their common parts end within it.
	settleTime = 1500 * time.Millisecond
	// finalTime is how long a part has to be refused before the refusal is final: requests with
	// it that had been sent before have begun or crashed their upstreams by then.
	finalTime = 2 * time.Second
	// recheckInterval is the interval at which time alone may change what is refused.
	recheckInterval = 500 * time.Millisecond
	// maxRefusals bounds the refusals, and so the time to work them out. Callers could otherwise
	// fill it with parts that share upstreams with a crashing one.
	maxRefusals = 32
)

// refusal is a decision to refuse requests.
type refusal struct {
	// parts are refused where a request has all of them: they were in the same crashes, and which
	// of them is to blame is not known. entries has their records in the same order.
	parts   []Name
	entries []*Record
	since   time.Time
	// proven is set if trials have shown that the parts crash upstreams, and withdraws if requests that
	// have not begun are withdrawn.
	proven, withdraws bool
	// doubt is that for one crash.
	doubt float64
}

func (r *refusal) matches(list []Name) bool {
	return !slices.ContainsFunc(r.parts, func(name Name) bool { return !slices.Contains(list, name) })
}

// isFinal reports whether requests cannot be served later either. Those with parts with which
// requests were served may be.
func (r *refusal) isFinal(now time.Time) bool {
	return r.proven && now.Sub(r.since) >= finalTime && !r.entries[0].isAnswered(now)
}

// Verdict is the decision about a request.
type Verdict struct {
	// Parts are the parts for which it is refused, nil if it is not. If several may be to blame, they
	// are those with the least doubt, and a trial is one of them.
	Parts []Name
	// All are the parts of all refusals of the request. A whole answer in a trial speaks for each of them.
	All []Name
	// Final is set if the request cannot be served later either. RetryAt is when it may be asked
	// for again if not.
	Final   bool
	RetryAt time.Time
	// MayTry is set if the request may run in a trial now.
	MayTry bool
	// Withdraw is set if requests at work that have not begun are to be withdrawn from their
	// upstreams: those with the parts have crashed so many that all further ones count.
	Withdraw bool
	// Proven is set if trials have shown that parts crash upstreams.
	Proven bool
	// Crashes is the number of crashes that count against the first of the parts, and Tries that of
	// the trials granted since.
	Crashes, Tries int
}

// Refuses reports whether a request may not run, not even in a trial.
func (v *Verdict) Refuses() bool { return len(v.Parts) > 0 && !v.MayTry }

// Refuses reports whether any parts are refused.
func (t *Table) Refuses(now time.Time) bool {
	t.judge(now)
	return len(t.refusals) > 0
}

// Check returns whether a request with the given parts is refused.
func (t *Table) Check(now time.Time, list []Name) Verdict {
	t.judge(now)
	out := Verdict{MayTry: true}
	doubt := 0.
	for _, r := range t.refusals {
		if !r.matches(list) {
			continue
		}
		out.All = append(out.All, r.parts...)
		if out.Parts == nil || r.doubt < doubt {
			out.Parts, doubt = r.parts, r.doubt
			out.Crashes, out.Tries = len(r.entries[0].counting(now)), r.entries[0].countTries(now)
		}
		out.Final = out.Final || r.isFinal(now)
		out.Proven = out.Proven || r.proven
		out.Withdraw = out.Withdraw || r.proven || r.withdraws
		out.RetryAt = core.Later(out.RetryAt, core.Later(r.since.Add(finalTime), now.Add(recheckInterval)))
		for _, e := range r.entries {
			at, ok := t.nextTry(now, e, r.proven)
			if t.hasOtherSuspect(now, e, r.parts, list) {
				at = core.Later(at, core.Later(t.lastBlame(e), e.lastTry())).Add(otherDelay)
			}
			out.MayTry = out.MayTry && ok && !now.Before(at)
		}
	}
	out.Final = out.Final && !out.MayTry
	if out.Parts == nil {
		return Verdict{}
	}
	return out
}

// judge works out which parts are refused, unless that was done lately and nothing has changed.
// It takes the part with the best score first, leaves those crashes out for the others, and so
// on: a sound part is in crashes of a guilty one, but not in others. All processes with the same
// records come to the same result.
func (t *Table) judge(now time.Time) {
	if now.Before(t.recheckAt) {
		return
	}
	t.recheckAt = now.Add(recheckInterval)
	var suspects []suspect
	t.noteTried()
	requests := sync.OnceValue(func() []upstreamSet { return t.requests(now) })
	for name, e := range t.records {
		if now.Sub(e.lastCrash()) >= TTL {
			delete(t.records, name)
			continue
		}
		s := suspect{entry: e, crashes: e.counting(now), needed: newCrashes}
		if e.isKnown(now) {
			s.needed = knownCrashes
		}
		if len(s.crashes) < s.needed || t.isHarmless(&e.Record) || e.isAnswered(now) && s.isExplainedByOne(requests()) {
			e.since = time.Time{}
			continue
		}
		if e.since.IsZero() {
			e.since = core.Earlier(now, s.crashes[len(s.crashes)-1].At)
		}
		if due := e.since.Add(settleTime); s.needed == knownCrashes && now.Before(due) {
			t.recheckAt = core.Earlier(t.recheckAt, due)
			continue
		}
		for _, a := range e.Answers {
			s.answers += core.CountIf(a.At.After(s.crashes[0].At)) * a.weight()
		}
		suspects = append(suspects, s)
	}
	slices.SortFunc(suspects, func(a, b suspect) int { return cmp.Compare(a.Part, b.Part) })
	before := t.refusals
	t.refusals, t.refused = nil, map[Name]bool{}
	explained := upstreamSet{}
	for len(t.refusals) < maxRefusals {
		group := guiltiest(suspects, explained)
		if len(group) == 0 {
			return
		}
		r := refusal{since: now, proven: true, withdraws: explained.countOthers(group[0].crashes) >= boundCrashes || group[0].isBound()}
		r.doubt = group[0].doubt(nil) / float64(len(group[0].crashes))
		for _, s := range group {
			r.parts, r.entries = append(r.parts, s.Part), append(r.entries, &s.Record)
			r.proven = r.proven && t.isProven(now, &s.Record)
			t.refused[s.Part] = true
			explained.add(s.crashes)
		}
		if i := slices.IndexFunc(before, func(have refusal) bool { return slices.Equal(have.parts, r.parts) }); i >= 0 {
			r.since = before[i].since
		}
		t.refusals = append(t.refusals, r)
	}
}

// noteTried notes the upstreams that crashed in trials.
func (t *Table) noteTried() {
	t.tried = upstreamSet{}
	for _, e := range t.records {
		for _, c := range e.Crashes {
			if c.Tried {
				t.tried[c.Upstream] = true
			}
		}
	}
}

// isHarmless reports whether a request with the part was answered whole in a trial since its last crash, and none has
// crashed its upstream in one. The next crash ends that.
func (t *Table) isHarmless(r *Record) bool {
	cleared := r.clearedAt()
	return t.isCalm(r) && !slices.ContainsFunc(r.Crashes, func(c Crash) bool { return c.Tried && c.At.After(cleared) })
}

// isProven reports whether a part has crashed enough upstreams in trials, which no others explain.
func (t *Table) isProven(now time.Time, r *Record) bool {
	n := 0
	for _, c := range r.counting(now) {
		n += core.CountIf(c.Tried && t.isSolitary(now, r, c))
	}
	return n >= provenCrashes
}

// isSolitary reports whether no upstream crashed around a crash of a part, except under requests with
// the part, and whether that is known by now.
func (t *Table) isSolitary(now time.Time, r *Record, crash Crash) bool {
	if now.Sub(crash.At) < solitaryTime {
		return false
	}
	for _, e := range t.records {
		for _, c := range e.Crashes {
			own := func(have Crash) bool { return have.Upstream == c.Upstream }
			if c.At.Sub(crash.At).Abs() < solitaryTime && !slices.ContainsFunc(r.Crashes, own) {
				return false
			}
		}
	}
	return true
}
