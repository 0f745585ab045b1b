package parts

import (
	"cmp"
	"slices"
	"time"

	"radishwell/core"
	"radishwell/core/retry"
)

const (
	// newCrashes is the number of crashes after which a part is refused that no request is known
	// to have been served with, and knownCrashes that for other parts.
	newCrashes, knownCrashes = 3, 5
	// provenCrashes is the number of crashes in trials that prove it. One does not suffice, since
	// the upstream may have crashed for another reason.
	provenCrashes = 2
	// knownTime is how long a served request speaks for its parts against crashes after it.
	knownTime = 10 * time.Minute
	// servedPause is for how long no request with a known part has to have been served before
	// the part is refused. Some are served within it if the part is sound and any upstream works.
	servedPause = 4 * time.Second
	// finalTime is how long a part has to be refused before the refusal is final: requests with
	// it that had been sent before have begun or crashed their upstreams by then.
	finalTime = 2 * time.Second
	// recheckInterval is the interval at which time alone may change what is refused.
	recheckInterval = 500 * time.Millisecond
	// trialDelay is the time after the last crash at which a refused part is tried again. It
	// quadruples with each episode of crashes, which are episodeGap apart.
	trialDelay = 30 * time.Second
	episodeGap = 5 * time.Second
	// maxRefusals bounds the refusals, and so the time to work them out. Callers could otherwise
	// fill it with parts that share upstreams with a crashing one.
	maxRefusals = 32
)

// refusal is a decision to refuse requests.
type refusal struct {
	// parts are refused where a request has all of them: they were in the same crashes, and which
	// of them is to blame is not known. entries has their records in the same order.
	parts   []Name
	entries []*entry
	since   time.Time
}

func (r *refusal) matches(list []Name) bool {
	return !slices.ContainsFunc(r.parts, func(name Name) bool { return !slices.Contains(list, name) })
}

// isFinal reports whether requests cannot be served later either. Those with parts with which
// requests were served may be.
func (r *refusal) isFinal(now time.Time) bool {
	return now.Sub(r.since) >= finalTime && !r.entries[0].isKnown(now) && r.isProven(now)
}

// isProven reports whether a trial has shown that the parts crash upstreams.
func (r *refusal) isProven(now time.Time) bool {
	return !slices.ContainsFunc(r.entries, func(e *entry) bool { return !e.isProven(now) })
}

// Verdict is the decision about a request.
type Verdict struct {
	// Parts are the parts for which it is refused, nil if it is not.
	Parts []Name
	// Final is set if the request cannot be served later either. RetryAt is when it may be asked
	// for again if not.
	Final   bool
	RetryAt time.Time
	// Unproven is set if the parts have crashed upstreams only together with others. The request
	// may run in a trial.
	Unproven bool
}

// Refuses reports whether a request may not run, or only as a further try of proven parts.
func (v *Verdict) Refuses() bool { return len(v.Parts) > 0 && !v.Unproven }

// Check returns whether a request with the given parts is refused.
func (t *Table) Check(now time.Time, list []Name) Verdict {
	t.judge(now)
	var unproven Verdict
	for _, r := range t.refusals {
		switch retryAt := core.Later(r.since.Add(finalTime), now.Add(recheckInterval)); {
		case !r.matches(list):
		case r.isFinal(now):
			return Verdict{Parts: r.parts, Final: true}
		case r.isProven(now):
			return Verdict{Parts: r.parts, RetryAt: retryAt}
		default:
			unproven.Parts = append(unproven.Parts, r.parts...)
			unproven.RetryAt, unproven.Unproven = core.Later(unproven.RetryAt, retryAt), true
		}
	}
	return unproven
}

func (r *Record) isKnown(now time.Time) bool {
	return !r.ServedAt.IsZero() && now.Sub(r.ServedAt) < knownTime
}

// Try reports whether a request with refused parts may be sent once nevertheless, to learn
// whether the parts still crash upstreams. Without it a sound part that was in many crashes by
// chance would be refused until they expire.
func (t *Table) Try(now time.Time, list []Name) bool {
	if t.TriesAgain == nil || !t.TriesAgain() {
		return false
	}
	var tried []*entry
	for _, r := range t.refusals {
		if !r.matches(list) {
			continue
		}
		for _, e := range r.entries {
			if now.Before(core.Later(e.lastCrash(), e.triedAt).Add(e.trialDelay())) {
				return false
			}
		}
		tried = append(tried, r.entries...)
	}
	for _, e := range tried {
		e.triedAt = now
	}
	return len(tried) > 0
}

func (r *Record) trialDelay() time.Duration {
	return retry.Backoff(trialDelay, TTL, 2*max(0, r.episodes()-1))
}

// suspect is a part with enough crashes to be refused.
type suspect struct {
	*entry
	crashes []core.HostName
	known   bool
	needed  int
}

// judge works out which parts are refused, unless that was done lately and nothing has changed.
// It takes the part with the most crashes first, leaves those crashes out for the others, and so
// on: a sound part is in crashes of a guilty one, but not in others. All processes with the same
// records come to the same result.
func (t *Table) judge(now time.Time) {
	if now.Before(t.recheckAt) {
		return
	}
	t.recheckAt = now.Add(recheckInterval)
	var suspects []suspect
	for name, e := range t.records {
		if now.Sub(e.lastCrash()) >= TTL {
			delete(t.records, name)
			continue
		}
		s := suspect{entry: e, crashes: e.counting(now), known: e.isKnown(now), needed: e.needed(now)}
		if s.needed > 0 && len(s.crashes) >= s.needed {
			suspects = append(suspects, s)
		}
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
		r := refusal{since: now}
		for _, s := range group {
			r.parts, r.entries = append(r.parts, s.Part), append(r.entries, s.entry)
			t.refused[s.Part] = true
			explained.add(s.crashes)
		}
		if i := slices.IndexFunc(before, func(have refusal) bool { return slices.Equal(have.parts, r.parts) }); i >= 0 {
			r.since = before[i].since
		}
		t.refusals = append(t.refusals, r)
	}
}

// needed returns the number of crashes after which a part is refused, zero if it is not however
// many there are.
func (r *Record) needed(now time.Time) int {
	switch {
	case !r.isKnown(now):
		return newCrashes
	case now.Sub(r.ServedAt) < servedPause:
		return 0
	}
	return knownCrashes
}

// guiltiest returns the suspect with the most crashes that are not explained, with those that were
// in the same crashes but for one: that one may have had another cause. Parts with which no
// request was served come before others. The list is empty if no suspect has enough crashes.
func guiltiest(suspects []suspect, explained upstreamSet) []suspect {
	best, most := -1, 0
	for i, s := range suspects {
		n := explained.countOthers(s.crashes)
		if n < s.needed {
			continue
		}
		if best < 0 || cmp.Or(core.CompareBool(s.known, suspects[best].known), cmp.Compare(most, n)) < 0 {
			best, most = i, n
		}
	}
	if best < 0 {
		return nil
	}
	group := []suspect{suspects[best]}
	crashed := upstreamSet{}
	crashed.add(suspects[best].crashes)
	for i, s := range suspects {
		n := explained.countOthers(s.crashes)
		similar := s.known == suspects[best].known && n >= s.needed && n >= most-1
		if i != best && similar && crashed.hasAll(s.crashes, explained) {
			group = append(group, s)
		}
	}
	return group
}
