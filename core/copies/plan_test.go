package copies_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/copies"
	"radishwell/core/rtable"
)

var t0 = time.Unix(10_000, 0)

const gb = core.Bytes(1e9)

// service returns a service with models m-00, m-01, ... of 70 GB and hosts of 145 GB, which
// hold two models each.
func service(models int) *rtable.Service {
	s := &rtable.Service{
		Name: "llm", Models: map[core.ModelName]rtable.Model{}, Memory: 145 * gb, Batch: 64, LoadsPerSecond: 1.6,
	}
	for i := range models {
		m := rtable.Model{
			Name: name(i), Weights: 70 * gb, Load: 6 * time.Second, FromDisk: 800 * time.Millisecond, FromMemory: 600 * time.Millisecond,
		}
		s.Models[m.Name] = m
	}
	return s
}

func name(i int) core.ModelName { return core.ModelName(fmt.Sprintf("m-%02d", i)) }

// host returns a host that takes orders and whose disk has the models that it holds and
// those in disk.
func host(id string, held []core.ModelName, disk ...core.ModelName) *copies.Host {
	return &copies.Host{
		ID: core.HostName(id), TakesOrders: true, Held: held, Memory: 145 * gb, OnDisk: slices.Concat(held, disk),
	}
}

func names(i ...int) []core.ModelName {
	var out []core.ModelName
	for _, n := range i {
		out = append(out, name(n))
	}
	return out
}

func wantMoves(t *testing.T, got []copies.Move, want ...string) {
	t.Helper()
	texts := []string{}
	for _, m := range got {
		texts = append(texts, fmt.Sprintf("%s: %s for %v", m.Host, m.Load, m.Evict))
	}
	slices.Sort(texts)
	if want == nil {
		want = []string{}
	}
	assert.DeepEqual(t, texts, want)
}

func TestMissingModels(t *testing.T) {
	t.Run("loaded ahead of need where memory is free", func(t *testing.T) {
		p := &copies.Planner{Parallel: 4}
		got := p.Plan(t0, service(2), []*copies.Host{host("a", names(0))}, nil)
		wantMoves(t, got, "a: m-01 for []")
	})
	t.Run("in place of an additional copy, not of a last one", func(t *testing.T) {
		p := &copies.Planner{Parallel: 4}
		hosts := []*copies.Host{host("a", names(0, 1)), host("b", names(0, 2))}
		demand := map[core.ModelName]copies.Demand{name(2): {Rate: 0.001}}
		wantMoves(t, p.Plan(t0, service(4), hosts, demand), "a: m-03 for [m-00]")
	})
	t.Run("not while demand is unknown", func(t *testing.T) {
		// Hosts start with several copies of the busy models. If models without demand
		// replaced these, the first callers would find one host for most of the load.
		p := &copies.Planner{Parallel: 4}
		hosts := []*copies.Host{host("a", names(0, 1)), host("b", names(0, 2))}
		wantMoves(t, p.Plan(t0, service(4), hosts, nil))
	})
	t.Run("models with waiting requests come first and may displace rarely requested ones", func(t *testing.T) {
		p := &copies.Planner{Parallel: 4}
		demand := map[core.ModelName]copies.Demand{name(0): {Rate: 0.1}, name(1): {Rate: 0.3}, name(2): {Rate: 0.1, Waiting: 1}}
		got := p.Plan(t0, service(3), []*copies.Host{host("a", names(0, 1), name(2))}, demand)
		wantMoves(t, got, "a: m-02 for [m-00]")
	})
	t.Run("models with similar demand do not displace each other", func(t *testing.T) {
		// Two models have similar demand, and there is room for one of them. Without
		// hysteresis they would be swapped with each report, and neither would be
		// available.
		p := &copies.Planner{Parallel: 4}
		demand := map[core.ModelName]copies.Demand{name(0): {Rate: 0.20}, name(1): {Rate: 0.20}, name(2): {Rate: 0.25}}
		wantMoves(t, p.Plan(t0, service(3), []*copies.Host{host("a", names(0, 1), name(2))}, demand))
	})
}

// Guards against a busy model that gets a single copy after a restart of all hosts. Each
// host was given another model, so most requests queued at one host and were late.
func TestRestart(t *testing.T) {
	p := &copies.Planner{Parallel: 4}
	disk := names(0, 1, 2)
	hosts := []*copies.Host{host("a", nil, disk...), host("b", nil, disk...), host("c", nil, disk...)}
	demand := map[core.ModelName]copies.Demand{
		name(0): {Rate: 5, Hasty: 3, Work: 1.2}, name(1): {Rate: 0.2, Work: 0.05}, name(2): {Rate: 0.1, Work: 0.02},
	}
	wantMoves(t, p.Plan(t0, service(3), hosts, demand), "a: m-00 for []", "b: m-00 for []", "c: m-00 for []")
}

// Guards against a load from the store while another host has the weights near. A
// load from the store takes seven times as long and delays other loads.
func TestNearestHost(t *testing.T) {
	p := &copies.Planner{Parallel: 4}
	hosts := []*copies.Host{host("a", nil), host("b", names(0), name(1))}
	wantMoves(t, p.Plan(t0, service(2), hosts, nil), "b: m-01 for []")
}

// Guards against a load from the store although a host with the weights on its disk ends
// another load in half a second. The load from the store took six seconds and kept a free
// host from every other change. With four hosts so occupied, the callers of all models
// without a copy waited for seconds.
func TestWaitsForNearHost(t *testing.T) {
	demand := map[core.ModelName]copies.Demand{name(0): {Rate: 0.7, Waiting: 1}}
	hosts := func(remaining time.Duration) []*copies.Host {
		near := host("b", names(1), name(0))
		near.TakesOrders, near.Loading, near.LoadedBy = false, name(2), t0.Add(remaining)
		return []*copies.Host{host("a", nil), near}
	}
	loadsOfModel0 := func(moves []copies.Move) []copies.Move {
		return slices.DeleteFunc(moves, func(m copies.Move) bool { return m.Load != name(0) })
	}
	t.Run("waits for a host that is ready sooner", func(t *testing.T) {
		p := &copies.Planner{Parallel: 4}
		wantMoves(t, loadsOfModel0(p.Plan(t0, service(3), hosts(500*time.Millisecond), demand)))
	})
	t.Run("does not wait for a host that is ready later", func(t *testing.T) {
		p := &copies.Planner{Parallel: 4}
		wantMoves(t, loadsOfModel0(p.Plan(t0, service(3), hosts(5*time.Second), demand)), "a: m-00 for []")
	})
	t.Run("does not wait for a host that is leaving", func(t *testing.T) {
		p := &copies.Planner{Parallel: 4}
		list := hosts(0)
		list[1].Leaving = true
		wantMoves(t, loadsOfModel0(p.Plan(t0, service(3), list, demand)), "a: m-00 for []")
	})
}

// Guards against the choice of a slower load because only the worth of the evicted models
// is compared. Here one host has free memory and the weights on its disk, and the other has
// the weights in memory and evicts a model with a request every half minute.
func TestCallersWaitForLess(t *testing.T) {
	p := &copies.Planner{Parallel: 4}
	hosts := []*copies.Host{host("a", names(1), name(0)), host("b", names(2, 3), name(0))}
	hosts[1].InMemory = hosts[1].OnDisk
	demand := map[core.ModelName]copies.Demand{
		name(0): {Rate: 0.7, Waiting: 1}, name(1): {Rate: 0.7}, name(2): {Rate: 0.7}, name(3): {Rate: 0.03},
	}
	wantMoves(t, p.Plan(t0, service(4), hosts, demand), "a: m-03 for []", "b: m-00 for [m-03]")
}

// Guards against the eviction of models in use while others are idle. Every model gets a
// request every second or two, and there is one more than the hosts can hold. A host that
// evicted a model in use waited for its requests to finish and served neither model's
// callers meanwhile, so that more models had waiting requests, until most hosts were only
// draining.
func TestIdleModelsGoFirst(t *testing.T) {
	hosts := func() []*copies.Host {
		list := []*copies.Host{host("a", names(0, 1), name(4)), host("b", names(2, 3), name(4))}
		list[0].Active = map[core.ModelName]int{name(0): 1, name(1): 2}
		list[1].Active = map[core.ModelName]int{name(2): 1}
		return list
	}
	demand := map[core.ModelName]copies.Demand{name(4): {Rate: 0.7, Waiting: 1}}
	for i := range 4 {
		demand[name(i)] = copies.Demand{Rate: 0.7}
	}
	t.Run("the idle one", func(t *testing.T) {
		p := &copies.Planner{Parallel: 4}
		wantMoves(t, p.Plan(t0, service(5), hosts(), demand), "b: m-04 for [m-03]")
	})
	t.Run("none while all are in use, until requests have waited for a while", func(t *testing.T) {
		p := &copies.Planner{Parallel: 4}
		busy := hosts()
		busy[1].Active[name(3)] = 1
		wantMoves(t, p.Plan(t0, service(5), busy, demand))
		wantMoves(t, p.Plan(t0.Add(time.Second), service(5), busy, demand))
		assert.Equal(t, len(p.Plan(t0.Add(2*time.Second), service(5), busy, demand)), 1)
	})
	t.Run("an additional copy is evicted though it is in use", func(t *testing.T) {
		p := &copies.Planner{Parallel: 4}
		busy := hosts()
		busy[1].Held = names(0, 3)
		busy[1].Active = map[core.ModelName]int{name(0): 1, name(3): 1}
		delete(demand, name(2))
		wantMoves(t, p.Plan(t0, service(5), busy, demand), "a: m-04 for [m-00]")
	})
}

// Guards against the eviction of more models than needed. A host with one large and two
// small models has to make room for another large one, and evicted a small model in vain.
func TestGivesUpNoMoreThanNeeded(t *testing.T) {
	s := service(4)
	for i, size := range []core.Bytes{30, 30, 70, 70} {
		m := s.Models[name(i)]
		m.Weights = size * gb
		s.Models[name(i)] = m
	}
	p := &copies.Planner{Parallel: 4}
	demand := map[core.ModelName]copies.Demand{
		name(0): {Rate: 0.1}, name(1): {Rate: 0.3}, name(2): {Rate: 0.2}, name(3): {Rate: 0.7, Waiting: 1},
	}
	wantMoves(t, p.Plan(t0, s, []*copies.Host{host("a", names(0, 1, 2), name(3))}, demand), "a: m-03 for [m-02]")
}

func TestWeightStore(t *testing.T) {
	many := func(n int) []*copies.Host {
		var hosts []*copies.Host
		for i := range n {
			hosts = append(hosts, host(fmt.Sprintf("h-%02d", i), nil))
		}
		return hosts
	}
	t.Run("no more loads at once than it serves at full speed", func(t *testing.T) {
		// Everything was restarted, and no model has a copy. Nine loads at once would share
		// the store's speed, and none would be ready sooner.
		p := &copies.Planner{Parallel: 4}
		s := service(30)
		s.LoadsPerSecond = 0 // no limit but the width
		assert.Equal(t, len(p.Plan(t0, s, many(9), nil)), 4)
	})
	t.Run("loads that others began are counted", func(t *testing.T) {
		p := &copies.Planner{Parallel: 4}
		hosts := many(9)
		for _, h := range hosts[:3] {
			h.Loading, h.TakesOrders = name(20+int(h.ID[3]-'0')), false
		}
		assert.Equal(t, len(p.Plan(t0, service(30), hosts, nil)), 1)
	})
	t.Run("the rate holds, also when loads are short", func(t *testing.T) {
		p := &copies.Planner{Parallel: 100}
		hosts := many(40)
		var started []int
		for step := range 50 {
			moves := p.Plan(t0.Add(time.Duration(step)*100*time.Millisecond), service(60), hosts, nil)
			started = append(started, len(moves))
		}
		// Three at once, then nine tenths of 1.6 a second.
		assert.DeepEqual(t, sums(started[:1], started[:10], started), []int{3, 4, 10})
	})
}

// sums returns the sum of each list.
func sums(lists ...[]int) []int {
	var out []int
	for _, list := range lists {
		sum := 0
		for _, n := range list {
			sum += n
		}
		out = append(out, sum)
	}
	return out
}

func TestFurtherCopies(t *testing.T) {
	hosts := func() []*copies.Host {
		return []*copies.Host{
			host("a", names(0, 1)), host("b", names(2, 3), name(0)), host("c", names(4, 5), name(0)), host("d", names(6, 7), name(0)),
		}
	}
	evenDemand := func() map[core.ModelName]copies.Demand {
		d := map[core.ModelName]copies.Demand{}
		for i := range 8 {
			d[name(i)] = copies.Demand{Rate: 0.15}
		}
		return d
	}
	t.Run("none while one carries the load", func(t *testing.T) {
		p := &copies.Planner{Parallel: 4}
		d := evenDemand()
		d[name(0)] = copies.Demand{Rate: 2, Hasty: 2, Work: 0.2}
		wantMoves(t, p.Plan(t0, service(8), hosts(), d))
	})
	t.Run("more when demand moves to a model that one host holds", func(t *testing.T) {
		// Demand moves to another model within seconds, and its only host refuses a third
		// of the requests while models with a request every few seconds keep their memory.
		p := &copies.Planner{Parallel: 4}
		d := evenDemand()
		d[name(0)] = copies.Demand{Rate: 9, Hasty: 6, Work: 0.9}
		wantMoves(t, p.Plan(t0, service(8), hosts(), d), "b: m-00 for [m-02]", "c: m-00 for [m-04]")
		wantMoves(t, p.Plan(t0.Add(100*time.Millisecond), service(8), hosts(), d))
	})
}

// Guards against additional copies that seem worthless at high overload. After a restart, a
// model has several times the demand that one host can serve. If the worth were the change
// in the fraction of late requests, a second copy would be worth nothing, since all
// requests are late with two copies as with one; the model stayed on one host while others
// loaded rarely requested models.
func TestFarTooFewCopies(t *testing.T) {
	p := &copies.Planner{Parallel: 4}
	hosts := []*copies.Host{host("a", names(0, 1)), host("b", names(2, 3), name(0)), host("c", names(4, 5), name(0))}
	demand := map[core.ModelName]copies.Demand{name(0): {Rate: 20, Hasty: 10, Work: 4}}
	for i := 1; i < 6; i++ {
		demand[name(i)] = copies.Demand{Rate: 1}
	}
	wantMoves(t, p.Plan(t0, service(6), hosts, demand), "b: m-00 for [m-02]", "c: m-00 for [m-04]")
}

// Guards against a model that is evicted as soon as it is loaded. A caller waits six
// seconds for a model. If it were replaced at once by another copy of a busy model, the
// caller's request would be refused, and the load would start again on another host until
// the caller gives up.
func TestLoadedModelServesFirst(t *testing.T) {
	p := &copies.Planner{Parallel: 4}
	others := []*copies.Host{host("b", names(2, 3)), host("c", names(4, 5))}
	for _, h := range others {
		h.TakesOrders = false
	}
	demand := map[core.ModelName]copies.Demand{
		name(0): {Rate: 9, Hasty: 9, Work: 0.9}, name(1): {Rate: 0.2}, name(2): {Rate: 9, Hasty: 9, Work: 2},
	}
	hosts := func() []*copies.Host { return append([]*copies.Host{host("a", names(0, 1), name(2))}, others...) }
	p.Plan(t0, service(6), append([]*copies.Host{host("a", names(0), name(2))}, others...), demand)
	wantMoves(t, p.Plan(t0.Add(time.Second), service(6), hosts(), demand))
	got := p.Plan(t0.Add(6*time.Second), service(6), hosts(), demand)
	wantMoves(t, got, "a: m-02 for [m-01]")
}

func TestMovesUnderWay(t *testing.T) {
	p := &copies.Planner{Parallel: 4}
	hosts := func() []*copies.Host { return []*copies.Host{host("a", names(0))} }
	assert.Equal(t, len(p.Plan(t0, service(3), hosts(), nil)), 1)
	t.Run("are not returned twice", func(t *testing.T) {
		wantMoves(t, p.Plan(t0.Add(200*time.Millisecond), service(3), hosts(), nil))
	})
	t.Run("end with a report of a host that takes orders without them", func(t *testing.T) {
		p := &copies.Planner{Parallel: 4}
		p.Plan(t0, service(3), hosts(), nil)
		later := hosts()
		later[0].ReportedAt = t0.Add(50 * time.Millisecond)
		wantMoves(t, p.Plan(t0.Add(200*time.Millisecond), service(3), later, nil))
		later[0].ReportedAt = t0.Add(150 * time.Millisecond)
		assert.Equal(t, len(p.Plan(t0.Add(200*time.Millisecond), service(3), later, nil)), 1)
	})
	t.Run("are returned again when no report shows them", func(t *testing.T) {
		assert.Equal(t, len(p.Plan(t0.Add(3*time.Second), service(3), hosts(), nil)), 1)
	})
	t.Run("determine when the model will be ready", func(t *testing.T) {
		p := &copies.Planner{Parallel: 4}
		p.Plan(t0, service(2), hosts(), nil)
		at, ok := p.Ready(name(1))
		assert.Assert(t, ok)
		assert.Equal(t, at.Sub(t0), 6*time.Second)
		_, ok = p.Ready(name(0))
		assert.Assert(t, !ok)
	})
}

func TestHostsThatTakeNoOrders(t *testing.T) {
	leaving, busy := host("a", names(0)), host("b", nil)
	leaving.Leaving, busy.TakesOrders = true, false
	p := &copies.Planner{Parallel: 4}
	wantMoves(t, p.Plan(t0, service(2), []*copies.Host{leaving, busy}, nil))
	t.Run("copies on a leaving host are not counted", func(t *testing.T) {
		p := &copies.Planner{Parallel: 4}
		got := p.Plan(t0, service(1), []*copies.Host{leaving, host("c", nil)}, nil)
		wantMoves(t, got, "c: m-00 for []")
	})
}

// Guards against moves that exceed a host's memory, and against models with waiting
// requests that are never loaded in addition to the busy ones, in a long simulation of
// moving demand on full hosts.
func TestMovesFit(t *testing.T) {
	s := service(12)
	s.LoadsPerSecond = 100
	var hosts []*copies.Host
	for i := range 4 {
		hosts = append(hosts, host(fmt.Sprint("h-", i), nil))
	}
	p := &copies.Planner{Parallel: 4}
	for step := range 400 {
		now := t0.Add(time.Duration(step) * 3500 * time.Millisecond)
		d := map[core.ModelName]copies.Demand{
			name(step / 40): {Rate: 6, Hasty: 6, Work: 1.2}, name((step * 7) % 12): {Rate: 0.1, Waiting: 1},
		}
		for _, m := range p.Plan(now, s, hosts, d) {
			i := slices.IndexFunc(hosts, func(h *copies.Host) bool { return h.ID == m.Host })
			held := slices.DeleteFunc(slices.Clone(hosts[i].Held), func(n core.ModelName) bool { return slices.Contains(m.Evict, n) })
			held = append(held, m.Load)
			assert.Assert(t, core.Bytes(len(held))*70*gb <= 145*gb)
			hosts[i] = host(string(m.Host), held)
		}
		loaded := slices.ContainsFunc(hosts, func(h *copies.Host) bool { return slices.Contains(h.Held, name((step*7)%12)) })
		assert.Assert(t, loaded, "step %d: the model with waiting requests is not loaded", step)
		for _, h := range hosts {
			h.TakesOrders = true
		}
	}
}

// Guards against callers who are refused at hosts with a low rate limit because the model's
// copies there are counted in full.
func TestLimitedCopies(t *testing.T) {
	plan := func(rate float64, limits ...float64) []copies.Move {
		hosts := []*copies.Host{host("a", names(0, 1)), host("b", names(0, 2)), host("c", names(3), name(0))}
		for i, l := range limits {
			hosts[i].Limit = core.RateLimit{Limited: true, Rate: l}
		}
		p := &copies.Planner{Parallel: 4}
		return p.Plan(t0, service(4), hosts, map[core.ModelName]copies.Demand{name(0): {Rate: rate, Hasty: rate, Work: 0.1}})
	}
	wantMoves(t, plan(6))
	wantMoves(t, plan(6, 1, 1), "c: m-00 for []")
	wantMoves(t, plan(6, 1), "c: m-00 for []")
	wantMoves(t, plan(0.8, 1, 1))
	t.Run("hosts without a rate limit are preferred", func(t *testing.T) {
		hosts := []*copies.Host{host("a", names(0)), host("b", names(1), name(2)), host("c", names(3), name(2))}
		hosts[1].Limit = core.RateLimit{Limited: true, Rate: 10}
		p := &copies.Planner{Parallel: 4}
		demand := map[core.ModelName]copies.Demand{name(2): {Rate: 1, Waiting: 1}}
		wantMoves(t, p.Plan(t0, service(4), hosts, demand), "c: m-02 for []")
	})
}
