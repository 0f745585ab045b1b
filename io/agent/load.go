package agent

import (
	"time"

	"radishwell/core"
	"radishwell/wire"
)

// maxReportedItems bounds the items in a load report that were not asked for. A
// host holds a few dozen.
const maxReportedItems = 64

// loadReport returns this host's load with the items that it holds and those in
// names. The caller holds mu.
func (a *Agent) loadReport(now time.Time, names []core.ModelName) *wire.HostLoad {
	out := &wire.HostLoad{
		Host: string(a.Host), Incarnation: uint64(a.Incarnation), At: now.UnixNano(),
		Running: int32(a.active), Leaving: a.leaving, FreeBytes: int64(a.maxFree()),
	}
	for _, l := range a.lanes {
		out.Queued += int32(l.waiting)
	}
	known := map[core.ModelName]bool{"": true}
	for _, i := range a.ledger.Items() {
		if len(out.Items) < maxReportedItems {
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

// HostLoad returns this host's load with the items that it holds and those in
// names. It serves probes.
func (a *Agent) HostLoad(names []core.ModelName) *wire.HostLoad {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.loadReport(a.Clock.Now(), names)
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

// maxFree returns the free memory of the accelerator that has the most.
func (a *Agent) maxFree() core.Bytes {
	promised, capacity := a.ledger.Reserved(), a.ledger.Capacity()
	var most core.Bytes
	for i := range capacity {
		most = max(most, capacity[i]-promised[i])
	}
	return most
}
