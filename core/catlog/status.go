package catlog

import (
	"encoding/json"
	"slices"
	"strconv"

	"radishwell/core"
)

// State is the state of the newest edit of an entry.
type State string

// States of an entry.
const (
	// Accepted: the newest edit is in force.
	Accepted State = "accepted"
	// Pending: the newest edit is valid, but an entry that it refers to is not in
	// force. The version served before stays in force if its own references allow it;
	// otherwise the entry is not served until the reference exists.
	Pending State = "pending"
	// Rejected: the newest edit is invalid. The last valid version, if there is one,
	// stays in force.
	Rejected State = "rejected"
)

// Status is the status document of a catalogue entry, as stored in the platform.
type Status struct {
	State State `json:"state"`
	// Version is the resource version at which the deciding process first received the
	// current spec. Generation is the platform's count of spec changes.
	Version    core.Version `json:"version"`
	Generation int64        `json:"generation"`
	// Faults are the reasons why the entry is rejected or pending. Those of an accepted
	// entry are advice.
	Faults []Fault `json:"faults,omitempty"`
	// InForce is the version served last; nil if there was none.
	InForce *InForce `json:"in-force,omitempty"`
}

// InForce is the version of an entry that was served last. UID keeps a new object
// from inheriting the version of a deleted object with the same name.
type InForce struct {
	UID        string          `json:"uid"`
	Version    core.Version    `json:"version"`
	Generation int64           `json:"generation"`
	Spec       json.RawMessage `json:"spec"`
}

// ParseStatus decodes a status document. ok is false if the text is not one.
func ParseStatus(text []byte) (s Status, ok bool) {
	if len(text) == 0 || json.Unmarshal(text, &s) != nil {
		return Status{}, false
	}
	switch s.State {
	case Accepted, Pending, Rejected:
		return s, true
	}
	return Status{}, false
}

// maxFaults bounds the faults in a status document, which counts against the size
// of the object it belongs to.
const maxFaults = 20

// truncateFaults drops the faults beyond maxFaults and adds one that states their
// number.
func truncateFaults(faults []Fault) []Fault {
	if len(faults) <= maxFaults {
		return faults
	}
	rest := strconv.Itoa(len(faults) - maxFaults)
	return append(slices.Clone(faults[:maxFaults]), fault(faults[maxFaults].Check, "", "and "+rest+" more"))
}

// encode returns the document as JSON. Encoding cannot fail: all parts have a JSON
// form.
func (s Status) encode() []byte {
	text, err := json.Marshal(s)
	if err != nil {
		return nil
	}
	return text
}

// equivalent reports whether two statuses are equal apart from versions. Writing a
// status gives the object a new version, and two processes may receive the same spec
// at different versions, so comparing versions would cause endless writes.
func (s Status) equivalent(o Status) bool {
	s.Version, o.Version = 0, 0
	s.InForce, o.InForce = s.InForce.unversioned(), o.InForce.unversioned()
	return string(s.encode()) == string(o.encode())
}

func (f *InForce) unversioned() *InForce {
	if f == nil {
		return nil
	}
	return &InForce{UID: f.UID, Generation: f.Generation, Spec: f.Spec}
}
