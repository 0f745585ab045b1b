package admit

import (
	"time"

	"golang.org/x/time/rate"

	"radishwell/core"
)

// Scope is what a limit is kept for.
type Scope uint8

// Scopes of limits.
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

// key names one record. Callers are unique only within their owner; the other
// scopes leave owner empty.
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
	// bucket is nil while the name has no rate limit.
	bucket  *rate.Limiter
	waiting int
	running int
	bytes   core.Bytes
	// service is the smoothed time from Start to Done; zero while unknown.
	service time.Duration
	// left is when a request last stopped waiting, gap the smoothed time between
	// two such events; zero while unknown.
	left time.Time
	gap  time.Duration
	// idle is the record's place in the list of records that hold nothing.
	idle int
}

func (c *record) held() int { return c.waiting + c.running }

// set puts limits in force. Tokens already in the bucket are kept, up to the
// new burst, so that an edit of the catalogue gives nobody a fresh burst.
func (c *record) set(now time.Time, l core.Limits, s Share) {
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

// rested reports whether the record equals a fresh one, so that it can go.
func (c *record) rested(now time.Time) bool {
	if c.held() > 0 {
		return false
	}
	return c.bucket == nil || c.bucket.TokensAt(now) >= float64(c.bucket.Burst())
}

// smooth folds a sample into an average; each sample weighs an eighth, so that
// about the last sixteen count.
func smooth(old, sample time.Duration) time.Duration {
	if old == 0 {
		return max(1, sample)
	}
	return max(1, old+(sample-old)/8)
}
