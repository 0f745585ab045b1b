package bench

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testStart = time.Date(2026, 5, 4, 18, 0, 0, 0, time.UTC)

const goodPlan = `
name: test
max-requests: 100000
phases:
  - {name: steady, for: 20s, rate: 100}
  - {name: waves, for: 20s, shape: wave, rate: 100, swing: 1, period: 20s}
  - {name: bursts, for: 20s, shape: bursts, burst: 50, period: 5s, calls: [posting]}
calls:
  - {name: chat, weight: 3, models: [often, seldom], zipf: 2, stream: 0.5, prompt: {min: 2, max: 4}}
  - {name: posting, service: ledger, keyed: 1, repeat: 0.5, repeat-after: 3s}
`

func mustParse(t *testing.T, text string) *Plan {
	t.Helper()
	p, problems := Parse("test.yaml", []byte(text))
	assert.NilError(t, problems.Err())
	return p
}

func TestParseProblems(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"unknown key", "name: x\nsed: 1\n", "sed"},
		{"nothing to do", "name: x\n", "phases with calls, or a pair"},
		{"too fast", "name: x\nphases: [{name: a, for: 1s, rate: 5000}]\n", "phases[0].rate"},
		{"too many at once", "name: x\nphases: [{name: a, for: 1s, shape: bursts, burst: 2000, period: 100ms}]\n", "2000 a second"},
		{"no target", "name: x\nphases: [{name: a, for: 1s, rate: 1}]\ncalls: [{name: c}]\n", "either models or a service"},
		{"unknown call", "name: x\nphases: [{name: a, for: 1s, rate: 1, calls: [d]}]\ncalls: [{name: c, models: [m]}]\n", `"d" is no call`},
		{"weights", "name: x\nphases: [{name: a, for: 1s, rate: 1}]\ncalls: [{name: c, models: [m], weights: [1, 2]}]\n", "one weight for each model"},
		{"fault's document", "name: x\nfaults: [{to: \"http://127.0.0.1:1\", set: \"{\"}]\n", "no JSON document"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, problems := Parse("test.yaml", []byte(c.text))
			assert.Assert(t, strings.Contains(problems.Error(), c.want), problems.Error())
		})
	}
}

func pullAll(p *Plan, run string) []*request {
	var all []*request
	list := newArrivals(p, run, testStart)
	for s := list.pull(); s != nil; s = list.pull() {
		all = append(all, s)
	}
	return all
}

// TestArrivalsRepeat checks that equal seeds give equal requests at equal times, so
// that two runs can be compared.
func TestArrivalsRepeat(t *testing.T) {
	a, b := pullAll(mustParse(t, goodPlan), "r"), pullAll(mustParse(t, goodPlan), "r")
	assert.Equal(t, len(a), len(b))
	for i := range a {
		assert.Equal(t, string(a[i].body), string(b[i].body))
		assert.Assert(t, a[i].at.Equal(b[i].at))
	}
}

func TestArrivals(t *testing.T) {
	all := pullAll(mustParse(t, goodPlan), "r")
	t.Run("in order and numbered", func(t *testing.T) {
		for i, s := range all {
			assert.Equal(t, s.number, i)
			assert.Assert(t, i == 0 || !s.at.Before(all[i-1].at))
		}
	})
	t.Run("steady rate", func(t *testing.T) {
		assertNear(t, countFirst(all, 0, 20*time.Second), 2000)
	})
	t.Run("trough and crest of a wave", func(t *testing.T) {
		trough, crest := countFirst(all, 20*time.Second, 22*time.Second), countFirst(all, 29*time.Second, 31*time.Second)
		assert.Assert(t, trough < 30 && crest > 300, "trough %d, crest %d", trough, crest)
	})
	t.Run("bursts", func(t *testing.T) {
		for burst := range 4 {
			at := 40*time.Second + time.Duration(burst)*5*time.Second
			assert.Equal(t, countFirst(all, at, at+time.Millisecond), 50)
		}
	})
	t.Run("popularity", func(t *testing.T) {
		counts := map[string]int{}
		for _, s := range all {
			counts[string(s.model)]++
		}
		assertNear(t, counts["often"]/4, counts["seldom"])
	})
	t.Run("repetitions", func(t *testing.T) { assertRepetitions(t, all) })
}

// countFirst counts the requests in an interval of the run that aren't repetitions.
func countFirst(all []*request, from, to time.Duration) int {
	n := 0
	for _, s := range all {
		if since := s.at.Sub(testStart); !s.repeat && since >= from && since < to {
			n++
		}
	}
	return n
}

func assertNear(t *testing.T, got, want int) {
	t.Helper()
	assert.Assert(t, got > want*8/10 && got < want*12/10, "got %d, want about %d", got, want)
}

// assertRepetitions checks that a repetition has the key and body of an earlier
// request, and that no other requests share a key.
func assertRepetitions(t *testing.T, all []*request) {
	t.Helper()
	first, repeats := map[string]*request{}, 0
	for _, s := range all {
		if s.key == "" {
			continue
		}
		before := first[s.key]
		if !s.repeat {
			assert.Assert(t, before == nil)
			first[s.key] = s
			continue
		}
		repeats++
		assert.Equal(t, string(before.body), string(s.body))
		assert.Equal(t, s.at.Sub(before.at), 3*time.Second)
	}
	assertNear(t, repeats*2, len(first))
}

func TestMaxRequests(t *testing.T) {
	p := mustParse(t, goodPlan)
	p.MaxRequests = 77
	assert.Equal(t, len(pullAll(p, "r")), 77)
}

func TestStretch(t *testing.T) {
	p := mustParse(t, goodPlan)
	p.Stretch(90 * time.Second)
	assert.Equal(t, len(p.Phases), 5)
	assert.Equal(t, p.Phases[4].For, 10*time.Second)
	p.Stretch(15 * time.Second)
	assert.Equal(t, len(p.Phases), 1)
}
