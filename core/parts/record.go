package parts

import (
	"slices"
	"time"

	"radishwell/core"
)

const (
	// TTL is how long a crash counts.
	TTL = 30 * time.Minute
	// maxCrashes bounds the crashes kept for a part. More would not change the decision.
	maxCrashes = 8
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

// Crash is the end of an upstream at which a request with a part was in progress that had not
// begun, or had just begun.
type Crash struct {
	// Upstream identifies one run of the upstream's process.
	Upstream core.HostName
	At       time.Time
	// Tried is set if the request ran in a trial of the part: upstreams had no other request that
	// may crash them.
	Tried bool
}

// Record is what is known of a part that was in a crash.
type Record struct {
	Part Name
	// ServedAt is when the latest request with the part that was served began at its upstream,
	// zero if none is known.
	ServedAt time.Time
	// Crashes are the latest crashes, each upstream's once.
	Crashes []Crash
}

// counts reports whether a crash counts: it came since a request with the part was served.
func (r *Record) counts(now time.Time, c Crash) bool {
	return c.At.After(r.ServedAt) && now.Sub(c.At) < TTL
}

// counting returns the upstreams of the crashes that count.
func (r *Record) counting(now time.Time) []core.HostName {
	var out []core.HostName
	for _, c := range r.Crashes {
		if r.counts(now, c) {
			out = append(out, c.Upstream)
		}
	}
	return out
}

// add adds a crash and reports whether it was new.
func (r *Record) add(now time.Time, c Crash) bool {
	if c.At.After(now.Add(maxSkew)) {
		c.At = now
	}
	i := slices.IndexFunc(r.Crashes, func(have Crash) bool { return have.Upstream == c.Upstream })
	proof := i >= 0 && c.Tried && !r.Crashes[i].Tried
	switch {
	case now.Sub(c.At) >= TTL:
		return false
	case i >= 0:
		r.Crashes[i].At = core.Earlier(r.Crashes[i].At, c.At) // another process may see it sooner
		r.Crashes[i].Tried = r.Crashes[i].Tried || c.Tried
	default:
		r.Crashes = append(r.Crashes, c)
	}
	slices.SortFunc(r.Crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	if len(r.Crashes) > maxCrashes {
		r.Crashes = slices.Delete(r.Crashes, 0, len(r.Crashes)-maxCrashes)
	}
	return i < 0 || proof
}

// isProven reports whether the part has crashed enough upstreams in trials since it was served.
func (r *Record) isProven(now time.Time) bool {
	n := 0
	for _, c := range r.Crashes {
		if c.Tried && r.counts(now, c) {
			n++
		}
	}
	return n >= provenCrashes
}

// lastCrash returns when the latest crash was, zero if there is none.
func (r *Record) lastCrash() time.Time {
	if len(r.Crashes) == 0 {
		return time.Time{}
	}
	return r.Crashes[len(r.Crashes)-1].At
}

// episodes returns the number of groups of crashes that are more than episodeGap apart.
func (r *Record) episodes() int {
	n := 0
	var last time.Time
	for _, c := range r.Crashes {
		if c.At.Sub(last) > episodeGap {
			n++
		}
		last = c.At
	}
	return n
}

func (r *Record) clone() Record {
	out := *r
	out.Crashes = slices.Clone(r.Crashes)
	return out
}
