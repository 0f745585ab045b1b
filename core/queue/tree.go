package queue

import (
	"radishwell/core"
)

// virtualClock is the virtual time of one level of fair queueing: the start tag
// of the element served last. An element that returns, or whose lane was
// blocked, starts from here. It gets its share from now on and no credit for
// the time in which it had nothing to run.
type virtualClock struct {
	now int64
	// maxFinish is the largest finish tag assigned so far.
	maxFinish int64
}

func (c *virtualClock) startTag(tag int64) int64 { return max(tag, c.now) }

// advance charges the element with the given tag and returns its new tag.
func (c *virtualClock) advance(tag, charge int64) int64 {
	c.now = c.startTag(tag)
	end := c.now + charge
	c.maxFinish = max(c.maxFinish, end)
	return end
}

// endBusyPeriod advances the clock to the largest finish tag. It is called when
// nothing waits, so no element is behind.
func (c *virtualClock) endBusyPeriod() { c.now = c.maxFinish }

// load sums up waiting items.
type load struct {
	items int
	cost  int64
	bytes core.Bytes
}

func (l *load) add(i Item, sign int) {
	l.items += sign
	l.cost += int64(sign) * i.Cost
	l.bytes += core.Bytes(sign) * i.Size
}

// classState is the state of one class over all lanes.
type classState struct {
	load
	tag    int64
	clock  virtualClock
	owners map[core.OwnerName]*ownerState
	// bySize orders the owners with waiting items, the one with most items
	// first.
	bySize indexedHeap[*ownerState]
	// idleAhead lists owners with nothing waiting whose tag is still ahead of
	// clock.
	idleAhead []*ownerState
}

// ownerState is the state of one owner within a class, over all lanes.
type ownerState struct {
	load
	name    core.OwnerName
	tag     int64
	clock   virtualClock
	callers map[core.CallerName]*callerState
	// sizeIndex is the owner's index in classState.bySize, and listedIdle is
	// set while classState.idleAhead contains the owner.
	sizeIndex  int
	listedIdle bool
}

// callerState is the state of one caller within an owner, over all lanes.
type callerState struct {
	load
	name core.CallerName
	tag  int64
	// queues are the caller's non-empty queues, one per track, in the order of
	// their creation.
	queues []*callerQueue
}

// callerQueue holds the items that one caller has waiting in one track, ordered
// by deadline.
type callerQueue struct {
	parent  *ownerQueue
	caller  *callerState
	entries indexedHeap[*entry]
	load
	// tag is the tag of the caller that the heap in ownerQueue.byTag uses, and
	// index is the position in that heap.
	tag   int64
	index int
}

// ownerQueue holds the callers of one owner that have items waiting in one
// track.
type ownerQueue struct {
	parent  *classQueue
	owner   *ownerState
	callers map[core.CallerName]*callerQueue
	byTag   indexedHeap[*callerQueue]
	load
	tag   int64
	index int
}

// classQueue holds the owners of one class that have items waiting in one
// track.
type classQueue struct {
	track  *track
	class  core.Class
	owners map[core.OwnerName]*ownerQueue
	byTag  indexedHeap[*ownerQueue]
	load
}

func newClassState() *classState {
	c := &classState{owners: make(map[core.OwnerName]*ownerState)}
	c.bySize.less = func(a, b *ownerState) bool {
		if a.items != b.items {
			return a.items > b.items
		}
		return a.name < b.name
	}
	c.bySize.setIndex = func(o *ownerState, index int) { o.sizeIndex = index }
	return c
}

func newClassQueue(t *track, c core.Class) *classQueue {
	s := &classQueue{track: t, class: c, owners: make(map[core.OwnerName]*ownerQueue)}
	s.byTag.less = func(a, b *ownerQueue) bool {
		if a.tag != b.tag {
			return a.tag < b.tag
		}
		return a.owner.name < b.owner.name
	}
	s.byTag.setIndex = func(p *ownerQueue, index int) { p.index = index }
	return s
}

func newOwnerQueue(s *classQueue, o *ownerState) *ownerQueue {
	p := &ownerQueue{parent: s, owner: o, callers: make(map[core.CallerName]*callerQueue), tag: o.tag}
	p.byTag.less = func(a, b *callerQueue) bool {
		if a.tag != b.tag {
			return a.tag < b.tag
		}
		return a.caller.name < b.caller.name
	}
	p.byTag.setIndex = func(f *callerQueue, index int) { f.index = index }
	return p
}

func newCallerQueue(p *ownerQueue, c *callerState) *callerQueue {
	f := &callerQueue{parent: p, caller: c, tag: c.tag}
	f.entries.less = (*entry).less
	f.entries.setIndex = func(e *entry, index int) { e.queueIndex = int32(index) }
	return f
}

// first returns the owner with the smallest tag. The heap may hold an outdated
// tag if the owner was served through another track. Tags only grow, so an
// element at the top whose tag is current has the smallest one.
func (s *classQueue) first() *ownerQueue {
	for {
		p := s.byTag.top()
		if p.tag == p.owner.tag {
			return p
		}
		p.tag = p.owner.tag
		s.byTag.fix(p.index)
	}
}

// first returns the caller with the smallest tag, in the same way as
// classQueue.first.
func (p *ownerQueue) first() *callerQueue {
	for {
		f := p.byTag.top()
		if f.tag == f.caller.tag {
			return f
		}
		f.tag = f.caller.tag
		p.byTag.fix(f.index)
	}
}
