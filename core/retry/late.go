package retry

import (
	"iter"
	"net/netip"
	"slices"
	"time"

	"radishwell/core"
)

// Unread is a send that ended without an answer while its connection was open. What the host's system has
// accepted stays readable after the sender has closed or reset the connection, so a host that stands still
// reads the request once it runs again.
type Unread struct {
	// Host and Born are the incarnation of the host.
	Host core.HostName
	Born int64
	// Address is where it was sent.
	Address netip.AddrPort
	// Ended is when the sender gave it up.
	Ended time.Time
}

// Held are the retries that stay in a Window until the hosts of sends are known to have run: each of them
// may arrive until then. The zero value is ready for use. It is not safe for concurrent use.
type Held struct {
	retries [][]Unread
}

// Hold keeps a retry in flight that was taken from a window, for sends that may arrive as its request's
// last.
func (h *Held) Hold(sends []Unread) { h.retries = append(h.retries, sends) }

// Len returns the number of retries that are held.
func (h *Held) Len() int { return len(h.retries) }

// All returns the sends of the held retries.
func (h *Held) All() iter.Seq[Unread] {
	return func(yield func(Unread) bool) {
		for _, sends := range h.retries {
			for _, u := range sends {
				if !yield(u) {
					return
				}
			}
		}
	}
}

// Release ends the retries none of whose sends may be unread, and returns their number. hasRun reports
// whether a send's host is known to have run, or ended, since the send ended.
func (h *Held) Release(now time.Time, w *Window, hasRun func(Unread) bool) int {
	before := len(h.retries)
	h.retries = slices.DeleteFunc(h.retries, func(sends []Unread) bool {
		for _, s := range sends {
			if !hasRun(s) {
				return false
			}
		}
		w.Lose(now)
		return true
	})
	return before - len(h.retries)
}
