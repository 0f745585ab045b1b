package admit

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishwell/core"
)

const (
	// owePart is the part of the allowances from which a keeper may let in a request that
	// is larger than what it holds at once: no two keepers have as much.
	owePart = 0.6
	// takeover is by how many times the entries that leave their parts here become more
	// when they come over from another keeper, whose counts are not known.
	takeover = 1.5
	// mostUnchecked is how long the number of parts kept here counts at the most.
	mostUnchecked = time.Second
	// gatherTime is for how long after a takeover entries that come over bring their part
	// of the level at which counting begins.
	gatherTime = time.Second
)

// Keeper counts what customers use at the entries that have left their parts of the
// allowances with it.
//
// Every entry owns an equal part of each allowance. It leaves its parts with the one
// entry that it renews with, until a deadline, and that one lets in what comes at any of
// them. It answers the load of a customer whose requests come unevenly: divided, each
// part is too small for a burst at one entry while the others lie idle. An entry that
// reaches no other has its own parts back once the deadline has passed, so that entries
// which do not hear of each other never let in more than the whole together.
//
// Set the exported fields before use. It is not safe for use by several goroutines.
type Keeper struct {
	Tolerance Tolerance
	// Seed seeds the draws for requests that are larger than what is kept here.
	Seed uint64
	// Since is when counting began here, at first the process's start. What was let in
	// before is not known.
	Since time.Time

	// until is by when each entry's parts are left here.
	until   map[core.HostName]time.Time
	buckets map[core.OwnerName]*bucket
	// paces count the requests to upstreams that name a rate limit.
	paces map[core.HostName]*bucket
	// kept is how many entries' parts were kept here last, and check when that has to be
	// counted again.
	kept  int
	check time.Time
}

// Elsewhere notes that this entry has left its own parts with another until a deadline.
func (k *Keeper) Elsewhere(now, until time.Time) {
	if k.count(now) > 1 {
		return // others still count here
	}
	k.Since = until
	clear(k.buckets)
	clear(k.paces)
}

// Renew has another entry's parts left here until a deadline.
func (k *Keeper) Renew(now time.Time, from core.HostName, until time.Time) {
	if k.until == nil {
		k.until = map[core.HostName]time.Time{}
	}
	if k.until[from].Before(now) {
		k.check = time.Time{}
	}
	k.until[from] = until
	k.count(now)
}

// Leave gives an entry's parts back to it.
func (k *Keeper) Leave(from core.HostName) {
	delete(k.until, from)
	k.check = time.Time{}
}

// count returns how many entries' parts are kept here, this one's included.
func (k *Keeper) count(now time.Time) int {
	if now.Before(k.check) {
		return k.kept
	}
	k.check = now.Add(mostUnchecked)
	for name, until := range k.until {
		switch {
		case !now.Before(until):
			delete(k.until, name)
		case until.Before(k.check):
			k.check = until
		}
	}
	here := 1 + len(k.until)
	if float64(here) > takeover*float64(max(1, k.kept)) && now.After(k.Since) {
		k.Since = now
	}
	k.kept = here
	return here
}

// part returns the part of all allowances that is kept here, given the number of
// entries.
func (k *Keeper) part(now time.Time, entries int) float64 {
	return min(1, float64(k.count(now))/float64(max(1, entries)))
}

// Take takes units of a customer's allowance, given the number of entries. Otherwise it
// returns when they should be there.
func (k *Keeper) Take(now time.Time, customer core.OwnerName, a Allowance, entries int, units float64) (at time.Time, ok bool) {
	return k.bucket(now, customer, a, entries).take(now, units)
}

// Put gives units back that were not used.
func (k *Keeper) Put(now time.Time, customer core.OwnerName, a Allowance, entries int, units float64) {
	k.bucket(now, customer, a, entries).put(now, units)
}

// bucket returns a customer's bucket, filled and shaped for the part that is kept here.
func (k *Keeper) bucket(now time.Time, customer core.OwnerName, a Allowance, entries int) *bucket {
	part := k.part(now, entries)
	rate, depth, start := k.Tolerance.shape(a)
	b := k.buckets[customer]
	if b == nil {
		counted := max(0, now.Sub(k.Since).Seconds())
		b = k.newBucket(now, customer, (start+rate*counted)*part, part)
	}
	b.owes = part >= owePart
	if part > b.part && now.Sub(k.Since) < gatherTime {
		b.level += start * (part - b.part)
	}
	b.part = part
	b.set(now, rate*part, depth*part)
	return b
}

func (k *Keeper) newBucket(now time.Time, customer core.OwnerName, level, part float64) *bucket {
	if k.buckets == nil {
		k.buckets = map[core.OwnerName]*bucket{}
	}
	b := &bucket{
		at: now, level: level, part: part,
		draw: rand.New(rand.NewPCG(k.Seed, xxhash.Sum64String(string(customer)))),
	}
	k.buckets[customer] = b
	return b
}
