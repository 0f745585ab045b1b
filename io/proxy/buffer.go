package proxy

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/buffer"
	"radishwell/io/events"
)

// buffers is the account of the bytes that this entry holds for its callers and upstreams. It is
// safe for concurrent use.
type buffers struct {
	mu      sync.Mutex
	account buffer.Account
	// writers are the responses to the requests in the account.
	writers map[uint64]http.ResponseWriter
}

// open begins the account of a request.
func (b *buffers) open(w http.ResponseWriter) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.writers == nil {
		b.writers = map[uint64]http.ResponseWriter{}
	}
	id := b.account.Open()
	b.writers[id] = w
	return id
}

func (b *buffers) close(id uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account.Close(id)
	delete(b.writers, id)
}

func (b *buffers) add(id uint64, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account.Add(id, core.Bytes(n))
}

func (b *buffers) admits(now time.Time, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.account.Admits(now, core.Bytes(n))
}

func (b *buffers) mayBuffer(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.account.Buffers(core.Bytes(n))
}

// isFull reports whether more than the bound is held.
func (b *buffers) isFull() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.account.IsFull()
}

// used returns the bytes held.
func (b *buffers) used() core.Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.account.Used()
}

// block records that a write to the caller of a request begins. The function that it returns
// records that it has ended.
func (b *buffers) block(now time.Time, id uint64, n int) (unblock func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account.Add(id, core.Bytes(n))
	b.account.Block(now, id)
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.account.Add(id, -core.Bytes(n))
		b.account.Unblock(id)
	}
}

// HeldBytes returns the bytes that this entry holds for callers and upstreams.
func (p *Proxy) HeldBytes() core.Bytes { return p.held.used() }

// endSlowest ends the slow caller that holds most, if memory is short.
func (p *Proxy) endSlowest() {
	b := &p.held
	b.mu.Lock()
	id, held, ok := b.account.Victim(p.Clock.Now())
	w, used := b.writers[id], b.account.Used()
	b.mu.Unlock()
	if !ok || w == nil {
		return
	}
	events.Log(events.SlowCallerEnded, "held", held, "held-by-all", used, "bound", p.MaxHeld)
	p.Meter.SlowCallerEnded()
	// The write in progress fails, which ends the request. A writer without deadlines is left to
	// the platform's own timeouts.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(-time.Second))
}

// FullError reports a body that is not read on, since this entry holds too much already.
type FullError struct{}

// Error implements error.
func (*FullError) Error() string { return "the entry holds too many bytes" }

// heldReader counts what is read towards a request's account.
type heldReader struct {
	from io.Reader
	held *buffers
	id   uint64
}

// Read implements io.Reader. Its error is a FullError if more than the bound is held.
func (r *heldReader) Read(p []byte) (int, error) {
	if r.held.isFull() {
		return 0, &FullError{}
	}
	n, err := r.from.Read(p)
	r.held.add(r.id, n)
	return n, err
}

// refuseFullEntry refuses a request for whose body there is no memory.
func (c *call) refuseFullEntry() *core.Refusal {
	return core.RefuseUntil(core.CodeOverload, "this entry holds too much for other callers", c.arrived.Add(fullRetry))
}

// fullRetry is the time after which callers are to retry if an entry has no memory for their
// requests: another entry may have some at once.
const fullRetry = 250 * time.Millisecond

// answerChunk is the size of the pieces in which an answer is read, in bytes.
const answerChunk = 16 << 10

// readAhead is what was read of an answer's body before any of it is forwarded. whole is set if it is all, err if the
// body broke off.
type readAhead struct {
	body  []byte
	whole bool
	err   error
}

// readAhead reads the body of an answer to its end, or until it is larger than what is buffered of one.
// As the entry's memory fills, less is buffered, so that the upstream
// waits until the caller has taken what came before.
func (c *call) readAhead(from io.Reader) *readAhead {
	held, out := &c.proxy.held, &readAhead{}
	for len(out.body) <= maxBufferedAnswer && held.mayBuffer(answerChunk) {
		at := len(out.body)
		out.body = append(out.body, make([]byte, answerChunk)...)
		n, err := from.Read(out.body[at:])
		out.body = out.body[:at+n]
		held.add(c.heldID, n)
		switch {
		case errors.Is(err, io.EOF):
			out.whole = true
			return out
		case err != nil:
			out.err = err
			return out
		}
	}
	return out
}

// upTo reads more of the body from the reader of its rest until there are n bytes, or the body ends, and returns them.
func (a *readAhead) upTo(n int, rest io.Reader) ([]byte, error) {
	if a.err != nil {
		return nil, a.err
	}
	more, err := io.ReadAll(io.LimitReader(rest, int64(max(0, n-len(a.body)))))
	a.body = append(a.body, more...)
	return a.body, err
}

// flushEvents sends the caller what was written.
func (c *call) flushEvents(out *http.ResponseController) error {
	if c.gone != nil {
		return nil
	}
	defer c.proxy.held.block(c.proxy.Clock.Now(), c.heldID, 0)()
	if err := out.Flush(); err != nil {
		return c.noteGone(err)
	}
	return nil
}
