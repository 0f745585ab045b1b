package origin_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/origin"
)

// The play compares ways to know the version of a stream that is resumed at another entry. Times
// are in seconds.
const (
	playTime    = 120.0
	playStep    = 0.05
	streamRate  = 3.0 // new streams a second at each entry
	meanStream  = 3.0
	restartTime = 1.0
	// askedMore is by how much more holders are asked than get copies.
	askedMore = 2
)

// trouble takes entries down, or cuts them off, in each step of a play.
type trouble struct {
	name string
	step func(p *play)
}

// play is a fleet of entries whose streams break and are resumed.
type play struct {
	rng     *rand.Rand
	now     float64
	names   []core.HostName
	upAt    []float64
	cutTill []float64
	// kept are the keys that an entry keeps.
	kept    []map[core.Fingerprint]bool
	streams []playedStream
	next    int
}

type playedStream struct {
	key   core.Fingerprint
	entry int
	ends  float64
	// versions is the set of versions when it began, by its number.
	versions int
}

// result counts the streams that were resumed, those of unknown version, and those that would have
// gone on at another version.
type result struct{ resumed, unknown, wrong int }

var troubles = []trouble{
	{"one entry is killed every 5 s", func(p *play) {
		if p.every(5) {
			p.kill(p.rng.IntN(len(p.names)))
		}
	}},
	{"a third is killed at once every 30 s", func(p *play) {
		if p.every(30) {
			for i := range p.names {
				if p.rng.Float64() < 1.0/3 {
					p.kill(i)
				}
			}
		}
	}},
	{"all restart in turn within 30 s", func(p *play) {
		if p.every(30 / float64(len(p.names))) {
			p.kill(p.next % len(p.names))
			p.next++
		}
	}},
	{"a fifth is cut off and one killed, every 10 s", func(p *play) {
		if p.every(10) {
			for i := range p.names {
				if p.rng.Float64() < 0.2 {
					p.cutTill[i] = p.now + 4
				}
			}
			p.kill(p.rng.IntN(len(p.names)))
		}
	}},
}

// every reports whether a multiple of a time is reached in this step.
func (p *play) every(seconds float64) bool {
	return int(p.now/seconds) != int((p.now-playStep)/seconds)
}

func (p *play) kill(i int) {
	p.upAt[i] = p.now + restartTime
	p.kept[i] = map[core.Fingerprint]bool{}
}

func (p *play) isUp(i int) bool { return p.now >= p.upAt[i] }

func (p *play) reach(i, j int) bool {
	return p.isUp(j) && p.now >= p.cutTill[i] && p.now >= p.cutTill[j]
}

// holders returns the first n holders of a key that an entry reaches.
func (p *play) holders(from int, key core.Fingerprint, n int) (out []int) {
	index := map[core.HostName]int{}
	var known []core.HostName
	for i, name := range p.names {
		if i != from && p.reach(from, i) {
			known = append(known, name)
			index[name] = i
		}
	}
	for _, name := range origin.Holders(key, known, n) {
		out = append(out, index[name])
	}
	return out
}

// versions returns the number of the set of versions in force: one comes or goes every 10 s.
func (p *play) versions() int { return int(p.now / 10) }

// pick returns the version that a choice by hash among the versions of a set gives.
func pick(key core.Fingerprint, set int) core.HostName {
	names := []core.HostName{"v1", "v2", "v3"}
	if set%2 == 0 {
		names = names[:2]
	}
	return origin.Holders(key, names, 1)[0]
}

// resume resumes a stream whose entry was killed at another entry in touch, which asks those to
// whom copies were sent, or all if there are none.
func (p *play) resume(s playedStream, copies int, r *result) {
	at := p.rng.IntN(len(p.names))
	for !p.isUp(at) || p.now < p.cutTill[at] {
		at = (at + 1) % len(p.names)
	}
	r.resumed++
	found := p.kept[at][s.key]
	asked := copies + askedMore
	if copies == 0 {
		asked = len(p.names)
	}
	for _, h := range p.holders(at, s.key, asked) {
		found = found || p.kept[h][s.key]
	}
	if !found {
		r.unknown++
	} else {
		p.begin(at, s, copies)
	}
	if pick(s.key, s.versions) != pick(s.key, p.versions()) {
		r.wrong++
	}
}

// begin keeps a record at an entry and sends copies.
func (p *play) begin(at int, s playedStream, copies int) {
	s.entry = at
	p.streams = append(p.streams, s)
	p.kept[at][s.key] = true
	for _, h := range p.holders(at, s.key, copies) {
		p.kept[h][s.key] = true
	}
}

func run(seed uint64, entries, copies int, t trouble) (r result) {
	p := &play{rng: rand.New(rand.NewPCG(seed, 1)), upAt: make([]float64, entries), cutTill: make([]float64, entries)}
	for i := range entries {
		p.names = append(p.names, core.HostName(fmt.Sprint("edge-", i)))
		p.kept = append(p.kept, map[core.Fingerprint]bool{})
	}
	for n := 0; p.now < playTime; p.now += playStep {
		for i := range entries {
			if p.isUp(i) && p.rng.Float64() < streamRate*playStep {
				n++
				key := origin.KeyOf(core.RequestID(fmt.Sprint("q-", n)))
				p.begin(i, playedStream{key: key, ends: p.now + p.rng.ExpFloat64()*meanStream, versions: p.versions()}, copies)
			}
		}
		t.step(p)
		running := p.streams
		p.streams = nil
		for _, s := range running {
			switch {
			case s.ends <= p.now:
			case !p.isUp(s.entry):
				p.resume(s, copies, &r)
			default:
				p.streams = append(p.streams, s)
			}
		}
	}
	return r
}

// TestWays plays the loss of entries with so many copies of each record, none meaning that all
// entries are asked, and a choice by hash that needs no records.
func TestWays(t *testing.T) {
	const used = 4
	sizes := []int{11}
	if os.Getenv("RADISHWELL_SCHEDULES") != "" {
		sizes = []int{11, 36, 107} // of 30, 100 and 300 hosts
	}
	for _, entries := range sizes {
		for _, trouble := range troubles {
			unknown := map[int]float64{}
			for _, copies := range []int{0, 1, 2, 3, used} {
				r := run(1, entries, copies, trouble)
				unknown[copies] = float64(r.unknown) / float64(max(1, r.resumed))
				t.Logf("%d entries, %s, %d copies: of %d resumed streams %.3f unknown; by hash %.3f at another version",
					entries, trouble.name, copies, r.resumed, unknown[copies], float64(r.wrong)/float64(max(1, r.resumed)))
			}
			assert.Assert(t, unknown[used] < 0.1, "%d entries, %s: %v", entries, trouble.name, unknown)
		}
	}
}
