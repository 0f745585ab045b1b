package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
)

func TestNoteLimit(t *testing.T) {
	t0 := time.Unix(1000, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	onePerSecond := core.RateLimit{Limited: true, Rate: 1}
	inc := fleet.Incarnation{ID: "i-1"}
	var v fleet.View
	v.Apply(fleet.Entry{ID: "i-1"})
	h := v.Host("i-1")
	assert.Assert(t, !v.NoteLimit(inc, at(0), at(10), core.RateLimit{}), "no change")
	assert.Assert(t, v.NoteLimit(inc, at(20), at(30), onePerSecond))
	assert.Equal(t, h.Limit(at(50)), onePerSecond)
	// Guards against a response without a limit that lifts one reported after its request
	// was sent.
	assert.Assert(t, !v.NoteLimit(inc, at(25), at(40), core.RateLimit{}))
	assert.Equal(t, h.Limit(at(50)), onePerSecond)
	assert.Assert(t, v.NoteLimit(inc, at(35), at(50), core.RateLimit{}))
	assert.Equal(t, h.Limit(at(50)), core.RateLimit{})
	// Guards against a report that restores a limit although it was taken before the limit
	// ended.
	assert.Assert(t, !v.NoteLimit(inc, at(20), at(20), onePerSecond))
	assert.Equal(t, h.Limit(at(50)), core.RateLimit{})
	assert.Assert(t, v.NoteLimit(inc, at(60), at(70), onePerSecond))
	assert.Equal(t, h.Limit(at(70).Add(fleet.LimitTTL)), core.RateLimit{}, "the limit has expired")
}

func TestLimitIsPerIncarnation(t *testing.T) {
	t0 := time.Unix(1000, 0)
	onePerSecond := core.RateLimit{Limited: true, Rate: 1}
	var v fleet.View
	v.Apply(fleet.Entry{ID: "i-1", Born: 5, Usable: true})
	v.NoteLimit(fleet.Incarnation{ID: "i-2"}, t0, t0, onePerSecond)
	// Guards against a limit of an earlier incarnation that is applied to a restarted host.
	v.NoteLimit(fleet.Incarnation{ID: "i-1", Born: 4}, t0, t0, onePerSecond)
	assert.Equal(t, v.Limited(t0), 0)
	v.NoteLimit(fleet.Incarnation{ID: "i-1", Born: 5}, t0, t0, onePerSecond)
	assert.Equal(t, v.Host("i-1").Limit(t0), onePerSecond)
	v.Apply(fleet.Entry{ID: "i-1", Born: 6, Usable: true})
	assert.Equal(t, v.Limited(t0), 0)
	t.Run("of an incarnation that is listed later", func(t *testing.T) {
		v.NoteLimit(fleet.Incarnation{ID: "i-3", Born: 1}, t0, t0, onePerSecond)
		v.Apply(fleet.Entry{ID: "i-3", Born: 1})
		assert.Equal(t, v.Host("i-3").Limit(t0), onePerSecond)
	})
}

// Guards against requests that are refused because of an outdated time of the next
// reservation.
func TestNextReservation(t *testing.T) {
	t0 := time.Unix(1000, 0)
	var v fleet.View
	v.Apply(fleet.Entry{ID: "i-1", Service: "s", Usable: true})
	h := v.Host("i-1")
	v.NoteLimit(fleet.Incarnation{ID: "i-1"}, t0, t0, core.RateLimit{Limited: true, Rate: 2})
	wait := func(after time.Duration) time.Duration {
		return v.Pick(t0.Add(after), &fleet.Query{Service: "s"}).RateLimitDelay
	}
	assert.Equal(t, wait(0), time.Duration(0))
	h.NoteReservation(t0, t0.Add(10*time.Second), false)
	assert.Equal(t, wait(100*time.Millisecond), 9900*time.Millisecond)
	assert.Equal(t, wait(600*time.Millisecond), time.Duration(0), "the known time has expired")
	h.NoteReservation(t0, t0.Add(100*time.Millisecond), true)
	assert.Equal(t, wait(0), 600*time.Millisecond, "the reservation after the one that was made")
}

// Guards against a rate limit that is forgotten when the host's entry lapses during an
// outage of the store and comes back.
func TestLimitOutlastsEntry(t *testing.T) {
	onePerSecond := core.RateLimit{Limited: true, Rate: 1}
	inc := fleet.Incarnation{ID: "i-1"}
	v := view(entry("i-1", "m"))
	v.Remove(t0, "i-1")
	v.NoteLimit(inc, t0, t0, onePerSecond) // the response to a request that was in progress
	v.Apply(entry("i-1", "m"))
	assert.Equal(t, v.Host("i-1").Limit(after(time.Second)), onePerSecond)
	t.Run("also where a large fleet's entries lapse at once", func(t *testing.T) {
		list := []fleet.Entry{entry("i-1", "m")}
		for i := range 700 {
			list = append(list, fleet.Entry{ID: core.HostName(fmt.Sprint("host-", i)), Usable: true})
		}
		v.Replace(t0, list)
		for _, e := range list {
			v.Remove(t0, e.ID)
		}
		v.Replace(t0, list)
		assert.Equal(t, v.Host("i-1").Limit(after(time.Second)), onePerSecond)
	})
	t.Run("but not without bound", func(t *testing.T) {
		for i := range 5000 {
			v.NoteLimit(fleet.Incarnation{ID: "i-9", Born: int64(i)}, t0, t0, onePerSecond)
		}
		assert.Assert(t, fleet.RetainedSignals(v) < 2000, fleet.RetainedSignals(v))
		assert.Equal(t, v.Host("i-1").Limit(after(time.Second)), onePerSecond, "the host is listed")
	})
}
