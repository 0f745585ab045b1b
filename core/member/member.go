package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"radishwell/core"
)

// Thresholds of suspicion.
const (
	// minHold is how long a host is avoided after a first failure. A process restarts
	// in less time. An entry that tries a dead host once a second wastes one
	// connection a second on it, and no request.
	minHold = time.Second
	// maxHold bounds the time for which a host with repeated failures is avoided. A
	// minute is about a cold start; waiting longer saves nothing.
	maxHold  = time.Minute
	maxLevel = 7
	// decayInterval without a failure lowers the failure level by one, which halves
	// the hold. A host that fails less than once in it is avoided only for minHold.
	decayInterval = time.Minute
	// crashLoopLevel is the failure level from which a restart counts as part of a
	// crash loop, so that it does not clear the suspicion.
	crashLoopLevel = 4
	// leavingProbeInterval is how often a leaving host is probed for a new
	// incarnation of its process.
	leavingProbeInterval = 10 * time.Second
	// If at least ownFaultHosts hosts and more than half of those with a contact
	// within ownFaultWindow are failing, the fault is assumed to be on this side.
	ownFaultHosts  = 4
	ownFaultWindow = time.Minute
	// maxGone bounds the number of remembered hosts that are no longer listed.
	maxGone = 4096
	// maxPastIncarnations bounds the remembered incarnations of one host.
	maxPastIncarnations = 8
)

// Table is one process's view of the hosts. The zero value with Rand set is ready
// for use. It is not safe for concurrent use.
type Table struct {
	// Rand jitters the times at which processes return to a host.
	Rand *rand.Rand

	hosts map[core.HostName]*host
	gone  []core.HostName
}

// host is the state of one host.
type host struct {
	listed      core.HostState
	incarnation core.Incarnation
	// pastIncarnations has earlier incarnations, whose late responses are ignored.
	pastIncarnations []core.Incarnation
	// leavingIncarnation is the incarnation whose response said that it is leaving.
	leavingIncarnation core.Incarnation
	// leavingMarks has the incarnations marked as leaving by peers, with the expiry
	// of each mark.
	leavingMarks map[core.Incarnation]time.Time

	// failing is set if the last contact failed. Until holdUntil the host is avoided
	// in any case; after a failure it is then probed.
	failing     bool
	lastFailure time.Time
	lastOK      time.Time
	holdUntil   time.Time
	// failureLevel counts the failures that have not decayed as of lastFailure.
	failureLevel int
	probeAt      time.Time
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

// SetListed sets the state of a host in the platform's list. A host that is listed
// again after it was gone starts with an empty history.
func (t *Table) SetListed(name core.HostName, state core.HostState) {
	h := t.host(name)
	if h.listed == core.HostGone {
		t.gone = slices.DeleteFunc(t.gone, func(n core.HostName) bool { return n == name })
		*h = host{}
	}
	h.listed = state
}

// SetUnlisted records that the platform's list no longer has a host.
func (t *Table) SetUnlisted(name core.HostName) {
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

// ProvenGone reports whether the platform's list had the host and no longer has
// it. Nothing else proves that a host is gone.
func (t *Table) ProvenGone(name core.HostName) bool {
	h := t.hosts[name]
	return h != nil && h.listed == core.HostGone
}

// MarkLeaving records a mark that an incarnation of a host's process is leaving,
// as spread by peers.
func (t *Table) MarkLeaving(now time.Time, name core.HostName, incarnation core.Incarnation, expires time.Time) {
	h := t.host(name)
	if h.listed == core.HostGone || slices.Contains(h.pastIncarnations, incarnation) {
		return
	}
	for old, until := range h.leavingMarks {
		if !until.After(now) {
			delete(h.leavingMarks, old)
		}
	}
	if h.leavingMarks == nil {
		h.leavingMarks = map[core.Incarnation]time.Time{}
	}
	if expires.After(h.leavingMarks[incarnation]) {
		h.leavingMarks[incarnation] = expires
	}
}

// RecordContact records a contact with a host's process.
func (t *Table) RecordContact(now time.Time, c Contact) {
	h := t.host(c.Host)
	if h.listed == core.HostGone {
		return
	}
	if c.OK {
		h.recordSuccess(now, c)
		return
	}
	t.recordFailure(now, h, c)
}

// recordSuccess records a successful contact.
func (h *host) recordSuccess(now time.Time, c Contact) {
	if c.Incarnation != 0 && slices.Contains(h.pastIncarnations, c.Incarnation) {
		return
	}
	if c.Incarnation != 0 && c.Incarnation != h.incarnation {
		h.startIncarnation(now, c.Incarnation)
	}
	h.lastOK = now
	h.failing = false
	if c.Leaving {
		h.leavingIncarnation = h.incarnation
	}
}

// startIncarnation records a new incarnation. It clears the suspicion, unless the
// process is in a crash loop.
func (h *host) startIncarnation(now time.Time, incarnation core.Incarnation) {
	if h.incarnation != 0 {
		h.pastIncarnations = append(h.pastIncarnations, h.incarnation)
		h.pastIncarnations = h.pastIncarnations[max(0, len(h.pastIncarnations)-maxPastIncarnations):]
		delete(h.leavingMarks, h.incarnation)
	}
	h.incarnation = incarnation
	if h.decayedLevel(now) < crashLoopLevel {
		h.holdUntil = time.Time{}
	}
}

// recordFailure records a failed contact.
//
// A connection can stop carrying data while others to the same host work. Such a
// failure dates from when the connection last carried data, and a later success
// outweighs it. Without this rule, every connection that was dropped silently would
// take a healthy host out of service.
func (t *Table) recordFailure(now time.Time, h *host, c Contact) {
	since := c.Since
	if since.IsZero() || since.After(now) {
		since = now
	}
	if c.Incarnation != 0 && slices.Contains(h.pastIncarnations, c.Incarnation) || h.lastOK.After(since) {
		return
	}
	// Requests that fail together when a host goes down count as one failure.
	held := h.failing && now.Before(h.holdUntil)
	if !held {
		h.failureLevel = min(h.decayedLevel(now)+1, maxLevel)
	}
	h.failing = true
	h.lastFailure = now
	if held {
		return
	}
	if t.ownNetworkSuspect(now) {
		h.failureLevel = 1
	}
	h.holdUntil = now.Add(t.jitter(holdTime(h.failureLevel)))
	h.probeAt = h.holdUntil
}

// ownNetworkSuspect reports whether this process's own network is the likelier
// cause: so many hosts fail at once that longer holds would only keep this process
// from work once the network is back.
func (t *Table) ownNetworkSuspect(now time.Time) bool {
	bad, all := 0, 0
	for _, h := range t.hosts {
		if now.Sub(h.lastOK) > ownFaultWindow && now.Sub(h.lastFailure) > ownFaultWindow {
			continue
		}
		all++
		if h.failing {
			bad++
		}
	}
	return bad >= ownFaultHosts && 2*bad > all
}

// decayedLevel returns the failure level after decay.
func (h *host) decayedLevel(now time.Time) int {
	if h.failureLevel == 0 {
		return 0
	}
	return max(0, h.failureLevel-int(now.Sub(h.lastFailure)/decayInterval))
}

func holdTime(level int) time.Duration {
	return min(minHold<<(level-1), maxHold)
}

// jitter returns d less up to a quarter.
func (t *Table) jitter(d time.Duration) time.Duration {
	return d - time.Duration(t.Rand.Int64N(int64(d/4)))
}
