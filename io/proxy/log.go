package proxy

import (
	"math"
	"strings"
	"time"

	"radishwell/core"
	"radishwell/core/rtable"
	"radishwell/core/turn"
	"radishwell/io/events"
)

// log writes the log line with the result of the request and its reasons.
func (c *call) log(r *core.Refusal) {
	now := c.proxy.Clock.Now()
	c.recordTurn(r)
	c.proxy.Meter.Request(core.Interactive, r, c.arrived, c.firstEvent, now, c.waitTime > 0)
	pairs := []any{"request", c.ask.ID}
	if r != nil {
		pairs = append(pairs, "code", r.Code)
	}
	pairs = append(
		pairs, "took", now.Sub(c.arrived).Round(time.Millisecond), "table", c.tableVersion, "sends", c.sends, "ran", c.ran,
	)
	if !c.sentSince.IsZero() {
		pairs = append(pairs, "sent-within", c.arrived.Sub(c.sentSince).Round(time.Millisecond))
	}
	if r != nil && c.service == nil && c.proxy.TableAge != nil {
		// The routing table decided.
		pairs = append(pairs, "table-age", c.proxy.TableAge().Round(time.Millisecond))
	}
	if c.proxy.Missing != nil {
		if revision, since := c.proxy.Missing(); revision > 0 {
			pairs = append(pairs, "table-lacks", revision, "table-lacks-for", since.Round(time.Millisecond))
		}
	}
	if c.route != nil {
		pairs = append(pairs, "route", c.route.Name, "target", c.route.Target)
	}
	if c.fingerprint != 0 {
		pairs = append(pairs, "fingerprint", c.fingerprint)
	}
	if c.customer != nil {
		pairs = append(pairs, "customer", c.customer.Name, "rank", c.rank)
	}
	if c.units > 0 {
		pairs = append(pairs, "units", c.units)
	}
	if c.service != nil {
		pairs = append(pairs, "service", c.service.Name, "left", c.deadline.Sub(now).Round(time.Millisecond))
	}
	if c.query.Model != "" {
		pairs = append(pairs, "model", c.query.Model, "adapter", c.query.Adapter)
	}
	if r != nil && len(c.query.Parts) > 1 {
		pairs = append(pairs, "parts", sharedParts(c.query.Parts))
	}
	if c.waitTime > 0 {
		pairs = append(pairs, "waited", c.waitTime.Round(time.Millisecond))
	}
	if c.heldTime > 0 || c.verdict == turn.Refuse {
		pairs = append(pairs, "held", c.heldTime.Round(time.Millisecond), "place", c.place, "verdict", c.verdict, "urgent-target", c.urgent,
			"own", c.own.Round(time.Millisecond), "granted", c.granted)
	}
	if c.pacingTime > 0 {
		pairs = append(pairs, "paced", c.pacingTime.Round(time.Millisecond))
	}
	if c.fetchTime > 0 {
		pairs = append(pairs, "fetched", c.fetchTime.Round(time.Millisecond))
	}
	if c.status != 0 {
		pairs = append(pairs, "status", c.status)
	}
	if c.framing != core.FramingUnknown {
		pairs = append(pairs, "framing", c.framing)
	}
	if c.partialEvent > 0 {
		pairs = append(pairs, "partial-event", c.partialEvent)
	}
	if c.route != nil && c.route.Kind == rtable.Stream && !c.firstEvent.IsZero() {
		pairs = append(
			pairs, "first", c.firstEvent.Sub(c.arrived).Round(time.Millisecond), "longest-pause", c.longestPause.Round(time.Millisecond),
			"pause-target", c.route.Pause,
		)
	}
	if c.chosen != "" {
		pairs = append(pairs, "host", c.chosen, "report-age", c.reportAge.Round(time.Millisecond), "cost", int(c.cost),
			"foreseen", c.expectedWait.Round(time.Millisecond), "event-id", c.lastEventID)
	}
	if c.heldUp > 0 || c.pauseChance > 0 {
		pairs = append(pairs, "held-up", round(c.heldUp), "pause-chance", round(c.pauseChance))
	}
	if c.query.Answer > 0 {
		pairs = append(pairs, "prompt-cached", c.promptCached, "answer-foreseen", c.query.Answer, "events", c.events)
	}
	if c.fullChance > 0 {
		pairs = append(pairs, "full-chance", round(c.fullChance))
	}
	if c.software != "" {
		pairs = append(pairs, "software", c.software)
	}
	if c.origin.Software != "" {
		pairs = append(pairs, "began-at", c.origin.Software)
	}
	if c.ask.LastEventID != "" {
		pairs = append(pairs, "resumes-after", c.ask.LastEventID, "first-attempt", c.ask.FirstAttempt)
	}
	if c.signals.limit.Limited {
		pairs = append(pairs, "limit", c.signals.limit.Rate)
	}
	if c.signals.leaving {
		pairs = append(pairs, "leaving-for", c.signals.leavingFor.Round(time.Millisecond))
	}
	if c.signals.backoff {
		pairs = append(pairs, "backoff", true)
	}
	if c.tries > 0 || !c.trialBy.IsZero() {
		pairs = append(pairs, "trials", c.tries)
	}
	if c.lastErr != nil {
		pairs = append(pairs, "cause", c.lastErr.Error())
	}
	switch {
	case r == nil:
		events.Log(events.RequestServed, pairs...)
	case r.Outcome == core.NotRun:
		events.Fail(events.RequestRefused, r, pairs...)
	default:
		events.Fail(events.RequestMayHaveRun, r, pairs...)
	}
}

// round rounds a number for the log.
func round(x float64) float64 { return math.Round(x*100) / 100 }

// sharedParts returns the IDs of the parts of a prompt that other requests may share, separated
// by commas.
func sharedParts(parts []core.PromptPart) string {
	ids := make([]string, 0, len(parts)-1)
	for _, p := range parts[:len(parts)-1] {
		ids = append(ids, p.ID)
	}
	return strings.Join(ids, ",")
}
