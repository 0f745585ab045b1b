package agent

import (
	"time"

	"radishwell/core"
	"radishwell/wire"
)

// maxReported bounds the items of a report; a host holds a few dozen.
const maxReported = 64

// load reports this host's load: what it holds, and the items named. The lock
// is held.
func (a *Agent) load(now time.Time, names []core.ModelName) *wire.HostLoad {
	out := &wire.HostLoad{
		Host: string(a.Host), Incarnation: uint64(a.Incarnation), At: now.UnixNano(),
		Running: int32(a.inWork), Leaving: a.leaving, FreeBytes: int64(a.mostFree()),
	}
	for _, l := range a.lanes {
		out.Queued += int32(l.waiting)
	}
	known := map[core.ModelName]bool{"": true}
	for _, i := range a.ledger.Items() {
		if len(out.Items) < maxReported {
			known[i.Name] = true
			out.Items = append(out.Items, a.itemLoad(i.Name))
		}
	}
	for _, name := range names {
		if !known[name] {
			out.Items = append(out.Items, a.itemLoad(name))
		}
	}
	return out
}

// Load reports this host's load for a probe.
func (a *Agent) Load(names []core.ModelName) *wire.HostLoad {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.load(a.Clock.Now(), names)
}

func (a *Agent) itemLoad(name core.ModelName) *wire.ItemLoad {
	out := &wire.ItemLoad{Name: string(name), State: uint32(a.ledger.Item(name).State), Tier: uint32(a.tier(name))}
	took, known := a.warm.LoadTime(name)
	if i := a.ledger.Item(name); known && i.State == core.Loading {
		out.Ready = i.Since.Add(took).UnixNano()
	}
	if l := a.lanes[string(name)]; l != nil {
		out.Running, out.Queued = int32(l.running), int32(l.waiting)
	}
	return out
}

// mostFree is the unpromised memory of the accelerator that has most.
func (a *Agent) mostFree() core.Bytes {
	promised, capacity := a.ledger.Reserved(), a.ledger.Capacity()
	var most core.Bytes
	for i := range capacity {
		most = max(most, capacity[i]-promised[i])
	}
	return most
}
