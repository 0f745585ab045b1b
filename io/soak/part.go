package soak

import (
	"context"
	"fmt"
	"slices"
	"time"

	"radishwell/core"
	"radishwell/platform/stand"
)

const (
	// partTokens is the size of each part of a prompt, large enough for agents to follow whether
	// engines keep it.
	partTokens = 600
	// poisonPart begins the IDs of the parts of prompts that crash upstreams, and sharedPart is a
	// part that all prompts have.
	poisonPart, sharedPart = "dead", "aa"
	// maxPartCrashes is the number of upstreams that a part may crash before it has to be known.
	maxPartCrashes = 5
	// minSound is the least number of sound requests from which their share is judged, and
	// minSoundShare the share that has to begin.
	minSound      = 20
	minSoundShare = 0.5
)

// sendPoisonParts starts a caller that sends requests with a part that crashes upstreams, at all
// entries in turn and no two alike, until ctx ends. The part is the first of the prompt or the
// second.
func (c *callers) sendPoisonParts(ctx context.Context, s Step) {
	part := fmt.Sprint(poisonPart, s.Variant)
	parts := []string{part, "bb0"}
	if s.Target%2 == 0 {
		parts = []string{sharedPart, part}
	}
	c.sendInTurn(ctx, func(n int) (q Result, model string) {
		return Result{ID: fmt.Sprintf("part-%d-%d", s.Variant, n), Route: []Route{Stream, Resumed}[n%2], Parts: parts}, fmt.Sprint("m-", 1+n%2)
	})
}

// poisonedPart returns the crashing part of a received request, empty if it has none.
func poisonedPart(r *stand.ReceivedRequest) string { return stand.PoisonedPart(r.Header, poisonPart) }

// Sound counts requests with sound parts at entries in touch while requests with a crashing part
// came, later than twice contactTime after its last crash that counts, and those that began.
type Sound struct{ Sent, Begun int }

// lost returns a breach if too few of the sound requests began. All of them begin without
// impairment.
func (n Sound) lost() []Breach {
	if n.Sent < minSound || float64(n.Begun) >= minSoundShare*float64(n.Sent) {
		return nil
	}
	return []Breach{{Promise: "requests that share parts with crashing ones are served", Result: Result{ID: fmt.Sprintf("%+v", n)}}}
}

// sound counts the sound requests.
func (c *signalChecker) sound(results []Result, arrivals map[string][]stand.ReceivedRequest) (n Sound) {
	from := time.Duration(0)
	for _, seen := range arrivals {
		if crashes := crashTimes(seen); len(crashes) > 0 {
			from = max(from, crashes[min(maxPartCrashes, len(crashes))-1].Sub(c.start)+2*contactTime)
		}
	}
	if from == 0 {
		return n
	}
	until := c.lastPoisonPart(results)
	for _, r := range results {
		sound := isStream(r.Route) && r.Customer == "free" && !r.isProbe() && r.First == "" && r.Text == "" && len(r.Parts) == 0
		if !sound || r.Began < from || r.Began > until || disturbed(c.steps, r.Began-contactTime, r.Ended, CrashingPart, PreferEntry) {
			continue
		}
		n.Sent++
		events, _ := countEvents(r.Body, r.After)
		n.Begun += core.CountIf(events > 0)
	}
	return n
}

// lastPoisonPart returns when the last request with a crashing part was sent.
func (c *signalChecker) lastPoisonPart(results []Result) (last time.Duration) {
	for _, r := range results {
		if len(r.Parts) > 0 {
			last = max(last, r.Began)
		}
	}
	return last
}

// requestParts returns the IDs of the parts of a request's prompt.
func (r *Result) requestParts() []string {
	parts := r.Parts
	if len(parts) == 0 {
		parts = []string{sharedPart, fmt.Sprint("bb", len(r.ID)%3)}
	}
	return append(slices.Clone(parts), "own-"+r.ID)
}
