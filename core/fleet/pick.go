package fleet

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishwell/core"
	"radishwell/core/cached"
	"radishwell/core/room"
)

// The weights below add up to the time, in milliseconds, until a host should give its first
// answer. Only their ratios affect the choice.
const (
	// PrefillRate is the assumed prefill rate of a usual engine in prompt tokens per
	// millisecond. Engines of known pace are compared with each other (see Host.rate).
	// The prefill of a long prompt delays the next request by so much that it outweighs the
	// other weights.
	PrefillRate = 38.0
	// runningCost is added for each request in progress, which lengthens a decode step of
	// the batch by less than one percent.
	runningCost = 2.0
	// initialPrefill is the assumed prefill time of a prompt before one has been measured,
	// and prefillWeight the weight of each new sample in the moving average.
	initialPrefill = 100.0
	prefillWeight  = 0.05
	// remoteCost keeps requests in the caller's data centre if hosts are otherwise equal.
	remoteCost = 8.0
	// adapterCost is the time to fetch an adapter, including the orders for it.
	adapterCost = 40.0
	// busyCost is the minimum delay that an order in progress causes for other orders.
	busyCost = 100.0
	// failureCost is added for each recent failure. One failure is enough to prefer another
	// host that is about as good.
	failureCost = 150.0
	// failureHalfLife is the time after which a failure counts half.
	failureHalfLife = 3 * time.Second
	// affinityCost is the cost of the last place in a prompt's own order of hosts. With it,
	// entries that do not know each other's requests yet send the same prompts to the same
	// host.
	affinityCost = 60.0
	// overloadCost is added for each request beyond the number that a host runs at once.
	overloadCost = 60.0
	// maxLateCost bounds the cost of an answer that is late by its pauses. A patient request would
	// otherwise wait for seconds at one host to spare a stream at another.
	maxLateCost = time.Second
	// connectBackoff is how long a host that accepted no connection is used only if there
	// is no other. By then the agent or the registry reports its state.
	connectBackoff = time.Second
	// missingTTL is how long a host's refusal overrides the models that it reported to
	// hold: reports are half a second old, registry entries one or two seconds.
	missingTTL = 1500 * time.Millisecond
	// prefixTTL is how long a host is assumed to cache a shared part of a prompt that was sent to
	// it, and sentTTL how long if the host reports what it keeps: its report of the part is late by
	// less. maxPrefixes is the number of parts remembered per host.
	prefixTTL   = time.Minute
	sentTTL     = 3 * time.Second
	maxPrefixes = 2048
)

// Query describes a request that needs a host.
type Query struct {
	Service core.ServiceName
	// Model is empty for a plain service, and Adapter if none is requested.
	Model   core.ModelName
	Adapter string
	// Parts is the prompt in order. The last part belongs to this request alone.
	Parts []core.PromptPart
	// Tokens is the length of the prompt in tokens, and Answer the foreseen length of the
	// answer. One answer in ten is longer than LongAnswer.
	Tokens, Answer, LongAnswer int
	// Target is the time within which callers get the full use of an answer, and Pause the
	// longest pause within a stream that they accept; zero if the route has none.
	Target, Pause time.Duration
	DataCentre    core.DataCentre
	// Tried lists the hosts that are not to be chosen. If Only is set, no other host is.
	Tried []core.HostName
	Only  core.HostName
	// Origin is where the stream began that the request continues; nil for a new request.
	Origin *core.StreamOrigin
}

func (q *Query) key(part string) uint64 { return cached.Hash(q.Model, q.Adapter, part) }

// appendKeys appends the keys of the shared parts of the prompt.
func (q *Query) appendKeys(keys []uint64) []uint64 {
	for _, p := range q.shared() {
		keys = append(keys, q.key(p.ID))
	}
	return keys
}

// affinityKey returns the key of what hosts are ordered by for a request: the prompt that it
// shares with others, its adapter, or its model.
func (q *Query) affinityKey() uint64 {
	part := ""
	if shared := q.shared(); len(shared) > 0 && q.Adapter == "" {
		// Hosts have few adapter slots, so requests for one adapter are kept together.
		part = shared[len(shared)-1].ID
	}
	return q.key(part)
}

// Choice is the result of Pick.
type Choice struct {
	// Host is nil if no host can take the request now.
	Host *Host
	// Fetch is set if the host lacks the adapter, which has to be loaded first.
	Fetch bool
	// Listed is set if the service has hosts that may get requests, whichever models they
	// hold.
	Listed bool
	// Leaving is set if the service has running hosts and all of them are leaving.
	Leaving bool
	// Cost is the total weight of the host, in milliseconds.
	Cost float64
	// Wait is the time until the host should give its first answer.
	Wait time.Duration
	// Own is the part of Wait in which the host processes the request's own prompt, and Prefill the
	// number of tokens that it processes (see Host.PrefillTokens).
	Own     time.Duration
	Prefill int
	// Hosts is the number of hosts that take the request, now or later.
	Hosts int
	// RetryAt is when the first of the hosts takes requests again, zero if some host takes
	// them now or none holds the model.
	RetryAt time.Time
	// Discontinued is set if no host can continue the stream now: all that have its software
	// version leave, or neither hold nor load the model. It is never set while all hosts of the
	// service have that version, since the model may then be loaded at any of them.
	Discontinued bool
	// Loadable is set if Discontinued is and a host of that version may load the model, at best
	// from the tier From.
	Loadable bool
	From     core.Tier
	// RateLimitDelay is the part of Wait that is due to the host's rate limit.
	RateLimitDelay time.Duration
	// HeldUp is the expected number of streams of the host that the prompt holds up for longer
	// than callers accept, and PauseChance the chance that the request's own answer pauses for
	// longer. Avoidable is the part of HeldUp that would not be if the prompt came once the host
	// has read those before it.
	HeldUp, Avoidable, PauseChance float64
	// FullChance is the chance that the host's prompt memory is too small for the request.
	FullChance float64
}

// Overloaded reports whether a request would wait longer than its target even at the host
// that should answer first.
//
// This covers a model that receives more requests than its hosts can prefill, as in the
// seconds after demand has shifted. If they were all queued in the engines, requests would
// wait until every one is late, and many prompts would be read for callers who have left.
// Only as many requests are admitted as can be served within their target, which still
// keeps the engines busy. The others are refused at once with the time at which to retry.
// The threshold is the target because a later answer is of little use and delays others.
func (c Choice) Overloaded(target time.Duration) bool { return exceeds(c.Wait, target) }

// AllBackingOff reports whether all hosts want no requests for longer than a request with
// the given target waits. Such a request is refused at once with the time at which to
// retry.
func (c Choice) AllBackingOff(now time.Time, target time.Duration) bool {
	return exceeds(c.RetryAt.Sub(now), target)
}

func exceeds(wait, target time.Duration) bool { return wait > core.TimeAllowed(target) }

// Pick chooses the host that should answer first.
//
// It is meant for many prompts that share their beginnings and for hosts of uneven load.
// Without the remembered prefixes each host would prefill every shared beginning, and
// without the outstanding work the preferred host would be overloaded.
func (v *View) Pick(now time.Time, q *Query) Choice {
	var best Choice
	var retryAt time.Time
	takes := false
	oneVersion := q.Origin == nil || v.hasOnly(now, q.Service, q.Origin.Software)
	best.Discontinued = q.Origin != nil && v.listsOther(q.Service, q.Origin.Software)
	v.keys = q.appendKeys(v.keys[:0])
	affinityKey := q.affinityKey()
	for _, h := range v.candidates(q) {
		if q.Service != "" && q.Service != h.Service || !h.IsAvailable(now) || h.IsLeaving(now) {
			continue
		}
		if q.Origin != nil && !h.continues(q.Origin, oneVersion) {
			continue
		}
		fetch := false
		if q.Model != "" {
			held, ok := h.Find(now, q.Model)
			if !ok {
				best.noteWithout(now, h, q)
				continue
			}
			fetch = q.Adapter != "" && !slices.Contains(held.Adapters, q.Adapter)
		}
		best.Discontinued = false
		best.Hosts++
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
		tokens, backlog := h.prefillTokens(now, q, v.keys), h.backlog(v.prefillTime())
		wait := h.wait(now, tokens, fetch, backlog)
		p := v.pauses(now, h, q, tokens, backlog)
		full := v.fullChance(now, h, q)
		cost := wait + h.cost(now, q, affinityKey) + (p.heldUp+p.own+full)*lateCost(q)
		if best.Host == nil || cost < best.Cost || cost == best.Cost && h.ID < best.Host.ID {
			best.Host, best.Fetch, best.Cost = h, fetch, cost
			best.Wait, best.RateLimitDelay = time.Duration(wait*float64(time.Millisecond)), h.reservationDelay(now)
			best.HeldUp, best.Avoidable, best.PauseChance, best.FullChance = p.heldUp, p.avoidable, p.own, full
			best.Own, best.Prefill = time.Duration(float64(tokens)/h.rate()*float64(time.Millisecond)), tokens
		}
	}
	if !takes {
		best.RetryAt = retryAt
	}
	best.Listed = best.Hosts > 0
	if !best.Listed {
		best.Listed, best.Leaving = v.listed(now, q)
	}
	return best
}

// candidates returns the hosts that may be chosen. Continued streams need all hosts, since those
// that do not hold the model may load it.
func (v *View) candidates(q *Query) []*Host {
	switch {
	case q.Only != "":
		if h := v.hosts[q.Only]; h != nil {
			return []*Host{h}
		}
		return nil
	case q.Origin != nil || q.Model == "":
		return v.index.services[q.Service]
	}
	return v.index.holders[q.Model]
}

// listed reports whether any host of a request's service may get requests, or else whether there
// are some that are leaving.
func (v *View) listed(now time.Time, q *Query) (listed, leaving bool) {
	for _, h := range v.index.services[q.Service] {
		switch {
		case q.Only != "" && q.Only != h.ID || !h.IsAvailable(now):
		case !h.IsLeaving(now):
			return true, false
		default:
			leaving = true
		}
	}
	return false, leaving
}

// lateCost returns the cost of an answer that is late by its pauses, in milliseconds: that of
// one whose beginning is as late as it may be, up to maxLateCost.
func lateCost(q *Query) float64 {
	return float64(min(q.Target, maxLateCost)) / float64(time.Millisecond)
}

// noteWithout records a host that does not hold the model of a request, which matters if the
// request continues a stream.
func (c *Choice) noteWithout(now time.Time, h *Host, q *Query) {
	if q.Origin == nil {
		return
	}
	c.Discontinued = c.Discontinued && !h.mayHold(now, q.Model)
	memory, disk := h.AtHand(now)
	from := core.NearestTier(q.Model, memory, disk)
	if !c.Loadable || from < c.From {
		c.Loadable, c.From = true, from
	}
}

// wait returns the time until the host should give its first answer, in milliseconds: the
// prefill queued before the request and that of its own prompt, which has the given number of
// tokens left to process. Some of this process's outstanding requests are among those that the
// host reports as waiting, so the larger of the two counts is used.
func (h *Host) wait(now time.Time, tokens int, fetch bool, backlog float64) float64 {
	before := float64(h.pendingPrefill) / h.rate()
	if h.Fresh(now) {
		before = max(before, backlog)
	}
	before += float64(h.reservationDelay(now)) / float64(time.Millisecond)
	if fetch {
		before += adapterCost + h.orderDelay(now)
	}
	return before + float64(tokens)/h.rate()
}

// backlog returns the time, in milliseconds, for the prefill of what the host reported and
// what was sent since. An entry knows only its own requests; if several entries send to the
// same host, these alone would underestimate its queue.
func (h *Host) backlog(prefillTime float64) float64 {
	sent, _ := h.sentSinceReport()
	return (float64(h.Report.Waiting)*prefillTime*PrefillRate + float64(h.Report.Reading+sent)) / h.rate()
}

// sentSinceReport returns the sums of the prompts that were sent after the host's report was taken,
// as in sentPrompt.
func (h *Host) sentSinceReport() (tokens, memory int) {
	for _, s := range h.sentPrompts {
		if s.at.After(h.Report.Taken) {
			tokens += s.tokens
			memory += s.memory
		}
	}
	return tokens, memory
}

// cost returns the cost of a host besides its wait, in milliseconds.
func (h *Host) cost(now time.Time, q *Query, affinityKey uint64) float64 {
	cost := float64(h.inFlight)*runningCost + h.FailureCount(now)*failureCost
	if h.Fresh(now) {
		cost += float64(h.Report.Running) * runningCost / 2
	}
	if now.Before(h.avoidUntil) {
		cost += float64(time.Minute / time.Millisecond)
	}
	if h.DataCentre != q.DataCentre {
		cost += remoteCost
	}
	if h.Slots > 0 && h.inFlight >= h.Slots {
		cost += overloadCost * float64(h.inFlight-h.Slots+1)
	}
	if q.Model != "" {
		cost += h.affinity(affinityKey) * affinityCost
	}
	return cost
}

// fullChance returns the chance that the host's prompt memory is too small for a request. An
// engine then puts a request back that it has begun, whose prompt has to be read again.
func (v *View) fullChance(now time.Time, h *Host, q *Query) float64 {
	if v.ignorePace || q.Model == "" || !h.Report.Free.Known || !h.Fresh(now) {
		return 0
	}
	_, sent := h.sentSinceReport()
	return room.FullChance(q.memory(), int(h.Report.Free.Tokens)-sent)
}

// memory returns the number of tokens that the request holds in an engine's prompt memory at its
// end, at most.
func (q *Query) memory() int { return q.Tokens + max(q.Answer, q.LongAnswer) }

// orderDelay returns the time, in milliseconds, until the host takes an order again. Until
// then no adapter can be loaded there.
func (h *Host) orderDelay(now time.Time) float64 {
	if !h.Fresh(now) || !h.Report.Busy {
		return 0
	}
	return max(busyCost, float64(h.Report.LoadedBy.Sub(now))/float64(time.Millisecond))
}

// PrefillTokens returns the number of the prompt's tokens that the host is not known to have
// cached, which NoteSent will count for a request. It is zero for a plain service.
func (h *Host) PrefillTokens(now time.Time, q *Query) int {
	return h.prefillTokens(now, q, q.appendKeys(nil))
}

// prefillTokens is PrefillTokens for the keys of the query's shared parts. What was sent to a host
// that reports what it keeps counts until its reports can tell.
func (h *Host) prefillTokens(now time.Time, q *Query, keys []uint64) int {
	if q.Model == "" {
		return 0
	}
	reported, ttl := 0, prefixTTL
	if n, known := h.view.cached.Leading(cached.Engine{Address: h.Address, ID: h.ID, Born: h.Born}, keys); known && h.Fresh(now) {
		reported, ttl = n, sentTTL
	}
	left := q.Tokens
	for i, key := range keys {
		if i >= reported {
			if at, sent := h.prefixes[key]; !sent || now.Sub(at) > ttl {
				break
			}
		}
		left -= q.Parts[i].Tokens
	}
	return max(left, 0)
}

// shared returns the parts of the prompt that other requests may share.
func (q *Query) shared() []core.PromptPart {
	if len(q.Parts) < 2 {
		return nil
	}
	return q.Parts[:len(q.Parts)-1]
}

// affinity returns the host's position, at least 0 and below 1, in an order of hosts that
// is the same in all processes for requests with the same affinityKey.
func (h *Host) affinity(key uint64) float64 {
	var room [64]byte
	text := binary.LittleEndian.AppendUint64(append(room[:0], h.ID...), key)
	return float64(xxhash.Sum64(text)>>11) / (1 << 53)
}

// FailureCount returns the exponentially decayed count of the host's failures.
func (h *Host) FailureCount(now time.Time) float64 {
	if h.failures == 0 {
		return 0
	}
	return h.failures * core.Decay(now.Sub(h.failedAt), failureHalfLife)
}

// prefillTime returns the average prefill time of a prompt, in milliseconds.
func (v *View) prefillTime() float64 {
	if v.meanPrefill == 0 {
		return initialPrefill
	}
	return v.meanPrefill
}

// PrefillTime returns the average time in which an engine processes a prompt.
func (v *View) PrefillTime() time.Duration {
	return time.Duration(v.prefillTime() * float64(time.Millisecond))
}

// NotePrompt adds the prompt tokens that an engine has to prefill for a request to the
// average.
func (v *View) NotePrompt(tokens int) {
	v.meanPrefill = v.prefillTime() + prefillWeight*(float64(tokens)/PrefillRate-v.prefillTime())
}

// NoteSent records that a request is sent to the host.
func (h *Host) NoteSent(now time.Time, q *Query) {
	h.inFlight++
	if q.Model == "" {
		return
	}
	if h.active == nil {
		h.active = map[core.ModelName]int{}
	}
	h.active[q.Model]++
	keys := q.appendKeys(nil)
	tokens := h.prefillTokens(now, q, keys)
	h.pendingPrefill += tokens
	h.sentPrompts = slices.DeleteFunc(h.sentPrompts, func(s sentPrompt) bool { return !s.at.After(h.Report.Taken) || now.Sub(s.at) > reportTTL })
	h.sentPrompts = append(h.sentPrompts, sentPrompt{at: now, tokens: tokens, memory: q.memory()})
	if h.prefixes == nil || len(h.prefixes) >= maxPrefixes {
		h.prefixes = map[uint64]time.Time{}
	}
	for _, key := range keys {
		h.prefixes[key] = now
	}
	h.view.Wants.Note(keys)
}

// NoteAnswerStart records the start of an answer, where prefill is the value of
// PrefillTokens before NoteSent.
func (h *Host) NoteAnswerStart(prefill int) { h.pendingPrefill = max(0, h.pendingPrefill-prefill) }

// NoteEnd records that a request to the host is over. The model is empty for a plain
// service.
func (h *Host) NoteEnd(model core.ModelName) {
	h.inFlight = max(0, h.inFlight-1)
	switch n := h.active[model]; {
	case n > 1:
		h.active[model] = n - 1
	case n == 1:
		delete(h.active, model)
	}
}

// NoteFailure records a failure that may be the host's fault.
func (h *Host) NoteFailure(now time.Time) {
	h.failures = h.FailureCount(now) + 1
	h.failedAt = now
}

// HasRoom reports whether the host may run one more of this process's requests at once, and is not avoided.
func (h *Host) HasRoom(now time.Time) bool {
	return (h.Slots == 0 || h.inFlight < h.Slots) && !now.Before(h.avoidUntil)
}

// NoteConnectFailure records that the host accepted no connection.
func (h *Host) NoteConnectFailure(now time.Time) {
	h.NoteFailure(now)
	h.avoidUntil = now.Add(connectBackoff)
}

// NoteMissing records that the host denied holding a model.
func (h *Host) NoteMissing(now time.Time, model core.ModelName) {
	if h.missing == nil {
		h.missing = map[core.ModelName]time.Time{}
	}
	h.missing[model] = now.Add(missingTTL)
}
