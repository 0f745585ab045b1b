package lease

import (
	"encoding/json"
	"time"

	"radishwell/core"
)

// Name is the name of the decider's lease among the objects of core.KindLease.
const Name = "decider"

// Spec is the lease object's specification.
type Spec struct {
	// Holder and Incarnation identify the process that holds the lease. Without a
	// holder, the last one has stepped down.
	Holder      core.HostName    `json:"holder,omitempty"`
	Incarnation core.Incarnation `json:"incarnation,omitempty"`
	// Fence is the holder's fencing number, which is the version of the acquiring
	// write. It is zero until the first renewal.
	Fence core.Fence `json:"fence,omitempty"`
	// Created is set if the acquiring write found no object.
	Created bool `json:"created,omitempty"`
	// Until is when the holder stops deciding unless it renews, by its own clock. It
	// is for operators; contenders measure from their own observations.
	Until time.Time `json:"until"`
}

// SpecError reports a lease object whose specification can't be read. Such an
// object counts as held by another process until it changes.
type SpecError struct{ Cause error }

// Error implements error.
func (e *SpecError) Error() string { return "malformed lease: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SpecError) Unwrap() error { return e.Cause }

// Parse reads the specification of a lease object. Its error is a SpecError.
func Parse(o core.Object) (Spec, error) {
	var s Spec
	if err := json.Unmarshal(o.Spec, &s); err != nil {
		return Spec{}, &SpecError{Cause: err}
	}
	return s, nil
}

func (s Spec) object(version core.Version) core.Object {
	text, err := json.Marshal(s)
	if err != nil {
		// Marshal fails only for a time outside the years 0 to 9999.
		text = []byte("{}")
	}
	return core.Object{Kind: core.KindLease, Name: Name, Version: version, Spec: text}
}
