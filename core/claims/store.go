package claims

import (
	"time"

	"radishwell/core"
)

// readRing requests the slots that must be read before the index is complete. It
// reports whether there are none left.
func (j *Journal) readRing(now time.Time, out *Effects) bool {
	if j.complete {
		return true
	}
	if j.requestReads(out) {
		return false
	}
	if !j.findGaps() {
		j.complete, j.reread, j.preload = true, false, false
		return true
	}
	// A slot at a gap is read once more, as a newer segment may have overwritten it
	// since. If the gap remains, an object was removed or changed by hand: claims
	// may be missing, and nothing is granted until the ring has no gaps.
	if j.reread {
		j.fail(now)
		j.retryAt = now.Add(maxBackoff)
		return false
	}
	j.reread = true
	j.requestReads(out)
	return false
}

// requestReads requests unread slots, at most maxReads at once. It reports
// whether any read is in flight.
func (j *Journal) requestReads(out *Effects) bool {
	for i := range j.slots {
		if j.slots[i].state != slotUnread || j.readsInFlight >= maxReads {
			continue
		}
		j.slots[i].state = slotReading
		j.readsInFlight++
		j.counts.Reads++
		out.Reads = append(out.Reads, SlotName(j.Number, i))
	}
	return j.readsInFlight > 0
}

// findGaps marks as unread the slots that don't hold the expected segment, given
// the newest segment seen. It reports whether there are any.
//
// Only the newest segment is open, and a segment is closed before its successor
// is opened. So if the other slots hold the closed segments directly before the
// newest one, each was read in its final state, and a successful append to the
// newest proves that the index is complete.
func (j *Journal) findGaps() bool {
	j.newest = -1
	for i, s := range j.slots {
		if s.exists && (j.newest < 0 || s.number > j.slots[j.newest].number) {
			j.newest = i
		}
	}
	if j.newest < 0 {
		return false
	}
	newest := j.slots[j.newest].number
	gap := false
	for back := uint64(1); back < uint64(j.Slots) && back < newest; back++ {
		number := newest - back
		s := &j.slots[j.slotOf(number)]
		if !s.exists || s.number != number || !s.closed {
			s.state = slotUnread
			gap = true
		}
	}
	return gap
}

func (j *Journal) slotOf(number uint64) int { return int(number % uint64(j.Slots)) }

// ReadDone handles the result of a read that Effects requested.
func (j *Journal) ReadDone(now time.Time, r Reply) Effects {
	var out Effects
	i, ok := j.slotByName[r.Name]
	if !ok || j.slots[i].state != slotReading {
		return out
	}
	j.readsInFlight--
	j.applyRead(now, i, r)
	j.advance(now, &out)
	return out
}

func (j *Journal) applyRead(now time.Time, i int, r Reply) {
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
	if err != nil || content.Slots != j.Slots || j.slotOf(content.Number) != i {
		// The slot is not readable, or was written by an entry whose ring has another
		// size, so that the newest segment can't be determined.
		j.fail(now)
		return
	}
	j.succeed()
	j.setSlot(i, r.Object, content)
	for n := range content.count() {
		j.index.apply(content.claim(n), content.Number)
	}
}

// setSlot records a segment's state. It keeps the content of the newest open
// segment for appending.
func (j *Journal) setSlot(i int, o core.Object, content segment) {
	s := slot{
		state: slotRead, exists: true,
		uid: o.UID, version: o.Version,
		number: content.Number, closed: content.Closed,
	}
	s.expires = content.expires()
	j.slots[i] = s
	if !content.Closed && content.Number >= j.openSegment.Number {
		j.openSegment = content
	}
}

// startWrite writes the next group to the newest segment if it is open, or else
// as the first content of its successor. A group that fills a segment closes it
// in the same write, so that a change of segment takes no extra write.
func (j *Journal) startWrite(now time.Time, out *Effects) {
	at, content, ok := j.writeTarget(now)
	if !ok {
		j.refuseAll(now, out)
		return
	}
	w := &group{slot: at, segment: content}
	taken := make(map[[16]byte]bool)
	rest := j.waiting[:0]
	for _, a := range j.waiting {
		full := w.segment.size() >= j.SegmentBytes
		if full || taken[a.Claim.ID] || !w.segment.add(a.Claim) {
			rest = append(rest, a)
			continue
		}
		taken[a.Claim.ID] = true
		w.submissions = append(w.submissions, a)
		w.claims = append(w.claims, a.Claim)
	}
	j.waiting = rest
	w.segment.Closed = w.segment.size() >= j.SegmentBytes || len(w.claims) == 0
	j.inFlight = w
	j.nextWrite = now.Add(j.groupInterval())
	if w.segment.Closed {
		// Claims that didn't fit are written without waiting for the interval, which
		// is rare because segments close rarely.
		j.nextWrite = now
	}
	j.counts.Writes++
	s := j.slots[at]
	out.Write = &Write{Create: !s.exists, Object: core.Object{
		Kind: core.KindClaim, Name: SlotName(j.Number, at),
		UID: s.uid, Version: s.version, Spec: w.segment.encode(),
	}}
}

// writeTarget returns the slot to write and its current content. It reports
// false if the ring is full of claims that have not expired.
func (j *Journal) writeTarget(now time.Time) (int, segment, bool) {
	if j.newest < 0 {
		return j.slotOf(1), segment{Number: 1, Slots: j.Slots}, true
	}
	t := j.slots[j.newest]
	if !t.closed {
		return j.newest, j.openSegment, true
	}
	next := j.slotOf(t.number + 1)
	if j.slots[next].expires.After(now) {
		return 0, segment{}, false
	}
	return next, segment{Number: t.number + 1, Slots: j.Slots}, true
}

// refuseAll answers all waiting claims when the ring is full. Overwriting claims
// that have not expired would allow their requests to run twice.
func (j *Journal) refuseAll(now time.Time, out *Effects) {
	next := j.slotOf(j.slots[j.newest].number + 1)
	at := core.Later(j.slots[next].expires, j.retryTime(now))
	for _, a := range j.waiting {
		j.answer(out, Answer{Token: a.Token, Result: Unsure, RetryAt: at})
	}
	j.waiting = j.waiting[:0]
}

// WriteDone handles the result of the write that Effects requested.
//
// A conflict or an unknown result is resolved by reading the slot back. The
// claims return to the front of the queue. If the slot holds a claimant's own
// claim, the result is Won; if it holds another claim of the key, Held. Otherwise
// the claim is written again, conditional on the version just read. If the
// earlier write is still in flight, it then fails or makes the new one fail.
func (j *Journal) WriteDone(now time.Time, r Reply) Effects {
	var out Effects
	w := j.inFlight
	if w == nil || r.Name != SlotName(j.Number, w.slot) {
		return out
	}
	j.inFlight = nil
	if r.OK {
		j.succeed()
		j.commit(now, w, r.Object, &out)
		j.advance(now, &out)
		return out
	}
	j.waiting = append(w.submissions, j.waiting...)
	switch r.Fault {
	case core.Conflict, core.Exists, core.NotFound:
		j.counts.Conflicts++
		j.invalidate(w.slot)
	case core.Unknown:
		j.invalidate(w.slot)
		j.fail(now)
	case core.Unavailable, core.Gone, core.Invalid:
		j.fail(now)
	default:
		j.invalidate(w.slot)
		j.fail(now)
	}
	j.advance(now, &out)
	return out
}

func (j *Journal) invalidate(i int) {
	j.slots[i].state = slotUnread
	j.complete = false
	j.preload = true
}

func (j *Journal) commit(now time.Time, w *group, o core.Object, out *Effects) {
	opened := j.slots[w.slot].number != w.segment.Number
	j.setSlot(w.slot, o, w.segment)
	j.newest = w.slot
	for _, c := range w.claims {
		j.index.apply(c, w.segment.Number)
	}
	for _, a := range w.submissions {
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
