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
	// (consistent hashing with bounded loads); crowdSlack lets a nearly idle set
	// follow the cache, where a quarter of the mean is less than one request.
	crowd      = 1.25
	crowdSlack = 2.0
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
	orderStale(q, list)
}

// orderStale orders holders of which some reports are old. It takes them two by
// two in the order of their rank, which is random for each request. A pair whose
// loads are not known is put in front to be asked; of a pair that is known the
// better one is taken, if it can start the request at once, and the next pair is
// looked at otherwise. Two choices are enough while most hosts have room; near
// saturation both are often full while another host is not.
func orderStale(q Query, list []option) {
	ranked := byRank(list)
	ranked = ranked[:min(mostAsked, len(ranked))]
	for pair := range slices.Chunk(ranked, mostProbes) {
		best := slices.Min(pair)
		if askable(list, pair, q.Asked) || list[best].wait == 0 {
			leadPair(list, pair)
			return
		}
	}
	lead(list, slices.Min(ranked), OfTwo)
}

// byRank returns the indices of the options, the highest rank first.
func byRank(list []option) []int {
	ranked := make([]int, len(list))
	for i := range ranked {
		ranked[i] = i
	}
	slices.SortFunc(ranked, func(a, b int) int { return cmp.Compare(list[b].rank, list[a].rank) })
	return ranked
}

// askable reports whether one of the pair has an old report and was not asked.
func askable(list []option, pair []int, asked []core.HostName) bool {
	return slices.ContainsFunc(pair, func(i int) bool {
		return list[i].stale && !slices.Contains(asked, list[i].Host)
	})
}

// leadPair moves a pair to the front, the better one first. The list is in the
// order of load.
func leadPair(list []option, pair []int) {
	best, other := slices.Min(pair), slices.Max(pair)
	if best == other {
		lead(list, best, LeastLoaded)
		return
	}
	lead(list, other, OfTwo)
	lead(list, best+1, OfTwo)
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

const (
	// mostProbes is how many hosts one plan asks for their load. Two choices take
	// most of the imbalance that one leaves.
	mostProbes = 2
	// mostAsked is how many hosts one request asks in all when those it asked are
	// busy. Each round costs a call, about a millisecond; when half of the hosts
	// are full, six asked leave one request in 64 without one that has room.
	mostAsked = 6
	// lookAgain is the age from which the report of a host without the target is
	// asked for anew. Another entry may have had it loaded there; until this one
	// knows, it uses the other holders only.
	lookAgain = 10 * time.Second
)

// probes returns the hosts whose load to ask for before the plan is followed.
// Where the plan would start a load, they are hosts of which nothing is known:
// one of them may hold the target, and a call costs a thousandth of a load.
// Otherwise they are those in front whose reports are old, and beside them
// hosts that may have come to hold the target by another entry's requests.
func probes(list []option, asked []core.HostName) []core.HostName {
	if list[0].cold > 0 {
		if out := pick(nil, list, asked, option.unknown); len(out) > 0 {
			return out
		}
	}
	front := list[:min(mostProbes, len(list))]
	out := pick(nil, front, asked, func(o option) bool { return o.stale })
	if len(asked) < mostAsked {
		out = pick(out, list, asked, option.changed)
	}
	return out
}

func (o option) unknown() bool { return o.Load.At.IsZero() }

// changed reports whether a host that did not hold the target when it last
// reported may hold it now.
func (o option) changed() bool { return o.cold > 0 && (o.unknown() || o.age > lookAgain) }

func pick(out []core.HostName, list []option, asked []core.HostName, want func(option) bool) []core.HostName {
	for _, o := range list {
		if want(o) && !slices.Contains(out, o.Host) && !o.aside && !slices.Contains(asked, o.Host) && len(out) < mostProbes {
			out = append(out, o.Host)
		}
	}
	return out
}
