package proxy

import (
	"time"

	"radishwell/core"
	"radishwell/core/rtable"
	"radishwell/io/events"
)

// log writes the line that tells what became of the request, and why.
func (c *call) log(r *core.Refusal) {
	now := c.proxy.Clock.Now()
	c.proxy.Meter.Request(core.Interactive, r, c.arrived, c.first, now, c.waited > 0)
	pairs := []any{
		"request", c.ask.ID, "took", now.Sub(c.arrived).Round(time.Millisecond), "table", c.version, "sends", c.sends, "ran", c.ran,
	}
	if c.route != nil {
		pairs = append(pairs, "route", c.route.Name, "target", c.route.Target)
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
	if c.waited > 0 {
		pairs = append(pairs, "waited", c.waited.Round(time.Millisecond))
	}
	if c.paced > 0 {
		pairs = append(pairs, "paced", c.paced.Round(time.Millisecond))
	}
	if c.fetched > 0 {
		pairs = append(pairs, "fetched", c.fetched.Round(time.Millisecond))
	}
	if c.status != 0 {
		pairs = append(pairs, "status", c.status)
	}
	if c.route != nil && c.route.Kind == rtable.Stream && !c.first.IsZero() {
		pairs = append(
			pairs, "first", c.first.Sub(c.arrived).Round(time.Millisecond), "longest-pause", c.longest.Round(time.Millisecond),
			"pause-target", c.route.Pause,
		)
	}
	if c.best != "" {
		pairs = append(pairs, "host", c.best, "report-age", c.reportAge.Round(time.Millisecond), "cost", int(c.cost),
			"foreseen", c.foreseen.Round(time.Millisecond), "event-id", c.event)
	}
	if c.known.limit.Limited {
		pairs = append(pairs, "limit", c.known.limit.Rate)
	}
	if c.known.leaving {
		pairs = append(pairs, "leaving-for", c.known.leavingFor.Round(time.Millisecond))
	}
	if c.known.backoff {
		pairs = append(pairs, "backoff", true)
	}
	if c.last != nil {
		pairs = append(pairs, "cause", c.last.Error())
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
