package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"radishwell/core"
)

const (
	// minPreferred is the least number of requests from which the share is judged that a preferred
	// entry serves, and minPreferredShare that share of the one before.
	minPreferred      = 20
	minPreferredShare = 0.75
	// preferredCallers is the number of callers that open connections to a preferred entry
	// besides the others, and preferredGap the pause between the requests of each.
	preferredCallers = 12
	preferredGap     = 10 * time.Millisecond
)

// preference is the entry to which a load balancer hands new connections at present.
type preference struct {
	mu sync.Mutex
	// entry is negative while there is none.
	entry int
}

func (p *preference) set(entry int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entry = entry
}

// get returns the preferred entry, or the given one if there is none.
func (p *preference) get(otherwise int) (entry int, preferred bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entry < 0 {
		return otherwise, false
	}
	return p.entry, true
}

// preferEntry has callers open most connections to one entry. It returns a function that ends
// that.
func (c *callers) preferEntry(s Step) (end func()) {
	entry := s.Target % len(c.entryAddrs)
	c.preferred.set(entry)
	done := make(chan struct{})
	for i := range preferredCallers {
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			c.callPreferred(s, entry, i, done)
		}()
	}
	return func() {
		c.preferred.set(-1)
		close(done)
	}
}

// preferQuietly prefers the entry of a step once more, for long enough and without other faults, and
// returns that as a step.
func (c *callers) preferQuietly(s Step) Step {
	s.Begin = time.Since(c.start)
	s.Variant += variants // the IDs of the requests contain it
	end := c.preferEntry(s)
	time.Sleep(contactTime + crashingWindow)
	end()
	s.End = time.Since(c.start)
	return s
}

// callPreferred sends requests to an entry until done is closed, each on a connection of its own,
// and repeats those that the entry did not read at another entry.
func (c *callers) callPreferred(s Step, entry, i int, done <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(preferredGap):
		}
		q := Result{
			ID: fmt.Sprintf("new-%d-%d-%d", s.Variant, i, n), Route: Route(n % int(routeCount)), Entry: entry, Key: "key-free", Customer: "free",
		}
		r := c.sendNew(q, fmt.Sprint("m-", 1+n%2))
		c.add(r)
		if r.Status != 0 || r.Ended-r.Began >= callerTimeout {
			continue
		}
		q.ID, q.Entry = q.ID+"-again", (entry+1)%len(c.entryAddrs)
		c.add(c.sendNew(q, fmt.Sprint("m-", 1+n%2)))
	}
}

// Preferred counts the requests that undisturbed entries read, before an entry was preferred and
// later than contactTime after that, and those of them that were served.
type Preferred struct{ Before, ServedBefore, After, ServedAfter int }

// lost returns a breach if too few requests were served while an entry was preferred.
func (n Preferred) lost() []Breach {
	if n.Before < minPreferred || n.After < minPreferred {
		return nil
	}
	if float64(n.ServedAfter)/float64(n.After) >= minPreferredShare*float64(n.ServedBefore)/float64(n.Before) {
		return nil
	}
	return []Breach{{Promise: "an entry that gets most connections serves what it reads", Result: Result{ID: fmt.Sprintf("%+v", n)}}}
}

// preferredShares counts the requests before and while an entry was preferred.
func (c *signalChecker) preferredShares(results []Result) (n Preferred) {
	for _, r := range results {
		wasRead := r.Status != 0 || r.Ended-r.Began >= callerTimeout
		if !wasRead || r.isProbe() || r.Customer != "free" || r.Text != "" || len(r.Parts) > 0 || r.LeaveAfter > 0 || r.First != "" {
			continue
		}
		ok := r.Status == 200 && (r.Complete || r.Unframed)
		switch {
		case disturbed(c.steps, r.Began-contactTime, r.Ended, PreferEntry), c.crashes(r.Ended):
		case c.isPreferred(r.Began-contactTime, r.Began):
			n.After++
			n.ServedAfter += core.CountIf(ok)
		case !disturbed(c.steps, r.Began-contactTime, r.Ended):
			n.Before++
			n.ServedBefore += core.CountIf(ok)
		}
	}
	return n
}

// crashes reports whether a caller of crashing requests has started before a time. It goes on until
// the end.
func (c *signalChecker) crashes(before time.Duration) bool {
	return slices.ContainsFunc(c.steps, func(s Step) bool {
		return (s.Kind == CrashingRequest || s.Kind == CrashingPart) && s.Begin < before
	})
}

// isPreferred reports whether one entry was preferred throughout a span of time.
func (c *signalChecker) isPreferred(from, to time.Duration) bool {
	return slices.ContainsFunc(c.steps, func(s Step) bool { return s.Kind == PreferEntry && s.Begin <= from && s.End >= to })
}
