package agent

import (
	"radishwell/core"
	"radishwell/io/meter"
)

// registerGauges registers functions that read this agent's queue and memory as
// gauges.
func (a *Agent) registerGauges() {
	for c := range core.ClassCount {
		a.Meter.Queue(c, func() int {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.queue.Waiting(c)
		})
		a.Meter.Running(c, func() int { return a.running(c) })
	}
	if a.Plain {
		return
	}
	a.Meter.Memory(meter.MemoryHeld, func() core.Bytes { return a.memory().held })
	a.Meter.Memory(meter.MemoryPromised, func() core.Bytes { return a.memory().promised })
	a.Meter.Memory(meter.MemoryFree, func() core.Bytes { return a.memory().free })
}

func (a *Agent) running(c core.Class) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, r := range a.live {
		if r.dispatched && core.Class(r.head.GetClass()) == c {
			n++
		}
	}
	return n
}

// memory is the memory of all accelerators together: held by loaded items,
// promised to items that are loading or unloading, and free.
type memory struct{ held, promised, free core.Bytes }

func (a *Agent) memory() memory {
	a.mu.Lock()
	defer a.mu.Unlock()
	var m memory
	for _, i := range a.ledger.Items() {
		each := i.Bytes * core.Bytes(len(i.Accelerators))
		if i.State == core.Loaded {
			m.held += each
		} else {
			m.promised += each
		}
	}
	for _, b := range a.ledger.Capacity() {
		m.free += b
	}
	m.free -= m.held + m.promised
	return m
}
