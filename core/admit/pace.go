package admit

import (
	"time"

	"radishwell/core"
)

const (
	// paceIdle is how long after its last use the count of an upstream is forgotten.
	paceIdle = time.Minute
	// MostAhead is how far ahead reservations are made. They are lost with callers who
	// leave, and are not known to the next keeper.
	MostAhead = 300 * time.Millisecond
)

// Reserve makes the next reservation at an upstream that takes rate requests a second from
// all entries together, if its time comes by a time. It returns that time.
//
// It answers the load of an upstream in need that many entries send to. Each entry alone
// would hold the rate and all together would send many times as much; divided, the parts
// of entries without requests would lie idle.
func (k *Keeper) Reserve(now time.Time, upstream core.HostName, rate float64, entries int, by time.Time) (at time.Time, ok bool) {
	if most := now.Add(MostAhead); by.After(most) {
		by = most
	}
	return k.pace(now, upstream, rate, entries).reserve(now, by)
}

// Release gives back reservations with which nothing was sent.
func (k *Keeper) Release(now time.Time, upstream core.HostName, rate float64, entries int, n float64) {
	k.pace(now, upstream, rate, entries).put(now, n)
}

// pace returns the count of an upstream, shaped for the part of its rate that is kept
// here. Each part comes with all reservations that another keeper may have made ahead.
func (k *Keeper) pace(now time.Time, upstream core.HostName, rate float64, entries int) *bucket {
	b := k.paces[upstream]
	if b == nil {
		k.forgetPaces(now)
		b = &bucket{at: now}
		k.paces[upstream] = b
	}
	part := k.part(now, entries)
	b.set(now, rate*part, max(1, rate*part))
	b.level -= rate * MostAhead.Seconds() * max(0, part-b.part)
	b.part = part
	return b
}

func (k *Keeper) forgetPaces(now time.Time) {
	if k.paces == nil {
		k.paces = map[core.HostName]*bucket{}
	}
	for name, b := range k.paces {
		if now.Sub(b.at) > paceIdle {
			delete(k.paces, name)
		}
	}
}
