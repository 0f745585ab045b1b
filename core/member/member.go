package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"radishwell/core"
)

// Thresholds of suspicion.
const (
	// firstHold is how long a host is avoided after a first failure. A process
	// restarts in less; an entry that tries a dead host once a second wastes
	// one connection a second on it, and no request.
	firstHold = time.Second
	// maxHold bounds the avoidance of a host that fails again and again. A
	// minute is about a cold start, beyond which waiting saves nothing.
	maxHold  = time.Minute
	maxLevel = 7
	// decayPeriod without a failure takes back one doubling: a host that fails
	// less than once in it always comes back after firstHold.
	decayPeriod = time.Minute
	// freshLevel is the level from which a restart is taken for one of a series
	// of crashes, so that it does not clear the suspicion.
	freshLevel = 4
	// leavingProbe is how often a host that said it is leaving is asked whether
	// another life of its process has begun.
	leavingProbe = 10 * time.Second
	// silentNet: when at least so many hosts and more than half of those heard
	// of within recent are suspect, the fault is taken to be on this side.
	silentNet = 4
	recent    = time.Minute
	// maxGone bounds how many hosts that are no longer listed are remembered.
	maxGone = 4096
	// maxFormer bounds the lives remembered of one host.
	maxFormer = 8
)

// Table is what one process knows of the hosts. The zero value with Rand set
// is ready. It is not safe for concurrent use.
type Table struct {
	// Rand spreads the returns of many processes to one host.
	Rand *rand.Rand

	hosts map[core.HostName]*host
	gone  []core.HostName
}

// host is what is known of one host.
type host struct {
	listed      core.HostState
	incarnation core.Incarnation
	// former are earlier lives, which no late answer can bring back.
	former []core.Incarnation
	// saidLeaving is the life that said it is leaving.
	saidLeaving core.Incarnation
	// marks are the lives marked as leaving, and until when.
	marks map[core.Incarnation]time.Time

	// failing tells that the last contact failed. holdUntil is until when the
	// host is avoided in any case, and when it is probed after a failure.
	failing   bool
	failedAt  time.Time
	okAt      time.Time
	holdUntil time.Time
	// level counts the failures that have not decayed as of failedAt.
	level   int
	probeAt time.Time
}

func (t *Table) host(name core.HostName) *host {
	h := t.hosts[name]
	if h == nil {
		h = &host{}
		if t.hosts == nil {
			t.hosts = map[core.HostName]*host{}
		}
		t.hosts[name] = h
	}
	return h
}

// Listed takes a host's state in the platform's list. A host that is listed
// again after it was gone starts anew.
func (t *Table) Listed(name core.HostName, state core.HostState) {
	h := t.host(name)
	if h.listed == core.HostGone {
		t.gone = slices.DeleteFunc(t.gone, func(n core.HostName) bool { return n == name })
		*h = host{}
	}
	h.listed = state
}

// Unlisted notes that the platform's list no longer has a host.
func (t *Table) Unlisted(name core.HostName) {
	h := t.host(name)
	if h.listed == core.HostGone {
		return
	}
	*h = host{listed: core.HostGone}
	t.gone = append(t.gone, name)
	if len(t.gone) > maxGone {
		delete(t.hosts, t.gone[0])
		t.gone = slices.Delete(t.gone, 0, 1)
	}
}

// ProvenGone tells whether the platform's list had the host and no longer has
// it. Nothing else proves that a host is gone.
func (t *Table) ProvenGone(name core.HostName) bool {
	h := t.hosts[name]
	return h != nil && h.listed == core.HostGone
}

// Marked notes that a life of a host's process is leaving, as spread by peers.
func (t *Table) Marked(now time.Time, name core.HostName, life core.Incarnation, expires time.Time) {
	h := t.host(name)
	if h.listed == core.HostGone || slices.Contains(h.former, life) {
		return
	}
	for old, until := range h.marks {
		if !until.After(now) {
			delete(h.marks, old)
		}
	}
	if h.marks == nil {
		h.marks = map[core.Incarnation]time.Time{}
	}
	if expires.After(h.marks[life]) {
		h.marks[life] = expires
	}
}

// Note takes in a contact with a host's process.
func (t *Table) Note(now time.Time, c Contact) {
	h := t.host(c.Host)
	if h.listed == core.HostGone {
		return
	}
	if c.OK {
		h.answered(now, c)
		return
	}
	t.failed(now, h, c)
}

// answered notes a sign of life.
func (h *host) answered(now time.Time, c Contact) {
	if c.Incarnation != 0 && slices.Contains(h.former, c.Incarnation) {
		return
	}
	if c.Incarnation != 0 && c.Incarnation != h.incarnation {
		h.begin(now, c.Incarnation)
	}
	h.okAt = now
	h.failing = false
	if c.Leaving {
		h.saidLeaving = h.incarnation
	}
}

// begin notes a new life: what was held against the old one is void, but for a
// process that crashes again and again.
func (h *host) begin(now time.Time, life core.Incarnation) {
	if h.incarnation != 0 {
		h.former = append(h.former, h.incarnation)
		h.former = h.former[max(0, len(h.former)-maxFormer):]
		delete(h.marks, h.incarnation)
	}
	h.incarnation = life
	if h.levelAt(now) < freshLevel {
		h.holdUntil = time.Time{}
	}
}

// failed notes a failure.
//
// A connection can go silent while others to the same host work. Such a
// failure tells of the time up to when the connection last carried something,
// and a later success outweighs it; without that, every forgotten connection
// would take a healthy host out of service.
func (t *Table) failed(now time.Time, h *host, c Contact) {
	since := c.Since
	if since.IsZero() || since.After(now) {
		since = now
	}
	if c.Incarnation != 0 && slices.Contains(h.former, c.Incarnation) || h.okAt.After(since) {
		return
	}
	// Many requests fail together when a host goes. They are one failure.
	held := h.failing && now.Before(h.holdUntil)
	if !held {
		h.level = min(h.levelAt(now)+1, maxLevel)
	}
	h.failing = true
	h.failedAt = now
	if held {
		return
	}
	if t.blind(now) {
		h.level = 1
	}
	h.holdUntil = now.Add(t.spread(holdOf(h.level)))
	h.probeAt = h.holdUntil
}

// blind tells whether this process's own network is the likelier cause: so many
// hosts failed at once that holding them back longer and longer would only keep
// this process from work once the network is back.
func (t *Table) blind(now time.Time) bool {
	bad, all := 0, 0
	for _, h := range t.hosts {
		if now.Sub(h.okAt) > recent && now.Sub(h.failedAt) > recent {
			continue
		}
		all++
		if h.failing {
			bad++
		}
	}
	return bad >= silentNet && 2*bad > all
}

// levelAt returns the level less what has decayed.
func (h *host) levelAt(now time.Time) int {
	if h.level == 0 {
		return 0
	}
	return max(0, h.level-int(now.Sub(h.failedAt)/decayPeriod))
}

func holdOf(level int) time.Duration {
	return min(firstHold<<(level-1), maxHold)
}

// spread returns d less up to a quarter.
func (t *Table) spread(d time.Duration) time.Duration {
	return d - time.Duration(t.Rand.Int64N(int64(d/4)))
}
