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
	steps = flag.Int("steps", 9_600, "total number of random directives in TestRandom")
	seed  = flag.Uint64("seed", 1, "seed of TestRandom's first schedule")
)

// scheduleLength is the number of random directives of a schedule.
const scheduleLength = 400

// healScript ends every fault and gives the system time to converge.
const healScript = `outage off
part d1 off
part d2 off
part d3 off
part h1 off
part h2 off
part h3 off
part h4 off
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

// draw returns a random one of the words, which are separated by spaces.
func draw(r *rand.Rand, words string) string {
	list := strings.Fields(words)
	return list[r.IntN(len(list))]
}

// schedule returns the random directives for a seed and the opening of their
// profile.
func schedule(seed uint64) (opening string, lines []string) {
	r := rand.New(rand.NewPCG(seed, 2026))
	kinds := profiles[seed%uint64(len(profiles))].kinds
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	lines = make([]string, scheduleLength)
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
	return profiles[seed%uint64(len(profiles))].opening, lines
}

// run runs a schedule after its opening, heals the system and returns the first
// violation, if any.
func run(opening string, lines []string) string {
	w := newWorld()
	all := slices.Concat(strings.Split(opening, "\n"), lines, []string{"heal"})
	for _, l := range all {
		w.exec(l)
		if w.check.failed != "" {
			return w.check.failed
		}
	}
	return w.converged()
}

func (w *world) heal() {
	for _, l := range strings.Split(healScript, "\n") {
		w.exec(l)
		if w.check.failed != "" {
			return
		}
	}
}

// converged checks that the system has reached its intended state after all
// faults have ended. It returns the violation, if any.
func (w *world) converged() string {
	if h := w.holder(); h == "none" {
		return "converged: no decider holds the lease"
	}
	d := w.deciders[w.holder()]
	if n := len(d.planner.UnknownHolders()); n > 0 {
		return fmt.Sprintf("converged: %d holders whose hosts may be gone", n)
	}
	for _, name := range []core.ModelName{"m1", "m2", "m3", "m4"} {
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

// shrink removes lines from a failing schedule for as long as it still fails
// with the same kind of violation.
func shrink(opening string, lines []string, want string) []string {
	category := strings.SplitN(want, ":", 2)[0]
	fails := func(l []string) bool {
		return strings.HasPrefix(run(opening, l), category+":")
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

// TestRandom runs schedules of random directives with fixed seeds.
func TestRandom(t *testing.T) {
	for s := range uint64(*steps / scheduleLength) {
		opening, lines := schedule(*seed + s)
		violation := run(opening, lines)
		if violation == "" {
			continue
		}
		short := shrink(opening, lines, violation)
		t.Fatalf("seed %d: %s\n%s\n%s", *seed+s, violation, opening, strings.Join(short, "\n"))
	}
}
