package strike

import (
	"time"

	"radishwell/core"
)

// Copies keeps, at one entry, identical requests that are in flight at the same
// time on one host until one of them has ended well.
//
// If a caller sends a request many times at once and the copies were spread, a
// request that crashes engines would crash one for each copy before the first
// crash is known. On one host they crash one engine together, and the fleet loses
// at most one engine for each entry. Requests known to end well are spread, so
// that a prompt shared by many callers does not overload one host. The exported
// field must be set before first use.
type Copies struct {
	// MaxProven bounds the fingerprints remembered as having ended well.
	MaxProven int

	inFlight map[core.Fingerprint]copyGroup
	// proven has the time at which each fingerprint last ended well.
	proven map[core.Fingerprint]time.Time
	// provenOrder has the fingerprints in the order in which they were first proven,
	// for eviction.
	provenOrder []core.Fingerprint
}

type copyGroup struct {
	host   core.HostName
	copies int
}

// RequiredHost returns the host that the next copy of a request must join; empty
// if it may run on any host.
func (c *Copies) RequiredHost(f core.Fingerprint) core.HostName {
	if !c.proven[f].IsZero() {
		return ""
	}
	return c.inFlight[f].host
}

// HostOf returns the host where copies of the request are in flight; empty if
// there are none.
func (c *Copies) HostOf(f core.Fingerprint) core.HostName { return c.inFlight[f].host }

// Start records that a request was forwarded to a host.
func (c *Copies) Start(f core.Fingerprint, host core.HostName) {
	if c.inFlight == nil {
		c.inFlight = make(map[core.Fingerprint]copyGroup)
	}
	have := c.inFlight[f]
	c.inFlight[f] = copyGroup{host: host, copies: have.copies + 1}
}

// End records that a forwarded request has ended; whole is set if it had a
// complete answer.
func (c *Copies) End(now time.Time, f core.Fingerprint, whole bool) {
	have := c.inFlight[f]
	have.copies--
	if have.copies > 0 {
		c.inFlight[f] = have
	} else {
		delete(c.inFlight, f)
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
		c.provenOrder = append(c.provenOrder, f)
	}
	c.proven[f] = now
	for len(c.provenOrder) > c.MaxProven {
		delete(c.proven, c.provenOrder[0])
		c.provenOrder = c.provenOrder[1:]
	}
}

// TakeProven reports whether a request with strikes had ended well here within the
// TTL, and forgets it: one good end counts only once.
func (c *Copies) TakeProven(now time.Time, f core.Fingerprint) bool {
	at := c.proven[f]
	delete(c.proven, f)
	return !at.IsZero() && now.Before(at.Add(TTL))
}
