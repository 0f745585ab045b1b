package place_test

import (
	"fmt"
	"maps"
	"strconv"
	"testing"
	"time"

	"radishwell/core"
	"radishwell/core/place"
)

// These are the sizes of the fleet that one decider must be able to manage.
const (
	benchModels   = 70
	benchAdapters = 3400
	benchHosts    = 640
)

// benchVersion is the last version given to a grant.
var benchVersion core.Version = 1

// newLargePlanner returns a planner with the whole fleet and the given grants.
func newLargePlanner(grants map[core.ModelName]place.Write) *place.Planner {
	p := &place.Planner{}
	for i := range benchHosts {
		p.SetHost(benchHost(i))
	}
	for i := range 40 {
		p.SetOwner(owner(i), 4000*core.GiB)
	}
	for i := range benchModels {
		p.SetEntry(place.Entry{
			Name: base(i), Version: core.Version(i + 1), Owner: owner(i), Service: "qalam",
			Memory: 30 * core.GiB, Replicas: 8,
		})
	}
	for i := range benchAdapters {
		p.SetEntry(place.Entry{
			Name: core.ModelName(fmt.Sprintf("a%04d", i)), Version: core.Version(1000 + i), Owner: owner(i),
			Service: "qalam", Memory: core.GiB, Replicas: 4, Base: base(i),
		})
	}
	for _, w := range grants {
		p.SetGrant(w.Name, w.Spec, 1)
	}
	p.CatalogueListed()
	return p
}

func benchHost(i int) place.Host {
	return place.Host{
		Name: core.HostName(fmt.Sprintf("h%03d", i)), UID: fmt.Sprint(i), Service: "qalam",
		DataCentre: core.DataCentre(fmt.Sprint(i % 3)), Rack: fmt.Sprint(i % 16),
		Accelerators: 4, Memory: 80 * core.GiB, State: core.HostLive,
	}
}

func base(i int) core.ModelName { return core.ModelName(fmt.Sprintf("m%02d", i%benchModels)) }

func owner(i int) core.OwnerName { return core.OwnerName(fmt.Sprintf("o%02d", i%40)) }

// runRounds runs rounds until nothing changes. It returns the last write of each
// model and the number of writes. Agents release at once.
func runRounds(p *place.Planner, now time.Time, fence core.Fence, budget int) (map[core.ModelName]place.Write, int) {
	all := map[core.ModelName]place.Write{}
	count := 0
	for {
		benchVersion++
		writes := p.Round(now, fence, budget)
		if len(writes) == 0 {
			return all, count
		}
		count += len(writes)
		for _, w := range writes {
			p.SetGrant(w.Name, w.Spec, benchVersion)
			p.SetOutcome(w, place.Applied)
			for _, h := range w.Spec.Holders {
				if released, ok := place.Release(w.Spec, place.HostID{Host: h.Host, UID: h.UID}); ok {
					benchVersion++
					w.Spec = released
					p.SetGrant(w.Name, released, benchVersion)
				}
			}
			all[w.Name] = w
		}
	}
}

func BenchmarkFirstDecision(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		p := newLargePlanner(nil)
		b.StartTimer()
		runRounds(p, start, 1, 1<<30)
	}
}

func BenchmarkTakeOver(b *testing.B) {
	all, _ := runRounds(newLargePlanner(nil), start, 1, 1<<30)
	for b.Loop() {
		b.StopTimer()
		p := newLargePlanner(all)
		b.StartTimer()
		p.Round(start, 1, 50)
	}
}

func BenchmarkOneEntry(b *testing.B) {
	p := newLargePlanner(nil)
	runRounds(p, start, 1, 1<<30)
	version := core.Version(100_000)
	for b.Loop() {
		version++
		p.SetEntry(place.Entry{
			Name: "m07", Version: version, Owner: owner(7), Service: "qalam",
			Memory: 30 * core.GiB, Replicas: 8 + int(version%2),
		})
		p.Round(start, 1, 50)
	}
}

// BenchmarkOneHost measures a host that leaves and comes back, with all the grants
// that move for it.
func BenchmarkOneHost(b *testing.B) {
	p := newLargePlanner(nil)
	all, _ := runRounds(p, start, 1, 1<<30)
	writes := 0
	for b.Loop() {
		holder := all["m07"].Spec.Holders[0]
		h := hostOf(holder)
		h.State = core.HostLeaving
		p.SetHost(h)
		changed, first := runRounds(p, start, 1, 1<<30)
		h.State = core.HostLive
		p.SetHost(h)
		maps.Copy(all, changed)
		changed, second := runRounds(p, start, 1, 1<<30)
		maps.Copy(all, changed)
		writes += first + second
	}
	b.ReportMetric(float64(writes)/float64(b.N), "writes/op")
}

func hostOf(h core.GrantHolder) place.Host {
	i, _ := strconv.Atoi(h.UID)
	return benchHost(i)
}

func BenchmarkIdleRound(b *testing.B) {
	p := newLargePlanner(nil)
	runRounds(p, start, 1, 1<<30)
	for b.Loop() {
		p.Round(start, 1, 50)
	}
}
