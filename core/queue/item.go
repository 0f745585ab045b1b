package queue

import (
	"math"
	"time"

	"radishwell/core"
)

// Item describes a waiting request to the queue.
type Item struct {
	ID core.RequestID
	// Lane names the resource that the request waits for, such as its model.
	Lane   string
	Owner  core.OwnerName
	Caller core.CallerName
	// Class is the item's urgency, zero first. Queues by weight know the classes of
	// package core, strict ones as many as upstreams have priorities.
	Class core.Class
	// Deadline is when the caller stops waiting; the zero time means never.
	Deadline time.Time
	// Cost is the estimated work of the request, such as its tokens. Values
	// below one count as one.
	Cost int64
	// Size is the memory that the request holds while it waits.
	Size core.Bytes
}

// Refused is an item that left the queue without being popped, together with
// the refusal to send. Every item that was pushed leaves the queue exactly
// once: popped, refused or removed.
type Refused struct {
	Item    Item
	Refusal *core.Refusal
}

// levels is the number of classes that a queue distinguishes.
const levels = core.PriorityLevels

// Weights are the shares of the classes while all of them have work waiting: 64
// to 8 to 1, which is 87.7, 11.0 and 1.4 per cent of the cost served.
// Interactive work is then delayed by at most one part in eight, evening
// sessions stay slow but usable, and an overnight backlog still drains during a
// whole day of saturation.
var Weights = [core.ClassCount]int64{core.Interactive: 64, core.Evening: 8, core.Overnight: 1}

// virtualUnit is the virtual time of cost one at weight one. It is a multiple
// of every weight, so charges are integers and add up identically on all
// machines.
const virtualUnit = 64

// maxCost bounds the cost of one item so that virtual time cannot overflow: a
// billion items of this cost stay below the limit of int64.
const maxCost = 1 << 27

// entry is a waiting item in the heaps of the queue.
type entry struct {
	Item
	// startBy is the last time at which the item can start and still finish in
	// time.
	startBy time.Time
	// seq breaks ties between items that are otherwise equal.
	seq   uint64
	queue *callerQueue
	// startByIndex and queueIndex are the indexes of the entry in
	// Queue.byStart and callerQueue.entries.
	startByIndex, queueIndex int32
	// probe is set if the item was admitted to refresh stale estimates.
	probe bool
}

// forever stands for the absence of a deadline in comparisons.
var forever = time.Unix(math.MaxInt32*64, 0)

func (e *entry) deadline() time.Time {
	if e.Deadline.IsZero() {
		return forever
	}
	return e.Deadline
}

func (e *entry) less(o *entry) bool {
	d, od := e.deadline(), o.deadline()
	if !d.Equal(od) {
		return d.Before(od)
	}
	if e.Cost != o.Cost {
		return e.Cost < o.Cost
	}
	return e.seq < o.seq
}
