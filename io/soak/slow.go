package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
)

const (
	// slowReaders is the number of callers that read slowly at one time, and slowBody the size of
	// their requests, in bytes. Together they are more than an entry may hold.
	slowReaders = 10
	slowBody    = 128 << 10
)

// readSlowly has callers send large requests to one entry and read what comes only once the
// returned function is called.
func (c *callers) readSlowly(s Step) (end func()) {
	released := make(chan struct{})
	var reading sync.WaitGroup
	for i := range slowReaders {
		reading.Add(1)
		go func() {
			defer reading.Done()
			q := Result{
				ID: fmt.Sprintf("slow-%d-%d-%d", s.Variant, i, rand.Uint32()), Route: Route(i % int(routeCount)), Entry: s.Target % len(c.entryAddrs),
				Key: "key-free", Customer: "free", Text: strings.Repeat("x", slowBody), released: released,
			}
			c.add(c.sendNew(q, "m-1"))
		}()
	}
	return func() {
		close(released)
		reading.Wait()
	}
}
