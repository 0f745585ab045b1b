package admit

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishwell/core"
)

const (
	// debtShare is the share of an allowance from which a keeper may admit a
	// request that is larger than its bucket. It is above one half, so no two
	// keepers have such a share.
	debtShare = 0.6
	// takeoverFactor is the growth of the number of shares held here above
	// which the entries are assumed to have moved over from another keeper,
	// whose counts are unknown.
	takeoverFactor = 1.5
	// maxCountAge is how long the count of shares held here is reused.
	maxCountAge = time.Second
	// joinPeriod is the time after a takeover during which the share of each
	// entry that moves over raises the level by its part of the initial level.
	joinPeriod = time.Second
)

// Keeper counts the use of customers at the entries that have delegated their
// shares of the allowances to it.
//
// Every entry owns an equal share of each allowance. It delegates its shares to
// one keeper under a lease, which it renews, and that keeper admits the
// requests that arrive at any of these entries. Divided shares would be too
// small for a customer whose requests arrive in bursts at one entry while the
// other shares are unused. An entry that reaches no keeper gets its own shares
// back when the lease has expired, so entries that cannot reach each other
// never admit more than the whole allowance together.
//
// The exported fields are set before use. A Keeper is not safe for concurrent
// use.
type Keeper struct {
	Tolerance Tolerance
	// Seed seeds the random draws for requests that are larger than the bucket.
	Seed uint64
	// Since is when counting began here, initially the start of the process.
	// The units admitted before that are unknown.
	Since time.Time

	// leases holds the end of the lease of each entry that delegates its shares
	// to this keeper.
	leases  map[core.HostName]time.Time
	buckets map[core.OwnerName]*bucket
	// paceBuckets count the requests to upstreams that name a rate limit.
	paceBuckets map[core.HostName]*bucket
	// lastCount is the number of entries whose shares were held here at the
	// last count, and recountAt is when they have to be counted again.
	lastCount int
	recountAt time.Time
}

// Delegate records that this entry has delegated its own shares to another
// keeper until the given time. Unless other entries still delegate to this one,
// it discards the counts, and counting begins again at that time.
func (k *Keeper) Delegate(now, until time.Time) {
	if k.countShares(now) > 1 {
		return
	}
	k.Since = until
	clear(k.buckets)
	clear(k.paceBuckets)
}

// Renew records that another entry delegates its shares to this keeper until
// the given time.
func (k *Keeper) Renew(now time.Time, from core.HostName, until time.Time) {
	if k.leases == nil {
		k.leases = map[core.HostName]time.Time{}
	}
	if k.leases[from].Before(now) {
		k.recountAt = time.Time{}
	}
	k.leases[from] = until
	k.countShares(now)
}

// EndLease ends the lease of an entry.
func (k *Keeper) EndLease(from core.HostName) {
	delete(k.leases, from)
	k.recountAt = time.Time{}
}

// countShares returns the number of entries whose shares are held here,
// including this one.
func (k *Keeper) countShares(now time.Time) int {
	if now.Before(k.recountAt) {
		return k.lastCount
	}
	k.recountAt = now.Add(maxCountAge)
	for name, until := range k.leases {
		switch {
		case !now.Before(until):
			delete(k.leases, name)
		case until.Before(k.recountAt):
			k.recountAt = until
		}
	}
	count := 1 + len(k.leases)
	if float64(count) > takeoverFactor*float64(max(1, k.lastCount)) && now.After(k.Since) {
		k.Since = now
	}
	k.lastCount = count
	return count
}

// share returns the share of all allowances that is held here, given the number
// of entries.
func (k *Keeper) share(now time.Time, entries int) float64 {
	return min(1, float64(k.countShares(now))/float64(max(1, entries)))
}

// Take takes units of a customer's allowance, given the number of entries. If
// they are not available, it returns when they should be.
func (k *Keeper) Take(now time.Time, customer core.OwnerName, a Allowance, entries int, units float64) (at time.Time, ok bool) {
	return k.bucket(now, customer, a, entries).take(now, units)
}

// Refund returns units that were not used.
func (k *Keeper) Refund(now time.Time, customer core.OwnerName, a Allowance, entries int, units float64) {
	k.bucket(now, customer, a, entries).refund(now, units)
}

// bucket returns a customer's bucket, refilled and shaped for the share that is
// held here.
func (k *Keeper) bucket(now time.Time, customer core.OwnerName, a Allowance, entries int) *bucket {
	share := k.share(now, entries)
	rate, depth, initial := k.Tolerance.bucketShape(a)
	b := k.buckets[customer]
	if b == nil {
		counted := max(0, now.Sub(k.Since).Seconds())
		b = k.newBucket(now, customer, (initial+rate*counted)*share, share)
	}
	b.allowDebt = share >= debtShare
	if share > b.share && now.Sub(k.Since) < joinPeriod {
		b.level += initial * (share - b.share)
	}
	b.share = share
	b.reshape(now, rate*share, depth*share)
	return b
}

func (k *Keeper) newBucket(now time.Time, customer core.OwnerName, level, share float64) *bucket {
	if k.buckets == nil {
		k.buckets = map[core.OwnerName]*bucket{}
	}
	b := &bucket{
		at: now, level: level, share: share,
		rng: rand.New(rand.NewPCG(k.Seed, xxhash.Sum64String(string(customer)))),
	}
	k.buckets[customer] = b
	return b
}
