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
	// endedSince is when the latest probe began that showed that the host's process has ended.
	endedSince time.Time
}

// MayProbe reports whether the host may be asked now: there is no probe in progress, and the last result
// counts no longer.
func (h *Host) MayProbe(now time.Time) bool { return !h.probe.running && !now.Before(h.probe.until) }

// StartProbe reports whether the host is to be asked now whether it responds, and records that
// it is. There is one probe of a host at a time, and none while the last result counts.
func (h *Host) StartProbe(now time.Time) bool {
	if !h.MayProbe(now) {
		return false
	}
	h.probe.running, h.probe.began = true, now
	return true
}

// EndProbe records the result of a probe.
func (h *Host) EndProbe(now time.Time, r ProbeResult) {
	ended := h.probe.endedSince
	switch r {
	case ProbeAnswered:
		h.NoteAnswer(h.probe.began)
	case ProbeRefused:
		ended = h.probe.began
	}
	h.probe = probe{responds: r == ProbeAnswered, until: now.Add(probeTTL), endedSince: ended}
}

// IsUnresponsive reports whether the host has not responded to the last probe, as far as its
// result still counts.
func (h *Host) IsUnresponsive(now time.Time) bool {
	return !h.probe.responds && now.Before(h.probe.until)
}
