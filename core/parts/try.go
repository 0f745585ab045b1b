package parts

import (
	"slices"
	"time"

	"radishwell/core"
	"radishwell/core/retry"
)

const (
	// boundCrashes is the number of crashes after which all that is sent with a part counts, and
	// maxLateTries bounds that: a part that is sound is cleared by as many whole answers.
	boundCrashes, maxLateTries = 5, 3
	// retryDelay is the time from the last crash until the last of these tries, if another one crashed
	// its upstream. It quadruples with each further try of a part without proof.
	retryDelay = 30 * time.Second
	// otherDelay is how much later requests are tried that have another suspect part, so that others
	// come first.
	otherDelay = 2 * time.Second
)

// tryDelays are the times from the part's last crash, or try, until the next of these tries, unless the one
// before was answered. As long as upstreams end for other reasons, tries of a sound part are wasted.
var tryDelays = [maxLateTries]time.Duration{time.Second, 3 * time.Second, 3 * time.Second}

// countTries returns the number of tries that count against maxLateTries: those since the crash
// number boundCrashes and since one was answered, and one that was granted before that crash and may have begun
// later.
func (r *Record) countTries(now time.Time) int {
	crashes, answered := r.counting(now), core.Later(r.clearedAt(), r.lastWholeTry())
	from := answered
	if n := len(crashes); n >= boundCrashes && n < maxCrashes {
		from = core.Later(from, crashes[boundCrashes-1].At)
	}
	earlier, later := 0, 0
	for _, t := range r.Tries {
		switch {
		case t.Void || !t.At.After(answered) || now.Sub(t.At) >= TTL:
		case t.At.After(from):
			later++
		default:
			earlier = 1
		}
	}
	return earlier + later
}

// nextTry returns when a request with the part may be tried next. ok is not set if none may: the part is
// proven, and all its tries are used up. Without proof further ones follow with ever longer pauses, since
// the part may be sound.
func (t *Table) nextTry(now time.Time, r *Record, proven bool) (at time.Time, ok bool) {
	tries := r.countTries(now)
	last := core.Later(t.lastBlame(r), r.lastTry())
	switch bound := len(r.counting(now)) >= boundCrashes; {
	case proven && tries >= maxLateTries:
		return time.Time{}, false
	case proven:
		return last.Add(retryDelay), true
	case !bound || tries < maxLateTries && t.isCalm(r):
		return time.Time{}, true
	case tries >= maxLateTries, tries == maxLateTries-1 && t.lastProof(now, r).After(r.lastTry()):
		return last.Add(retry.Backoff(retryDelay, TTL, 2*max(0, tries-maxLateTries))), true
	}
	return last.Add(tryDelays[tries]), true
}

// hasOtherSuspect reports whether a request with a refused part has another one that was in fewer crashes, and with
// which nobody was answered since. That one may be to blame for all of its crashes, so that a trial of
// the request would tell nothing of the refused part.
func (t *Table) hasOtherSuspect(now time.Time, r *Record, refused, list []Name) bool {
	n := len(r.counting(now))
	return slices.ContainsFunc(list, func(name Name) bool {
		e := t.records[name]
		if e == nil || slices.Contains(refused, name) {
			return false
		}
		crashes := e.counting(now)
		return len(crashes) > 0 && len(crashes) < n && !slices.ContainsFunc(e.Answers, func(a Answer) bool { return a.At.After(crashes[0].At) })
	})
}

// isCalm reports whether a request with the part was answered whole in a trial since its last crash.
func (t *Table) isCalm(r *Record) bool { return r.lastWholeTry().After(t.lastBlame(r)) }

// lastBlame returns when the part's last crash was, zero if there is none. Those in trials of other parts are
// left out.
func (t *Table) lastBlame(r *Record) (last time.Time) {
	for _, c := range r.Crashes {
		if c.Tried || !t.tried[c.Upstream] {
			last = c.At
		}
	}
	return last
}

// lastWholeTry returns when the latest request was answered whole in a trial, zero if none was.
func (r *Record) lastWholeTry() (last time.Time) {
	for _, a := range r.Answers {
		if a.Tried {
			last = a.At
		}
	}
	return last
}

// MayShare reports whether trials of a part may run side by side: it has shown that it does not crash
// each upstream.
func (t *Table) MayShare(now time.Time, name Name) bool {
	t.judge(now)
	e := t.records[name]
	return e != nil && t.isCalm(&e.Record)
}

// lastTry returns when the latest try that is not void was granted, zero if there is none.
func (r *Record) lastTry() (last time.Time) {
	for _, t := range r.Tries {
		if !t.Void {
			last = t.At
		}
	}
	return last
}

// lastProof returns when the part last crashed an upstream in a trial, zero if it has not. One that others
// explain is left out.
func (t *Table) lastProof(now time.Time, r *Record) (last time.Time) {
	for _, c := range r.Crashes {
		if c.Tried && (now.Sub(c.At) < solitaryTime || t.isSolitary(now, r, c)) {
			last = c.At
		}
	}
	return last
}

// Grant grants a trial to a request with suspected parts, or does not, as the process that all
// others ask. suspect is set if the request is known to have crashed upstreams by itself: its crash would
// prove nothing against the parts, so it leaves their few tries to others.
func (t *Table) Grant(now time.Time, list []Name, suspect bool) bool {
	t.judge(now)
	for _, name := range list {
		e := t.records[name]
		if e == nil {
			continue
		}
		proven := slices.ContainsFunc(t.refusals, func(r refusal) bool { return r.proven && slices.Contains(r.parts, name) })
		at, ok := t.nextTry(now, &e.Record, proven)
		if suspect && len(e.counting(now)) >= boundCrashes {
			at = core.Later(at, core.Later(t.lastBlame(&e.Record), e.lastTry()).Add(retryDelay))
		}
		if !ok || now.Before(at) {
			return false
		}
	}
	t.noteTry(now, list, Try{At: now})
	return true
}

// Void records that the request of a trial that was granted at a time did not run.
func (t *Table) Void(now, granted time.Time, list []Name) {
	t.noteTry(now, list, Try{At: granted, Void: true})
}

func (t *Table) noteTry(now time.Time, list []Name, try Try) {
	for _, name := range list {
		if e := t.records[name]; e != nil && e.addTry(now, try) {
			t.noteChange(now, e)
		}
	}
}
