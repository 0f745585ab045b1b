package feed

import (
	"net/netip"
	"time"

	"radishwell/core"
	"radishwell/core/demand"
	"radishwell/core/digest"
	"radishwell/core/fleet"
	"radishwell/io/events"
	"radishwell/io/peer"
	"radishwell/wire"
)

// Apply applies the state of a host to the view.
func Apply(v *fleet.View, h *digest.Host) {
	if h.Unreachable {
		v.NoteUnreachable(h.Report.Taken, h.Address)
	}
	if !h.Report.Reachable {
		return
	}
	v.NoteIncarnations(h.Address, h.Born, h.Ended)
	v.Report(h.Report)
}

// DecodeHost decodes an agent's report on the host at an address.
func DecodeHost(address netip.AddrPort, r *wire.UpstreamReport, now time.Time) digest.Host {
	out := digest.Host{
		Address: address, Unreachable: r.GetLost(), Born: r.GetBorn(), Ended: core.Names[core.HostName](r.GetEnded()),
		Report: fleet.Report{
			Taken: now.Add(-time.Duration(r.GetAge())), ID: core.HostName(r.GetInstance()), Reachable: r.GetReachable(),
			Leaving: r.GetLeaving(), Busy: r.GetBusy(), Limit: core.RateLimit{Limited: r.GetLimited(), Rate: r.GetRate()},
			InMemory: core.Names[core.ModelName](r.GetInMemory()), OnDisk: core.Names[core.ModelName](r.GetOnDisk()),
			Waiting: int(r.GetWaiting()), Running: int(r.GetRunning()), Reading: int(r.GetReading()),
			Pace: peer.DecodePace(r.GetPace()), Asking: decodeAsking(r.GetAsking()), Free: peer.DecodeFree(r.GetFree()),
			Loading: core.ModelName(r.GetLoading()), Active: make(map[core.ModelName]int, len(r.GetModels())),
		},
	}
	if out.Unreachable {
		// The agent itself observes the loss, so the age of the upstream's report does not
		// apply.
		out.Report.Taken = now
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

// encodeReport encodes a host's report. The models in its memory and on its disk are
// included only for relays, since only planners use them.
func encodeReport(now time.Time, h *digest.Host, relay bool) *wire.UpstreamReport {
	r := h.Report
	out := &wire.UpstreamReport{
		Instance: string(r.ID), Busy: r.Busy, Leaving: r.Leaving, Reachable: r.Reachable, Lost: h.Unreachable,
		Limited: r.Limit.Limited, Rate: r.Limit.Rate, Pace: peer.EncodePace(r.Pace),
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

// decodeActive returns counts by model; counts has the order of models.
func decodeActive(models []core.HeldModel, counts []uint32) map[core.ModelName]int {
	out := make(map[core.ModelName]int, len(counts))
	for i, n := range counts {
		if i < len(models) && n > 0 {
			out[models[i].Model] = int(n)
		}
	}
	return out
}

// decodeFigures decodes the figures of a host that has the given models.
func decodeFigures(taken time.Time, s *wire.HostState, models []core.HeldModel) digest.Figures {
	return digest.Figures{
		Taken: taken, Waiting: int(s.GetWaiting()), Running: int(s.GetRunning()), Reading: int(s.GetReading()),
		Asking: decodeAsking(s.GetAsking()), Free: peer.DecodeFree(s.GetFree()), Active: decodeActive(models, s.GetActive()),
	}
}

// decodeAsking decodes fleet.Report.Asking.
func decodeAsking(n uint32) int { return int(min(n, core.PriorityLevels)) }

func encodeWaits(waits map[core.ModelName]demand.Waits) []*wire.ModelWaiting {
	out := make([]*wire.ModelWaiting, 0, len(waits))
	for name, w := range waits {
		out = append(out, &wire.ModelWaiting{Model: string(name), Count: uint32(max(0, w.Count)), Continuing: core.Strings(w.Continuing)})
	}
	return out
}

func decodeWaits(list []*wire.ModelWaiting) map[core.ModelName]demand.Waits {
	out := make(map[core.ModelName]demand.Waits, len(list))
	for _, w := range list {
		out[core.ModelName(w.GetModel())] = demand.Waits{Count: int(w.GetCount()), Continuing: core.Names[core.SoftwareVersion](w.GetContinuing())}
	}
	return out
}

// EncodeCounts encodes counts by model.
func EncodeCounts(counts map[core.ModelName]int) []*wire.ModelActive {
	out := make([]*wire.ModelActive, 0, len(counts))
	for name, n := range counts {
		out = append(out, &wire.ModelActive{Model: string(name), Count: uint32(n)})
	}
	return out
}

func decodeCounts(list []*wire.ModelActive) map[core.ModelName]int {
	out := make(map[core.ModelName]int, len(list))
	for _, m := range list {
		out[core.ModelName(m.GetModel())] = int(m.GetCount())
	}
	return out
}

func encodeAddress(a netip.AddrPort) []byte {
	out, err := a.MarshalBinary()
	if err != nil {
		events.Fail(events.DecisionFailed, err, "address", a)
	}
	return out
}

func decodeAddress(b []byte) (a netip.AddrPort, ok bool) {
	if err := a.UnmarshalBinary(b); err != nil {
		events.Fail(events.DecisionFailed, err)
		return netip.AddrPort{}, false
	}
	return a, true
}

func decodeStale(now time.Time, list []*wire.StaleHost) []digest.Stale {
	var out []digest.Stale
	for _, s := range list {
		if a, ok := decodeAddress(s.GetAddress()); ok {
			out = append(out, digest.Stale{Address: a, Taken: now.Add(-millis(s.GetAge()))})
		}
	}
	return out
}

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// age returns the time since at in milliseconds.
func age(now, at time.Time) uint32 { return uint32(max(0, now.Sub(at).Milliseconds())) }
