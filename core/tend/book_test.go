package tend_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core/tend"
)

var (
	t0     = time.Unix(1000, 0)
	first  = netip.MustParseAddrPort("10.1.0.1:80")
	second = netip.MustParseAddrPort("10.1.0.2:80")
)

func at(d time.Duration) time.Time { return t0.Add(d) }

func silent(netip.AddrPort) bool { return false }

func see(b *tend.Book, d time.Duration, engines ...netip.AddrPort) { b.See(at(d), engines, silent) }

func wantAlone(t *testing.T, b *tend.Book, d time.Duration, want ...netip.AddrPort) {
	t.Helper()
	got := b.Alone(at(d))
	assert.Assert(t, slices.Equal(got, want), "%v", got)
}

func TestEngineWithoutAgent(t *testing.T) {
	var b tend.Book
	see(&b, 0, first, second)
	t.Run("it may have one that starts", func(t *testing.T) {
		assert.Assert(t, !b.MustList(at(2*time.Second), false))
		wantAlone(t, &b, 2*time.Second)
	})
	t.Run("then its record is looked for", func(t *testing.T) {
		assert.Assert(t, b.MustList(at(3*time.Second), false))
		b.Listed(at(3*time.Second), []netip.AddrPort{second})
		wantAlone(t, &b, 3*time.Second, first)
	})
	t.Run("and again while it counts as one without", func(t *testing.T) {
		assert.Assert(t, b.Lacks())
		assert.Assert(t, !b.MustList(at(5*time.Second), false), "by others seldom")
		assert.Assert(t, !b.MustList(at(4*time.Second), true))
		assert.Assert(t, b.MustList(at(5*time.Second), true))
	})
	t.Run("an old reading tells nothing", func(t *testing.T) { wantAlone(t, &b, 8*time.Second) })
	t.Run("a reading from before it was listed long enough tells nothing", func(t *testing.T) {
		var b tend.Book
		b.Listed(at(0), nil)
		see(&b, time.Second, first)
		wantAlone(t, &b, 3*time.Second)
	})
}

// All agents are killed and stay away for long, and their engines live. The entries have
// restarted too and never heard of them. Ordered by an entry, each engine would have two
// holders when its agent is back.
func TestEngineOfDeadAgentIsLeftAlone(t *testing.T) {
	var b tend.Book
	see(&b, 0, first)
	for d := 3 * time.Second; d < time.Minute; d += 2 * time.Second {
		b.Listed(at(d), []netip.AddrPort{first})
		wantAlone(t, &b, d)
	}
	assert.Assert(t, !b.MustList(at(time.Minute), true), "its record is known")
}

// An agent appears beside an engine that an entry orders. It writes its record and waits;
// by the end of that the entry has stopped, whatever fails on its way to the store.
func TestAgentThatAppearsWaitsLongEnough(t *testing.T) {
	var b tend.Book
	see(&b, 0, first)
	b.Listed(at(10*time.Second), nil)
	wantAlone(t, &b, 10*time.Second, first)
	b.Listed(at(12*time.Second), []netip.AddrPort{first})
	wantAlone(t, &b, 12*time.Second)
	// Without a further reading the last order falls into the four seconds after the last.
	assert.Assert(t, tend.AgentWait-4*time.Second > 3*time.Second)
	assert.Assert(t, tend.LeaseMargin > 3*time.Second)
}

func TestHeardAgent(t *testing.T) {
	var b tend.Book
	see(&b, 0, first)
	b.See(at(time.Second), []netip.AddrPort{first}, func(netip.AddrPort) bool { return true })
	assert.Assert(t, !b.MustList(at(10*time.Second), true))
}
