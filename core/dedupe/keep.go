package dedupe

import (
	"container/heap"
	"time"

	"radishwell/core"
)

// Append appends data to the answer of a running attempt. The table keeps a
// reference to data; the caller must not modify it afterwards.
func (t *Table) Append(id KeyID, attempt uint64, data []byte) {
	r := t.running(id, attempt)
	if r == nil || r.answer == nil || len(data) == 0 {
		return
	}
	r.answer.chunks = append(r.answer.chunks, data)
	r.answer.size += int64(len(data))
	t.bytes += int64(len(data))
	t.evict(r)
}

// Finish ends a running attempt. If end is a refusal with outcome NotRun, the
// attempt is sealed.
func (t *Table) Finish(now time.Time, id KeyID, attempt uint64, end End) {
	r := t.running(id, attempt)
	if r == nil {
		return
	}
	switch {
	case end.Refusal != nil && end.Refusal.Outcome == core.NotRun:
		t.release(r)
		r.state = Sealed
		r.refusal = end.Refusal
	case r.answer == nil:
		r.state = Lost
	default:
		r.state = Done
		r.answer.end = &end
		t.lastSeq++
		r.doneSeq = t.lastSeq
		t.done = append(t.done, finished{id: id, seq: t.lastSeq})
	}
	if !now.Before(r.expires) {
		heap.Push(&t.expiry, expiryItem{at: r.expires, id: id})
	}
	t.expire(now)
	t.trim()
}

// trim removes answers whose records were dropped from the front of the eviction
// order. Otherwise the order would grow without bound on an agent that never
// evicts.
func (t *Table) trim() {
	for len(t.done) > 0 {
		r := t.records[t.done[0].id]
		if r != nil && r.doneSeq == t.done[0].seq && r.state == Done {
			return
		}
		t.done = t.done[1:]
	}
}

// View is a part of an attempt's answer.
type View struct {
	// Chunks are the bytes from the requested offset on. They must not be modified.
	Chunks [][]byte
	// End is set if Chunks completes the answer.
	End *End
}

// Read returns the answer of an attempt from an offset on. It reports false if
// the answer isn't kept, because it was evicted or the attempt was refused;
// Attach returns the reason.
func (t *Table) Read(id KeyID, attempt uint64, offset int64) (View, bool) {
	r := t.records[id]
	if r == nil || r.attempt != attempt || r.answer == nil {
		return View{}, false
	}
	return View{Chunks: r.answer.read(offset), End: r.answer.end}, true
}

// running returns the record of a running attempt, or nil if the attempt isn't
// running.
func (t *Table) running(id KeyID, attempt uint64) *record {
	r := t.records[id]
	if r == nil || r.attempt != attempt || r.state != Running {
		return nil
	}
	return r
}

// evict keeps the answers within MaxBytes. It evicts complete answers, the oldest
// first, and then the answer that is growing. Without the bound, a caller with
// many long answers would exhaust the agent's memory. The records stay, so a
// repeated request never runs again.
func (t *Table) evict(growing *record) {
	for t.bytes > int64(t.MaxBytes) && len(t.done) > 0 {
		if r := t.records[t.done[0].id]; r != nil && r.doneSeq == t.done[0].seq && r.state == Done {
			t.release(r)
			r.state = Lost
		}
		t.done = t.done[1:]
	}
	if t.bytes > int64(t.MaxBytes) {
		t.release(growing)
	}
}

// release frees a record's answer.
func (t *Table) release(r *record) {
	if r.answer == nil {
		return
	}
	t.bytes -= r.answer.size
	r.answer = nil
}

// expiryItem is an element of expiryHeap.
type expiryItem struct {
	at time.Time
	id KeyID
}

// expiryHeap is a heap of records by expiry. A record whose expiry was extended
// has a stale item as well.
type expiryHeap []expiryItem

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(expiryItem)) }
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
