package fleet

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"radishwell/core"
)

// Entry is a host as the platform's registry lists it.
type Entry struct {
	// ID and Born together identify one incarnation of a host. Born is its start time in
	// milliseconds since the Unix epoch, zero if unknown.
	ID         core.HostName
	Born       int64
	Service    core.ServiceName
	Address    netip.AddrPort
	DataCentre core.DataCentre
	Software   core.SoftwareVersion
	// Revision increases with each write to the registry.
	Revision uint64
	// Usable is set if the entry could be read and its state is one that takes requests. An
	// entry that cannot be read never yields a usable host.
	Usable  bool
	Leaving bool
	// ShortNotice is set if the host ends at a stated time, whatever it runs then.
	ShortNotice bool
	// Slots is the number of requests that the host runs at once.
	Slots int
	// Orders counts the orders that the host has accepted.
	Orders int64
	// Models are the models that the host holds; nil if the entry does not state them.
	Models []core.HeldModel
	// InMemory and OnDisk are the models whose weights are in the host's memory or on its
	// disk.
	InMemory, OnDisk []core.ModelName
}

// Report is the state of a host as its agent last read it from the host.
type Report struct {
	// Taken is when the agent read the state.
	Taken time.Time
	ID    core.HostName
	// Reachable is set if the agent can reach the host.
	Reachable bool
	Leaving   bool
	// Limit is the rate limit that the host reports. A host that reports none here may
	// still do so in its answers to requests.
	Limit    core.RateLimit
	Busy     bool
	Models   []core.HeldModel
	InMemory []core.ModelName
	OnDisk   []core.ModelName
	// Waiting and Running count requests. Reading is the number of prompt tokens in
	// prefill.
	Waiting, Running, Reading int
	// Asking is one more than the most urgent rank of the requests for which entries have asked
	// the agent for room of late; zero if there are none.
	Asking int
	// Free is the host's free prompt memory.
	Free core.FreeMemory
	// Pace is the pace of the host's streams, as its agent measures it.
	Pace core.Pace
	// Active counts the requests in progress by model over all entries, as of the last call
	// of each entry to the agent.
	Active map[core.ModelName]int
	// Loading is the model that is being loaded, and LoadedBy is when the load should be
	// done.
	Loading  core.ModelName
	LoadedBy time.Time
}

// Host is one incarnation of an upstream host and its known state.
type Host struct {
	Entry
	// Report is the newest report of this incarnation. Its Taken is zero if there is none
	// yet.
	Report Report

	// ended is set if this incarnation has ended, though the registry still lists it.
	ended bool
	// unreachableAt is when the host's agent last reported that it cannot reach the host,
	// zero if it has reached the host since.
	unreachableAt time.Time
	// superseded is set if the registry lists a newer incarnation at the host's address.
	superseded bool
	// addedLeaving is set if the first entry of this incarnation was that of a leaving host.
	addedLeaving bool
	// deniedAt is when a host at the address last stated that it is not this incarnation, zero if none
	// has. identityAskedAt is when one was last asked.
	deniedAt, identityAskedAt time.Time
	// unusableUntil is the time until which the entry may be that of an incarnation that had
	// gone before the registry was restored.
	unusableUntil time.Time
	// answeredSince is when the latest request was sent that the host has answered.
	answeredSince time.Time
	inFlight      int
	// active counts this process's requests in progress by model.
	active map[core.ModelName]int
	// pendingPrefill is the number of prompt tokens sent to the host whose answers have not
	// begun. sentPrompts are the recent prompts with their send times, oldest first.
	pendingPrefill int
	sentPrompts    []sentPrompt
	prefixes       map[uint64]time.Time
	// failures is a decaying count of failures as of failedAt.
	failures float64
	failedAt time.Time
	// avoidUntil is the time until which the host is used only if there is no other.
	avoidUntil time.Time
	// missing holds the models that the host denied holding, with the time until which that
	// overrides its reports.
	missing map[core.ModelName]time.Time
	indexed indexed
	probe   probe
	// view is the View that the host is in.
	view *View
	*signals
	enginePace
}

// Incarnation returns the host's incarnation.
func (h *Host) Incarnation() Incarnation { return Incarnation{ID: h.ID, Born: h.Born} }

// sentPrompt is a prompt that was sent to a host.
type sentPrompt struct {
	at time.Time
	// tokens are those that the host has to process, and memory those that the request holds
	// there at its end.
	tokens, memory int
}

// reportTTL is how long a report takes precedence over the registry on what a host holds.
// Entries poll agents twice a second, so two seconds are four missed responses, and the
// registry lags by about a second.
const reportTTL = 2 * time.Second

// Fresh reports whether the host's report is recent enough to be used.
func (h *Host) Fresh(now time.Time) bool {
	return !h.Report.Taken.IsZero() && now.Sub(h.Report.Taken) < reportTTL
}

// Holds returns the models that the host holds.
func (h *Host) Holds(now time.Time) []core.HeldModel {
	if h.Fresh(now) {
		return h.Report.Models
	}
	return h.Models
}

// Find returns a model that the host holds, false if the host does not hold it.
func (h *Host) Find(now time.Time, model core.ModelName) (core.HeldModel, bool) {
	if until, ok := h.missing[model]; ok && now.Before(until) {
		return core.HeldModel{}, false
	}
	list := h.Holds(now)
	i := slices.IndexFunc(list, func(m core.HeldModel) bool { return m.Model == model })
	if i < 0 {
		return core.HeldModel{}, false
	}
	return list[i], true
}

// mayHold reports whether a host that is not known to hold a model may do so soon: its agent
// reports that it loads the model, or it is not known yet what the host holds.
func (h *Host) mayHold(now time.Time, model core.ModelName) bool {
	return h.Fresh(now) && h.Report.Loading == model || h.Report.Taken.IsZero() && h.Models == nil
}

// AtHand returns the models whose weights are in the host's memory and on its disk.
func (h *Host) AtHand(now time.Time) (memory, disk []core.ModelName) {
	if h.Fresh(now) {
		return h.Report.InMemory, h.Report.OnDisk
	}
	return h.InMemory, h.OnDisk
}

// OwnActive returns this process's requests in progress at the host, by model.
func (h *Host) OwnActive() map[core.ModelName]int { return maps.Clone(h.active) }

// Active returns the number of requests for a model in progress at the host: the count over
// all entries that the agent reports, or this process's own count if that is larger.
func (h *Host) Active(model core.ModelName) int {
	return max(h.active[model], h.Report.Active[model])
}

// Asking returns the most urgent rank for which entries have asked the host's agent for room of
// late, core.PriorityLevels if there are none or the agent is silent.
func (h *Host) Asking(now time.Time) int {
	if h.Report.Asking == 0 || h.Silent(now) {
		return core.PriorityLevels
	}
	return h.Report.Asking - 1
}

// IsUnreachable reports whether the host's agent reports that it cannot reach the host.
// Such a report expires like any other: if the agent itself falls silent, the state of its
// host is unknown.
func (h *Host) IsUnreachable(now time.Time) bool {
	return !h.unreachableAt.IsZero() && now.Sub(h.unreachableAt) < reportTTL
}

// silenceTimeout is the age of a host's last report at which its agent counts as silent.
// Entries poll agents twice a second, so two responses are missing.
const silenceTimeout = time.Second

// Silent reports whether the host's agent has reported before, but not within
// silenceTimeout.
func (h *Host) Silent(now time.Time) bool {
	return !h.Report.Taken.IsZero() && now.Sub(h.Report.Taken) >= silenceTimeout
}

// NoteAnswer records that the host has answered a request that was sent at the given time.
func (h *Host) NoteAnswer(sent time.Time) { h.answeredSince = core.Later(h.answeredSince, sent) }

// HasEnded reports whether this incarnation has ended, either by the report of the host's
// agent or because the registry lists a newer one at its address.
func (h *Host) HasEnded() bool { return h.ended || h.superseded }

// IsAvailable reports whether this incarnation may be used: its entry could be read and is not
// only that of a restored copy, and neither the registry nor its agent says that it has ended
// or cannot be reached.
func (h *Host) IsAvailable(now time.Time) bool {
	return h.Usable && !h.HasEnded() && !h.IsUnreachable(now) && !now.Before(h.unusableUntil)
}

// IsLeaving reports whether the registry, the host's agent or the host's own answers say
// that the host is leaving.
func (h *Host) IsLeaving(now time.Time) bool {
	_, says := h.LeavingFor(now)
	return says || h.Entry.Leaving || h.Report.Leaving
}
