package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
)

func prompt(shared, own string) *fleet.Query {
	return &fleet.Query{
		Service: "llm", Model: "m", DataCentre: "dc-1", Tokens: 9000,
		Parts: []core.PromptPart{{ID: shared, Tokens: 6000}, {ID: own, Tokens: 3000}},
	}
}

func hostsOf(n int) *fleet.View {
	v := view()
	for i := range n {
		e := entry(fmt.Sprintf("i-%02d", i), "m")
		v.Apply(e)
	}
	return v
}

func TestPick(t *testing.T) {
	t.Run("a host without the model is not chosen", func(t *testing.T) {
		c := wantPick(t, view(entry("i-1")), t0, "")
		assert.Assert(t, c.Listed)
	})
	t.Run("a host that was tried is not chosen", func(t *testing.T) {
		v := view(entry("i-1", "m"), entry("i-2", "m"))
		c := v.Pick(t0, &fleet.Query{Service: "llm", Model: "m", Tried: []core.HostName{"i-1"}})
		assert.Equal(t, c.Host.ID, core.HostName("i-2"))
	})
	t.Run("a host that accepted no connection is the last choice", func(t *testing.T) {
		v := view(entry("i-1", "m"), entry("i-2", "m"))
		v.Host("i-1").NoteConnectFailure(t0)
		wantPick(t, v, t0, "i-2")
		v.Remove(t0, "i-2")
		wantPick(t, v, t0, "i-1")
	})
	t.Run("adapters: the host that has it, else one that can fetch it", func(t *testing.T) {
		a, b := entry("i-1", "m"), entry("i-2", "m")
		b.Models[0].Adapters = []string{"a1"}
		v := view(a, b)
		q := &fleet.Query{Service: "llm", Model: "m", Adapter: "a1", DataCentre: "dc-1"}
		c := v.Pick(t0, q)
		assert.Assert(t, c.Host.ID == "i-2" && !c.Fetch)
		v.Remove(t0, "i-2")
		c = v.Pick(t0, q)
		assert.Assert(t, c.Host.ID == "i-1" && c.Fetch)
	})
	t.Run("an adapter is not fetched where a load delays orders", func(t *testing.T) {
		// A load from the weight store takes six seconds. A request with an adapter that is
		// sent there would wait that long while other hosts are idle.
		v := view(entry("i-1", "m"), entry("i-2", "m"))
		q := &fleet.Query{Service: "llm", Model: "m", Adapter: "a1", DataCentre: "dc-1"}
		first := v.Pick(t0, q).Host.ID
		v.Report(fleet.Report{
			Taken: t0, ID: first, Busy: true, Loading: "n", LoadedBy: after(5 * time.Second), Models: []core.HeldModel{{Model: "m"}},
		})
		assert.Assert(t, v.Pick(t0, q).Host.ID != first)
	})
}

// Guards against hosts that all prefill the same shared beginnings: with random placement
// each beginning would cost each host 160 ms.
func TestSharedPromptsGoTogether(t *testing.T) {
	v := hostsOf(9)
	hostsOfPrompt := map[string]map[core.HostName]bool{}
	for i := range 400 {
		now := after(time.Duration(i) * 300 * time.Millisecond)
		q := prompt(fmt.Sprint("doc-", i%12), fmt.Sprint("own-", i))
		h := v.Pick(now, q).Host
		prefill := h.PrefillTokens(now, q)
		h.NoteSent(now, q)
		h.NoteAnswerStart(prefill)
		h.NoteEnd("m")
		if hostsOfPrompt[q.Parts[0].ID] == nil {
			hostsOfPrompt[q.Parts[0].ID] = map[core.HostName]bool{}
		}
		hostsOfPrompt[q.Parts[0].ID][h.ID] = true
	}
	for id, hosts := range hostsOfPrompt {
		assert.Equal(t, len(hosts), 1, id)
	}
}

// Guards against five entries that send the same prompt to different hosts while they do
// not know each other's requests yet, so that its beginning is prefilled more than once.
func TestEntriesAgree(t *testing.T) {
	for i := range 20 {
		q := prompt(fmt.Sprint("doc-", i), "own")
		first := hostsOf(9).Pick(t0, q).Host.ID
		for range 4 {
			assert.Equal(t, hostsOf(9).Pick(t0, q).Host.ID, first)
		}
	}
}

// Guards against overload of the preferred host while others are idle. One document gets
// forty requests a second, more than the host that caches it can serve.
func TestFavouredHostIsNotOverrun(t *testing.T) {
	v := hostsOf(9)
	type run struct {
		h       *fleet.Host
		prefill int
		begins  time.Time
	}
	var runs []run
	free := map[core.HostName]time.Time{}
	worst := time.Duration(0)
	for i := range 400 {
		now := after(time.Duration(i) * 25 * time.Millisecond)
		for len(runs) > 0 && !runs[0].begins.After(now) {
			runs[0].h.NoteAnswerStart(runs[0].prefill)
			runs[0].h.NoteEnd("m")
			runs = runs[1:]
		}
		q := prompt("doc", fmt.Sprint("own-", i))
		h := v.Pick(now, q).Host
		prefill := h.PrefillTokens(now, q)
		h.NoteSent(now, q)
		begins := now
		if free[h.ID].After(now) {
			begins = free[h.ID]
		}
		begins = begins.Add(time.Duration(float64(prefill) / 38 * float64(time.Millisecond)))
		free[h.ID] = begins
		worst = max(worst, begins.Sub(now))
		runs = append(runs, run{h, prefill, begins})
		for j := len(runs) - 1; j > 0 && runs[j].begins.Before(runs[j-1].begins); j-- {
			runs[j], runs[j-1] = runs[j-1], runs[j]
		}
	}
	// If one host got all of them, the last request would wait 400 x 79 ms less the elapsed
	// ten seconds: over twenty seconds.
	assert.Assert(t, worst < 800*time.Millisecond, "%v", worst)
}

// Guards against a host that fails half of its requests while it reports no problem. It
// must get few requests, and get them again once it has recovered.
func TestFailingHostIsAvoided(t *testing.T) {
	v := hostsOf(3)
	rng := rand.New(rand.NewPCG(1, 2))
	failures := 0
	for i := range 300 {
		now := after(time.Duration(i) * 50 * time.Millisecond)
		q := prompt(fmt.Sprint("doc-", i%30), "own")
		h := v.Pick(now, q).Host
		prefill := h.PrefillTokens(now, q)
		h.NoteSent(now, q)
		h.NoteAnswerStart(prefill)
		h.NoteEnd("m")
		if h.ID == "i-00" && rng.Float64() < 0.5 {
			failures++
			h.NoteFailure(now)
		}
	}
	assert.Assert(t, failures < 15, "%d of 300", failures)
	assert.Assert(t, v.Host("i-00").FailureCount(after(time.Minute)) < 0.01)
}

func TestPlainServiceSpreads(t *testing.T) {
	v := view()
	for i := range 3 {
		e := entry(fmt.Sprint("p-", i))
		e.Slots = 6
		v.Apply(e)
	}
	q := &fleet.Query{Service: "llm", DataCentre: "dc-1"}
	count := map[core.HostName]int{}
	for range 18 {
		h := v.Pick(t0, q).Host
		h.NoteSent(t0, q)
		count[h.ID]++
	}
	for id, n := range count {
		assert.Equal(t, n, 6, "%s", id)
	}
}

// Guards against a queue in which every request is late. A model gets twenty requests a
// second, and its only host can prefill ten. Callers expect the first token within 800 ms
// and give up after five seconds.
func TestOverload(t *testing.T) {
	// simulate returns the share of requests whose first token is in time.
	simulate := func(admit func(fleet.Choice) bool) float64 {
		v := hostsOf(1)
		const requests, interval, prefillTime, target, patience = 600, 50 * time.Millisecond, 100 * time.Millisecond, 800 * time.Millisecond, 5 * time.Second
		type run struct {
			prefill int
			arrived time.Time
		}
		var queue []run
		h := v.Host("i-00")
		free, inTime := t0, 0
		for i := range requests {
			now := after(time.Duration(i) * interval)
			for len(queue) > 0 && !free.After(now) {
				r := queue[0]
				queue = queue[1:]
				h.NoteAnswerStart(r.prefill)
				h.NoteEnd("m")
				if free.Sub(r.arrived) > patience {
					continue // the caller has given up, and the engine skips the request
				}
				free = free.Add(prefillTime)
				if free.Sub(r.arrived) <= target {
					inTime++
				}
			}
			if free.Before(now) {
				free = now
			}
			v.Report(fleet.Report{Taken: now, ID: "i-00", Waiting: len(queue), Models: []core.HeldModel{{Model: "m"}}})
			q := prompt("doc", fmt.Sprint("own-", i))
			q.Parts[1].Tokens = 3800
			q.Tokens = 9800
			c := v.Pick(now, q)
			if !admit(c) {
				continue
			}
			prefill := h.PrefillTokens(now, q)
			h.NoteSent(now, q)
			v.NotePrompt(prefill)
			queue = append(queue, run{prefill: prefill, arrived: now})
		}
		return float64(inTime) / requests
	}
	unbounded := simulate(func(fleet.Choice) bool { return true })
	bounded := simulate(func(c fleet.Choice) bool { return !c.Overloaded(800 * time.Millisecond) })
	assert.Assert(t, unbounded < 0.1, unbounded)
	assert.Assert(t, bounded > 0.45, bounded)
}

// Guards against a backlog that is underestimated because each entry knows only its own
// prompts and the requests that hosts have not begun to prefill. Five entries send long
// prompts to the two hosts of a model, which prefill most of the time. They sent many to the
// host that was far behind and admitted requests that could not be served in time.
func TestOthersPrompts(t *testing.T) {
	const (
		entries, requests     = 5, 2000
		interval, prefillTime = 130 * time.Millisecond, 237 * time.Millisecond // 9,000 tokens
		reportInterval        = 150 * time.Millisecond
	)
	// simulate returns the mean error of the predicted wait, and the share of requests that
	// went to a host that was behind the other by more than a prompt.
	simulate := func(reportBacklog bool) (meanError time.Duration, wrongShare float64) {
		views := make([]*fleet.View, entries)
		for i := range views {
			views[i] = hostsOf(2)
		}
		ids := []core.HostName{"i-00", "i-01"}
		free := map[core.HostName]time.Time{}
		rng := rand.New(rand.NewPCG(1, 2))
		var sum time.Duration
		wrong := 0
		reported := t0
		for i := range requests {
			now := after(time.Duration(i) * interval)
			if now.Sub(reported) >= reportInterval {
				reported = now
				for _, id := range ids {
					backlog := max(0, free[id].Sub(now))
					report := fleet.Report{Taken: now, ID: id, Models: []core.HeldModel{{Model: "m"}}}
					if reportBacklog {
						report.Reading = int(backlog.Milliseconds()) * 38
					}
					for _, v := range views {
						v.Report(report)
					}
				}
			}
			v := views[rng.IntN(entries)]
			q := prompt(fmt.Sprint("doc-", i), "own")
			c := v.Pick(now, q)
			h := c.Host
			prefill := h.PrefillTokens(now, q)
			h.NoteSent(now, q)
			if free[ids[0]].Before(now) {
				free[ids[0]] = now
			}
			if free[ids[1]].Before(now) {
				free[ids[1]] = now
			}
			other := ids[0]
			if h.ID == other {
				other = ids[1]
			}
			if free[h.ID].Sub(free[other]) > prefillTime {
				wrong++
			}
			free[h.ID] = free[h.ID].Add(prefillTime)
			sum += (free[h.ID].Sub(now) - c.Wait).Abs()
			h.NoteAnswerStart(prefill)
			h.NoteEnd("m")
		}
		return sum / requests, float64(wrong) / requests
	}
	errorBefore, wrongShareBefore := simulate(false)
	meanError, wrongShare := simulate(true)
	t.Logf("off by %v instead of %v, wrong host %.2f instead of %.2f", meanError, errorBefore, wrongShare, wrongShareBefore)
	assert.Assert(t, meanError < errorBefore/2, "%v %v", meanError, errorBefore)
	assert.Assert(t, wrongShare < wrongShareBefore/2, "%v %v", wrongShare, wrongShareBefore)
}

func TestBacklog(t *testing.T) {
	v := hostsOf(1)
	v.Report(fleet.Report{Taken: t0, ID: "i-00", Reading: 3800, Models: []core.HeldModel{{Model: "m"}}})
	h := v.Host("i-00")
	predictedWait := func(now time.Time) time.Duration {
		return v.Pick(now, prompt("doc", "own")).Wait.Round(time.Millisecond)
	}
	const own = 237 * time.Millisecond // 9,000 tokens
	assert.Equal(t, predictedWait(t0), 100*time.Millisecond+own)
	h.NoteSent(after(10*time.Millisecond), prompt("other", "own"))
	assert.Equal(t, predictedWait(after(20*time.Millisecond)), 100*time.Millisecond+2*own, "prompts sent since the report are added")
	v.Report(fleet.Report{Taken: after(30 * time.Millisecond), ID: "i-00", Reading: 9000, Models: []core.HeldModel{{Model: "m"}}})
	assert.Equal(t, predictedWait(after(40*time.Millisecond)), 2*own, "not counted twice once the report includes them")
}
