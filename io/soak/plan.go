package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind uint8

// Kinds of faults.
const (
	KillEntry Kind = iota
	KillAgent
	KillAll
	StopEntry
	StopAgent
	PauseEntry
	PauseAgent
	Reload
	CutStore
	CutAgent
	CutUpstream
	DelayUpstream
	ResetAll
	SilenceAll
	StoreDown
	StoreSilent
	StoreLossy
	StoreCompact
	SpoilAnswers
	LoseAnswers
	FailAnswers
	ShedRequests
	HangRequests
	RestartUpstream
	NewTable
	LimitUpstream
	LeaveUpstream
	BackoffUpstream
	ResizeTable
	NarrowStore
	CrashingRequest
	RestoreStore
	DropFraming
	ReleaseUpstream
	MisstateVersion
	CrashingPart
	PreferEntry
	BusyEngine
	SlowReaders
	LoseCached
	FallingUpstreams
	KillEntries
	// ForeignEntry: another writer registers a host at the address of one.
	ForeignEntry
	kindCount
)

// fault describes a kind of fault: its name, how often it occurs relative to the
// others, and its maximum duration, which is zero for a fault that happens at one
// moment.
type fault struct {
	name        string
	weight      int
	maxDuration time.Duration
}

// faults describes all kinds. The weights favour faults that affect requests in
// progress. The durations range from less than the deadline of a request to more than
// the time after which a process is considered lost.
var faults = [kindCount]fault{
	KillEntry:        {"kill-entry", 4, 0},
	KillAgent:        {"kill-agent", 3, 0},
	KillAll:          {"kill-all", 1, 0},
	StopEntry:        {"stop-entry", 4, 0},
	StopAgent:        {"stop-agent", 2, 0},
	PauseEntry:       {"pause-entry", 3, 2 * time.Second},
	PauseAgent:       {"pause-agent", 2, 3 * time.Second},
	Reload:           {"reload", 1, 0},
	CutStore:         {"cut-store", 3, 3 * time.Second},
	CutAgent:         {"cut-agent", 2, 3 * time.Second},
	CutUpstream:      {"cut-upstream", 4, 2 * time.Second},
	DelayUpstream:    {"delay-upstream", 2, 2 * time.Second},
	ResetAll:         {"reset-all", 3, 0},
	SilenceAll:       {"hush-all", 2, 0},
	StoreDown:        {"store-down", 2, 3 * time.Second},
	StoreSilent:      {"store-silent", 2, 3 * time.Second},
	StoreLossy:       {"store-lossy", 2, 2 * time.Second},
	StoreCompact:     {"store-compact", 1, 0},
	SpoilAnswers:     {"spoil-answers", 4, time.Second},
	LoseAnswers:      {"lose-answers", 4, time.Second},
	FailAnswers:      {"fail-answers", 2, time.Second},
	ShedRequests:     {"shed-requests", 3, time.Second},
	HangRequests:     {"hang-requests", 2, time.Second},
	RestartUpstream:  {"restart-upstream", 3, 0},
	NewTable:         {"new-table", 2, 0},
	LimitUpstream:    {"limit-upstream", 3, 8 * time.Second},
	LeaveUpstream:    {"leave-upstream", 2, 5 * time.Second},
	BackoffUpstream:  {"backoff-upstream", 2, 2 * time.Second},
	ResizeTable:      {"resize-table", 2, 0},
	NarrowStore:      {"narrow-store", 2, 5 * time.Second},
	CrashingRequest:  {"crashing-request", 2, 0},
	RestoreStore:     {"restore-store", 2, 3 * time.Second},
	DropFraming:      {"drop-framing", 4, 2 * time.Second},
	ReleaseUpstream:  {"release-upstream", 5, 0},
	MisstateVersion:  {"misstate-version", 2, 2 * time.Second},
	CrashingPart:     {"crashing-part", 2, 0},
	PreferEntry:      {"prefer-entry", 2, 6 * time.Second},
	BusyEngine:       {"busy-engine", 4, 2 * time.Second},
	SlowReaders:      {"slow-readers", 2, 3 * time.Second},
	LoseCached:       {"lose-cached", 3, 0},
	FallingUpstreams: {"falling-upstreams", 3, 3 * time.Second},
	KillEntries:      {"kill-entries", 0, 0}, // drawn apart, so that schedules of earlier seeds stay
	ForeignEntry:     {"foreign-entry", 0, maxForeign},
}

// String returns the name of the kind as in schedules.
func (k Kind) String() string {
	if k >= kindCount {
		return "unknown"
	}
	return faults[k].name
}

// Step is one fault of a schedule.
type Step struct {
	Kind Kind
	// Begin and End are times from the start of the run. They are equal if the fault has
	// no duration.
	Begin, End time.Duration
	// Target selects the process, box or upstream, modulo their number. Variant selects
	// among the variants of the fault.
	Target, Variant int
}

// String describes the step in one line.
func (s Step) String() string {
	return fmt.Sprintf("%v to %v %v target %d variant %d", s.Begin.Round(time.Millisecond), s.End.Round(time.Millisecond), s.Kind, s.Target, s.Variant)
}

const (
	// startupTime is the time without faults at the start, in which all processes start.
	startupTime = 1500 * time.Millisecond
	// meanGap is the mean time between the beginnings of two faults. It is shorter than
	// the duration of most faults, so that they overlap.
	meanGap = 600 * time.Millisecond
	// variants is the number of values that Target and Variant of a step may have.
	variants = 1 << 16
	// simultaneousShare is the share of faults that begin together with the previous one.
	simultaneousShare = 0.2
)

// Draw returns the schedule of a seed. All faults end within length.
func Draw(seed uint64, length time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, seed))
	var steps []Step
	for at := startupTime; ; {
		if len(steps) == 0 || rng.Float64() >= simultaneousShare {
			at += time.Duration(rng.ExpFloat64() * float64(meanGap))
		}
		if at >= length {
			break
		}
		s := Step{Kind: drawKind(rng), Begin: at, End: at, Target: rng.IntN(variants), Variant: rng.IntN(variants)}
		if maxDuration := faults[s.Kind].maxDuration; maxDuration > 0 {
			s.End = min(at+time.Duration(rng.Float64()*float64(maxDuration)), length)
		}
		steps = append(steps, s)
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.Begin, b.Begin) })
	return steps
}

func drawKind(rng *rand.Rand) Kind {
	all := 0
	for _, f := range faults {
		all += f.weight
	}
	left := rng.IntN(all)
	for k, f := range faults {
		if left -= f.weight; left < 0 {
			return Kind(k)
		}
	}
	return KillEntry // not reached: the weights sum to all
}

// disturbed reports whether any step, except those of some kinds, overlaps with a span of
// time.
func disturbed(steps []Step, from, to time.Duration, except ...Kind) bool {
	return slices.ContainsFunc(steps, func(s Step) bool {
		return s.Begin < to && s.End > from && !slices.Contains(except, s.Kind)
	})
}
