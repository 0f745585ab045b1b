package place

import (
	"time"

	"radishwell/core"
)

// Thresholds of placement.
const (
	// IdleHolders is the number of hosts that a model without demand is granted, if
	// its limits allow: one to load it on and one for failover without a platform
	// call.
	IdleHolders = 2
	// RaiseThreshold is the utilization of the granted hosts at which more hosts are
	// granted. Without headroom a burst is met only after its queue has grown.
	RaiseThreshold = 0.8
	// LowerThreshold is the utilization, computed with one host less, below which a
	// grant may be taken back. Between LowerThreshold and RaiseThreshold nothing
	// changes, so that demand which swings by a third does not move grants.
	LowerThreshold = 0.5
	// LowerDelay is how long demand must stay below LowerThreshold. Evening sessions
	// and site bursts come in waves of minutes.
	LowerDelay = 10 * time.Minute
	// LoadBound is the ratio of a host's granted memory to the mean of its service
	// above which other hosts are preferred.
	LoadBound = 1.25
)

// Entry holds the fields of a catalogue entry in force that placement needs.
type Entry struct {
	Name    core.ModelName
	Version core.Version
	Owner   core.OwnerName
	// Service is the set of hosts; for an adapter it is the service of its base.
	Service core.ServiceName
	Class   core.Class
	// Memory is the memory that a replica holds on each of Accelerators accelerators
	// (zero counts as one). An adapter takes it on all accelerators of its base.
	Memory       core.Bytes
	Accelerators int
	// Replicas is the most holders. Zero counts as one, so that an entry without a
	// limit can't fill the fleet.
	Replicas int
	// Base is the model an adapter is loaded on; empty for a model.
	Base core.ModelName
}

func (e *Entry) maxHolders() int { return max(e.Replicas, 1) }

func (e *Entry) accelerators() int { return max(e.Accelerators, 1) }

// Host holds the fields of a host in the platform's list that placement needs.
type Host struct {
	Name         core.HostName
	UID          string
	Service      core.ServiceName
	DataCentre   core.DataCentre
	Rack         string
	Accelerators int
	Memory       core.Bytes
	State        core.HostState
}

// HostID identifies one incarnation of a host: a host that comes back under its
// name has another UID.
type HostID struct {
	Host core.HostName
	UID  string
}

// Reason is why a grant is written, most urgent first.
type Reason uint8

// Reasons.
const (
	// Excess: more holders are active than the entry or its owner allows now.
	Excess Reason = iota
	// Unserved: no host may load the model.
	Unserved
	// Moved: a host is leaving, is gone or can't hold the model any more.
	Moved
	// Raised: demand or a changed limit calls for more holders.
	Raised
	// Refenced: only the fencing number changes, so that no older decider can add to
	// the owner's memory unnoticed.
	Refenced
	// Recorded: the holders stay the same, but the memory of each has changed.
	Recorded
	// Lowered: demand needs fewer holders.
	Lowered
	// Balanced: a model without demand moves from an overloaded host to another.
	Balanced
	reasonCount
)

// Write is a conditional write of one grant object. The decider never deletes
// objects; one without holders stays. A deletion is therefore always manual.
type Write struct {
	Name core.ModelName
	Spec core.GrantSpec
	// Version is the object's version that the write is conditional on; zero creates
	// the object.
	Version core.Version
	Reason  Reason
}

// Outcome is the result of a write.
type Outcome uint8

// Outcomes of writes.
const (
	// Applied: the platform returned the object's new version.
	Applied Outcome = iota
	// Refused: the write certainly had no effect (core.Unavailable, core.Invalid).
	Refused
	// Conflict: the object has another version (core.Conflict, core.Exists,
	// core.NotFound). Nothing is written until SetGrant brings a newer one.
	Conflict
	// Unknown: the write may have had an effect or may still have one (core.Unknown).
	Unknown
)
