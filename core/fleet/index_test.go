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

// TestHostsChangeAtRandom: hosts come, go, restart, change their service and their models, and
// reports of them are late, in any order. A host that a decision doesn't find gets no work, and
// one that it finds too often would seem to be several.
func TestHostsChangeAtRandom(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		v, now := &fleet.View{}, t0
		for range 400 {
			now = now.Add(time.Duration(r.IntN(600)) * time.Millisecond)
			changeAtRandom(r, v, now)
			v.Tick(now)
			assertFound(t, v, now)
		}
	}
}

// changeAtRandom changes one of a few hosts, or what is known of it.
func changeAtRandom(r *rand.Rand, v *fleet.View, now time.Time) {
	models := []core.HeldModel{}
	for i := range 4 {
		if r.IntN(3) == 0 {
			models = append(models, core.HeldModel{Model: modelOf(i)})
		}
	}
	e := entry(fmt.Sprint("i-", r.IntN(5)))
	e.Service = core.ServiceName(fmt.Sprint("s-", r.IntN(2)))
	e.Born, e.Models, e.Leaving = int64(r.IntN(2)), models, r.IntN(9) == 0
	switch r.IntN(5) {
	case 0:
		v.Remove(now, e.ID)
	case 1:
		v.Apply(e)
	case 2:
		v.NoteStoreFailure(now)
	default:
		v.Report(fleet.Report{Taken: now, ID: e.ID, Models: models})
	}
}

func modelOf(i int) core.ModelName { return core.ModelName(fmt.Sprint("m-", i)) }

// assertFound asserts that decisions find just the hosts that a look at all of them finds.
func assertFound(t *testing.T, v *fleet.View, now time.Time) {
	t.Helper()
	for service := range 2 {
		q := &fleet.Query{Service: core.ServiceName(fmt.Sprint("s-", service))}
		for i := range 4 {
			q.Model = modelOf(i)
			want := 0
			for _, h := range v.Hosts(q.Service) {
				if _, holds := h.Find(now, q.Model); holds && h.IsAvailable(now) && !h.IsLeaving(now) {
					want++
				}
			}
			assert.Equal(t, v.Pick(now, q).Hosts, want)
		}
	}
}
