package queue

import (
	"time"

	"radishwell/core"
)

// Expire returns the items that can no longer finish in time, each with its
// refusal. An item expires at its deadline less its estimated service time, so
// its caller gets the refusal at once rather than at the deadline. Call Expire
// at the time returned by Next and after every Pop.
func (q *Queue) Expire(now time.Time) []Refused {
	q.expireDue(now)
	expired := q.expired
	q.expired = nil
	return expired
}

// Next returns when Expire has to be called next: a past time if there are
// refusals already, and the zero time if no waiting item has a deadline.
func (q *Queue) Next() time.Time {
	if len(q.expired) > 0 {
		return q.expiredAt
	}
	if q.byStart.Len() == 0 || q.byStart.top().startBy.Equal(forever) {
		return time.Time{}
	}
	return q.byStart.top().startBy
}

func (q *Queue) expireDue(now time.Time) {
	for q.byStart.Len() > 0 && !q.byStart.top().startBy.After(now) {
		q.refuse(now, q.byStart.top())
	}
}

// refuse removes a waiting entry and keeps its refusal for Expire.
func (q *Queue) refuse(now time.Time, e *entry) {
	t := e.queue.parent.parent.track
	q.removeEntry(e)
	if len(q.expired) == 0 {
		q.expiredAt = now
	}
	q.expired = append(q.expired, Refused{Item: e.Item, Refusal: expiryRefusal(now, t, e)})
}

func expiryRefusal(now time.Time, t *track, e *entry) *core.Refusal {
	at := t.estimateStart(now, e.Item)
	if !e.Deadline.After(now) {
		return core.RefuseUntil(core.CodeDeadline,
			"The deadline passed while the request waited for "+t.lane.name+".", at)
	}
	return core.RefuseUntil(core.CodeWaitTooLong,
		"The request waited for "+t.lane.name+" until too little time was left to run.", at)
}

// makeRoom displaces items until the new one fits. It displaces nothing if the
// new item is refused.
func (q *Queue) makeRoom(now time.Time, i Item) ([]Refused, *core.Refusal) {
	whole := wholeScope{q}
	if !canShed(i, q.excess(i), whole) {
		return nil, fullRefusal(now, q.laneFor(i.Lane).track(i), i, core.CodeOverload,
			"The queue is full of requests that are worth at least as much.")
	}
	var displaced []Refused
	if l, ok := q.lanes[i.Lane]; ok {
		over := excess(l.load(), i, q.LaneItems, q.LaneBytes)
		if !canShed(i, over, laneScope{l}) {
			return nil, fullRefusal(now, l.track(i), i, core.CodeQueueFull, "The queue for "+l.name+" is full.")
		}
		displaced = q.shed(now, i, over, laneScope{l})
	}
	return append(displaced, q.shed(now, i, q.excess(i), whole)...), nil
}

// excess returns how much has to be removed from the whole queue before the
// item fits.
func (q *Queue) excess(i Item) load {
	return excess(q.load, i, orDefault(q.Items, DefaultItems), orDefault(q.Bytes, DefaultBytes))
}

func orDefault[T int | core.Bytes](v, otherwise T) T {
	if v <= 0 {
		return otherwise
	}
	return v
}

// excess returns how much of a load has to be removed before the item fits. A
// bound of zero means no bound.
func excess(l load, i Item, items int, bytes core.Bytes) load {
	var over load
	if items > 0 {
		over.items = max(0, l.items+1-items)
	}
	if bytes > 0 && l.items > 0 {
		over.bytes = max(0, l.bytes+i.Size-bytes)
	}
	return over
}

// fullRefusal returns a refusal whose retry time is when the track should have
// started one more item and freed its place.
func fullRefusal(now time.Time, t *track, i Item, code core.Code, reason string) *core.Refusal {
	wait := t.drain.drainTime(now, i.Cost, t.running)
	return core.RefuseUntil(code, reason, now.Add(max(wait, minRetryDelay)))
}

// minRetryDelay is the shortest delay after which a caller may retry when the
// queue is full.
const minRetryDelay = time.Second
