package buffer

import (
	"time"

	"radishwell/core"
)

const (
	// bufferShare is the fraction of the bound up to which answers are buffered, and admitShare
	// that up to which requests are admitted. The rest is for what the admitted ones go on to hold.
	bufferShare = 0.6
	admitShare  = 0.8
	// slowAfter is how long a caller has taken nothing before it may be ended. Callers that only
	// share a busy link take something within it.
	slowAfter = 2 * time.Second
	// shortFor is how long memory counts as short after a request was not admitted.
	shortFor = time.Second
)

// holder is what is held for one request.
type holder struct {
	bytes core.Bytes
	// blockedSince is when the write to the caller began that has not ended, zero if there is none.
	blockedSince time.Time
}

// Account holds the bytes of the requests in progress. Set Bound before use; zero means no bound.
// It is not safe for concurrent use.
type Account struct {
	Bound core.Bytes

	used    core.Bytes
	holders map[uint64]*holder
	lastID  uint64
	// shortAt is when a request was last not admitted.
	shortAt time.Time
}

// Open begins the account of a request and returns its ID.
func (a *Account) Open() uint64 {
	if a.holders == nil {
		a.holders = map[uint64]*holder{}
	}
	a.lastID++
	a.holders[a.lastID] = &holder{}
	return a.lastID
}

// Close ends the account of a request: all that it held is released. An unknown ID is ignored.
func (a *Account) Close(id uint64) {
	if h := a.holders[id]; h != nil {
		a.used -= h.bytes
		delete(a.holders, id)
	}
}

// Add adds bytes to what is held for a request, or releases them if n is negative. No more is
// released than is held.
func (a *Account) Add(id uint64, n core.Bytes) {
	h := a.holders[id]
	if h == nil {
		return
	}
	n = max(n, -h.bytes)
	h.bytes += n
	a.used += n
}

// IsFull reports whether more than the bound is held.
func (a *Account) IsFull() bool { return a.Bound > 0 && a.used > a.Bound }

// Used returns the bytes that are held.
func (a *Account) Used() core.Bytes { return a.used }

// Admits reports whether a request of the given size may come in. If it may not, slow callers
// are ended for a while.
func (a *Account) Admits(now time.Time, n core.Bytes) bool {
	if a.within(n, admitShare) {
		return true
	}
	a.shortAt = now
	return false
}

// Buffers reports whether so many more bytes of an answer may be held.
func (a *Account) Buffers(n core.Bytes) bool { return a.within(n, bufferShare) }

func (a *Account) within(n core.Bytes, share float64) bool {
	return a.Bound <= 0 || float64(a.used+max(0, n)) <= share*float64(a.Bound)
}

// Block records that a write to the caller of a request begins, Unblock that it has ended.
func (a *Account) Block(now time.Time, id uint64) {
	if h := a.holders[id]; h != nil && h.blockedSince.IsZero() {
		h.blockedSince = now
	}
}

// Unblock records that the caller has taken something.
func (a *Account) Unblock(id uint64) {
	if h := a.holders[id]; h != nil {
		h.blockedSince = time.Time{}
	}
}

// Victim returns the request to end if more is held than the bound, or a request was not admitted
// of late: of those whose callers have taken nothing for slowAfter the one that holds most, the
// oldest among equals. It returns false if nothing has to end or no caller is slow.
func (a *Account) Victim(now time.Time) (id uint64, held core.Bytes, ok bool) {
	short := !a.shortAt.IsZero() && now.Sub(a.shortAt) < shortFor
	if a.Bound <= 0 || !a.IsFull() && !short {
		return 0, 0, false
	}
	for other, h := range a.holders {
		if h.blockedSince.IsZero() || now.Sub(h.blockedSince) < slowAfter {
			continue
		}
		if !ok || h.bytes > held || h.bytes == held && other < id {
			id, held, ok = other, h.bytes, true
		}
	}
	return id, held, ok
}
