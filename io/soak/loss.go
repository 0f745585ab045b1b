package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"radishwell/core"
	plat "radishwell/platform"
	"radishwell/platform/stand"
)

const (
	// lossGap is the mean time between two losses of all entries, in runs that have them.
	lossGap = 6 * time.Second
	// lossSettle is how long after such a loss the streams that it broke off are taken up again.
	lossSettle = 3 * time.Second
	// saveTime is the age from which a stream goes on after the agents are lost as well: before, the
	// platform may lack its record.
	saveTime = time.Second
)

// addLosses adds losses of all entries at once to a schedule drawn from the same seed. During every
// other one there are no other faults.
func addLosses(steps []Step, seed uint64, length time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, ^seed))
	quiet := true
	for at := startupTime; ; quiet = !quiet {
		at += lossGap/2 + time.Duration(rng.ExpFloat64()*float64(lossGap/2))
		if at >= length {
			break
		}
		if quiet {
			steps = slices.DeleteFunc(steps, func(s Step) bool {
				return s.Kind != KillEntries && s.Begin < at+lossSettle && s.End > at-settleTime
			})
		}
		steps = append(steps, Step{Kind: KillEntries, Begin: at, End: at, Variant: rng.IntN(variants)})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.Begin, b.Begin) })
	return steps
}

// killEntries kills all entries at once, and all agents in runs that lose them as well. By variant, the oldest version in service leaves just before,
// or while they are away.
func (t *testbed) killEntries(variant int) {
	kill := func() {
		for _, p := range t.entries {
			p.Signal(syscall.SIGKILL)
		}
		if !t.loseAgents {
			return
		}
		for _, p := range t.agents {
			p.Signal(syscall.SIGKILL)
		}
	}
	switch variant % 3 {
	case 0:
		kill()
	case 1:
		t.releaseOldest()
		kill()
	default:
		kill()
		t.releaseOldest()
	}
}

// releaseOldest starts all engines of the oldest version in service again at the next one.
func (t *testbed) releaseOldest() {
	for _, version := range softwareVersions {
		oldest := slices.DeleteFunc(slices.Clone(t.upstreams[:engines]), func(u *upstream) bool { return u.Software() != version })
		for _, u := range oldest {
			t.release(u)
		}
		if len(oldest) > 0 {
			return
		}
	}
}

// brokenByLoss returns the loss of all entries that broke a stream off, if nothing else did.
func (c *signalChecker) brokenByLoss(r *Result) (Step, bool) {
	for _, s := range c.steps {
		if s.Kind == KillEntries && r.Began < s.Begin-c.saved && s.Begin <= r.Ended &&
			!disturbed(c.steps, s.Begin-settleTime, s.Begin+lossSettle, KillEntries) {
			return s, true
		}
	}
	return Step{}, false
}

// resumedAfterLoss counts the streams that a loss of all entries broke off and that were taken up
// again while two upstreams of their version served, and the new ones that callers sent meanwhile.
func (c *signalChecker) resumedAfterLoss(results []Result, upstreams []*upstream) (n Resumptions) {
	attempts := map[string][]*Result{}
	for i := range results {
		if r := &results[i]; r.First != "" {
			attempts[r.First] = append(attempts[r.First], r)
		}
	}
	for i := range results {
		r := &results[i]
		if r.Route != Resumed || r.Customer != "free" || len(r.Parts) > 0 || r.First != "" || r.Text != "" {
			continue
		}
		loss, broken := c.brokenByLoss(r)
		versions := versionsIn(r.Body)
		if !broken {
			if c.followsLoss(r) && r.Status != 0 {
				n.New++
				n.Begun += core.CountIf(len(versions) > 0)
			}
			continue
		}
		next := slices.DeleteFunc(attempts[r.ID], func(a *Result) bool { return a.Status == 0 })
		if len(versions) == 0 || len(next) == 0 || c.serving(versions[0], upstreams, loss.Begin, next[len(next)-1].Ended) < 2 {
			continue
		}
		n.TakenUp++
		n.WentOn += core.CountIf(slices.ContainsFunc(next, func(a *Result) bool { return len(versionsIn(a.Body)) > 0 }))
	}
	return n
}

// followsLoss reports whether a request was sent within lossSettle after a loss of all entries.
func (c *signalChecker) followsLoss(r *Result) bool {
	return slices.ContainsFunc(c.steps, func(s Step) bool {
		return s.Kind == KillEntries && r.Began > s.Begin && r.Began < s.Begin+lossSettle &&
			!disturbed(c.steps, s.Begin-settleTime, s.Begin+lossSettle, KillEntries)
	})
}

// endedByEntry finds streams without framing that ended in order although no upstream has ended
// them: their callers take them for whole.
func endedByEntry(results []Result, seen []stand.ReceivedRequest) (out []Breach) {
	ended := map[string]bool{}
	for _, s := range seen {
		id, _, _ := plat.Origin(s.Header)
		ended[string(id)] = ended[string(id)] || s.Ended
	}
	for _, r := range results {
		if r.Unframed && r.Status == http.StatusOK && isStream(r.Route) && !ended[r.ID] {
			out = append(out, Breach{Promise: "a stream without framing ends in order only if its upstream has ended it", Result: r})
		}
	}
	return out
}

// String returns the counts for a report.
func (n Resumptions) String() string {
	return fmt.Sprintf("%d of %d taken up went on, %d of %d new began", n.WentOn, n.TakenUp, n.Begun, n.New)
}
