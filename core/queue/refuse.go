package queue

import (
	"time"

	"radishwell/core"
)

// Expire returns the items that can no longer end in time, each with its
// refusal: at its deadline less the service time foreseen, so that a request
// that is given up gets its answer at once and never waits for the deadline
// itself. Call it at Next and after every Pop.
func (q *Queue) Expire(now time.Time) []Refused {
	q.overdue(now)
	out := q.out
	q.out = nil
	return out
}

// Next returns when Expire has something to return: a past time where it has
// already, and the zero time where nothing that waits has a deadline.
func (q *Queue) Next() time.Time {
	if len(q.out) > 0 {
		return q.outAt
	}
	if q.due.Len() == 0 || q.due.top().last.Equal(forever) {
		return time.Time{}
	}
	return q.due.top().last
}

func (q *Queue) overdue(now time.Time) {
	for q.due.Len() > 0 && !q.due.top().last.After(now) {
		q.refuse(now, q.due.top())
	}
}

// refuse gives a waiting entry up and keeps its refusal for Expire.
func (q *Queue) refuse(now time.Time, e *entry) {
	t := e.flow.in.in.track
	q.drop(e)
	if len(q.out) == 0 {
		q.outAt = now
	}
	q.out = append(q.out, Refused{Item: e.Item, Refusal: lateRefusal(now, t, e)})
}

func lateRefusal(now time.Time, t *track, e *entry) *core.Refusal {
	at := t.start(now, e.Item)
	if !e.Deadline.After(now) {
		return core.RefuseUntil(core.CodeDeadline,
			"The deadline passed while the request waited for "+t.lane.name+".", at)
	}
	return core.RefuseUntil(core.CodeWaitTooLong,
		"The request waited for "+t.lane.name+" until too little time was left to run.", at)
}

// fit makes place for an item. It displaces only where that lets the item in,
// so what it returns beside a refusal is empty.
func (q *Queue) fit(now time.Time, i Item) ([]Refused, *core.Refusal) {
	whole := wholeScope{q}
	if !sheds(i, q.excess(i), whole) {
		return nil, full(now, q.lane(i.Lane).track(i), i, core.CodeOverload,
			"The queue is full of requests that are worth at least as much.")
	}
	var gone []Refused
	if l, ok := q.lanes[i.Lane]; ok {
		over := excess(l.load(), i, q.LaneItems, q.LaneBytes)
		if !sheds(i, over, laneScope{l}) {
			return nil, full(now, l.track(i), i, core.CodeQueueFull, "The queue for "+l.name+" is full.")
		}
		gone = q.shed(now, i, over, laneScope{l})
	}
	return append(gone, q.shed(now, i, q.excess(i), whole)...), nil
}

// excess is what has to go from the whole queue before the item fits.
func (q *Queue) excess(i Item) load {
	return excess(q.load, i, orDefault(q.Items, DefaultItems), orDefault(q.Bytes, DefaultBytes))
}

func orDefault[T int | core.Bytes](v, otherwise T) T {
	if v <= 0 {
		return otherwise
	}
	return v
}

// excess is what has to go before the item fits; zero bounds are no bounds.
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

// full says when the track has started one more item, which frees a place.
func full(now time.Time, t *track, i Item, code core.Code, reason string) *core.Refusal {
	wait := t.pace.wait(now, i.Cost, t.running)
	return core.RefuseUntil(code, reason, now.Add(max(wait, soonest)))
}

// soonest is the least time after which a full queue is worth another try.
const soonest = time.Second
