package claims

import (
	"time"

	"radishwell/core"
)

// read asks for the slots that must be read before the index can be trusted;
// true when there are none.
func (j *Journal) read(now time.Time, out *Effects) bool {
	if j.checked {
		return true
	}
	if j.request(out) {
		return false
	}
	if !j.findGaps() {
		j.checked, j.tried, j.warm = true, false, false
		return true
	}
	// A slot read before a newer segment took it over is read once more. If it
	// still doesn't fit, an object was removed or changed by hand: claims may be
	// missing, and nothing is granted until the ring is whole.
	if j.tried {
		j.fail(now)
		j.retryAt = now.Add(maxBackoff)
		return false
	}
	j.tried = true
	j.request(out)
	return false
}

// request asks for unread slots, a bounded number at once; false where all
// slots are read.
func (j *Journal) request(out *Effects) bool {
	for i := range j.slots {
		if j.slots[i].state != slotUnread || j.reading >= readsAtOnce {
			continue
		}
		j.slots[i].state = slotReading
		j.reading++
		j.count.Reads++
		out.Reads = append(out.Reads, SlotName(j.Number, i))
	}
	return j.reading > 0
}

// findGaps marks slots that don't hold the segment they should, given the
// newest segment seen; true where there are any.
//
// Only the newest segment is open, and a segment is closed before its successor
// is opened. So if all the others are the closed ones that come right before
// it, each was read in its final state, and an append that succeeds on the
// newest proves that the index misses nothing.
func (j *Journal) findGaps() bool {
	j.tail = -1
	for i, s := range j.slots {
		if s.exists && (j.tail < 0 || s.number > j.slots[j.tail].number) {
			j.tail = i
		}
	}
	if j.tail < 0 {
		return false
	}
	newest := j.slots[j.tail].number
	gap := false
	for back := uint64(1); back < uint64(j.Slots) && back < newest; back++ {
		number := newest - back
		s := &j.slots[j.place(number)]
		if !s.exists || s.number != number || !s.closed {
			s.state = slotUnread
			gap = true
		}
	}
	return gap
}

func (j *Journal) place(number uint64) int { return int(number % uint64(j.Slots)) }

// Read takes the outcome of a read that Effects asked for.
func (j *Journal) Read(now time.Time, r Reply) Effects {
	var out Effects
	i, ok := j.names[r.Name]
	if !ok || j.slots[i].state != slotReading {
		return out
	}
	j.reading--
	j.takeSlot(now, i, r)
	j.pump(now, &out)
	return out
}

func (j *Journal) takeSlot(now time.Time, i int, r Reply) {
	s := &j.slots[i]
	s.state = slotUnread
	if !r.OK && r.Fault == core.NotFound && !s.exists {
		s.state = slotRead
		j.succeed()
		return
	}
	if !r.OK || r.Object.Version < s.version {
		j.fail(now)
		return
	}
	content, err := decodeSegment(r.Name, r.Object.Spec)
	if err != nil || content.Slots != j.Slots || j.place(content.Number) != i {
		// Not readable, or written by an entry whose ring has another size: what
		// this entry would take for the newest segment might not be it.
		j.fail(now)
		return
	}
	j.succeed()
	j.setSlot(i, r.Object, content)
	for n := range content.count() {
		j.index.apply(content.claim(n), content.Number)
	}
}

// setSlot notes a segment's state; the newest open one is kept for appending.
func (j *Journal) setSlot(i int, o core.Object, content segment) {
	s := slot{
		state: slotRead, exists: true,
		uid: o.UID, version: o.Version,
		number: content.Number, closed: content.Closed,
	}
	s.expires = content.expires()
	j.slots[i] = s
	if !content.Closed && content.Number >= j.open.Number {
		j.open = content
	}
}

// startWrite writes the next group: to the newest segment while it is open,
// else as the first content of its successor. A group that fills a segment
// closes it in the same write, so a change of segment costs no extra one.
func (j *Journal) startWrite(now time.Time, out *Effects) {
	at, content, ok := j.target(now)
	if !ok {
		j.refuseAll(now, out)
		return
	}
	w := &write{slot: at, segment: content}
	taken := make(map[[16]byte]bool)
	rest := j.waiting[:0]
	for _, a := range j.waiting {
		full := w.segment.size() >= j.SegmentBytes
		if full || taken[a.Claim.ID] || !w.segment.add(a.Claim) {
			rest = append(rest, a)
			continue
		}
		taken[a.Claim.ID] = true
		w.asks = append(w.asks, a)
		w.claims = append(w.claims, a.Claim)
	}
	j.waiting = rest
	w.segment.Closed = w.segment.size() >= j.SegmentBytes || len(w.claims) == 0
	j.write = w
	j.nextWrite = now.Add(j.groupInterval())
	if w.segment.Closed {
		// What didn't fit needn't wait another interval: segments close seldom.
		j.nextWrite = now
	}
	j.count.Writes++
	s := j.slots[at]
	out.Write = &Write{Create: !s.exists, Object: core.Object{
		Kind: core.KindClaim, Name: SlotName(j.Number, at),
		UID: s.uid, Version: s.version, Spec: w.segment.encode(),
	}}
}

// target returns the slot to write and its content so far; false where the
// ring is full of claims that have not aged out.
func (j *Journal) target(now time.Time) (int, segment, bool) {
	if j.tail < 0 {
		return j.place(1), segment{Number: 1, Slots: j.Slots}, true
	}
	t := j.slots[j.tail]
	if !t.closed {
		return j.tail, j.open, true
	}
	next := j.place(t.number + 1)
	if j.slots[next].expires.After(now) {
		return 0, segment{}, false
	}
	return next, segment{Number: t.number + 1, Slots: j.Slots}, true
}

// refuseAll answers all waiting claims when the ring is full. Overwriting
// claims that have not aged out would let their requests run twice.
func (j *Journal) refuseAll(now time.Time, out *Effects) {
	next := j.place(j.slots[j.tail].number + 1)
	at := later(j.slots[next].expires, j.retry(now))
	for _, a := range j.waiting {
		j.answer(out, Answer{Token: a.Token, Result: Unsure, RetryAt: at})
	}
	j.waiting = j.waiting[:0]
}

// Wrote takes the outcome of the write that Effects asked for.
//
// A conflict or an unknown outcome is settled by reading the slot back: the
// claims go back to the front of those waiting, and what was read decides. A
// claimant finds its own number there, finds somebody else's claim, or is
// written again, conditional on the version just read. An earlier write that
// is still on its way then fails, or makes this one fail.
func (j *Journal) Wrote(now time.Time, r Reply) Effects {
	var out Effects
	w := j.write
	if w == nil || r.Name != SlotName(j.Number, w.slot) {
		return out
	}
	j.write = nil
	if r.OK {
		j.succeed()
		j.commit(now, w, r.Object, &out)
		j.pump(now, &out)
		return out
	}
	j.waiting = append(w.asks, j.waiting...)
	switch r.Fault {
	case core.Conflict, core.Exists, core.NotFound:
		j.count.Conflicts++
		j.unread(w.slot)
	case core.Unknown:
		j.unread(w.slot)
		j.fail(now)
	case core.Unavailable, core.Gone, core.Invalid:
		j.fail(now)
	default:
		j.unread(w.slot)
		j.fail(now)
	}
	j.pump(now, &out)
	return out
}

func (j *Journal) unread(i int) {
	j.slots[i].state = slotUnread
	j.checked = false
	j.warm = true
}

func (j *Journal) commit(now time.Time, w *write, o core.Object, out *Effects) {
	opened := j.slots[w.slot].number != w.segment.Number
	j.setSlot(w.slot, o, w.segment)
	j.tail = w.slot
	for _, c := range w.claims {
		j.index.apply(c, w.segment.Number)
	}
	for _, a := range w.asks {
		j.answer(out, Answer{Token: a.Token, Result: Won, Holder: a.Claim})
	}
	if opened {
		j.index.sweep(now)
	}
}

func (j *Journal) groupInterval() time.Duration {
	if j.interval > 0 {
		return j.interval
	}
	return GroupInterval
}
