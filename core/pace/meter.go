package pace

import (
	"math"
	"time"

	"radishwell/core"
)

const (
	// maxInterval is the longest time between two reports that are compared. A longer one
	// means that the agent or the engine stood still in it.
	maxInterval = 600 * time.Millisecond
	// halfLife is the observed time after which an observation counts half. An engine that
	// slows down is known within two seconds.
	halfLife = time.Second
	// minObserved is the observed time below which a pace is unknown: a few reports.
	minObserved = 250 * time.Millisecond
	// maxGap bounds the reported gap between two events.
	maxGap = 10 * time.Second
	// tolerance is how far a gap has to differ from the reported one to be reported anew,
	// as a factor. Each change costs a message to every entry.
	tolerance = 1.2
)

// Meter measures the pace of one incarnation of an engine. The zero Meter is ready for use.
// It is not safe for concurrent use.
type Meter struct {
	// last are the streams in the last report, which was taken at lastAt.
	last        map[core.RequestID]core.UpstreamStream
	lastAt      time.Time
	lastReading bool

	quiet, reading gapEstimate
	// eventsSeen and tokensSeen are decayed sums over all streams.
	eventsSeen, tokensSeen float64
	reported               core.Pace
}

// gapEstimate estimates the time between two events of a stream.
type gapEstimate struct {
	// observed is a decayed sum of the times between reports, in seconds, and events of the
	// events that a stream made in them on average.
	observed, events float64
}

func (g *gapEstimate) add(elapsed time.Duration, events float64) {
	keep := core.Decay(elapsed, halfLife)
	g.observed = g.observed*keep + elapsed.Seconds()
	g.events = g.events*keep + events
}

// gap returns the estimate, zero while it is unknown.
func (g *gapEstimate) gap() time.Duration {
	if g.observed < minObserved.Seconds() {
		return 0
	}
	if g.events*maxGap.Seconds() <= g.observed {
		return maxGap
	}
	return time.Duration(g.observed / g.events * float64(time.Second))
}

// Observe records the streams that the engine reported at the given time. reading is set if
// it was reading prompts then.
func (m *Meter) Observe(at time.Time, streams []core.UpstreamStream, reading bool) {
	elapsed := at.Sub(m.lastAt)
	if !m.lastAt.IsZero() && elapsed > 0 && elapsed <= maxInterval {
		m.compare(elapsed, streams, reading)
	}
	m.lastAt, m.lastReading = at, reading
	m.last = make(map[core.RequestID]core.UpstreamStream, len(streams))
	for _, s := range streams {
		m.last[s.ID] = s
	}
}

// compare adds what the streams did since the last report.
func (m *Meter) compare(elapsed time.Duration, streams []core.UpstreamStream, reading bool) {
	count, events, tokens := 0, int64(0), int64(0)
	for _, s := range streams {
		before, ok := m.last[s.ID]
		if !ok || s.Events < before.Events || s.Tokens < before.Tokens {
			continue // the stream began since, or began anew after the engine put it back
		}
		count++
		events += s.Events - before.Events
		tokens += s.Tokens - before.Tokens
	}
	if count == 0 {
		return
	}
	keep := core.Decay(elapsed, halfLife)
	m.eventsSeen = m.eventsSeen*keep + float64(events)
	m.tokensSeen = m.tokensSeen*keep + float64(tokens)
	each := float64(events) / float64(count)
	switch {
	case reading && m.lastReading:
		m.reading.add(elapsed, each)
	case !reading && !m.lastReading:
		m.quiet.add(elapsed, each)
	}
}

// Pace returns the pace as it is to be reported. It changes only by steps that matter.
func (m *Meter) Pace() core.Pace {
	m.reported.Event = step(m.reported.Event, m.quiet.gap())
	m.reported.ReadingEvent = step(m.reported.ReadingEvent, m.reading.gap())
	if m.eventsSeen > 0 {
		m.reported.EventTokens = max(1, int(math.Round(m.tokensSeen/m.eventsSeen)))
	}
	return m.reported
}

// step returns the new gap if it differs from the reported one by more than tolerance.
func step(reported, now time.Duration) time.Duration {
	if now == 0 || reported > 0 && float64(now) < float64(reported)*tolerance && float64(now) > float64(reported)/tolerance {
		return reported
	}
	return now.Round(100 * time.Microsecond)
}
