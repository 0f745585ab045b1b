package peer

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// viewSize is how many peers a process talks to at a time. A new connection
	// for each exchange would cost a TLS handshake, some 3 KB, each time.
	viewSize = 8
	// rotatePeriod is how often one of them is replaced, so that no part of the
	// fleet is cut off from the rest by chance for long.
	rotatePeriod = 10 * time.Second
	// farPeers is how many of them may be in any data centre.
	farPeers = 1
)

// peerView chooses the peers to talk to: a few out of all, replaced over time.
type peerView struct {
	rand *rand.Rand
	// near tells which peers are preferred; nil where all are alike.
	near  func(Target) bool
	known []Target
	held  []Target
	// rotateAt is when the next peer is replaced.
	rotateAt time.Time
}

// update takes the present list of peers.
func (v *peerView) update(known []Target, now time.Time) {
	v.known = known
	there := make(map[Target]bool, len(known))
	for _, p := range known {
		there[p] = true
	}
	v.held = slices.DeleteFunc(v.held, func(p Target) bool { return !there[p] })
	if !now.Before(v.rotateAt) {
		v.rotateAt = now.Add(rotatePeriod)
		v.forgetOne()
	}
	v.fill()
}

// forgetOne makes room for another peer where there are others.
func (v *peerView) forgetOne() {
	if len(v.held) == viewSize && len(v.known) > viewSize {
		i := v.rand.IntN(len(v.held))
		v.held = slices.Delete(v.held, i, i+1)
	}
}

// fill chooses peers at random until the view is full.
func (v *peerView) fill() {
	if len(v.known) <= viewSize {
		v.held = slices.Clone(v.known)
		return
	}
	for len(v.held) < viewSize {
		known := v.preferred()
		p := known[v.rand.IntN(len(known))]
		if !slices.Contains(v.held, p) {
			v.held = append(v.held, p)
		}
	}
}

// preferred returns the peers to choose from: the near ones while there are enough,
// but all for the last places, which keep the data centres together.
func (v *peerView) preferred() []Target {
	if v.near == nil || len(v.held) >= viewSize-farPeers {
		return v.known
	}
	near := slices.DeleteFunc(slices.Clone(v.known), func(p Target) bool { return !v.near(p) })
	if len(near) < 2*viewSize {
		return v.known
	}
	return near
}

// drop replaces a peer that did not answer.
func (v *peerView) drop(p Target) {
	v.held = slices.DeleteFunc(v.held, func(q Target) bool { return p == q })
}

// pick returns up to n peers to talk to now.
func (v *peerView) pick(n int) []Target {
	v.rand.Shuffle(len(v.held), func(i, j int) { v.held[i], v.held[j] = v.held[j], v.held[i] })
	return slices.Clone(v.held[:min(n, len(v.held))])
}

// find returns the peer of a name.
func (v *peerView) find(host string) (Target, bool) {
	i := slices.IndexFunc(v.known, func(p Target) bool { return string(p.Host) == host })
	if i < 0 {
		return Target{}, false
	}
	return v.known[i], true
}
