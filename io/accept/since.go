package accept

import (
	"context"
	"sync"
	"time"

	"radishwell/core"
)

// exchange notes in which order the requests and responses of a connection are read and written.
type exchange struct {
	// clock is nil if nothing is noted.
	clock core.Clock

	mu sync.Mutex
	// wrote is when the latest write began, zero if nothing was written.
	wrote time.Time
	// read is set if anything was read since, and ahead if a part of the next request was read while the
	// present one is in progress.
	read, ahead bool
	// unordered is set once a request was sent before the response to the one before it, or if the connection
	// carries more than requests and responses.
	unordered bool
}

func (e *exchange) noteRead(n int, ahead bool) {
	if e.clock == nil || n <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.read, e.ahead = true, e.ahead || ahead
}

func (e *exchange) noteWrite() {
	if e.clock == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.wrote, e.read, e.unordered = e.clock.Now(), false, e.unordered || e.ahead
}

// begin notes that the handler of a request begins, and returns when the previous response was written.
func (e *exchange) begin() (wrote time.Time, ok bool) {
	if e.clock == nil {
		return time.Time{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unordered = e.unordered || !e.read
	e.ahead = false
	return e.wrote, !e.wrote.IsZero() && !e.unordered
}

func (e *exchange) setUnordered() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unordered = true
}

// SentSince returns a time before which a request cannot have been sent, however long it was on its way: the caller
// sends the next request on a connection once it has the response to the one before. It returns false for the
// first request of a connection, which a relay may have kept for any time, and where callers do not wait for
// responses. ctx is the request's context. The handler calls it once, before it reads or writes anything.
func SentSince(ctx context.Context) (at time.Time, ok bool) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return time.Time{}, false
	}
	return c.exchange.begin()
}
