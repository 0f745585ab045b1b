package peer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// viewSize is the number of peers that a process exchanges with at a time. A new
	// connection for each exchange would cost a TLS handshake of some 3 KB each time.
	viewSize = 8
	// rotatePeriod is how often one of these peers is replaced, so that no part of the
	// fleet stays cut off by chance for long.
	rotatePeriod = 10 * time.Second
	// farPeers is how many of them are chosen without regard to their data centre.
	farPeers = 1
	// avoidTime is how long a peer that did not respond is not chosen while there are enough
	// others.
	avoidTime = 5 * time.Second
)

// peerView chooses the peers to exchange with: a few active ones out of all that are
// known, replaced over time.
type peerView struct {
	rand *rand.Rand
	// near reports whether a peer is preferred; nil means no preference.
	near   func(Target) bool
	known  []Target
	active []Target
	// avoided holds the peers that did not respond, and until when others are preferred.
	avoided map[Target]time.Time
	// nextRotation is when the next active peer is replaced.
	nextRotation time.Time
}

// update sets the known peers and replaces active ones that are no longer among them.
func (v *peerView) update(known []Target, now time.Time) {
	v.known = known
	listed := make(map[Target]bool, len(known))
	for _, p := range known {
		listed[p] = true
	}
	v.active = slices.DeleteFunc(v.active, func(p Target) bool { return !listed[p] })
	maps.DeleteFunc(v.avoided, func(p Target, until time.Time) bool { return !listed[p] || !now.Before(until) })
	if !now.Before(v.nextRotation) {
		v.nextRotation = now.Add(rotatePeriod)
		v.evictRandom()
	}
	v.fill()
}

// evictRandom removes a random active peer if there are others to replace it.
func (v *peerView) evictRandom() {
	if len(v.active) == viewSize && len(v.known) > viewSize {
		i := v.rand.IntN(len(v.active))
		v.active = slices.Delete(v.active, i, i+1)
	}
}

// fill adds random peers until the view is full.
func (v *peerView) fill() {
	if len(v.known) <= viewSize {
		v.active = slices.Clone(v.known)
		return
	}
	for len(v.active) < viewSize {
		known := v.candidates()
		p := known[v.rand.IntN(len(known))]
		if !slices.Contains(v.active, p) {
			v.active = append(v.active, p)
		}
	}
}

// candidates returns the peers to choose from: the near ones if there are enough, but all
// for the last farPeers places, which keep the data centres connected.
func (v *peerView) candidates() []Target {
	known := v.known
	if len(v.known)-len(v.avoided) >= viewSize {
		known = slices.DeleteFunc(slices.Clone(known), func(p Target) bool { return !v.avoided[p].IsZero() })
	}
	if v.near == nil || len(v.active) >= viewSize-farPeers {
		return known
	}
	near := slices.DeleteFunc(slices.Clone(known), func(p Target) bool { return !v.near(p) })
	if len(near) < 2*viewSize {
		return known
	}
	return near
}

// drop removes a peer that did not respond, and avoids it for avoidTime.
func (v *peerView) drop(p Target, now time.Time) {
	v.active = slices.DeleteFunc(v.active, func(q Target) bool { return p == q })
	if v.avoided == nil {
		v.avoided = map[Target]time.Time{}
	}
	v.avoided[p] = now.Add(avoidTime)
}

// pick returns up to n random peers that are not busy: active ones, and others once all of these
// are busy.
func (v *peerView) pick(n int, busy func(Target) bool) []Target {
	v.rand.Shuffle(len(v.active), func(i, j int) { v.active[i], v.active[j] = v.active[j], v.active[i] })
	var picked []Target
	add := func(p Target) {
		if len(picked) < n && !busy(p) && !slices.Contains(picked, p) {
			picked = append(picked, p)
		}
	}
	for _, p := range v.active {
		add(p)
	}
	if len(picked) == n || len(v.known) == len(v.active) {
		return picked
	}
	first := v.rand.IntN(len(v.known))
	for i := range v.known {
		add(v.known[(first+i)%len(v.known)])
	}
	return picked
}

// find returns the known peer of a host name.
func (v *peerView) find(host string) (Target, bool) {
	i := slices.IndexFunc(v.known, func(p Target) bool { return string(p.Host) == host })
	if i < 0 {
		return Target{}, false
	}
	return v.known[i], true
}
