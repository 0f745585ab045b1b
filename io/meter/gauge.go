package meter

import (
	"time"

	"radishwell/core"
)

// MemoryState tells parts of the accelerators' memory apart.
type MemoryState int

// States of accelerator memory.
const (
	// MemoryHeld: an engine's items lie in it.
	MemoryHeld MemoryState = iota
	// MemoryPromised: kept for loads under way and unloads not yet confirmed.
	MemoryPromised
	// MemoryFree: neither held nor promised.
	MemoryFree
	memoryStateCount
)

var memoryStateNames = [memoryStateCount]string{"held", "promised", "free"}

// String returns the state's name.
func (s MemoryState) String() string { return nameOf(memoryStateNames[:], int(s)) }

// Queue shows how many requests of a class wait. The function is called at each
// reading, from any goroutine; the same holds for the other gauges.
func (m *Meter) Queue(c core.Class, read func() int) {
	m.gauge(nameQueue, func() float64 { return float64(read()) }, "class", c.String())
}

// Running shows how many requests of a class are handed on and not answered yet.
func (m *Meter) Running(c core.Class, read func() int) {
	m.gauge(nameRunning, func() float64 { return float64(read()) }, "class", c.String())
}

// Memory shows a part of the accelerators' memory.
func (m *Meter) Memory(s MemoryState, read func() core.Bytes) {
	m.gauge(nameMemory, func() float64 { return float64(read()) }, "state", s.String())
}

// Entries shows how many catalogue entries are in a state.
func (m *Meter) Entries(state string, read func() int) {
	m.gauge(nameEntries, func() float64 { return float64(read()) }, "state", state)
}

// LimitedUpstreams shows how many upstreams name a rate limit.
func (m *Meter) LimitedUpstreams(read func() int) {
	m.gauge(nameLimitedUps, func() float64 { return float64(read()) })
}

// ReplicaLag shows how long the replica of a kind has lacked a change that another
// process named.
func (m *Meter) ReplicaLag(k core.Kind, read func() time.Duration) {
	m.gauge(nameReplicaLag, func() float64 { return read().Seconds() }, "kind", string(k))
}

// ReplicaAge shows the age of the platform's last word that the replica of a kind lacks
// nothing, negative where there was none.
func (m *Meter) ReplicaAge(k core.Kind, read func() time.Duration) {
	m.gauge(nameReplicaAge, func() float64 { return read().Seconds() }, "kind", string(k))
}

// Revision shows the revision of the catalogue in force.
func (m *Meter) Revision(read func() uint64) {
	m.gauge(nameRevision, func() float64 { return float64(read()) })
}

// Decider shows whether this entry decides for the fleet.
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
