package fleet_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core/fleet"
)

func TestProbe(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, r := range []fleet.ProbeResult{fleet.ProbeAnswered, fleet.ProbeSilent, fleet.ProbeRefused} {
		var h fleet.Host
		assert.Assert(t, !h.IsUnresponsive(now), "it was never asked")
		assert.Assert(t, h.StartProbe(now))
		assert.Assert(t, !h.StartProbe(now.Add(time.Hour)), "it is being asked")
		h.EndProbe(now, r)
		assert.Equal(t, h.IsUnresponsive(now), r != fleet.ProbeAnswered)
		assert.Assert(t, !h.StartProbe(now.Add(900*time.Millisecond)), "the result still counts")
		assert.Assert(t, !h.IsUnresponsive(now.Add(time.Second)))
		assert.Assert(t, h.StartProbe(now.Add(time.Second)))
		assert.Assert(t, !h.IsUnresponsive(now.Add(time.Second)))
	}
}

func TestIncarnationMatches(t *testing.T) {
	inc := fleet.Incarnation{ID: "i-1", Born: 5}
	assert.Assert(t, inc.Matches("i-1", 5) && inc.Matches("", 0) && inc.Matches("i-1", 0))
	assert.Assert(t, !inc.Matches("i-2", 5) && !inc.Matches("i-1", 6))
	assert.Assert(t, fleet.Incarnation{ID: "i-1"}.Matches("i-1", 6))
}

func TestSignSince(t *testing.T) {
	now := time.Unix(1000, 0)
	inc := fleet.Incarnation{ID: "i-1", Born: 5}
	at := netip.MustParseAddrPort("10.0.0.1:80")
	var v fleet.View
	v.Apply(fleet.Entry{ID: inc.ID, Born: inc.Born, Service: "llm", Address: at, Usable: true})
	h := v.Host(inc.ID)
	sign := func() fleet.Sign { return v.SignSince(inc, at, now) }
	assert.Equal(t, sign(), fleet.NoSign)
	v.Report(fleet.Report{ID: inc.ID, Taken: now.Add(1)})
	assert.Equal(t, sign(), fleet.SignReported)
	h.NoteAnswer(now)
	assert.Equal(t, sign(), fleet.SignReported, "the request was not sent later")
	h.NoteAnswer(now.Add(1))
	assert.Equal(t, sign(), fleet.SignAnswered)
	v.Remove(now, inc.ID)
	v.Tick(now.Add(time.Minute))
	assert.Equal(t, sign(), fleet.NoSign, "one that is not listed may stand still")
	v.Apply(fleet.Entry{ID: "i-2", Service: "plain", Address: at, Usable: true})
	assert.Equal(t, sign(), fleet.SignEnded, "its address is in use by another")
	assert.Equal(t, v.SignSince(fleet.Incarnation{ID: "i-2", Born: 7}, at, now), fleet.NoSign, "the registry does not name its start")
	h = v.Host("i-2")
	h.StartProbe(now)
	h.EndProbe(now, fleet.ProbeRefused)
	assert.Equal(t, v.SignSince(fleet.Incarnation{ID: "i-2"}, at, now.Add(-1)), fleet.SignEnded, "nothing accepts connections there")
}
