package admit

import (
	"time"

	"radishwell/core"
	"radishwell/core/retry"
)

const (
	// firstAside is how long an entry that did not answer is not asked again, and
	// mostAside the longest after several times in a row.
	firstAside = time.Second
	mostAside  = 8 * time.Second
)

// Chooser chooses the entry that an entry leaves its parts of the allowances with: the
// first of an order that all share which answers. The zero Chooser is ready for use; it
// is not safe for use by several goroutines.
type Chooser struct {
	aside map[core.HostName]*aside
}

// aside is an entry that did not answer.
type aside struct {
	until    time.Time
	failures int
}

// Choose returns the first of the entries that is not set aside, the last one where all
// before it are. The list is in the shared order and ends with the asking entry itself.
func (c *Chooser) Choose(now time.Time, ordered []core.HostName) core.HostName {
	for _, name := range ordered {
		if a := c.aside[name]; a == nil || !now.Before(a.until) {
			return name
		}
	}
	return ordered[len(ordered)-1]
}

// Heard notes that an entry answered.
func (c *Chooser) Heard(name core.HostName) { delete(c.aside, name) }

// Failed notes that an entry did not answer.
func (c *Chooser) Failed(now time.Time, name core.HostName) {
	if c.aside == nil {
		c.aside = map[core.HostName]*aside{}
	}
	a := c.aside[name]
	if a == nil {
		a = &aside{}
		c.aside[name] = a
	}
	a.until = now.Add(retry.Pause(firstAside, mostAside, a.failures))
	a.failures++
}
