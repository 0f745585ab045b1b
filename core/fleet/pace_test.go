package fleet_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
)

const pauseTarget = 500 * time.Millisecond

// speeds are those of eight hosts, of which two are slow.
var speeds = []float64{1.2, 1.2, 0.55, 1.2, 1.2, 1.2, 0.55, 1.2}

// paceOf returns the pace of an engine that makes an event each 25 ms, or each 350 ms while it
// reads prompts, times its speed.
func paceOf(speed float64) core.Pace {
	return core.Pace{
		Event: time.Duration(25e6 / speed), ReadingEvent: time.Duration(350e6 / speed), EventTokens: 6,
	}
}

// paced returns a view of hosts with the given speeds, whose agents report at time now.
func paced(now time.Time, speeds []float64) *fleet.View {
	v := hostsOf(len(speeds))
	for i, speed := range speeds {
		v.Report(fleet.Report{
			Taken: now, ID: core.HostName(fmt.Sprintf("i-%02d", i)), Models: []core.HeldModel{{Model: "m"}}, Running: 10, Pace: paceOf(speed),
		})
	}
	v.Tick(now)
	return v
}

func isSlow(id core.HostName) bool { return id == "i-02" || id == "i-06" }

// share returns the part of the requests that the slow hosts get while prompts arrive at half of
// the rate that all hosts can read.
func share(v *fleet.View, speeds []float64) float64 {
	const requests, interval = 400, 40 * time.Millisecond
	free := map[core.HostName]time.Time{}
	slow := 0
	for i := range requests {
		now := after(time.Duration(i) * interval)
		for n, speed := range speeds {
			id := core.HostName(fmt.Sprintf("i-%02d", n))
			left := max(0, free[id].Sub(now))
			v.Report(fleet.Report{
				Taken: now, ID: id, Models: []core.HeldModel{{Model: "m"}}, Running: 10, Pace: paceOf(speed),
				Reading: int(float64(left.Milliseconds()) * fleet.PrefillRate * speed),
			})
		}
		v.Tick(now)
		q := prompt(fmt.Sprint("doc-", i), fmt.Sprint("own-", i))
		q.Target, q.Pause, q.Answer = 800*time.Millisecond, pauseTarget, 100
		h := v.Pick(now, q).Host
		n := 0
		_, err := fmt.Sscanf(string(h.ID), "i-%d", &n)
		if err != nil {
			panic(err)
		}
		if isSlow(h.ID) {
			slow++
		}
		begin := free[h.ID]
		if begin.Before(now) {
			begin = now
		}
		free[h.ID] = begin.Add(time.Duration(float64(q.Tokens) / (fleet.PrefillRate * speeds[n]) * float64(time.Millisecond)))
	}
	return float64(slow) / requests
}

// Guards against a fleet of uneven engines in which the slow ones get as many prompts as the
// others: their streams pause for longer than callers accept, and quick ones idle meanwhile.
func TestSlowEnginesGetLess(t *testing.T) {
	known := share(paced(t0, speeds), speeds)
	ignoring := paced(t0, speeds)
	ignoring.UsePaces(false)
	ignored := share(ignoring, speeds)
	t.Logf("share of the two slow hosts %.3f, with paces ignored %.3f", known, ignored)
	assert.Assert(t, known < 0.7*ignored, "%.3f %.3f", known, ignored)
}

func TestPauses(t *testing.T) {
	// pick returns the choice among a slow and a quick host that has work ahead.
	pick := func(ahead, tokens int, change func(v *fleet.View)) fleet.Choice {
		v := paced(t0, speeds)
		for i := range speeds {
			if id := core.HostName(fmt.Sprintf("i-%02d", i)); id != "i-02" && id != "i-03" {
				v.Remove(t0, id)
			}
		}
		v.Report(fleet.Report{
			Taken: t0, ID: "i-03", Models: []core.HeldModel{{Model: "m"}}, Running: 10, Pace: paceOf(1.2), Reading: ahead,
		})
		change(v)
		q := &fleet.Query{
			Service: "llm", Model: "m", DataCentre: "dc-1", Tokens: tokens, Answer: 50, Target: 2 * time.Second, Pause: pauseTarget,
		}
		return v.Pick(t0, q)
	}
	same := func(*fleet.View) {}
	t.Run("a long prompt waits at a quick host sooner than it holds up streams of a slow one", func(t *testing.T) {
		c := pick(30_000, 20_000, same)
		assert.Assert(t, c.Host.ID == "i-03" && c.HeldUp == 0, "%v", c.Host.ID)
	})
	t.Run("a short prompt takes the slow host that has room", func(t *testing.T) {
		c := pick(30_000, 1000, same)
		assert.Equal(t, c.Host.ID, core.HostName("i-02"))
	})
	t.Run("switched off, the foreseen wait alone counts", func(t *testing.T) {
		c := pick(30_000, 20_000, func(v *fleet.View) { v.UsePaces(false) })
		assert.Equal(t, c.Host.ID, core.HostName("i-02"))
	})
}

// Guards against an engine that counts as quick until it has read prompts beside streams for a
// while: the pace of its streams alone tells.
func TestPaceIsInferred(t *testing.T) {
	v := paced(t0, speeds)
	slow := paceOf(0.55)
	slow.ReadingEvent = 0
	v.Report(fleet.Report{Taken: after(time.Second), ID: "i-02", Models: []core.HeldModel{{Model: "m"}}, Running: 10, Pace: slow, Reading: 25_000})
	v.Tick(after(time.Second))
	q := &fleet.Query{Service: "llm", Model: "m", Tokens: 9000, Answer: 50, Target: 2 * time.Second, Pause: pauseTarget, Tried: []core.HostName{
		"i-00", "i-01", "i-03", "i-04", "i-05", "i-06", "i-07",
	}}
	wait := v.Pick(after(time.Second), q).Wait
	assert.Assert(t, wait > 1500*time.Millisecond, "%v", wait)
}

// Guards against speeds that outlive the run of the engine in which they were measured.
func TestPaceEndsWithTheIncarnation(t *testing.T) {
	v := paced(t0, speeds)
	e := entry("i-02", "m")
	e.Born = 7
	v.Apply(e)
	v.Tick(after(time.Second))
	q := &fleet.Query{Service: "llm", Model: "m", DataCentre: "dc-1", Tokens: 3800}
	for i := range speeds {
		if id := core.HostName(fmt.Sprintf("i-%02d", i)); id != "i-02" {
			q.Tried = append(q.Tried, id)
		}
	}
	assert.Equal(t, v.Pick(after(time.Second), q).Wait, 100*time.Millisecond)
}

// A choice among the hosts of a model in a fleet of 640 hosts, all of known pace.
func BenchmarkPick(b *testing.B) {
	v := &fleet.View{}
	for i := range 640 {
		model := core.ModelName(fmt.Sprint("m-", i%40))
		e := entry(fmt.Sprintf("i-%04d", i), model)
		e.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
		v.Apply(e)
		v.Report(fleet.Report{
			Taken: t0, ID: e.ID, Models: e.Models, Running: 10, Reading: i * 10, Pace: paceOf(speeds[i%len(speeds)]),
		})
	}
	v.Tick(t0)
	q := &fleet.Query{
		Service: "llm", Model: "m-7", DataCentre: "dc-1", Tokens: 9000, Answer: 50, Target: time.Second, Pause: pauseTarget,
		Parts: []core.PromptPart{{ID: "doc", Tokens: 6000}, {ID: "own", Tokens: 3000}},
	}
	b.ReportAllocs()
	for b.Loop() {
		if v.Pick(t0, q).Host == nil {
			b.Fatal("no host")
		}
	}
}
