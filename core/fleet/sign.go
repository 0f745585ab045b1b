package fleet

import (
	"net/netip"
	"slices"
	"time"
)

// Sign is how it is known that an incarnation of a host has run after a time.
type Sign uint8

// Signs.
const (
	// NoSign: it is not known.
	NoSign Sign = iota
	// SignEnded: the incarnation has ended.
	SignEnded
	// SignReported: its agent has reported since. What is sent to the host goes another way.
	SignReported
	// SignAnswered: it has answered a request that was sent since.
	SignAnswered
)

// String returns the name of the sign as in logs.
func (s Sign) String() string { return [...]string{"none", "ended", "reported", "answered"}[s] }

// SignSince returns how it is known that an incarnation at an address has run after a time, or has ended:
// nothing waits then to be read that reached it before. One that the registry does not list may stand still,
// unless another one is at its address.
func (v *View) SignSince(inc Incarnation, address netip.AddrPort, at time.Time) Sign {
	if h := v.hosts[inc.ID]; h != nil {
		return h.SignSince(inc, at)
	}
	if slices.ContainsFunc(v.byAddress[address], func(h *Host) bool { return v.mayRun(h) && !h.superseded }) {
		return SignEnded
	}
	return NoSign
}

// SignSince is View.SignSince for an incarnation that the host has or had.
func (h *Host) SignSince(inc Incarnation, at time.Time) Sign {
	switch {
	case !inc.Matches(h.ID, h.Born), h.HasEnded(), h.probe.endedSince.After(at):
		return SignEnded
	case h.answeredSince.After(at):
		return SignAnswered
	case h.Report.Taken.After(at):
		return SignReported
	}
	return NoSign
}
