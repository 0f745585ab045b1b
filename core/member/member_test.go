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

// story is a table with a clock of its own.
type story struct {
	*Table
	t   *testing.T
	now time.Time
}

func begin(t *testing.T) *story {
	return &story{Table: &Table{Rand: rand.New(rand.NewPCG(1, 2))}, t: t, now: start}
}

func (s *story) after(d time.Duration) *story {
	s.now = s.now.Add(d)
	return s
}

func (s *story) answer(name core.HostName, life core.Incarnation) {
	s.Note(s.now, Contact{Host: name, OK: true, Incarnation: life})
}

func (s *story) fail(name core.HostName) { s.Note(s.now, Contact{Host: name}) }

func (s *story) is(name core.HostName, want State, why Reason) {
	s.t.Helper()
	got := s.Judge(s.now, name)
	assert.Equal(s.t, got.State, want, "%s: %s", name, got.Reason)
	assert.Equal(s.t, got.Reason, why)
}

func (s *story) due(want ...core.HostName) {
	s.t.Helper()
	got := s.Due(s.now)
	assert.Equal(s.t, fmt.Sprint(got), fmt.Sprint(want))
}

const (
	qalam  core.HostName = "qalam-1"
	sijill core.HostName = "sijill-1"
)

// TestLeaving: an agent is told to stop. It says so in its answers and to its
// peers, long before the platform's list shows it. No entry may give it new
// work. Then its successor starts on the same host and must get work, although
// the mark of its predecessor has not expired.
func TestLeaving(t *testing.T) {
	t.Run("said in an answer", func(t *testing.T) {
		s := begin(t)
		s.answer(qalam, 1)
		s.Note(s.now, Contact{Host: qalam, OK: true, Incarnation: 1, Leaving: true})
		s.is(qalam, Leaving, SaidLeaving)
		assert.Equal(t, len(s.Choose(s.now, []core.HostName{qalam})), 0)
		s.answer(qalam, 2)
		s.is(qalam, Live, Unremarkable)
	})
	t.Run("marked by peers", func(t *testing.T) {
		s := begin(t)
		s.answer(qalam, 1)
		s.Marked(s.now, qalam, 1, s.now.Add(time.Minute))
		s.is(qalam, Leaving, MarkedLeaving)
		s.answer(qalam, 2)
		s.is(qalam, Live, Unremarkable)
		s.Marked(s.now, qalam, 1, s.now.Add(time.Hour))
		s.is(qalam, Live, Unremarkable)
	})
	t.Run("marked before any contact", func(t *testing.T) {
		s := begin(t)
		s.Marked(s.now, qalam, 1, s.now.Add(time.Minute))
		s.is(qalam, Leaving, MarkedLeaving)
		s.after(time.Minute).is(qalam, Live, Unremarkable)
	})
	t.Run("the successor is found by probing", func(t *testing.T) {
		s := begin(t)
		s.answer(qalam, 1)
		s.Marked(s.now, qalam, 1, s.now.Add(time.Hour))
		s.due(qalam)
		s.due()
		s.after(leavingProbe).due(qalam)
	})
	t.Run("listed as leaving", func(t *testing.T) {
		s := begin(t)
		s.Listed(qalam, core.HostLeaving)
		s.answer(qalam, 2)
		s.is(qalam, Leaving, ListedLeaving)
		s.due()
		s.Listed(qalam, core.HostLive)
		s.is(qalam, Live, Unremarkable)
	})
}

// TestGoneWithoutNotice: a host is reclaimed while requests stream in. All that
// were there fail together; the next request must go elsewhere at once. The
// host comes back a moment later and must get work after one probe.
func TestGoneWithoutNotice(t *testing.T) {
	s := begin(t)
	s.answer(qalam, 1)
	for range 50 {
		s.fail(qalam)
	}
	s.is(qalam, Suspect, Failing)
	both := []core.HostName{qalam, sijill}
	assert.DeepEqual(t, s.Choose(s.now, both), []core.HostName{sijill})
	s.due()
	s.after(firstHold).due(qalam)
	s.answer(qalam, 1)
	s.is(qalam, Live, Unremarkable)
}

// TestSilentConnection: something between an entry and a host forgets one old
// connection; requests on new ones are answered. When the entry gives the old
// one up, the host must not fall under suspicion.
func TestSilentConnection(t *testing.T) {
	s := begin(t)
	quiet := s.now
	s.after(2*time.Second).answer(qalam, 1)
	s.after(time.Second).Note(s.now, Contact{Host: qalam, Since: quiet})
	s.is(qalam, Live, Unremarkable)
	s.Note(s.now, Contact{Host: qalam, Since: s.now})
	s.is(qalam, Suspect, Failing)
}

// TestFlapping: a host loses its network every few seconds and comes back each
// time. Each return would win it work that then fails, so it must stay away
// longer each time, and be trusted again after some quiet minutes.
func TestFlapping(t *testing.T) {
	s := begin(t)
	away := func() time.Duration {
		s.fail(qalam)
		from := s.now
		for s.Judge(s.now, qalam).State != Live {
			s.after(100 * time.Millisecond)
			for range s.Due(s.now) {
				s.answer(qalam, 1)
			}
		}
		return s.now.Sub(from)
	}
	last := time.Duration(0)
	for range 5 {
		next := away()
		assert.Assert(t, next > last, "%v after %v", next, last)
		last = next
		s.after(time.Second)
	}
	assert.Assert(t, last > 8*time.Second)
	for range 10 {
		away()
	}
	assert.Assert(t, away() <= maxHold+firstHold)
	s.after(maxLevel * decayPeriod)
	assert.Assert(t, away() <= firstHold)
}

// TestRestart: a process is restarted after a failure. It is a fresh one and
// gets work at once, unless it keeps crashing.
func TestRestart(t *testing.T) {
	s := begin(t)
	life := core.Incarnation(1)
	crash := func() State {
		s.after(100 * time.Millisecond).fail(qalam)
		life++
		s.after(100*time.Millisecond).answer(qalam, life)
		return s.Judge(s.now, qalam).State
	}
	s.answer(qalam, life)
	for range freshLevel - 1 {
		assert.Equal(t, crash(), Live)
	}
	assert.Equal(t, crash(), Suspect)
	s.is(qalam, Suspect, HeldBack)
	s.answer(qalam, 1)
	assert.Equal(t, s.hosts[qalam].incarnation, life, "a late answer of an earlier life changes nothing")
}

// TestSuspicionIsNoProof: an entry can't reach a host for hours, because of a
// split. The host is at work on the other side with its models loaded. Nothing
// but the platform's list may let its grants move.
func TestSuspicionIsNoProof(t *testing.T) {
	s := begin(t)
	s.Listed(qalam, core.HostLive)
	for range 1000 {
		s.after(10 * time.Second).fail(qalam)
		assert.Assert(t, !s.ProvenGone(qalam))
	}
	s.Listed(qalam, core.HostLeaving)
	assert.Assert(t, !s.ProvenGone(qalam))
	s.Unlisted(qalam)
	assert.Assert(t, s.ProvenGone(qalam))
	s.answer(qalam, 1)
	s.is(qalam, Gone, NotListed)
	s.Listed(qalam, core.HostLive)
	assert.Assert(t, !s.ProvenGone(qalam))
	s.is(qalam, Live, Unremarkable)
}

// TestHalfDataCentreLost: all holders of a model lie in the half that is lost.
// Its callers must not be refused for want of a host: the holder whose failure
// is longest ago is tried first. When this process's own network was the cause,
// nothing may be held back for long afterwards.
func TestHalfDataCentreLost(t *testing.T) {
	s := begin(t)
	var holders []core.HostName
	for i := range 8 {
		name := core.HostName(fmt.Sprintf("qalam-%d", i))
		holders = append(holders, name)
		s.answer(name, 1)
	}
	for range 5 {
		s.after(2 * time.Second)
		for i := range holders {
			s.after(time.Millisecond).fail(holders[len(holders)-1-i])
		}
	}
	got := s.Choose(s.now, holders)
	assert.Equal(t, len(got), len(holders))
	assert.Equal(t, got[0], core.HostName("qalam-7"))
	s.after(firstHold)
	for _, name := range s.Due(s.now) {
		s.answer(name, 1)
	}
	live := 0
	for _, name := range holders {
		if s.Judge(s.now, name).State == Live {
			live++
		}
	}
	assert.Assert(t, live >= len(holders)-silentNet, "%d are live", live)
}

func TestGoneIsBounded(t *testing.T) {
	s := begin(t)
	for i := range maxGone + 10 {
		s.Unlisted(core.HostName(fmt.Sprint(i)))
	}
	assert.Equal(t, len(s.hosts), maxGone)
	assert.Assert(t, !s.ProvenGone("0"))
	assert.Assert(t, s.ProvenGone("10"))
}
