package strike

import (
	"slices"
	"time"

	"radishwell/core"
)

const (
	// suspectCrashes is the number of crashes of one stage after which a request is a suspect, where
	// no process knows all requests at an upstream.
	suspectCrashes = 3
	// provenCrashes is the number of those in trials that quarantine it. One does not suffice, since
	// the upstream may have crashed for another reason.
	provenCrashes = 2
)

// judge sets the standing of a request where no process knows all requests at an upstream.
// Crashes while others were in progress, too, make it a suspect, however many they are: upstreams
// also crash for other reasons, and under other requests. Only crashes in trials are proof.
//
// Crashes before an answer began and those while it went on count apart: a request that crashes
// upstreams does so at the same stage, and its neighbours are found at both.
func (f *Finding) judge() {
	early := f.Count - f.Late
	f.TryLong = f.Late >= suspectCrashes
	f.MayTry = early > 0 || f.TryLong
	switch {
	case max(early, f.Late) < suspectCrashes:
	case f.Alone >= provenCrashes:
		f.Standing = Quarantined
	default:
		f.Standing = Suspect
	}
}

// maxTrialTime bounds a trial whose end is not reported.
const maxTrialTime = 10 * time.Second

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
	keys     []string
	upstream core.HostName
	ends     time.Time
}

// Begin reports whether a trial of what the keys name may begin at an upstream.
func (t *Trials) Begin(now time.Time, keys []string, upstream core.HostName) bool {
	t.running = slices.DeleteFunc(t.running, func(r trial) bool { return !r.ends.After(now) })
	for _, r := range t.running {
		if r.upstream == upstream || slices.ContainsFunc(r.keys, func(k string) bool { return slices.Contains(keys, k) }) {
			return false
		}
	}
	if len(t.running) >= t.MaxTrials {
		return false
	}
	t.running = append(t.running, trial{keys: keys, upstream: upstream, ends: now.Add(maxTrialTime)})
	return true
}

// End ends a trial.
func (t *Trials) End(keys []string, upstream core.HostName) {
	t.running = slices.DeleteFunc(t.running, func(r trial) bool { return r.upstream == upstream && slices.Equal(r.keys, keys) })
}
