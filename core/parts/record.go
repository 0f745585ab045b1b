package parts

import (
	"slices"
	"time"

	"radishwell/core"
)

const (
	// TTL is how long a crash counts.
	TTL = 30 * time.Minute
	// maxCrashes, maxAnswers and maxTries bound what is kept for a part. More would not change the
	// decision. Of the crashes that count, half are the first, and half are the latest.
	maxCrashes, maxAnswers, maxTries = 16, 12, 8
	// clearingWeight is the weight of the answers after which older crashes no longer count: a part
	// that crashes upstreams in a third of its requests has five crashes among so many answers. An
	// answer in a trial has triedWeight, others have 1.
	clearingWeight, triedWeight = 12, 4
	// maxSkew is how far the clocks of two processes may differ. Later times are taken for the
	// present.
	maxSkew = time.Minute
	// maxID is the longest ID of a part that is considered, in bytes, and maxShared the number of
	// parts of a prompt.
	maxID, maxShared = 64, 64
)

// Name identifies a part of prompts at the upstreams of a service, as SERVICE/ID.
type Name string

// Shared returns the names of the parts of a prompt that other requests may share, which are all
// but the last. IDs that are too long are left out.
func Shared(service core.ServiceName, prompt []core.PromptPart) []Name {
	if len(prompt) < 2 {
		return nil
	}
	shared := prompt[:min(len(prompt)-1, maxShared)]
	out := make([]Name, 0, len(shared))
	for _, p := range shared {
		if name := Name(string(service) + "/" + p.ID); len(p.ID) <= maxID && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

// Crash is the end of an upstream at which a request with a part was in progress.
type Crash struct {
	// Upstream identifies one run of the upstream's process.
	Upstream core.HostName
	At       time.Time
	// Tried is set if the request ran in a trial of the part: upstreams had no other request that
	// may crash them.
	Tried bool
	// Requests is the largest number of requests with the part that one process had there, zero for
	// one that is not known. Ran is the shortest time for which the answer to one of them had gone on.
	Requests int
	Ran      time.Duration
}

// Answer is the end of a whole answer to a request with a part. Tried is set if the request ran in
// a trial of the part.
type Answer struct {
	At    time.Time
	Tried bool
}

func (a Answer) weight() int {
	if a.Tried {
		return triedWeight
	}
	return 1
}

// Try is the grant of a trial to a request with a suspected part. It is void if the request did not
// run.
type Try struct {
	At   time.Time
	Void bool
}

// Record is what is known of a part that was in a crash.
type Record struct {
	Part Name
	// ServedAt is when the latest request with the part began at its upstream that was answered, or
	// whose answer had gone on for some time; zero if none is known.
	ServedAt time.Time
	// Crashes, Answers and Tries are in order of time, with one crash for each upstream.
	Crashes []Crash
	Answers []Answer
	Tries   []Try
}

// clearedAt returns the time before which crashes no longer count, since enough answers have ended
// whole; zero if there is none.
func (r *Record) clearedAt() time.Time {
	weight := 0
	for _, a := range slices.Backward(r.Answers) {
		if weight += a.weight(); weight >= clearingWeight {
			return a.At
		}
	}
	return time.Time{}
}

// counting returns the crashes that count.
func (r *Record) counting(now time.Time) []Crash {
	cleared := r.clearedAt()
	var out []Crash
	for _, c := range r.Crashes {
		if c.At.After(cleared) && now.Sub(c.At) < TTL {
			out = append(out, c)
		}
	}
	return out
}

// isKnown reports whether a request with the part was served, or its answer had gone on for some
// time, lately.
func (r *Record) isKnown(now time.Time) bool { return isRecent(now, r.ServedAt) }

// isAnswered reports whether a request with the part was answered whole lately.
func (r *Record) isAnswered(now time.Time) bool {
	return len(r.Answers) > 0 && isRecent(now, r.Answers[len(r.Answers)-1].At)
}

func isRecent(now, at time.Time) bool { return !at.IsZero() && now.Sub(at) < knownTime }

// add adds a crash and reports whether it was new.
func (r *Record) add(now time.Time, c Crash) bool {
	c.At = notAfter(now, c.At)
	i := slices.IndexFunc(r.Crashes, func(have Crash) bool { return have.Upstream == c.Upstream })
	proof := i >= 0 && c.Tried && !r.Crashes[i].Tried
	switch {
	case now.Sub(c.At) >= TTL:
		return false
	case i >= 0:
		have := &r.Crashes[i]
		have.At = core.Earlier(have.At, c.At) // another process may see it sooner
		have.Tried = have.Tried || c.Tried
		have.Requests, have.Ran = max(have.Requests, c.Requests), min(have.Ran, c.Ran)
	default:
		r.Crashes = append(r.Crashes, c)
	}
	slices.SortStableFunc(r.Crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	r.trim(now)
	kept := slices.ContainsFunc(r.Crashes, func(have Crash) bool { return have.Upstream == c.Upstream })
	return i < 0 && kept || proof
}

// trim removes crashes beyond maxCrashes: those that no longer count, then those between the first
// and the latest.
func (r *Record) trim(now time.Time) {
	over := len(r.Crashes) - maxCrashes
	if over <= 0 {
		return
	}
	old := len(r.Crashes) - len(r.counting(now))
	r.Crashes = slices.Delete(r.Crashes, 0, min(old, over))
	if over > old {
		r.Crashes = slices.Delete(r.Crashes, maxCrashes/2, maxCrashes/2+over-old)
	}
}

// addAnswer adds the end of an answer, or marks the one of the same time as one in a trial.
func (r *Record) addAnswer(now time.Time, a Answer) {
	a.At = notAfter(now, a.At)
	r.Answers, _ = addMoment(r.Answers, a, maxAnswers)
}

// addTry adds a grant, or voids the one of the same time, and reports whether anything was new.
func (r *Record) addTry(now time.Time, t Try) (added bool) {
	t.At = notAfter(now, t.At)
	r.Tries, added = addMoment(r.Tries, t, maxTries)
	return added
}

// moment is an item of a record that is identified by its time. marked is set for good once any process
// has set it.
type moment interface {
	at() time.Time
	marked() bool
}

func (a Answer) at() time.Time { return a.At }
func (a Answer) marked() bool  { return a.Tried }
func (t Try) at() time.Time    { return t.At }
func (t Try) marked() bool     { return t.Void }

// addMoment adds an item to a list in order of time that keeps the n latest, or replaces the one of the
// same time by a marked one. It reports whether anything was new.
func addMoment[T moment](list []T, item T, n int) ([]T, bool) {
	i := slices.IndexFunc(list, func(have T) bool { return have.at().Equal(item.at()) })
	switch {
	case i >= 0 && (list[i].marked() || !item.marked()):
		return list, false
	case i >= 0:
		list[i] = item
		return list, true
	case len(list) == n && !item.at().After(list[0].at()):
		return list, false
	}
	list = append(list, item)
	slices.SortStableFunc(list, func(a, b T) int { return a.at().Compare(b.at()) })
	return slices.Delete(list, 0, max(0, len(list)-n)), true
}

// notAfter returns at, or now if the clock of the process that stated at is wrong.
func notAfter(now, at time.Time) time.Time {
	if at.After(now.Add(maxSkew)) {
		return now
	}
	return at
}

// join merges another process's record of the part and reports whether a crash or try was new.
func (r *Record) join(now time.Time, other *Record) (added bool) {
	for _, c := range other.Crashes {
		added = r.add(now, c) || added
	}
	for _, t := range other.Tries {
		added = r.addTry(now, t) || added
	}
	for _, a := range other.Answers {
		r.addAnswer(now, a)
	}
	if served := other.ServedAt; served.After(r.ServedAt) && !served.After(now.Add(maxSkew)) {
		r.ServedAt = served
	}
	return added
}

// lastCrash returns when the latest crash was, zero if there is none.
func (r *Record) lastCrash() time.Time {
	if len(r.Crashes) == 0 {
		return time.Time{}
	}
	return r.Crashes[len(r.Crashes)-1].At
}

func (r *Record) clone() Record {
	out := *r
	out.Crashes, out.Answers, out.Tries = slices.Clone(r.Crashes), slices.Clone(r.Answers), slices.Clone(r.Tries)
	return out
}
