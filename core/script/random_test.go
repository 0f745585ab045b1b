package script

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"radishwell/core"
)

var (
	steps = flag.Int("steps", 12_000, "random directives that TestRandom plays in all")
	seed  = flag.Uint64("seed", 1, "seed of TestRandom's first schedule")
)

// length is how many random directives one schedule has.
const length = 400

// opening is what every random schedule begins with: owner, models and adapters
// that don't all fit, and hosts of both kinds of engine.
const opening = `owner nadi 300
host h1 charguia r1 2 80
host h2 lac-deux r1 2 80 ignores
host h3 ariana r1 1 80
host h4 charguia r2 2 80 ignores
model m1 nadi 30 1 2
model m2 kopa 50 2 1
model m3 nadi 60 1 3
adapter a1 m1 nadi 1 2
adapter a2 m1 kopa 15 1
decider d1
decider d2 1.08
decider d3 0.95
settle 20s`

// healing ends every fault, and gives the fleet time to converge.
const healing = `outage off
resume d1
resume d2
resume d3
start d1
start d2
start d3
resume h1
resume h2
resume h3
resume h4
hang h1 off
hang h2 off
hang h3 off
hang h4 off
reclaim h1
reclaim h2
reclaim h3
reclaim h4
delist h1
delist h2
delist h3
delist h4
join h1
join h2
join h3
join h4
start h1
start h2
start h3
start h4
idle h1
idle h2
idle h3
idle h4
settle 100s`

// kind is a directive with how often it is drawn; args are drawn one each.
type kind struct {
	weight int
	name   string
	args   []string
}

var (
	someHost    = "h1 h2 h3 h4"
	someDecider = "d1 d2 d3"
	someProcess = "h1 h2 h3 h4 d1 d2 d3"
	someModel   = "m1 m2 m3 a1 a2"
	someNumber  = "0 0 1 2 3 4 5 6 7"
)

var kinds = []kind{
	{60, "deliver", []string{someNumber}},
	{45, "step", []string{someProcess}},
	{20, "work", []string{someHost, someNumber}},
	{15, "sync", []string{someProcess}},
	{10, "copy", []string{someProcess, "0 1 2 3 5 8 13 21 34"}},
	{12, "tick", []string{"100ms 500ms 1s 3s 5s 12s"}},
	{6, "lose", []string{someNumber}},
	{8, "late", []string{someNumber}},
	{12, "want", []string{someHost, someModel}},
	{6, "unwant", []string{someHost, someModel}},
	{8, "use", []string{someHost, someModel}},
	{8, "done", []string{someHost, someNumber}},
	{5, "evict", []string{someHost, someModel}},
	{2, "outage", []string{"on off off"}},
	{2, "pause", []string{someProcess}},
	{6, "resume", []string{someProcess}},
	{3, "crash", []string{someProcess, "keep keep no"}},
	{8, "start", []string{someProcess}},
	{2, "reboot", []string{someHost}},
	{2, "hang", []string{someHost, "on off off"}},
	{1, "mute", []string{someHost}},
	{1, "leave", []string{someHost}},
	{1, "kill", []string{someHost}},
	{4, "delist", []string{someHost}},
	{4, "join", []string{someHost}},
	{1, "unlease", nil},
	{2, "demand", []string{someModel, "0 0.5 1.5 4"}},
	{1, "model m1 nadi 30 1", []string{"1 2 3"}},
	{1, "model m2 kopa 50 2", []string{"1 2"}},
	{1, "model m3 nadi 60 1", []string{"1 2 3 4"}},
	{1, "adapter a1 m1 nadi 1", []string{"1 2"}},
	{1, "drop", []string{someModel}},
	{1, "settle", []string{"3s 20s"}},
}

func draw(r *rand.Rand, words string) string {
	list := strings.Fields(words)
	return list[r.IntN(len(list))]
}

// schedule draws the directives of one seed.
func schedule(seed uint64) []string {
	r := rand.New(rand.NewPCG(seed, 2026))
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	lines := make([]string, length)
	for i := range lines {
		n := r.IntN(total)
		j := 0
		for n >= kinds[j].weight {
			n -= kinds[j].weight
			j++
		}
		lines[i] = kinds[j].name
		for _, a := range kinds[j].args {
			lines[i] += " " + draw(r, a)
		}
	}
	return lines
}

// run plays a schedule between opening and healing and returns the breach.
func run(lines []string) (string, *world) {
	w := newWorld()
	all := slices.Concat(strings.Split(opening, "\n"), lines, []string{"heal"})
	for _, l := range all {
		w.exec(l)
		if w.check.failed != "" {
			return w.check.failed, w
		}
	}
	return w.converged(), w
}

func (w *world) heal() {
	for _, l := range strings.Split(healing, "\n") {
		w.exec(l)
		if w.check.failed != "" {
			return
		}
	}
}

// converged checks that all is as it should be once no fault is left.
func (w *world) converged() string {
	if h := w.holder(); h == "none" {
		return "converged: nobody decides"
	}
	d := w.deciders[w.holder()]
	if n := len(d.planner.Unproven()); n > 0 {
		return fmt.Sprintf("converged: %d holders unproven", n)
	}
	for _, name := range []core.ModelName{"m1", "m2", "m3"} {
		_, known := w.store.objects[key{core.KindModel, string(name)}]
		have := w.holders(name)
		if known != (have != "") || strings.Contains(have, "-") {
			return fmt.Sprintf("converged: %s has holders %q, entry %v", name, have, known)
		}
	}
	for name, m := range w.hosts {
		if m.agent == nil || !m.agent.ledger.Rebuilt() {
			return fmt.Sprintf("converged: agent of %s is not ready", name)
		}
		for _, it := range m.agent.ledger.Items() {
			if _, held := m.agent.held(it.Name); !held {
				return fmt.Sprintf("converged: %s still has %s", name, it.Name)
			}
		}
	}
	return ""
}

// shrink cuts a failing schedule down to lines that are all needed.
func shrink(lines []string, want string) []string {
	sort := strings.SplitN(want, ":", 2)[0]
	fails := func(l []string) bool {
		breach, _ := run(l)
		return strings.HasPrefix(breach, sort+":")
	}
	for size := len(lines) / 2; size > 0; size /= 2 {
		for i := 0; i+size <= len(lines); {
			cut := slices.Concat(lines[:i], lines[i+size:])
			if fails(cut) {
				lines = cut
				continue
			}
			i += size
		}
	}
	return lines
}

// TestRandom plays schedules of random directives with fixed seeds.
func TestRandom(t *testing.T) {
	for s := range uint64(*steps / length) {
		lines := schedule(*seed + s)
		breach, _ := run(lines)
		if breach == "" {
			continue
		}
		short := shrink(lines, breach)
		t.Fatalf("seed %d: %s\n%s\n%s", *seed+s, breach, opening, strings.Join(short, "\n"))
	}
}
