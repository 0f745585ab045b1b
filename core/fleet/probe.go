package fleet

import "time"

// probeTTL is how long the result of a probe counts. An engine may fail just after it answered.
const probeTTL = time.Second

// ProbeResult is what asking a host whether it runs has shown.
type ProbeResult uint8

// Results of probes.
const (
	// ProbeSilent: the host has not responded.
	ProbeSilent ProbeResult = iota
	// ProbeAnswered: the host has responded.
	ProbeAnswered
	// ProbeRefused: nothing accepts connections at the host's address, so its process has ended.
	ProbeRefused
)

// String returns the name of the result as in logs.
func (r ProbeResult) String() string { return [...]string{"silent", "answered", "refused"}[r] }

// probe is what asking a host has shown.
type probe struct {
	// running is set while the host is asked.
	running bool
	// began is when the present probe began.
	began time.Time
	// responds is the last result, which counts until the time in until.
	responds bool
	until    time.Time
	// failures counts the latest probes, one after the other, that the host has not responded to.
	failures int
	// endedSince is when the latest probe began that showed that the host's process has ended.
	endedSince time.Time
}

// StartProbe reports whether the host is to be asked now whether it responds, and records that
// it is. There is one probe of a host at a time, and none while the last result counts.
func (h *Host) StartProbe(now time.Time) bool {
	if h.probe.running || now.Before(h.probe.until) {
		return false
	}
	h.probe.running, h.probe.began = true, now
	return true
}

// EndProbe records the result of a probe.
func (h *Host) EndProbe(now time.Time, r ProbeResult) {
	ended, failures := h.probe.endedSince, h.probe.failures+1
	switch r {
	case ProbeAnswered:
		h.NoteAnswer(h.probe.began)
		failures = 0
	case ProbeRefused:
		ended = h.probe.began
	}
	h.probe = probe{responds: r == ProbeAnswered, until: now.Add(probeTTL), failures: failures, endedSince: ended}
}

// maxProbeFailures is the number of probes that a host does not respond to after which the way to it counts as
// broken although its agent reports that it runs: one may be lost.
const maxProbeFailures = 2

// CannotBeReached reports whether the host has not responded to the last probes, though its agent may report
// that it runs.
func (h *Host) CannotBeReached(now time.Time) bool {
	return h.IsUnresponsive(now) && h.probe.failures >= maxProbeFailures
}

// NoteUnresponsive records that the host has not responded while its streams were silent: it is used only if
// there is no other until it can be probed again.
func (h *Host) NoteUnresponsive(now time.Time) { h.avoidUntil = now.Add(2 * probeTTL) }

// AnsweredSince returns when the latest request was sent that the host has answered.
func (h *Host) AnsweredSince() time.Time { return h.answeredSince }

// IsUnresponsive reports whether the host has not responded to the last probe, as far as its
// result still counts.
func (h *Host) IsUnresponsive(now time.Time) bool {
	return !h.probe.responds && now.Before(h.probe.until)
}
