package route

import (
	"cmp"
	"slices"
	"time"

	"radishwell/core"
)

const (
	// crowd is how far above the mean of the holders the load of the host with
	// the cached prefix may be. A quarter keeps the longest queue near the mean
	// (consistent hashing with bounded loads); crowdFloor lets a nearly idle set
	// follow the cache, where a quarter of the mean is less than one request.
	crowd      = 1.25
	crowdFloor = 2.0
	// near is the difference in load below which two hosts count as equal, so
	// that entries with the same report spread over both.
	near = 1.0
	// spillFactor is how much sooner another host must be able to start before a
	// request leaves the holders: the foreseen wait errs, and a load that was
	// not needed keeps an accelerator busy for nobody.
	spillFactor = 1.5
)

// groups are the options by how they may serve.
type groups struct {
	spilled, holders, cold, aside []option
}

func split(options []option) groups {
	var g groups
	for _, o := range options {
		switch {
		case o.aside:
			g.aside = append(g.aside, o)
		case o.cold == 0:
			g.holders = append(g.holders, o)
		default:
			g.cold = append(g.cold, o)
		}
	}
	return g
}

// orderHolders puts the host to try first in front, and the others behind it by
// load.
func (r *Router) orderHolders(now time.Time, q Query, list []option) {
	slices.SortFunc(list, byLoad)
	for i := range list {
		list[i].reason = Resident
	}
	if len(list) == 0 {
		return
	}
	if at, ok := r.cached(now, q, list); ok {
		lead(list, at, Cached)
		return
	}
	if !anyStale(list) {
		lead(list, leastLoaded(list), LeastLoaded)
		return
	}
	better, other := twoByRank(list)
	if other < 0 {
		lead(list, better, LeastLoaded)
		return
	}
	if other < better {
		// The list is in the order of load.
		better, other = other, better
	}
	lead(list, other, OfTwo)
	lead(list, better+1, OfTwo)
}

// lead moves an option to the front and keeps the order of the others.
func lead(list []option, at int, why Reason) {
	first := list[at]
	first.reason = why
	copy(list[1:at+1], list[:at])
	list[0] = first
}

func anyStale(list []option) bool {
	return slices.ContainsFunc(list, func(o option) bool { return o.stale })
}

// leastLoaded chooses among all options that are as good as the best: in this
// data centre if one is, and then by the request's rank.
func leastLoaded(list []option) int {
	best := 0
	least := list[0]
	for i, o := range list {
		if o.load > least.load+near || o.wait > least.wait {
			continue
		}
		if wanted(o, list[best]) {
			best = i
		}
	}
	return best
}

func wanted(o, than option) bool {
	if o.here != than.here {
		return o.here
	}
	return o.rank > than.rank
}

// twoByRank returns the indices of the two options with the highest rank, which
// are a random pair for each request; the second is -1 where there is one only.
func twoByRank(list []option) (first, second int) {
	first, second = 0, -1
	for i := 1; i < len(list); i++ {
		switch {
		case list[i].rank > list[first].rank:
			first, second = i, first
		case second < 0 || list[i].rank > list[second].rank:
			second = i
		}
	}
	return first, second
}

// byLoad orders by foreseen wait, load, data centre and rank.
func byLoad(a, b option) int {
	return cmp.Or(
		cmp.Compare(a.wait, b.wait),
		cmp.Compare(a.load, b.load),
		cmpBool(b.here, a.here),
		cmp.Compare(b.rank, a.rank),
		cmp.Compare(a.Host, b.Host),
	)
}

func cmpBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// orderCold puts loads under way first and then the cheapest loads, those on
// crowded hosts last. Equals are ordered by target, not by request: the first
// requests of an evening session reach several entries at once, and all of them
// must wake the same host.
func orderCold(list []option) {
	for i, o := range list {
		list[i].reason = Cold
		if o.Load.Item.State == core.Loading {
			list[i].reason = Arriving
		}
	}
	slices.SortFunc(list, byColdStart)
}

func byColdStart(a, b option) int {
	return cmp.Or(
		cmp.Compare(a.reason, b.reason),
		cmpBool(a.crowded(), b.crowded()),
		cmp.Compare(a.cold, b.cold),
		cmp.Compare(b.rank, a.rank),
		cmp.Compare(a.Host, b.Host),
	)
}

// crowded reports whether waiting for other work at the host would take longer
// than the load itself, or the host has to unload something first.
func (o option) crowded() bool { return o.tight || o.wait-o.cold > o.cold }

// orderAside puts the hosts that are set aside in an order for when nothing else
// is left: holders before others, suspects last.
func orderAside(list []option) {
	for i := range list {
		list[i].reason = SetAside
	}
	slices.SortFunc(list, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.Health, b.Health), byLoad(a, b))
	})
}

// spill puts a host that would have to load in front of the holders, where the
// request would start there sooner even so. A load that is under way is paid for
// already, so it only has to be sooner.
func (g *groups) spill() {
	if len(g.holders) == 0 || len(g.cold) == 0 {
		return
	}
	least := slices.MinFunc(g.holders, byLoad).wait
	first := &g.cold[0]
	factor := spillFactor
	if first.reason == Arriving {
		factor = 1
	}
	if float64(least) <= factor*float64(first.wait) {
		return
	}
	first.reason = Spill
	g.spilled = g.cold[:1]
	g.cold = g.cold[1:]
}

// all returns the options in the order of the plan.
func (g *groups) all() []option {
	return slices.Concat(g.spilled, g.holders, g.cold, g.aside)
}

func choices(now time.Time, list []option) []Choice {
	out := make([]Choice, 0, len(list))
	for _, o := range list {
		out = append(out, Choice{
			Host: o.Host, Reason: o.reason, Start: now.Add(o.wait), Load: o.load, Age: o.age,
		})
	}
	return out
}

// mostProbes is how many hosts one request asks for their load. Two choices take
// most of the imbalance that one leaves; each further one costs a call and
// brings little.
const mostProbes = 2

// probes returns the hosts whose old reports the plan rests on: the first of the
// order whose load is not known.
func probes(list []option) []core.HostName {
	var out []core.HostName
	for _, o := range list {
		if o.stale && !o.aside && len(out) < mostProbes {
			out = append(out, o.Host)
		}
	}
	return out
}
