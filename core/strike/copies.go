package strike

import (
	"time"

	"radishwell/core"
)

// Copies keeps, at one entry, identical requests that are in flight at the same
// time on one host until one of them has ended well.
//
// It answers a caller that sends a request many times at once: were the copies
// spread, a request that crashes engines would kill one for each copy before
// the first crash is known. On one host they die together, and the fleet loses
// one engine for each entry at most. Requests known to end well are spread, so
// a prompt that many callers share makes no hot spot. Fields are set before the
// first call.
type Copies struct {
	// MaxProven bounds the fingerprints remembered as ending well.
	MaxProven int

	flying map[core.Fingerprint]flight
	proven map[core.Fingerprint]time.Time // since when
	// order is the order in which fingerprints were proven, for eviction.
	order []core.Fingerprint
}

type flight struct {
	host   core.HostName
	copies int
}

// Host returns where a copy of the request is in flight that the next one has
// to join; empty where it may go anywhere.
func (c *Copies) Host(f core.Fingerprint) core.HostName {
	if !c.proven[f].IsZero() {
		return ""
	}
	return c.flying[f].host
}

// At returns where copies of the request are in flight; empty where none are.
func (c *Copies) At(f core.Fingerprint) core.HostName { return c.flying[f].host }

// Start notes that a request was handed to a host.
func (c *Copies) Start(f core.Fingerprint, host core.HostName) {
	if c.flying == nil {
		c.flying = make(map[core.Fingerprint]flight)
	}
	have := c.flying[f]
	c.flying[f] = flight{host: host, copies: have.copies + 1}
}

// End notes that a request handed over has come back, and whether with a whole
// answer.
func (c *Copies) End(now time.Time, f core.Fingerprint, whole bool) {
	have := c.flying[f]
	have.copies--
	if have.copies > 0 {
		c.flying[f] = have
	} else {
		delete(c.flying, f)
	}
	if whole {
		c.prove(now, f)
	}
}

func (c *Copies) prove(now time.Time, f core.Fingerprint) {
	if c.proven == nil {
		c.proven = make(map[core.Fingerprint]time.Time)
	}
	if c.proven[f].IsZero() {
		c.order = append(c.order, f)
	}
	c.proven[f] = now
	for len(c.order) > c.MaxProven {
		delete(c.proven, c.order[0])
		c.order = c.order[1:]
	}
}

// Take tells whether a struck request ended well here in the TTL before, and
// forgets it: one good end speaks for a request once.
func (c *Copies) Take(now time.Time, f core.Fingerprint) bool {
	at := c.proven[f]
	delete(c.proven, f)
	return !at.IsZero() && now.Before(at.Add(TTL))
}
