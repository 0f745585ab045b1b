package member

import (
	"time"

	"radishwell/core"
)

// State is the state of a host, best first.
type State uint8

// Host states.
const (
	// Live hosts get work.
	Live State = iota
	// Suspect hosts get work only when there is no live one.
	Suspect
	// Leaving hosts finish what they have and get no new work.
	Leaving
	// Gone hosts are no longer in the platform's list.
	Gone
	stateCount
)

var stateNames = [stateCount]string{"live", "suspect", "leaving", "gone"}

// String returns the state's name.
func (s State) String() string {
	if s >= stateCount {
		return "unknown"
	}
	return stateNames[s]
}

// Reason is why a host is in its state.
type Reason string

// Reasons.
const (
	// Unremarkable: there is no reason against the host.
	Unremarkable Reason = "nothing against it"
	// Failing: the last contact failed.
	Failing Reason = "last contact failed"
	// HeldBack: contact works again, but failed too often before.
	HeldBack Reason = "held back after repeated failures"
	// SaidLeaving: the host's process said so in a response.
	SaidLeaving Reason = "said that it is leaving"
	// MarkedLeaving: the host's process sent a mark to its peers.
	MarkedLeaving Reason = "marked as leaving"
	// ListedLeaving: the platform's list says so.
	ListedLeaving Reason = "leaving in the platform's list"
	// NotListed: the platform's list no longer has the host.
	NotListed Reason = "no longer in the platform's list"
)

// Verdict is the judgement of one host.
type Verdict struct {
	State  State
	Reason Reason
	// Until is when the state may change without a new event; zero if it does not.
	Until time.Time
}

// Contact is one attempt to reach a host's process, or a report about it.
type Contact struct {
	Host core.HostName
	// OK is set if the host responded, even with a refusal.
	OK bool
	// Since is when the host was last known to be up before a failure: when the
	// failed connection was started or last carried data. Zero means now.
	Since time.Time
	// Incarnation is the incarnation of the process that responded, zero if
	// unknown.
	Incarnation core.Incarnation
	// Leaving is set if the response said that the process is leaving.
	Leaving bool
}
