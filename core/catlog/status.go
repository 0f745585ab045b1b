package catlog

import (
	"encoding/json"
	"slices"
	"strconv"

	"radishwell/core"
)

// State is how an entry stands.
type State string

// States of an entry.
const (
	// Accepted: the newest edit is in force.
	Accepted State = "accepted"
	// Pending: the newest edit is good by itself, but what it refers to is not in
	// force. The version served before stays where there is one that still can be;
	// otherwise the entry is not served until the reference is there.
	Pending State = "pending"
	// Rejected: the newest edit is invalid. The last good version stays in force
	// where there is one.
	Rejected State = "rejected"
)

// Status is the status document of a catalogue entry in the platform.
type Status struct {
	State State `json:"state"`
	// Version is the resource version at which the judged spec was met first,
	// Generation its count of spec changes.
	Version    core.Version `json:"version"`
	Generation int64        `json:"generation"`
	// Faults tell why the entry is rejected or pending. With an accepted entry
	// they are advice.
	Faults []Fault `json:"faults,omitempty"`
	// InForce is the version served last; nil where there was none.
	InForce *InForce `json:"in-force,omitempty"`
}

// InForce is the version of an entry that was served last. UID guards against taking over
// the version of a deleted object of the same name.
type InForce struct {
	UID        string          `json:"uid"`
	Version    core.Version    `json:"version"`
	Generation int64           `json:"generation"`
	Spec       json.RawMessage `json:"spec"`
}

// ParseStatus reads a status document; ok is false where it is none of ours.
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

// clipFaults leaves out what is above the bound and says so.
func clipFaults(faults []Fault) []Fault {
	if len(faults) <= maxFaults {
		return faults
	}
	rest := strconv.Itoa(len(faults) - maxFaults)
	return append(slices.Clone(faults[:maxFaults]), fault(faults[maxFaults].Check, "", "and "+rest+" more"))
}

// encode returns the document. Its parts always have a JSON form.
func (s Status) encode() []byte {
	text, err := json.Marshal(s)
	if err != nil {
		return nil
	}
	return text
}

// same tells whether two documents say the same. Versions are left out: writing a
// status gives the object a new version, and two processes may meet the same spec
// at different versions. Comparing them would write for ever.
func (s Status) same(o Status) bool {
	s.Version, o.Version = 0, 0
	s.InForce, o.InForce = s.InForce.bare(), o.InForce.bare()
	return string(s.encode()) == string(o.encode())
}

func (f *InForce) bare() *InForce {
	if f == nil {
		return nil
	}
	return &InForce{UID: f.UID, Generation: f.Generation, Spec: f.Spec}
}
