package admit

import (
	"strconv"
	"time"

	"radishwell/core"
)

const (
	// defaultDrainTime is the expected wait for a place in the queue while no
	// interval has been measured. It is long enough to keep a client from
	// retrying in a tight loop and short enough for a person to wait.
	defaultDrainTime = time.Second
	// maxWait caps estimated waits. After a longer time the measurement no
	// longer describes the present load.
	maxWait = time.Minute
	// marginDivisor sets the margin added to an estimated wait, an eighth of
	// it. The wait is a mean. Without the margin half of the requests that are
	// only just admitted would end after their deadlines, and the work spent on
	// them would be lost.
	marginDivisor = 8
)

// check returns the refusal that the record's limits give, or nil if they admit
// the request. It changes nothing.
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
	if !c.queueFull(r.Size) {
		return nil
	}
	return core.RefuseUntil(core.CodeQueueFull, "The queue of the "+c.key.scope.String()+" "+
		c.key.name+" is full.", now.Add(c.drainTime()))
}

// queueFull reports whether a request of this size has no place in the queue. A
// request larger than the limit on bytes is admitted if nothing else waits;
// otherwise it would be refused at each retry and never be admitted. The
// entry's limit on the body of one request bounds the memory that it can hold.
func (c *record) queueFull(size core.Bytes) bool {
	if n := c.share.count(c.limits.Queue); n > 0 && c.waiting >= n {
		return true
	}
	limit := c.share.bytes(c.limits.QueueBytes)
	return limit > 0 && c.bytes > 0 && c.bytes+size > limit
}

// drainTime estimates the time until the next place in the queue is free.
func (c *record) drainTime() time.Duration {
	if c.leaveInterval == 0 {
		return defaultDrainTime
	}
	return min(c.leaveInterval, maxWait)
}

// checkConcurrency refuses a request if the concurrency limit is in use and the
// requests ahead of it are expected to occupy it past the request's deadline.
// Without this check callers would wait until their deadline behind the backlog
// of their own owner and get the same refusal later.
func (c *record) checkConcurrency(now time.Time, r core.Request) *core.Refusal {
	limit := c.share.count(c.limits.Concurrency)
	if limit == 0 || c.total() < limit || c.serviceTime == 0 {
		return nil
	}
	ahead := c.total() - limit + 1
	wait := c.serviceTime * time.Duration(ahead) / time.Duration(limit)
	end := now.Add(wait + wait/marginDivisor + c.serviceTime)
	if r.Deadline.IsZero() || !end.After(r.Deadline) {
		return nil
	}
	late := end.Sub(r.Deadline)
	return core.RefuseUntil(core.CodeConcurrency, "The "+c.key.scope.String()+" "+c.key.name+" has "+
		strconv.Itoa(c.running)+" requests in progress and "+strconv.Itoa(c.waiting)+
		" waiting; the deadline would pass first.", now.Add(late))
}

// mayStart reports whether the concurrency limit admits one more request.
func (c *record) mayStart() bool {
	limit := c.share.count(c.limits.Concurrency)
	return limit == 0 || c.running < limit
}
