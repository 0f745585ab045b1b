package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// foreignGap is the mean time between two registry entries of another writer, in runs that have them.
	foreignGap = 500 * time.Millisecond
	// maxForeign is how long such an entry stays at most.
	maxForeign = 4 * time.Second
)

// addForeign adds registry entries of another writer, at the addresses of upstreams, to a schedule drawn from the same
// seed.
func addForeign(steps []Step, seed uint64, length time.Duration) []Step {
	rng := rand.New(rand.NewPCG(^seed, seed))
	for at := startupTime; ; {
		at += time.Duration(rng.ExpFloat64() * float64(foreignGap))
		if at >= length {
			break
		}
		end := min(length, at+time.Duration(rng.Int64N(int64(maxForeign))))
		steps = append(steps, Step{Kind: ForeignEntry, Begin: at, End: end, Target: rng.IntN(variants), Variant: rng.IntN(variants)})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.Begin, b.Begin) })
	return steps
}

// addForeignEntry registers another host at the address of an upstream, by variant of the same service, of one that no table
// names, of none, or leaving. It returns a function that removes the entry.
func (t *testbed) addForeignEntry(u *upstream, variant int) (remove func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	service, state := u.service(), "ready"
	switch variant % 5 {
	case 1:
		service = "other"
	case 2:
		service = ""
	case 3:
		state = "draining"
	case 4:
		service, state = "other", "draining"
	}
	born := int64(0)
	if variant/5%2 == 0 {
		born = u.started + 1
	}
	name := fmt.Sprint("foreign-", variant)
	t.store.Put("servers", name, fmt.Sprintf(`{"service":%q,"address":%q,"zone":"dc-1","slots":64,"state":%q,"sequence":0,"born":%d,"version":%s}`, service, u.box.At(), state, born, u.quoted()))
	return func() { t.store.Remove("servers", name) }
}
