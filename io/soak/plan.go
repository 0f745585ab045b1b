package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a fault.
type Kind uint8

// Faults.
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
	HushAll
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
	kindCount
)

// fault describes a kind: how it is named, how often it comes against the others,
// and the longest that it lasts.
type fault struct {
	name    string
	weight  int
	longest time.Duration
}

// faults is the table of kinds. The weights favour what hits requests in progress;
// the times are shorter than a request's deadline at one end and longer than the
// time after which a process is taken for gone at the other.
var faults = [kindCount]fault{
	KillEntry:       {"kill-entry", 4, 0},
	KillAgent:       {"kill-agent", 3, 0},
	KillAll:         {"kill-all", 1, 0},
	StopEntry:       {"stop-entry", 4, 0},
	StopAgent:       {"stop-agent", 2, 0},
	PauseEntry:      {"pause-entry", 3, 2 * time.Second},
	PauseAgent:      {"pause-agent", 2, 3 * time.Second},
	Reload:          {"reload", 1, 0},
	CutStore:        {"cut-store", 3, 3 * time.Second},
	CutAgent:        {"cut-agent", 2, 3 * time.Second},
	CutUpstream:     {"cut-upstream", 4, 2 * time.Second},
	DelayUpstream:   {"delay-upstream", 2, 2 * time.Second},
	ResetAll:        {"reset-all", 3, 0},
	HushAll:         {"hush-all", 2, 0},
	StoreDown:       {"store-down", 2, 3 * time.Second},
	StoreSilent:     {"store-silent", 2, 3 * time.Second},
	StoreLossy:      {"store-lossy", 2, 2 * time.Second},
	StoreCompact:    {"store-compact", 1, 0},
	SpoilAnswers:    {"spoil-answers", 4, time.Second},
	LoseAnswers:     {"lose-answers", 4, time.Second},
	FailAnswers:     {"fail-answers", 2, time.Second},
	ShedRequests:    {"shed-requests", 3, time.Second},
	HangRequests:    {"hang-requests", 2, time.Second},
	RestartUpstream: {"restart-upstream", 3, 0},
	NewTable:        {"new-table", 2, 0},
	LimitUpstream:   {"limit-upstream", 3, 8 * time.Second},
	LeaveUpstream:   {"leave-upstream", 2, 5 * time.Second},
	BackoffUpstream: {"backoff-upstream", 2, 2 * time.Second},
	ResizeTable:     {"resize-table", 2, 0},
	NarrowStore:     {"narrow-store", 2, 5 * time.Second},
}

// String returns the fault's name.
func (k Kind) String() string {
	if k >= kindCount {
		return "unknown"
	}
	return faults[k].name
}

// Step is one fault of a schedule.
type Step struct {
	Kind Kind
	// Begin and End are times from the start; equal where the fault does not last.
	Begin, End time.Duration
	// Target picks the process, link or upstream, Variant how it is hit.
	Target, Variant int
}

// String tells the step in a line.
func (s Step) String() string {
	return fmt.Sprintf("%v to %v %v target %d variant %d", s.Begin.Round(time.Millisecond), s.End.Round(time.Millisecond), s.Kind, s.Target, s.Variant)
}

const (
	// quiet is the time at the start without faults, in which everything comes up.
	quiet = 1500 * time.Millisecond
	// meanGap is the mean time between the beginnings of two faults: shorter than
	// most last, so that they overlap.
	meanGap = 600 * time.Millisecond
	// together is the part of faults that begin at the moment of the one before.
	together = 0.2
)

// Draw returns the schedule of a seed. All faults have ended by the given time.
func Draw(seed uint64, length time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, seed))
	var steps []Step
	for at := quiet; ; {
		if len(steps) == 0 || rng.Float64() >= together {
			at += time.Duration(rng.ExpFloat64() * float64(meanGap))
		}
		if at >= length {
			break
		}
		s := Step{Kind: drawKind(rng), Begin: at, End: at, Target: rng.IntN(1 << 16), Variant: rng.IntN(1 << 16)}
		if longest := faults[s.Kind].longest; longest > 0 {
			s.End = min(at+time.Duration(rng.Float64()*float64(longest)), length)
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

// disturbed tells whether any step but those of one kind strikes in a span of time.
func disturbed(steps []Step, besides Kind, from, to time.Duration) bool {
	return slices.ContainsFunc(steps, func(s Step) bool { return s.Kind != besides && s.Begin < to && s.End > from })
}
