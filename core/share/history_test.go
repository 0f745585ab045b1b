package share_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/share"
)

const (
	historyStep = 100 * time.Millisecond
	// window is that of the platform, and settleTime is how long a process uses no more than its least part
	// since: until nothing can arrive that was sent by another's.
	window     = 10 * time.Second
	settleTime = 16 * time.Second
)

// process is a process in a history. Its parts are those of the last settleTime.
type process struct {
	name  core.HostName
	share share.Share
	parts []float64
	// ended is when it ended, zero while it runs.
	ended time.Time
	// apart is until when it reaches neither the list nor others, and unwritten until when its name is
	// not in the list after a restore.
	apart, unwritten time.Time
}

// inUse returns the part that the process uses, or may have used within the window.
func (p *process) inUse(now time.Time) float64 {
	if !p.ended.IsZero() && now.Sub(p.ended) >= window || len(p.parts) < int(settleTime/historyStep) {
		return 0
	}
	return slices.Min(p.parts)
}

// history is a list of processes that is restored from copies, while they start, end and lose touch.
type history struct {
	rng      *rand.Rand
	now      time.Time
	running  []*process
	all      []*process
	list     map[core.HostName]bool
	copied   map[core.HostName]bool
	restored bool
	names    int
	// cuts are until when what a process sends to another is lost.
	cuts map[[2]core.HostName]time.Time
}

func (h *history) chance(perSecond float64) bool {
	return h.rng.Float64() < perSecond*historyStep.Seconds()
}

func (h *history) start(name core.HostName) {
	p := &process{name: name, share: share.Share{Self: name, Whole: 60}}
	h.running, h.all = append(h.running, p), append(h.all, p)
}

func (h *history) touch(p *process) bool { return !h.now.Before(p.apart) }

func (h *history) step() {
	h.now = h.now.Add(historyStep)
	if h.chance(0.1) {
		h.names++
		h.start(core.HostName(fmt.Sprint("edge-", h.names)))
	}
	if h.chance(0.2) {
		h.cut()
	}
	if h.chance(1) {
		h.copied = maps.Clone(h.list)
	}
	if h.chance(0.05) {
		h.list, h.restored = maps.Clone(h.copied), true
	}
	for _, p := range slices.Clone(h.running) {
		switch {
		case h.chance(0.03):
			p.ended = h.now
			h.running = slices.DeleteFunc(h.running, func(o *process) bool { return o == p })
			h.start(p.name)
		case h.chance(0.08):
			p.apart = h.now.Add(time.Duration(h.rng.Float64() * float64(50*time.Second)))
		}
	}
	for _, p := range h.running {
		h.meet(p)
		p.parts = append(p.parts, p.share.Part(h.now))
		p.parts = p.parts[max(0, len(p.parts)-int(settleTime/historyStep)):]
	}
}

// cut cuts a process off from another in one way or both, while both reach the list.
func (h *history) cut() {
	a, b := h.running[h.rng.IntN(len(h.running))].name, h.running[h.rng.IntN(len(h.running))].name
	until := h.now.Add(time.Duration(h.rng.Float64() * float64(90*time.Second)))
	h.cuts[[2]core.HostName{a, b}] = until
	if h.rng.IntN(2) == 0 {
		h.cuts[[2]core.HostName{b, a}] = until
	}
}

// reaches reports whether what a process sends to another arrives.
func (h *history) reaches(from, to core.HostName) bool {
	return !h.now.Before(h.cuts[[2]core.HostName{from, to}])
}

// meet has a process write its name, read the list and ask others to count it.
func (h *history) meet(p *process) {
	if !h.touch(p) {
		return
	}
	switch {
	case !h.list[p.name] && p.unwritten.IsZero():
		p.unwritten = h.now.Add(time.Duration(h.rng.Float64() * float64(3*time.Second)))
	case !h.list[p.name] && !h.now.Before(p.unwritten):
		h.list[p.name] = true
		p.unwritten = time.Time{}
	}
	for name := range h.list {
		p.share.Count(name)
	}
	if h.list[p.name] {
		p.share.List(h.now, h.restored)
	}
	for _, name := range p.share.Uncounted() {
		for _, o := range h.running {
			if o.name != name || !h.touch(o) || !h.reaches(p.name, name) {
				continue
			}
			o.share.Count(p.name)
			if h.reaches(name, p.name) {
				p.share.Confirm(name)
			}
		}
	}
}

// Guards against parts in use that are together more than the whole, while processes start, end, lose
// touch with the list and with each other, in one way or both, and the list of them is restored from a copy that lacks some.
func TestPartsStayWithinWholeInRandomHistories(t *testing.T) {
	for seed := range uint64(100) {
		h := &history{rng: rand.New(rand.NewPCG(seed, 3)), now: t0, list: map[core.HostName]bool{}, copied: map[core.HostName]bool{}, cuts: map[[2]core.HostName]time.Time{}}
		for range 3 {
			h.names++
			h.start(core.HostName(fmt.Sprint("edge-", h.names)))
		}
		most := 0.0
		for h.now.Sub(t0) < 3*time.Minute {
			h.step()
			sum := 0.0
			for _, p := range h.all {
				sum += p.inUse(h.now)
			}
			most = max(most, sum)
		}
		assert.Check(t, most < 60.001, "seed %d: %.1f of 60 in use", seed, most)
	}
}
