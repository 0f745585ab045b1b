package fleet

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishwell/core"
)

// The weights below add up to the time, in milliseconds, after which a host
// should give its first answer; only their ratios matter to the choice.
const (
	// ReadRate is the prompt tokens that an engine is taken to read in a millisecond. A
	// long prompt then keeps the next request waiting for so long that it outweighs the
	// rest.
	ReadRate = 38.0
	// runningCost is what each request in progress adds: a batch grows each step
	// by under a hundredth.
	runningCost = 2.0
	// firstReadTime is how long an engine is taken to read a prompt before one has
	// been measured, and readWeight the weight of each new measure.
	firstReadTime = 100.0
	readWeight    = 0.05
	// farCost keeps requests in the caller's data centre where hosts are equal.
	farCost = 8.0
	// adapterCost is what fetching an adapter takes, with the orders for it.
	adapterCost = 40.0
	// busyCost is the least that an order in progress keeps others waiting.
	busyCost = 100.0
	// failingCost is added for each recent failure. One failure sends requests to
	// another host where there is one that is about as good.
	failingCost = 150.0
	// failingHalf is after how long a failure counts half.
	failingHalf = 3 * time.Second
	// spreadCost is the most that a host's place in the order of a prompt's own
	// hosts adds. Entries that know nothing yet of each other's requests then
	// send the same prompts to the same host.
	spreadCost = 60.0
	// fullCost is added for each request beyond what a host runs at once.
	fullCost = 60.0
	// unreachable is for how long a host that took no connection is used only if
	// there is no other: an agent's word or the registry's comes about then.
	unreachable = time.Second
	// absentFor is for how long a host's refusal counts above what it reported
	// to hold: reports are half a second old, the registry's a second or two.
	absentFor = 1500 * time.Millisecond
	// prefixAge is how long a shared part of a prompt is taken to be kept, and
	// mostPrefixes how many are remembered of one host.
	prefixAge    = time.Minute
	mostPrefixes = 2048
)

// Query is a request in search of a host.
type Query struct {
	Service core.ServiceName
	// Model is empty for a plain service; Adapter where none is asked for.
	Model   core.ModelName
	Adapter string
	// Parts is the prompt in order; the last part is the request's own.
	Parts []core.PromptPart
	// Tokens is the length of the prompt.
	Tokens     int
	DataCentre core.DataCentre
	// Tried are hosts that are not to be chosen.
	Tried []core.HostName
}

type prefixKey uint64

func (q *Query) key(part string) prefixKey {
	return prefixKey(xxhash.Sum64String(string(q.Model) + "/" + q.Adapter + "/" + part))
}

// Choice is the answer to a Query.
type Choice struct {
	// Host is nil where no host can take the request now.
	Host *Host
	// Fetch tells that the host lacks the adapter, which has to be loaded first.
	Fetch bool
	// Listed tells that the service has hosts that may get work, whatever they
	// hold.
	Listed bool
	// Leaving tells that the service has hosts that run and leave.
	Leaving bool
	// Cost is what the host was weighed by, in milliseconds.
	Cost float64
	// Wait is when the host should give its first answer, from now.
	Wait time.Duration
	// RetryAt is when the first of the hosts takes requests again, zero where some host
	// does, or none holds the model.
	RetryAt time.Time
	// Paced is the part of Wait that is for the rate limit that the host names.
	Paced time.Duration
}

// leastQueue is the wait that is allowed whatever a route's target.
const leastQueue = 500 * time.Millisecond

// Overloaded tells whether a request would wait for longer than its target at the
// host that should answer first.
//
// It answers the load of a model that is asked for more often than its hosts can
// read prompts, as in the seconds after demand has moved. Queued in the engines,
// requests wait until all of them are late, and many are read for callers who have
// left. So much is let in as is served in its target, which keeps the engines busy
// all the same; the rest is told at once when to come back. The threshold is the
// target since an answer after it is of little use, and its work delays others.
func (c Choice) Overloaded(target time.Duration) bool { return tooLong(c.Wait, target) }

// BacksOff tells whether all hosts want no requests for longer than a request with a
// target waits. It is told at once when to come back.
func (c Choice) BacksOff(now time.Time, target time.Duration) bool {
	return tooLong(c.RetryAt.Sub(now), target)
}

func tooLong(wait, target time.Duration) bool { return wait > max(target, leastQueue) }

// Pick chooses the host that should answer first. It answers the load of many
// prompts that share their beginnings among hosts of uneven load: without the
// memory of prompts each host would read every shared beginning, without the
// work outstanding the favoured host would be overrun.
func (v *View) Pick(now time.Time, q *Query) Choice {
	var best Choice
	var retryAt time.Time
	takes := false
	for _, h := range v.hosts {
		if q.Service != "" && q.Service != h.Service || !h.Runs(now) {
			continue
		}
		if h.IsLeaving(now) {
			best.Leaving = true
			continue
		}
		best.Listed = true
		fetch := false
		if q.Model != "" {
			held, ok := h.Find(now, q.Model)
			if !ok {
				continue
			}
			fetch = q.Adapter != "" && !slices.Contains(held.Adapters, q.Adapter)
		}
		if until, ok := h.BackingOff(now); ok {
			if retryAt.IsZero() || until.Before(retryAt) {
				retryAt = until
			}
			continue
		}
		takes = true
		if slices.Contains(q.Tried, h.ID) {
			continue
		}
		wait := h.wait(now, q, fetch, v.readTime())
		cost := wait + h.cost(now, q)
		if best.Host == nil || cost < best.Cost || cost == best.Cost && h.ID < best.Host.ID {
			best.Host, best.Fetch, best.Cost = h, fetch, cost
			best.Wait, best.Paced = time.Duration(wait*float64(time.Millisecond)), h.untilNext(now)
		}
	}
	if !takes {
		best.RetryAt = retryAt
	}
	return best
}

// wait returns the time until the host should give its first answer, in
// milliseconds: what it has to read before the request, and the request's own
// prompt. Own requests that are outstanding are partly among those that the host
// reported to wait, so the larger of the two counts.
func (h *Host) wait(now time.Time, q *Query, fetch bool, readTime float64) float64 {
	before := float64(h.prefill) / ReadRate
	if h.Fresh(now) {
		before = max(before, h.backlog(readTime))
	}
	before += float64(h.untilNext(now)) / float64(time.Millisecond)
	if fetch {
		before += adapterCost + h.untilOrders(now)
	}
	if q.Model == "" {
		return before
	}
	return before + float64(h.unread(now, q))/ReadRate
}

// backlog returns how long, in milliseconds, the host reads what it reported and
// what was sent since. It answers the load of several entries that send to the same
// hosts: each knows its own requests only, and by these alone foresees a part of the
// wait that it sends requests into.
func (h *Host) backlog(readTime float64) float64 {
	tokens := h.Report.Reading
	for _, s := range h.sent {
		if s.at.After(h.Report.Taken) {
			tokens += s.tokens
		}
	}
	return float64(h.Report.Waiting)*readTime + float64(tokens)/ReadRate
}

// cost returns what speaks against a host besides its wait.
func (h *Host) cost(now time.Time, q *Query) float64 {
	cost := float64(h.inFlight)*runningCost + h.Failing(now)*failingCost
	if h.Fresh(now) {
		cost += float64(h.Report.Running) * runningCost / 2
	}
	if now.Before(h.avoidTill) {
		cost += float64(time.Minute / time.Millisecond)
	}
	if h.DataCentre != q.DataCentre {
		cost += farCost
	}
	if h.Slots > 0 && h.inFlight >= h.Slots {
		cost += fullCost * float64(h.inFlight-h.Slots+1)
	}
	if q.Model != "" {
		cost += h.spread(q) * spreadCost
	}
	return cost
}

// untilOrders returns the time, in milliseconds, until the host takes an order
// again. Until then no adapter can be loaded there.
func (h *Host) untilOrders(now time.Time) float64 {
	if !h.Fresh(now) || !h.Report.Busy {
		return 0
	}
	return max(busyCost, float64(h.Report.LoadedBy.Sub(now))/float64(time.Millisecond))
}

// unread returns the prompt tokens that the host is not known to have read.
func (h *Host) unread(now time.Time, q *Query) int {
	left := q.Tokens
	for _, p := range q.shared() {
		at, ok := h.prefixes[q.key(p.ID)]
		if !ok || now.Sub(at) > prefixAge {
			break
		}
		left -= p.Tokens
	}
	return max(left, 0)
}

// shared returns the parts that other requests may have too.
func (q *Query) shared() []core.PromptPart {
	if len(q.Parts) < 2 {
		return nil
	}
	return q.Parts[:len(q.Parts)-1]
}

// spread returns the host's place, from 0 up to 1, in an order of hosts that is
// the same in all processes for requests that share a prompt, an adapter or a
// model.
func (h *Host) spread(q *Query) float64 {
	part := ""
	if shared := q.shared(); len(shared) > 0 {
		part = shared[len(shared)-1].ID
	}
	if q.Adapter != "" {
		// Hosts have few places for adapters; their requests go together.
		part = ""
	}
	key := binary.LittleEndian.AppendUint64([]byte(h.ID), uint64(q.key(part)))
	return float64(xxhash.Sum64(key)>>11) / (1 << 53)
}

// Failing returns the host's recent failures, each counting less as it ages.
func (h *Host) Failing(now time.Time) float64 {
	if h.failing == 0 {
		return 0
	}
	return h.failing * math.Exp2(-now.Sub(h.failedAt).Seconds()/failingHalf.Seconds())
}

// readTime returns how long an engine reads a prompt, in milliseconds.
func (v *View) readTime() float64 {
	if v.read == 0 {
		return firstReadTime
	}
	return v.read
}

// Read notes the prompt tokens that an engine has to read for a request.
func (v *View) Read(tokens int) {
	v.read = v.readTime() + readWeight*(float64(tokens)/ReadRate-v.readTime())
}

// Sent notes that a request goes to the host.
func (h *Host) Sent(now time.Time, q *Query) {
	h.inFlight++
	if q.Model == "" {
		return
	}
	if h.active == nil {
		h.active = map[core.ModelName]int{}
	}
	h.active[q.Model]++
	unread := h.unread(now, q)
	h.prefill += unread
	h.sent = slices.DeleteFunc(h.sent, func(s sending) bool { return !s.at.After(h.Report.Taken) || now.Sub(s.at) > reportAge })
	h.sent = append(h.sent, sending{at: now, tokens: unread})
	if h.prefixes == nil || len(h.prefixes) >= mostPrefixes {
		h.prefixes = map[prefixKey]time.Time{}
	}
	for _, p := range q.shared() {
		h.prefixes[q.key(p.ID)] = now
	}
}

// Begun notes the first sign of an answer; cost is what unread was at Sent.
func (h *Host) Begun(cost int) { h.prefill = max(0, h.prefill-cost) }

// Unread returns what Sent will count for a request.
func (h *Host) Unread(now time.Time, q *Query) int {
	if q.Model == "" {
		return 0
	}
	return h.unread(now, q)
}

// Ended notes that a request is over at the host; its model is empty at a plain
// service.
func (h *Host) Ended(model core.ModelName) {
	h.inFlight = max(0, h.inFlight-1)
	switch n := h.active[model]; {
	case n > 1:
		h.active[model] = n - 1
	case n == 1:
		delete(h.active, model)
	}
}

// Failed notes a failure that may be the host's fault.
func (h *Host) Failed(now time.Time) {
	h.failing = h.Failing(now) + 1
	h.failedAt = now
}

// Unreached notes that the host took no connection.
func (h *Host) Unreached(now time.Time) {
	h.Failed(now)
	h.avoidTill = now.Add(unreachable)
}

// Lacks notes that the host said it does not hold a model.
func (h *Host) Lacks(now time.Time, model core.ModelName) {
	if h.absent == nil {
		h.absent = map[core.ModelName]time.Time{}
	}
	h.absent[model] = now.Add(absentFor)
}
