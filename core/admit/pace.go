package admit

import (
	"time"

	"radishwell/core"
)

const (
	// paceIdleTime is how long after its last use the bucket of an upstream is
	// dropped.
	paceIdleTime = time.Minute
	// MaxAhead is how far ahead reservations are made. They are lost if the
	// caller leaves, and another keeper does not know them.
	MaxAhead = 300 * time.Millisecond
)

// Reserve makes the next reservation at an upstream that accepts rate requests
// a second from all entries together, if its time is not after by. It returns
// that time.
//
// If each entry enforced the rate on its own, all entries together would send
// many times as much to an overloaded upstream. If the rate were divided, the
// shares of entries without requests would be unused.
func (k *Keeper) Reserve(now time.Time, upstream core.HostName, rate float64, entries int, by time.Time) (at time.Time, ok bool) {
	if latest := now.Add(MaxAhead); by.After(latest) {
		by = latest
	}
	return k.paceBucket(now, upstream, rate, entries).reserve(now, by)
}

// Release returns reservations with which nothing was sent.
func (k *Keeper) Release(now time.Time, upstream core.HostName, rate float64, entries int, n float64) {
	k.paceBucket(now, upstream, rate, entries).refund(now, n)
}

// paceBucket returns the bucket of an upstream, shaped for the share of its
// rate that is held here. Each added share lowers the level by the reservations
// that another keeper may have made ahead for it.
func (k *Keeper) paceBucket(now time.Time, upstream core.HostName, rate float64, entries int) *bucket {
	b := k.paceBuckets[upstream]
	if b == nil {
		k.evictPaceBuckets(now)
		b = &bucket{at: now}
		k.paceBuckets[upstream] = b
	}
	share := k.share(now, entries)
	b.reshape(now, rate*share, max(1, rate*share))
	b.level -= rate * MaxAhead.Seconds() * max(0, share-b.share)
	b.share = share
	return b
}

func (k *Keeper) evictPaceBuckets(now time.Time) {
	if k.paceBuckets == nil {
		k.paceBuckets = map[core.HostName]*bucket{}
	}
	for name, b := range k.paceBuckets {
		if now.Sub(b.at) > paceIdleTime {
			delete(k.paceBuckets, name)
		}
	}
}
