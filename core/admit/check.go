package admit

import (
	"strconv"
	"time"

	"radishwell/core"
)

const (
	// unknownDrain is what a refusal foresees while no departure has been
	// measured: long enough to keep a client from hammering, short enough for a
	// person to wait.
	unknownDrain = time.Second
	// longestDrain caps what a measured gap can foresee: after it the measure is
	// older than the load it came from.
	longestDrain = time.Minute
	// margin is the part of a foreseen wait that is added to it. The wait is a
	// mean: taken as it is, half of the requests let in at the edge would end
	// after their deadlines, and what they took is lost to all.
	margin = 8
)

// check returns the refusal that the record's limits give, nil where they have
// room. It changes nothing.
func (c *record) check(now time.Time, r core.Request) *core.Refusal {
	if ref := c.checkRate(now); ref != nil {
		return ref
	}
	if ref := c.checkQueue(now, r); ref != nil {
		return ref
	}
	return c.checkConcurrency(now, r)
}

func (c *record) checkRate(now time.Time) *core.Refusal {
	if c.bucket == nil {
		return nil
	}
	tokens := c.bucket.TokensAt(now)
	if tokens >= 1 {
		return nil
	}
	missing := (1 - tokens) / float64(c.bucket.Limit())
	at := now.Add(time.Duration(missing*float64(time.Second)) + 1)
	return core.RefuseUntil(core.CodeRateLimit, "The "+c.key.scope.String()+" "+c.key.name+
		" may send "+strconv.FormatFloat(c.limits.Rate, 'g', -1, 64)+" requests a second.", at)
}

func (c *record) checkQueue(now time.Time, r core.Request) *core.Refusal {
	if !c.full(r.Size) {
		return nil
	}
	return core.RefuseUntil(core.CodeQueueFull, "The queue of the "+c.key.scope.String()+" "+
		c.key.name+" is full.", now.Add(c.drain()))
}

// full reports whether a request of this size has no place in the queue. A
// request larger than the whole allowance is let in when nothing else waits:
// otherwise it would be told to come again and never pass. The entry's limit on
// a single body bounds what that can hold.
func (c *record) full(size core.Bytes) bool {
	if n := c.share.count(c.limits.Queue); n > 0 && c.waiting >= n {
		return true
	}
	most := c.share.bytes(c.limits.QueueBytes)
	return most > 0 && c.bytes > 0 && c.bytes+size > most
}

// drain foresees when the next place in the queue is free.
func (c *record) drain() time.Duration {
	if c.gap == 0 {
		return unknownDrain
	}
	return min(c.gap, longestDrain)
}

// checkConcurrency refuses where the limit is in use and the requests already
// waiting for it will, at the measured time each takes, hold it past the
// deadline. Without it callers wait out their whole deadline behind their own
// owner's backlog and get the same refusal later.
func (c *record) checkConcurrency(now time.Time, r core.Request) *core.Refusal {
	most := c.share.count(c.limits.Concurrency)
	if most == 0 || c.held() < most || c.service == 0 {
		return nil
	}
	ahead := c.held() - most + 1
	wait := c.service * time.Duration(ahead) / time.Duration(most)
	end := now.Add(wait + wait/margin + c.service)
	if r.Deadline.IsZero() || !end.After(r.Deadline) {
		return nil
	}
	late := end.Sub(r.Deadline)
	return core.RefuseUntil(core.CodeConcurrency, "The "+c.key.scope.String()+" "+c.key.name+" has "+
		strconv.Itoa(c.running)+" requests in progress and "+strconv.Itoa(c.waiting)+
		" waiting; the deadline would pass first.", now.Add(late))
}

// mayStart reports whether the concurrency limit has room for one more.
func (c *record) mayStart() bool {
	most := c.share.count(c.limits.Concurrency)
	return most == 0 || c.running < most
}
