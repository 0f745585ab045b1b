package admit

import (
	"time"

	"golang.org/x/time/rate"

	"radishwell/core"
)

// Scope is the kind of name to which a limit applies.
type Scope uint8

// The scopes of limits.
const (
	Owner Scope = iota
	Caller
	Target
	Service
	scopeCount
)

var scopeNames = [scopeCount]string{"owner", "caller", "model", "service"}

// String returns the scope's name as it appears in refusals.
func (s Scope) String() string {
	if s >= scopeCount {
		return "unknown"
	}
	return scopeNames[s]
}

// key identifies a record. Callers are unique only within their owner; for the
// other scopes owner is empty.
type key struct {
	scope Scope
	owner core.OwnerName
	name  string
}

func keysOf(r core.Request) [scopeCount]key {
	return [scopeCount]key{
		Owner:   {scope: Owner, name: string(r.Owner)},
		Caller:  {scope: Caller, owner: r.Owner, name: string(r.Caller)},
		Target:  {scope: Target, name: string(r.Target.Model)},
		Service: {scope: Service, name: string(r.Target.Service)},
	}
}

func (b Bounds) limits() [scopeCount]core.Limits {
	return [scopeCount]core.Limits{Owner: b.Owner, Caller: b.Caller, Target: b.Target, Service: b.Service}
}

// record is the state of one name.
type record struct {
	key    key
	limits core.Limits
	share  Share
	// bucket is nil if the name has no rate limit.
	bucket  *rate.Limiter
	waiting int
	running int
	bytes   core.Bytes
	// serviceTime is the smoothed time from Start to Done; zero while unknown.
	serviceTime time.Duration
	// lastLeft is when a request last stopped waiting, and leaveInterval is the
	// smoothed time between two such events. Both are zero while unknown.
	lastLeft      time.Time
	leaveInterval time.Duration
	// idleIndex is the record's index in Limiter.idle, or -1.
	idleIndex int
}

func (c *record) total() int { return c.waiting + c.running }

// setLimits applies limits. The tokens in the bucket are kept, up to the new
// burst, so that an edit of the catalogue gives no name another burst.
func (c *record) setLimits(now time.Time, l core.Limits, s Share) {
	if c.limits == l && c.share == s {
		return
	}
	c.limits, c.share = l, s
	if l.Rate <= 0 {
		c.bucket = nil
		return
	}
	limit, burst := rate.Limit(s.rate(l.Rate)), s.burst(l)
	if c.bucket == nil {
		c.bucket = rate.NewLimiter(limit, burst)
		return
	}
	c.bucket.SetLimitAt(now, limit)
	c.bucket.SetBurstAt(now, burst)
}

// isFresh reports whether the record equals a new one and can be deleted.
func (c *record) isFresh(now time.Time) bool {
	if c.total() > 0 {
		return false
	}
	return c.bucket == nil || c.bucket.TokensAt(now) >= float64(c.bucket.Burst())
}

// smooth adds a sample to a moving average. A sample has a weight of one
// eighth, so about the last sixteen count.
func smooth(old, sample time.Duration) time.Duration {
	if old == 0 {
		return max(1, sample)
	}
	return max(1, old+(sample-old)/8)
}
