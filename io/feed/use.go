package feed

import (
	"net/netip"
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
)

// use is the requests in progress by host and model that one entry knows of.
type use struct {
	at time.Time
	// relayed tells that the entry is a relay, whose word goes no further.
	relayed bool
	active  map[netip.AddrPort]map[core.ModelName]int
}

// Active returns the requests in progress at a host by model, of all entries whose
// word comes to this one, for the host's agent.
func (f *Feed) Active(address netip.AddrPort) map[core.ModelName]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	f.noteOwnUse(now)
	return f.active(now, address, true)
}

// active sums the word of entries on a host, with or without relays. The caller holds
// mu.
func (f *Feed) active(now time.Time, address netip.AddrPort, relayed bool) map[core.ModelName]int {
	sum := map[core.ModelName]int{}
	for _, u := range f.uses {
		if now.Sub(u.at) > useAge || u.relayed && !relayed {
			continue
		}
		for model, n := range u.active[address] {
			sum[model] += n
		}
	}
	return sum
}

// noteOwnUse takes in this entry's own requests in progress. The caller holds mu.
func (f *Feed) noteOwnUse(now time.Time) {
	own := use{at: now, active: map[netip.AddrPort]map[core.ModelName]int{}}
	f.Proxy.Update(func(v *fleet.View, _ time.Time) { own.active = v.OwnActive() })
	f.uses[f.Self.Name] = own
}

// Used notes that a request for an adapter, as MODEL/NAME, was sent to a host.
func (f *Feed) Used(address netip.AddrPort, adapter string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteUsed(address, []string{adapter}, false)
}

// noteUsed keeps the use of adapters for whoever asks the host's agent. The caller
// holds mu.
func (f *Feed) noteUsed(address netip.AddrPort, adapters []string, relayed bool) {
	to := f.ownUsed
	if source, ok := f.table.Source(address); ok && source != "" {
		r := f.relays[source]
		if relayed || r == nil {
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

// TakeUsed returns the adapters of a host that requests were sent for since it was last
// called.
func (f *Feed) TakeUsed(address netip.AddrPort) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for a := range f.ownUsed[address] {
		out = append(out, a)
	}
	delete(f.ownUsed, address)
	return out
}
