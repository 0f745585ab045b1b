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

// Guards against a process that ends by itself after many returns of registry entries, since the signals of a listed
// host were dropped as those of one that is not.
func TestHostsThatReturnOftenEndNoProcess(t *testing.T) {
	for _, hosts := range []int{1, 51, 640, 1025} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			v := view()
			for range 3000/hosts + 2 {
				for i := range hosts {
					v.Apply(entry(fmt.Sprintf("i-%04d", i), "m"))
				}
				for i := range hosts {
					v.Remove(t0, core.HostName(fmt.Sprintf("i-%04d", i)))
				}
			}
		})
	}
}

// Guards against signals that are lost while their host is listed, or with an entry that lapses and returns soon.
func TestSignalsOutlastReturns(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	v, listed, leaving := view(), map[string]bool{}, map[string]bool{}
	for range 20_000 {
		id := fmt.Sprintf("i-%03d", rng.IntN(300))
		inc := fleet.Incarnation{ID: core.HostName(id)}
		switch {
		case rng.IntN(20) == 0:
			v.NoteLeaving(inc, t0)
			leaving[id] = true
		case listed[id]:
			v.Remove(t0, inc.ID)
			listed[id] = false
		default:
			v.Apply(entry(id, "m"))
			listed[id] = true
		}
		if h := v.Host(inc.ID); h != nil {
			_, says := h.LeavingFor(t0.Add(time.Second))
			assert.Equal(t, says, leaving[id], id)
		}
	}
}
