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
	// ID names one life of a host; Born tells lives under one ID apart, in
	// milliseconds since the Unix epoch, zero where it is not told.
	ID         core.HostName
	Born       int64
	Service    core.ServiceName
	Address    netip.AddrPort
	DataCentre core.DataCentre
	// Revision grows with each writing of the registry.
	Revision uint64
	// Usable tells that the entry could be read and its state is known to take
	// work. An entry that cannot be read names no host to use.
	Usable  bool
	Leaving bool
	// Slots is how many requests the host runs at once.
	Slots int
	// Orders counts the orders that the host has accepted.
	Orders int64
	Models []core.HeldModel
	// InMemory and OnDisk are the models whose weights are near the host.
	InMemory, OnDisk []core.ModelName
}

// Report is a host's own word on its state, as its agent passes it on.
type Report struct {
	// Taken is when the host gave it.
	Taken time.Time
	ID    core.HostName
	// Reachable tells that the agent reaches the host.
	Reachable bool
	Leaving   bool
	// Limit is the rate that the host named. One that names none in a report may all the
	// same do so in answers to requests.
	Limit    core.RateLimit
	Busy     bool
	Models   []core.HeldModel
	InMemory []core.ModelName
	OnDisk   []core.ModelName
	// Waiting and Running count requests; Reading is the prompt tokens of those that
	// are being read.
	Waiting, Running, Reading int
	// Active counts the requests in progress by model, of all entries, as of their
	// last calls of the agent.
	Active map[core.ModelName]int
	// Loading is the model that is being loaded and LoadedBy when it should be
	// there.
	Loading  core.ModelName
	LoadedBy time.Time
}

// Host is one life of an upstream host with all that is known of it.
type Host struct {
	Entry
	// Report is the newest one of this life; its Taken is zero before there is
	// one.
	Report Report

	// outlived tells that this life has ended, though the registry lists it.
	outlived bool
	// lostAt is when the host's agent last said that it cannot be reached; zero where
	// it has reached it since.
	lostAt time.Time
	// superseded tells that the registry names a newer life at the host's address.
	superseded bool
	inFlight   int
	// active are this process's requests in progress by model.
	active map[core.ModelName]int
	// prefill is the prompt tokens sent to the host and not answered yet, sent when
	// they were sent, oldest first.
	prefill  int
	sent     []sending
	prefixes map[prefixKey]time.Time
	// failing is a decaying count of failures, as of failedAt.
	failing  float64
	failedAt time.Time
	// avoidTill is until when the host is used only if there is no other.
	avoidTill time.Time
	// absent are the models that the host said it does not hold, and till when
	// that counts above what it reported.
	absent map[core.ModelName]time.Time
	*signals
}

func (h *Host) life() Life { return Life{ID: h.ID, Born: h.Born} }

// sending is prompt tokens that were sent to a host.
type sending struct {
	at     time.Time
	tokens int
}

// reportAge is how old a report may be to count above the registry's word on
// what a host holds. Entries hear from agents twice a second; two seconds are
// four missed answers, and the registry's word is a second or so behind.
const reportAge = 2 * time.Second

// Fresh tells whether the host's report counts.
func (h *Host) Fresh(now time.Time) bool {
	return !h.Report.Taken.IsZero() && now.Sub(h.Report.Taken) < reportAge
}

// Holds returns what the host holds.
func (h *Host) Holds(now time.Time) []core.HeldModel {
	if h.Fresh(now) {
		return h.Report.Models
	}
	return h.Models
}

// Find returns the model among what the host holds.
func (h *Host) Find(now time.Time, model core.ModelName) (core.HeldModel, bool) {
	if until, ok := h.absent[model]; ok && now.Before(until) {
		return core.HeldModel{}, false
	}
	list := h.Holds(now)
	i := slices.IndexFunc(list, func(m core.HeldModel) bool { return m.Model == model })
	if i < 0 {
		return core.HeldModel{}, false
	}
	return list[i], true
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

// Active returns the requests for a model that are in progress at the host: those
// that entries told its agent, or this process's own where these are more.
func (h *Host) Active(model core.ModelName) int {
	return max(h.active[model], h.Report.Active[model])
}

// Lost tells whether the host's agent says that it cannot be reached. The word
// counts as long as a report does: an agent that is silent itself tells nothing.
func (h *Host) Lost(now time.Time) bool {
	return !h.lostAt.IsZero() && now.Sub(h.lostAt) < reportAge
}

// silentAge is how old a host's report is when its agent counts as silent: agents
// answer every half second, so two answers are missing.
const silentAge = time.Second

// Silent tells whether the host's agent was heard of, but not lately.
func (h *Host) Silent(now time.Time) bool {
	return !h.Report.Taken.IsZero() && now.Sub(h.Report.Taken) >= silentAge
}

// Outlived tells whether this life has ended, by the word of the host's agent or
// since the registry names a newer one at its address.
func (h *Host) Outlived() bool { return h.outlived || h.superseded }

// Runs tells whether this life may be used: its entry could be read, and neither
// the registry nor its agent says that it has ended or cannot be reached.
func (h *Host) Runs(now time.Time) bool { return h.Usable && !h.Outlived() && !h.Lost(now) }

// IsLeaving tells whether the registry, the host's agent or the host itself says that it
// leaves.
func (h *Host) IsLeaving(now time.Time) bool {
	_, says := h.LeavingFor(now)
	return says || h.Entry.Leaving || h.Report.Leaving
}
