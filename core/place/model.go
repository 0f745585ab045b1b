package place

import (
	"time"

	"radishwell/core"
)

// Thresholds of placement.
const (
	// Idle is how many hosts an idle model is granted, if its limits allow: one
	// to load it on and one for when that host is lost, without a platform call.
	Idle = 2
	// Full is the part of the granted hosts' work at which more are granted.
	// Without head-room a burst is met only after its queue has grown.
	Full = 0.8
	// Slack is the part of the work of one host less below which a grant may be
	// taken back. Between Slack and Full nothing changes, so that demand which
	// swings by a third does not move grants.
	Slack = 0.5
	// LowerAfter is how long demand must stay below Slack. Evening sessions and
	// site bursts come in waves of minutes.
	LowerAfter = 10 * time.Minute
	// Bound is how far a host's granted memory may pass the mean of its
	// service before other hosts are taken instead.
	Bound = 1.25
)

// Entry is what placement needs of a catalogue entry in force.
type Entry struct {
	Name    core.ModelName
	Version core.Version
	Owner   core.OwnerName
	// Service is the set of hosts; for an adapter its base's.
	Service core.ServiceName
	Class   core.Class
	// Memory is what a replica holds on each of Accelerators accelerators, one
	// where zero. An adapter lies on all of its base's.
	Memory       core.Bytes
	Accelerators int
	// Replicas is the most holders; zero counts as one, so that an entry which
	// says nothing can't fill the fleet.
	Replicas int
	// Base is the model an adapter is loaded on; empty for a model.
	Base core.ModelName
}

func (e *Entry) limit() int { return max(e.Replicas, 1) }

func (e *Entry) accelerators() int { return max(e.Accelerators, 1) }

// Host is what placement needs of a host in the platform's list.
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

// HostID names one life of a host: a host that comes back under its name has
// another UID.
type HostID struct {
	Host core.HostName
	UID  string
}

// Reason tells why a grant is written, the most urgent first.
type Reason uint8

// Reasons.
const (
	// Excess: more holders are active than the entry or its owner allows now.
	Excess Reason = iota
	// Unserved: no host may load the model.
	Unserved
	// Moved: a host leaves, is gone or can't hold the model any more.
	Moved
	// Raised: demand or the limit calls for more holders.
	Raised
	// Sealed: nothing changes but the fencing number, so that no older decider
	// can add to the owner's memory unseen.
	Sealed
	// Recorded: the holders stay, what one of them takes has changed.
	Recorded
	// Lowered: demand needs fewer holders.
	Lowered
	// Balanced: an idle model leaves a crowded host for an emptier one.
	Balanced
	reasonCount
)

// Write is a conditional write of one grant object. Objects are never deleted:
// without holders they stay, so that a deletion seen is always somebody's by hand.
type Write struct {
	Name core.ModelName
	Spec core.GrantSpec
	// Version is what the write is conditional on; zero creates the object.
	Version core.Version
	Reason  Reason
}

// Outcome is what became of a write.
type Outcome uint8

// Outcomes of writes.
const (
	// Applied: the platform returned the object's new version.
	Applied Outcome = iota
	// Refused: it certainly had no effect (core.Unavailable, core.Invalid).
	Refused
	// Overtaken: the object has another version (core.Conflict, core.Exists,
	// core.NotFound). Nothing is written until SetGrant brings a newer one.
	Overtaken
	// Unsure: it may have had an effect or may still have one (core.Unknown).
	Unsure
)
