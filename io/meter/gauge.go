package meter

import (
	"time"

	"radishwell/core"
)

// MemoryState is the state of a part of the accelerators' memory.
type MemoryState int

// States of accelerator memory.
const (
	// MemoryHeld: the memory is occupied by models or adapters of an engine.
	MemoryHeld MemoryState = iota
	// MemoryPromised: the memory is reserved for loads in progress and unloads not yet
	// confirmed.
	MemoryPromised
	// MemoryFree: the memory is neither held nor promised.
	MemoryFree
	memoryStateCount
)

var memoryStateNames = [memoryStateCount]string{"held", "promised", "free"}

// String returns the state's name.
func (s MemoryState) String() string { return nameOf(memoryStateNames[:], int(s)) }

// Queue registers the gauge of waiting requests of a class. As for all gauges, read is
// called whenever the metrics are read, and must be safe for concurrent use.
func (m *Meter) Queue(c core.Class, read func() int) {
	m.gauge(nameQueue, func() float64 { return float64(read()) }, "class", c.String())
}

// Running registers the gauge of requests of a class that are forwarded and not answered
// yet.
func (m *Meter) Running(c core.Class, read func() int) {
	m.gauge(nameRunning, func() float64 { return float64(read()) }, "class", c.String())
}

// Memory registers the gauge of the accelerators' memory in a state.
func (m *Meter) Memory(s MemoryState, read func() core.Bytes) {
	m.gauge(nameMemory, func() float64 { return float64(read()) }, "state", s.String())
}

// Entries registers the gauge of catalogue entries in a state.
func (m *Meter) Entries(state string, read func() int) {
	m.gauge(nameEntries, func() float64 { return float64(read()) }, "state", state)
}

// Waiting registers the gauge of requests that wait for a host at an entry on a managed platform.
func (m *Meter) Waiting(read func() int) {
	m.gauge(nameWaiting, func() float64 { return float64(read()) })
}

// EnginePace registers the gauges of the time between two events of a stream.
func (m *Meter) EnginePace(read func() core.Pace) {
	m.gauge(nameEnginePace, func() float64 { return read().Event.Seconds() }, "while", "quiet")
	m.gauge(nameEnginePace, func() float64 { return read().ReadingEvent.Seconds() }, "while", "reading")
}

// CachedParts registers the gauge of the parts that an engine keeps.
func (m *Meter) CachedParts(read func() int) {
	m.gauge(nameCachedParts, func() float64 { return float64(read()) })
}

// HeldBytes registers the gauge of the bytes held for callers and upstreams.
func (m *Meter) HeldBytes(read func() core.Bytes) {
	m.gauge(nameHeldBytes, func() float64 { return float64(read()) })
}

// SpareRetries registers the gauge of this process's part of the spare retries.
func (m *Meter) SpareRetries(read func() float64) { m.gauge(nameSpareRetries, read) }

// LimitedUpstreams registers the gauge of upstreams that have announced a rate limit.
func (m *Meter) LimitedUpstreams(read func() int) {
	m.gauge(nameLimitedUpstreams, func() float64 { return float64(read()) })
}

// RefusedParts registers the gauge of parts of prompts with which requests are refused.
func (m *Meter) RefusedParts(read func() int) {
	m.gauge(nameRefusedParts, func() float64 { return float64(read()) })
}

// ReplicaLag registers the gauge of the time for which the replica of a kind has lacked a
// change that another process reported.
func (m *Meter) ReplicaLag(k core.Kind, read func() time.Duration) {
	m.gauge(nameReplicaLag, func() float64 { return read().Seconds() }, "kind", string(k))
}

// ReplicaAge registers the gauge of the time since the platform last confirmed that the
// replica of a kind is complete. It is negative if there was no confirmation.
func (m *Meter) ReplicaAge(k core.Kind, read func() time.Duration) {
	m.gauge(nameReplicaAge, func() float64 { return read().Seconds() }, "kind", string(k))
}

// Revision registers the gauge of the revision of the catalogue in force.
func (m *Meter) Revision(read func() uint64) {
	m.gauge(nameRevision, func() float64 { return float64(read()) })
}

// Decider registers the gauge that is one while this entry decides for the fleet, and zero
// otherwise.
func (m *Meter) Decider(read func() bool) {
	m.gauge(nameDecider, func() float64 {
		if read() {
			return 1
		}
		return 0
	})
}

func (m *Meter) gauge(name string, read func() float64, pairs ...string) {
	if m != nil {
		m.set.GetOrCreateGauge(series(name, pairs), read)
	}
}
