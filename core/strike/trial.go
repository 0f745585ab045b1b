package strike

import (
	"slices"
	"time"

	"radishwell/core"
	"radishwell/core/retry"
)

const (
	// suspectCrashes is the number of crashes of one stage after which a request is a suspect, where
	// no process knows all requests at an upstream.
	suspectCrashes = 3
	// provenCrashes is the number of those in trials that quarantine it. One does not suffice, since
	// the upstream may have crashed for another reason.
	provenCrashes = 2
	// solitaryTime is the time around a crash in a trial in which no other upstream may crash, and
	// after which all processes know of those that did. Upstreams that crash together have another
	// reason than a request that runs at one of them.
	solitaryTime = time.Second
	// freeTrials is the number of trials that may follow at once, and retrialDelay the time after the last
	// of them, or its crash, at which the next may begin. It quadruples with each further one, so that a request
	// without proof crashes few upstreams. What is granted counts, and not the crashes that come back.
	freeTrials   = 2
	retrialDelay = 8 * time.Second
)

// judge sets the standing of a request where no process knows all requests at an upstream.
// Crashes while others were in progress, too, make it a suspect, however many they are: upstreams
// also crash for other reasons, and under other requests. Only crashes in trials are proof.
//
// Crashes before an answer began and those while it went on count apart: a request that crashes
// upstreams does so at the same stage, and its neighbours are found at both.
func (b *Book) judge(now time.Time, f *Finding) {
	early := f.Count - f.Late
	f.TryLong = f.Late >= suspectCrashes
	f.MayTry = early > 0 || f.TryLong
	if f.Trials >= freeTrials {
		f.TryAt = b.lastTrial(now, f.Fingerprint).Add(retry.Backoff(retrialDelay, TTL, 2*int(f.Trials-freeTrials)))
	}
	switch {
	case max(early, f.Late) < suspectCrashes:
	case f.Alone >= provenCrashes && b.countProofs(now, f.Fingerprint) >= provenCrashes:
		f.Standing = Quarantined
	default:
		f.Standing = Suspect
	}
}

// Repeated returns, for each request with enough crashes to be a suspect, the upstreams that it has crashed.
func (b *Book) Repeated(now time.Time) (out [][]core.HostName) {
	for f, records := range b.records {
		if len(records) < suspectCrashes {
			continue
		}
		if crashes := b.CrashesOf(now, f); len(crashes) >= suspectCrashes {
			out = append(out, crashes)
		}
	}
	return out
}

// lastTrial returns when the last trial of a request was granted or crashed its upstream.
func (b *Book) lastTrial(now time.Time, f core.Fingerprint) (last time.Time) {
	for r := range b.counting(now, f) {
		if r.trials() > 0 {
			last = core.Later(last, r.crashedAt())
		}
	}
	return last
}

// countProofs returns the number of a request's crashes in trials that others do not explain.
func (b *Book) countProofs(now time.Time, f core.Fingerprint) (n int) {
	for r := range b.counting(now, f) {
		if r.Alone > 0 && b.isSolitary(now, r) {
			n++
		}
	}
	return n
}

// isSolitary reports whether no other upstream crashed around a crash of a request, except under
// copies of it, and whether that is known by now. It looks at the whole book.
func (b *Book) isSolitary(now time.Time, crash Record) bool {
	at := crash.crashedAt()
	if now.Sub(at) < solitaryTime {
		return false
	}
	own := map[core.HostName]bool{}
	for _, r := range b.records[crash.Fingerprint] {
		own[r.Source] = true
	}
	for _, records := range b.records {
		for _, r := range records {
			if r.Count > 0 && !own[r.Source] && r.crashedAt().Sub(at).Abs() < solitaryTime {
				return false
			}
		}
	}
	return true
}

// maxTrialTime bounds a trial whose end is not reported.
const maxTrialTime = 30 * time.Second

// Trials grants trials, at the one process that all others ask. In a trial a request that may
// crash upstreams runs at an upstream that runs no other such request, and its copies run
// nowhere. Whatever it is suspected of, the whole request or parts of its prompt, has a key.
// The exported field must be set before first use; a Trials is not safe for concurrent use.
type Trials struct {
	// MaxTrials bounds the trials in progress.
	MaxTrials int

	running []trial
}

type trial struct {
	// alone are the keys of which no other trial may run meanwhile.
	keys, alone []string
	upstream    core.HostName
	// granted is when it was granted, and ends when it ends if that is not reported.
	granted, ends time.Time
}

// Begin reports whether a trial of what the keys name may begin at an upstream. Of those among alone no
// other may run meanwhile. until is when it ends at the latest.
func (t *Trials) Begin(now time.Time, keys, alone []string, upstream core.HostName, until time.Time) bool {
	t.running = slices.DeleteFunc(t.running, func(r trial) bool { return !r.ends.After(now) })
	for _, r := range t.running {
		if r.upstream == upstream || intersect(r.keys, alone) || intersect(r.alone, keys) {
			return false
		}
	}
	if len(t.running) >= t.MaxTrials {
		return false
	}
	t.running = append(t.running, trial{keys: keys, alone: alone, upstream: upstream, granted: now, ends: core.Earlier(until, now.Add(maxTrialTime))})
	return true
}

// intersect reports whether two lists have a key in common.
func intersect(a, b []string) bool {
	return slices.ContainsFunc(a, func(k string) bool { return slices.Contains(b, k) })
}

// End ends a trial and returns when it was granted, the zero time if it is not known.
func (t *Trials) End(keys []string, upstream core.HostName) (granted time.Time) {
	i := slices.IndexFunc(t.running, func(r trial) bool { return r.upstream == upstream && slices.Equal(r.keys, keys) })
	if i < 0 {
		return time.Time{}
	}
	granted = t.running[i].granted
	t.running = slices.Delete(t.running, i, i+1)
	return granted
}
