package admit

import (
	"time"

	"radishwell/core"
	"radishwell/core/retry"
)

const (
	// minAside is how long an entry is set aside after its first failure to
	// respond, and maxAside is the longest time after several failures in a
	// row.
	minAside = time.Second
	maxAside = 8 * time.Second
)

// Chooser chooses the keeper to which an entry delegates its shares of the
// allowances: the first entry that responds, in an order that all entries have
// in common. The zero value is ready for use. A Chooser is not safe for
// concurrent use.
type Chooser struct {
	failed map[core.HostName]*failedEntry
}

// failedEntry is an entry that did not respond.
type failedEntry struct {
	retryAt  time.Time
	failures int
}

// Choose returns the first of the entries that is not set aside, or the last
// one if all are. The list is in the common order and ends with this entry
// itself.
func (c *Chooser) Choose(now time.Time, ordered []core.HostName) core.HostName {
	for _, name := range ordered {
		if a := c.failed[name]; a == nil || !now.Before(a.retryAt) {
			return name
		}
	}
	return ordered[len(ordered)-1]
}

// RecordResponse records that an entry responded.
func (c *Chooser) RecordResponse(name core.HostName) { delete(c.failed, name) }

// RecordFailure records that an entry did not respond.
func (c *Chooser) RecordFailure(now time.Time, name core.HostName) {
	if c.failed == nil {
		c.failed = map[core.HostName]*failedEntry{}
	}
	a := c.failed[name]
	if a == nil {
		a = &failedEntry{}
		c.failed[name] = a
	}
	a.retryAt = now.Add(retry.Backoff(minAside, maxAside, a.failures))
	a.failures++
}
