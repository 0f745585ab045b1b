package queue

import (
	"math"
	"time"

	"radishwell/core"
)

// Item is a waiting request as the queue sees it.
type Item struct {
	ID core.RequestID
	// Lane names what the request waits for, such as its model.
	Lane   string
	Owner  core.OwnerName
	Caller core.CallerName
	Class  core.Class
	// Deadline is when the caller stops waiting; zero for never.
	Deadline time.Time
	// Cost is the work the request brings, such as its tokens; values below one
	// stand for one.
	Cost int64
	// Size is the memory the request holds while it waits.
	Size core.Bytes
}

// Refused is an item that will not be popped any more, with its answer. Every
// item that was pushed comes back exactly once: popped, refused or removed.
type Refused struct {
	Item    Item
	Refusal *core.Refusal
}

// Weights are the shares of the classes while all of them have work waiting:
// 64 to 8 to 1, which is 87.7, 11.0 and 1.4 per cent of the cost served.
// Interactive work is then delayed by one part in eight at the worst, evening
// sessions move at a pace a person notices but can work with, and an overnight
// backlog still drains through a whole day of saturation.
var Weights = [core.ClassCount]int64{core.Interactive: 64, core.Evening: 8, core.Overnight: 1}

// unit is the virtual time of cost one at weight one. It is a multiple of every
// weight, so that charges are whole numbers and add up alike on all machines.
const unit = 64

// mostCost bounds the cost of one item, so that virtual time cannot overflow: at
// a billion items of this cost each it is still below the limit of int64.
const mostCost = 1 << 27

// entry is an item in the queue's heaps.
type entry struct {
	Item
	// last is the last moment at which starting is of use.
	last time.Time
	// seq orders items that are otherwise equal.
	seq  uint64
	flow *flow
	// due and turn are the item's places in the heaps of last starts and of its
	// flow.
	due, turn int32
	// inDoubt marks an item let in to measure anew, whatever was measured.
	inDoubt bool
}

// forever stands for "no deadline" in comparisons.
var forever = time.Unix(math.MaxInt32*64, 0)

func (e *entry) deadline() time.Time {
	if e.Deadline.IsZero() {
		return forever
	}
	return e.Deadline
}

func (e *entry) beats(o *entry) bool {
	d, od := e.deadline(), o.deadline()
	if !d.Equal(od) {
		return d.Before(od)
	}
	if e.Cost != o.Cost {
		return e.Cost < o.Cost
	}
	return e.seq < o.seq
}
