package feed

import (
	"net/netip"
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
)

// use is one entry's report of its requests in progress, by host and model.
type use struct {
	taken time.Time
	// fromRelay is set if the entry is a relay. Its report is not forwarded to other
	// relays.
	fromRelay bool
	active    map[netip.AddrPort]map[core.ModelName]int
}

// Active returns the requests in progress at a host by model, for the host's agent. It
// includes the requests of all entries that report to this one.
func (f *Feed) Active(address netip.AddrPort) map[core.ModelName]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	f.recordOwnUse(now)
	return f.active(now, address, true)
}

// active adds up the reports of entries on a host, with or without those of relays. The
// caller holds mu.
func (f *Feed) active(now time.Time, address netip.AddrPort, withRelays bool) map[core.ModelName]int {
	sum := map[core.ModelName]int{}
	for _, u := range f.uses {
		if now.Sub(u.taken) > maxUseAge || u.fromRelay && !withRelays {
			continue
		}
		for model, n := range u.active[address] {
			sum[model] += n
		}
	}
	return sum
}

// recordOwnUse records this entry's own requests in progress. The caller holds mu.
func (f *Feed) recordOwnUse(now time.Time) {
	own := use{taken: now, active: map[netip.AddrPort]map[core.ModelName]int{}}
	f.Proxy.Update(func(v *fleet.View, _ time.Time) { own.active = v.OwnActive() })
	f.uses[f.Self.Name] = own
}

// RecordAdapterUse records that a request for an adapter, given as MODEL/NAME, was sent
// to a host.
func (f *Feed) RecordAdapterUse(address netip.AddrPort, adapter string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordUsed(address, []string{adapter}, false)
}

// recordUsed records the use of adapters for the entry that follows the host's agent: a
// relay or this one. The caller holds mu.
func (f *Feed) recordUsed(address netip.AddrPort, adapters []string, fromRelay bool) {
	to := f.directUsed
	if source, ok := f.table.Source(address); ok && source != "" {
		r := f.relays[source]
		if fromRelay || r == nil {
			return
		}
		to = r.used
	}
	if to[address] == nil {
		to[address] = map[string]bool{}
	}
	for _, a := range adapters {
		to[address][a] = true
	}
}

// TakeUsedAdapters returns the adapters for which requests were sent to a host since the
// last call.
func (f *Feed) TakeUsedAdapters(address netip.AddrPort) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for a := range f.directUsed[address] {
		out = append(out, a)
	}
	delete(f.directUsed, address)
	return out
}
