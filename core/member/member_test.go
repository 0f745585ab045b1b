package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
)

var start = time.Unix(1_000_000, 0)

// scenario is a table with its own clock.
type scenario struct {
	*Table
	t   *testing.T
	now time.Time
}

func newScenario(t *testing.T) *scenario {
	return &scenario{Table: &Table{Rand: rand.New(rand.NewPCG(1, 2))}, t: t, now: start}
}

func (s *scenario) advance(d time.Duration) *scenario {
	s.now = s.now.Add(d)
	return s
}

func (s *scenario) respond(name core.HostName, incarnation core.Incarnation) {
	s.RecordContact(s.now, Contact{Host: name, OK: true, Incarnation: incarnation})
}

func (s *scenario) fail(name core.HostName) { s.RecordContact(s.now, Contact{Host: name}) }

func (s *scenario) assertState(name core.HostName, want State, why Reason) {
	s.t.Helper()
	got := s.Judge(s.now, name)
	assert.Equal(s.t, got.State, want, "%s: %s", name, got.Reason)
	assert.Equal(s.t, got.Reason, why)
}

func (s *scenario) assertDue(want ...core.HostName) {
	s.t.Helper()
	got := s.DueProbes(s.now)
	assert.Equal(s.t, fmt.Sprint(got), fmt.Sprint(want))
}

const (
	qalam  core.HostName = "qalam-1"
	sijill core.HostName = "sijill-1"
)

// TestLeaving covers an agent that stops. It reports this in its responses and to
// its peers, long before the platform's list shows it. No entry may give it new
// work. Then its successor starts on the same host and must get work, although the
// predecessor's mark has not expired.
func TestLeaving(t *testing.T) {
	t.Run("reported in a response", func(t *testing.T) {
		s := newScenario(t)
		s.respond(qalam, 1)
		s.RecordContact(s.now, Contact{Host: qalam, OK: true, Incarnation: 1, Leaving: true})
		s.assertState(qalam, Leaving, SaidLeaving)
		assert.Equal(t, len(s.Choose(s.now, []core.HostName{qalam})), 0)
		s.respond(qalam, 2)
		s.assertState(qalam, Live, Unremarkable)
	})
	t.Run("marked by peers", func(t *testing.T) {
		s := newScenario(t)
		s.respond(qalam, 1)
		s.MarkLeaving(s.now, qalam, 1, s.now.Add(time.Minute))
		s.assertState(qalam, Leaving, MarkedLeaving)
		s.respond(qalam, 2)
		s.assertState(qalam, Live, Unremarkable)
		s.MarkLeaving(s.now, qalam, 1, s.now.Add(time.Hour))
		s.assertState(qalam, Live, Unremarkable)
	})
	t.Run("marked before any contact", func(t *testing.T) {
		s := newScenario(t)
		s.MarkLeaving(s.now, qalam, 1, s.now.Add(time.Minute))
		s.assertState(qalam, Leaving, MarkedLeaving)
		s.advance(time.Minute).assertState(qalam, Live, Unremarkable)
	})
	t.Run("the successor is found by probing", func(t *testing.T) {
		s := newScenario(t)
		s.respond(qalam, 1)
		s.MarkLeaving(s.now, qalam, 1, s.now.Add(time.Hour))
		s.assertDue(qalam)
		s.assertDue()
		s.advance(leavingProbeInterval).assertDue(qalam)
	})
	t.Run("listed as leaving", func(t *testing.T) {
		s := newScenario(t)
		s.SetListed(qalam, core.HostLeaving)
		s.respond(qalam, 2)
		s.assertState(qalam, Leaving, ListedLeaving)
		s.assertDue()
		s.SetListed(qalam, core.HostLive)
		s.assertState(qalam, Live, Unremarkable)
	})
}

// TestGoneWithoutNotice covers a host that vanishes while requests stream in. All
// requests there fail together, and the next one must go elsewhere at once. The
// host comes back a moment later and must get work after one probe.
func TestGoneWithoutNotice(t *testing.T) {
	s := newScenario(t)
	s.respond(qalam, 1)
	for range 50 {
		s.fail(qalam)
	}
	s.assertState(qalam, Suspect, Failing)
	both := []core.HostName{qalam, sijill}
	assert.DeepEqual(t, s.Choose(s.now, both), []core.HostName{sijill})
	s.assertDue()
	s.advance(minHold).assertDue(qalam)
	s.respond(qalam, 1)
	s.assertState(qalam, Live, Unremarkable)
}

// TestSilentConnection covers a middlebox that silently drops one old connection
// while requests on new connections are answered. When the old connection times
// out at the entry, the host must not become suspect.
func TestSilentConnection(t *testing.T) {
	s := newScenario(t)
	lastData := s.now
	s.advance(2*time.Second).respond(qalam, 1)
	s.advance(time.Second).RecordContact(s.now, Contact{Host: qalam, Since: lastData})
	s.assertState(qalam, Live, Unremarkable)
	s.RecordContact(s.now, Contact{Host: qalam, Since: s.now})
	s.assertState(qalam, Suspect, Failing)
}

// TestFlapping covers a host that loses its network every few seconds and comes
// back each time. Work that it gets on its return fails, so it must be avoided
// longer each time, and be used again after some minutes without a failure.
func TestFlapping(t *testing.T) {
	s := newScenario(t)
	avoidedFor := func() time.Duration {
		s.fail(qalam)
		from := s.now
		for s.Judge(s.now, qalam).State != Live {
			s.advance(100 * time.Millisecond)
			for range s.DueProbes(s.now) {
				s.respond(qalam, 1)
			}
		}
		return s.now.Sub(from)
	}
	last := time.Duration(0)
	for range 5 {
		next := avoidedFor()
		assert.Assert(t, next > last, "%v after %v", next, last)
		last = next
		s.advance(time.Second)
	}
	assert.Assert(t, last > 8*time.Second)
	for range 10 {
		avoidedFor()
	}
	assert.Assert(t, avoidedFor() <= maxHold+minHold)
	s.advance(maxLevel * decayInterval)
	assert.Assert(t, avoidedFor() <= minHold)
}

// TestRestart covers a process that restarts after a failure. The new incarnation
// must get work at once, unless it is in a crash loop.
func TestRestart(t *testing.T) {
	s := newScenario(t)
	incarnation := core.Incarnation(1)
	crash := func() State {
		s.advance(100 * time.Millisecond).fail(qalam)
		incarnation++
		s.advance(100*time.Millisecond).respond(qalam, incarnation)
		return s.Judge(s.now, qalam).State
	}
	s.respond(qalam, incarnation)
	for range crashLoopLevel - 1 {
		assert.Equal(t, crash(), Live)
	}
	assert.Equal(t, crash(), Suspect)
	s.assertState(qalam, Suspect, HeldBack)
	s.respond(qalam, 1)
	assert.Equal(t, s.hosts[qalam].incarnation, incarnation, "a late response from an earlier incarnation changed the state")
}

// TestSuspicionIsNoProof covers a network partition: an entry can't reach a host
// for hours, while the host serves others with its models loaded. Only the
// platform's list may let its grants move.
func TestSuspicionIsNoProof(t *testing.T) {
	s := newScenario(t)
	s.SetListed(qalam, core.HostLive)
	for range 1000 {
		s.advance(10 * time.Second).fail(qalam)
		assert.Assert(t, !s.ProvenGone(qalam))
	}
	s.SetListed(qalam, core.HostLeaving)
	assert.Assert(t, !s.ProvenGone(qalam))
	s.SetUnlisted(qalam)
	assert.Assert(t, s.ProvenGone(qalam))
	s.respond(qalam, 1)
	s.assertState(qalam, Gone, NotListed)
	s.SetListed(qalam, core.HostLive)
	assert.Assert(t, !s.ProvenGone(qalam))
	s.assertState(qalam, Live, Unremarkable)
}

// TestHalfDataCentreLost covers a model whose holders are all in the lost half of
// a data centre. Its requests must not be refused for lack of a host: the holder
// with the oldest failure is tried first. If this process's own network was the
// cause, no host may be held back for long afterwards.
func TestHalfDataCentreLost(t *testing.T) {
	s := newScenario(t)
	var holders []core.HostName
	for i := range 8 {
		name := core.HostName(fmt.Sprintf("qalam-%d", i))
		holders = append(holders, name)
		s.respond(name, 1)
	}
	for range 5 {
		s.advance(2 * time.Second)
		for i := range holders {
			s.advance(time.Millisecond).fail(holders[len(holders)-1-i])
		}
	}
	got := s.Choose(s.now, holders)
	assert.Equal(t, len(got), len(holders))
	assert.Equal(t, got[0], core.HostName("qalam-7"))
	s.advance(minHold)
	for _, name := range s.DueProbes(s.now) {
		s.respond(name, 1)
	}
	live := 0
	for _, name := range holders {
		if s.Judge(s.now, name).State == Live {
			live++
		}
	}
	assert.Assert(t, live >= len(holders)-ownFaultHosts, "%d are live", live)
}

func TestGoneIsBounded(t *testing.T) {
	s := newScenario(t)
	for i := range maxGone + 10 {
		s.SetUnlisted(core.HostName(fmt.Sprint(i)))
	}
	assert.Equal(t, len(s.hosts), maxGone)
	assert.Assert(t, !s.ProvenGone("0"))
	assert.Assert(t, s.ProvenGone("10"))
}
