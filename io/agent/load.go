package agent

import (
	"time"

	"radishwell/core"
	"radishwell/core/strike"
	"radishwell/io/relay"
	"radishwell/wire"
)

// load reports this host's load; names restricts the items. The lock is held.
func (a *Agent) load(now time.Time, names []core.ModelName) *wire.HostLoad {
	out := &wire.HostLoad{
		Host: string(a.Host), Incarnation: uint64(a.Incarnation), At: now.UnixNano(),
		Running: int32(a.inWork), Leaving: a.leaving, FreeBytes: int64(a.mostFree()),
	}
	for _, l := range a.lanes {
		out.Queued += int32(l.waiting)
	}
	for _, name := range names {
		if name != "" {
			out.Items = append(out.Items, a.itemLoad(name))
		}
	}
	return out
}

// Load reports this host's load for a probe.
func (a *Agent) Load(names []core.ModelName) *wire.HostLoad {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(names) == 0 {
		for _, i := range a.ledger.Items() {
			names = append(names, i.Name)
		}
	}
	return a.load(a.Clock.Now(), names)
}

func (a *Agent) itemLoad(name core.ModelName) *wire.ItemLoad {
	out := &wire.ItemLoad{Name: string(name), State: uint32(a.ledger.Item(name).State), Tier: uint32(a.tier(name))}
	if l := a.lanes[string(name)]; l != nil {
		out.Running, out.Queued = int32(l.running), int32(l.waiting)
	}
	return out
}

// mostFree is the unpromised memory of the accelerator that has most.
func (a *Agent) mostFree() core.Bytes {
	promised, capacity := a.ledger.Promised(), a.ledger.Capacity()
	var most core.Bytes
	for i := range capacity {
		most = max(most, capacity[i]-promised[i])
	}
	return most
}

func strikesIn(list []*wire.Strike) []strike.Record {
	out := make([]strike.Record, 0, len(list))
	for _, s := range list {
		out = append(out, strike.Record{
			Fingerprint: core.Fingerprint(s.GetFingerprint()), Source: core.HostName(s.GetSource()),
			Count: s.GetCount(), Alone: s.GetAlone(), Passed: s.GetPassed(), Expires: relay.Time(s.GetExpires()),
		})
	}
	return out
}

func strikesOut(list []strike.Record) []*wire.Strike {
	out := make([]*wire.Strike, 0, len(list))
	for _, r := range list {
		out = append(out, &wire.Strike{
			Fingerprint: uint64(r.Fingerprint), Source: string(r.Source),
			Count: r.Count, Alone: r.Alone, Passed: r.Passed, Expires: r.Expires.UnixNano(),
		})
	}
	return out
}
