package feed

import (
	"net/netip"
	"time"

	"radishwell/core"
	"radishwell/core/digest"
	"radishwell/core/fleet"
	"radishwell/io/events"
	"radishwell/wire"
)

// Apply tells the view what is known of a host.
func Apply(v *fleet.View, h *digest.Host) {
	if h.Lost {
		v.Lost(h.Report.Taken, h.Address)
	}
	if !h.Report.Reachable {
		return
	}
	v.Outlived(h.Address, h.Born, h.Ended)
	v.Report(h.Report)
}

// HostIn decodes an agent's report on the host at an address.
func HostIn(address netip.AddrPort, r *wire.UpstreamReport, now time.Time) digest.Host {
	out := digest.Host{
		Address: address, Lost: r.GetLost(), Born: r.GetBorn(), Ended: core.Names[core.HostName](r.GetEnded()),
		Report: fleet.Report{
			Taken: now.Add(-time.Duration(r.GetAge())), ID: core.HostName(r.GetInstance()), Reachable: r.GetReachable(),
			Leaving: r.GetLeaving(), Busy: r.GetBusy(), Limit: core.RateLimit{Limited: r.GetLimited(), Rate: r.GetRate()},
			InMemory: core.Names[core.ModelName](r.GetInMemory()), OnDisk: core.Names[core.ModelName](r.GetOnDisk()),
			Waiting: int(r.GetWaiting()), Running: int(r.GetRunning()), Reading: int(r.GetReading()),
			Loading: core.ModelName(r.GetLoading()), Active: make(map[core.ModelName]int, len(r.GetModels())),
		},
	}
	if out.Lost {
		out.Report.Taken = now // the word that counts is the agent's own
	}
	if out.Report.Loading != "" {
		out.Report.LoadedBy = now.Add(time.Duration(r.GetLoadLeft()))
	}
	for _, m := range r.GetModels() {
		out.Report.Active[core.ModelName(m.GetModel())] = int(m.GetActive())
		out.Report.Models = append(out.Report.Models, core.HeldModel{Model: core.ModelName(m.GetModel()), Version: m.GetVersion(), Adapters: m.GetAdapters()})
	}
	return out
}

// reportOut encodes a host's report. Which weights are near the host is for planners
// only.
func reportOut(now time.Time, h *digest.Host, relay bool) *wire.UpstreamReport {
	r := h.Report
	out := &wire.UpstreamReport{
		Instance: string(r.ID), Busy: r.Busy, Leaving: r.Leaving, Reachable: r.Reachable, Lost: h.Lost,
		Limited: r.Limit.Limited, Rate: r.Limit.Rate,
		Ended: core.Strings(h.Ended), Born: h.Born, Loading: string(r.Loading),
	}
	if r.Loading != "" {
		out.LoadLeft = int64(r.LoadedBy.Sub(now))
	}
	if relay {
		out.InMemory, out.OnDisk = core.Strings(r.InMemory), core.Strings(r.OnDisk)
	}
	for _, m := range r.Models {
		out.Models = append(out.Models, &wire.HeldModel{Model: string(m.Model), Version: m.Version, Adapters: m.Adapters})
	}
	return out
}

// activeIn joins counts with the models that they are of, in the same order.
func activeIn(models []core.HeldModel, counts []uint32) map[core.ModelName]int {
	out := make(map[core.ModelName]int, len(counts))
	for i, n := range counts {
		if i < len(models) && n > 0 {
			out[models[i].Model] = int(n)
		}
	}
	return out
}

// CountsOut encodes counts by model.
func CountsOut(counts map[core.ModelName]int) []*wire.ModelActive {
	out := make([]*wire.ModelActive, 0, len(counts))
	for name, n := range counts {
		out = append(out, &wire.ModelActive{Model: string(name), Count: uint32(n)})
	}
	return out
}

func countsIn(list []*wire.ModelActive) map[core.ModelName]int {
	out := make(map[core.ModelName]int, len(list))
	for _, m := range list {
		out[core.ModelName(m.GetModel())] = int(m.GetCount())
	}
	return out
}

func addressOut(a netip.AddrPort) []byte {
	out, err := a.MarshalBinary()
	if err != nil {
		events.Fail(events.DecisionFailed, err, "address", a)
	}
	return out
}

func addressIn(b []byte) (a netip.AddrPort, ok bool) {
	if err := a.UnmarshalBinary(b); err != nil {
		events.Fail(events.DecisionFailed, err)
		return netip.AddrPort{}, false
	}
	return a, true
}

func staleIn(now time.Time, list []*wire.StaleHost) []digest.Stale {
	var out []digest.Stale
	for _, s := range list {
		if a, ok := addressIn(s.GetAddress()); ok {
			out = append(out, digest.Stale{Address: a, Taken: now.Add(-millis(s.GetAge()))})
		}
	}
	return out
}

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// age returns how long ago a time is, in milliseconds.
func age(now, at time.Time) uint32 { return uint32(max(0, now.Sub(at).Milliseconds())) }
