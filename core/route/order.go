package route

import (
	"cmp"
	"slices"
	"time"

	"radishwell/core"
)

const (
	// boundFactor limits the load of the host with the cached prefix, relative
	// to the mean of the holders. A quarter above the mean keeps the longest
	// queue near the mean (consistent hashing with bounded loads). boundSlack,
	// in requests, lets nearly idle holders follow the cache, where a quarter
	// of the mean is less than one request.
	boundFactor = 1.25
	boundSlack  = 2.0
	// loadTolerance is the difference in load up to which two hosts count as
	// equal, so that entries with the same report spread over both.
	loadTolerance = 1.0
	// spillFactor is how much sooner another host must be able to start before
	// a request leaves the holders. The estimate of the wait has errors, and an
	// unnecessary load occupies an accelerator.
	spillFactor = 1.5
)

// groups holds the options by the way in which they may serve.
type groups struct {
	spilled, holders, cold, setAside []option
}

func group(options []option) groups {
	var g groups
	for _, o := range options {
		switch {
		case o.setAside:
			g.setAside = append(g.setAside, o)
		case o.loadTime == 0:
			g.holders = append(g.holders, o)
		default:
			g.cold = append(g.cold, o)
		}
	}
	return g
}

// orderHolders moves the host to try first to the front and orders the others
// by load.
func (r *Router) orderHolders(now time.Time, q Query, list []option) {
	slices.SortFunc(list, byLoad)
	for i := range list {
		list[i].reason = Resident
	}
	if len(list) == 0 {
		return
	}
	if at, ok := r.cachedHolder(now, q, list); ok {
		moveToFront(list, at, Cached)
		return
	}
	if !anyStale(list) {
		moveToFront(list, leastLoaded(list), LeastLoaded)
		return
	}
	orderStale(q, list)
}

// orderStale orders holders of which some reports are stale. It goes through
// them in pairs, in the order of their rank, which is random for each request.
// A pair with unknown load moves to the front to be probed. Of a pair with
// known load the better host is taken if it can start the request at once;
// otherwise the next pair is examined. Two choices are enough while most hosts
// have free slots; near saturation both are often full while another host is
// not.
func orderStale(q Query, list []option) {
	ranked := byRank(list)
	ranked = ranked[:min(maxProbed, len(ranked))]
	for pair := range slices.Chunk(ranked, maxProbes) {
		best := slices.Min(pair)
		if needsProbe(list, pair, q.Probed) || list[best].wait == 0 {
			movePairToFront(list, pair)
			return
		}
	}
	moveToFront(list, slices.Min(ranked), OfTwo)
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

// needsProbe reports whether a host of the pair has a stale report and has not
// been probed.
func needsProbe(list []option, pair []int, probed []core.HostName) bool {
	return slices.ContainsFunc(pair, func(i int) bool {
		return list[i].stale && !slices.Contains(probed, list[i].Host)
	})
}

// movePairToFront moves a pair to the front, the better host first. The list is
// ordered by load.
func movePairToFront(list []option, pair []int) {
	best, other := slices.Min(pair), slices.Max(pair)
	if best == other {
		moveToFront(list, best, LeastLoaded)
		return
	}
	moveToFront(list, other, OfTwo)
	moveToFront(list, best+1, OfTwo)
}

// moveToFront moves an option to the front, sets its reason and keeps the order
// of the others.
func moveToFront(list []option, at int, why Reason) {
	first := list[at]
	first.reason = why
	copy(list[1:at+1], list[:at])
	list[0] = first
}

func anyStale(list []option) bool {
	return slices.ContainsFunc(list, func(o option) bool { return o.stale })
}

// leastLoaded chooses among all options that are about as good as the best: one
// in this data centre if there is one, and otherwise the one with the highest
// rank.
func leastLoaded(list []option) int {
	best := 0
	least := list[0]
	for i, o := range list {
		if o.load > least.load+loadTolerance || o.wait > least.wait {
			continue
		}
		if preferred(o, list[best]) {
			best = i
		}
	}
	return best
}

func preferred(o, than option) bool {
	if o.local != than.local {
		return o.local
	}
	return o.rank > than.rank
}

// byLoad orders by expected wait, load, data centre and rank.
func byLoad(a, b option) int {
	return cmp.Or(
		cmp.Compare(a.wait, b.wait),
		cmp.Compare(a.load, b.load),
		core.CompareBool(b.local, a.local),
		cmp.Compare(b.rank, a.rank),
		cmp.Compare(a.Host, b.Host),
	)
}

// orderCold orders loads in progress before the cheapest loads, and hosts that
// are crowded last. Ties are broken by target rather than by request: the first
// requests for a target may reach several entries at once, and all of them must
// choose the same host.
func orderCold(list []option) {
	for i, o := range list {
		list[i].reason = Cold
		if o.Load.Item.State == core.Loading {
			list[i].reason = Loading
		}
	}
	slices.SortFunc(list, byColdStart)
}

func byColdStart(a, b option) int {
	return cmp.Or(
		cmp.Compare(a.reason, b.reason),
		core.CompareBool(a.crowded(), b.crowded()),
		cmp.Compare(a.loadTime, b.loadTime),
		cmp.Compare(b.rank, a.rank),
		cmp.Compare(a.Host, b.Host),
	)
}

// crowded reports whether waiting for other work at the host would take longer
// than the load itself, or the host has to unload something first.
func (o option) crowded() bool { return o.needsEviction || o.wait-o.loadTime > o.loadTime }

// orderSetAside orders the hosts that are set aside, which are used only if no
// other is left: suspects last, then by load.
func orderSetAside(list []option) {
	for i := range list {
		list[i].reason = SetAside
	}
	slices.SortFunc(list, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.Health, b.Health), byLoad(a, b))
	})
}

// spill moves one host that would have to load in front of the holders if the
// request would still start there sooner by spillFactor. A load in progress
// costs nothing more, so there it only has to be sooner.
func (g *groups) spill() {
	if len(g.holders) == 0 || len(g.cold) == 0 {
		return
	}
	least := slices.MinFunc(g.holders, byLoad).wait
	first := &g.cold[0]
	factor := spillFactor
	if first.reason == Loading {
		factor = 1
	}
	if float64(least) <= factor*float64(first.wait) {
		return
	}
	first.reason = Spill
	g.spilled = g.cold[:1]
	g.cold = g.cold[1:]
}

// ordered returns the options in the order of the plan.
func (g *groups) ordered() []option {
	return slices.Concat(g.spilled, g.holders, g.cold, g.setAside)
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
	// maxProbes is how many hosts one plan probes for their load. Two choices
	// remove most of the imbalance of one.
	maxProbes = 2
	// maxProbed is how many hosts are probed for one request in total if the
	// probed ones are busy. Each round costs a call, about a millisecond. When
	// half of the hosts are full, six probes leave one request in 64 without a
	// host that has a free slot.
	maxProbed = 6
	// reprobeAge is the age from which a host without the target is probed
	// again. Another entry may have loaded the target there; until this entry
	// learns of it, it uses the other holders only.
	reprobeAge = 10 * time.Second
)

// hostsToProbe returns the hosts to probe for a plan; Plan.Wait says whether
// the probes delay the request. If the plan would start a load, these are the
// hosts without a report, if there are any: one of them may hold the target,
// and a call costs a thousandth of a load. Otherwise they are those of the
// first hosts that have stale reports, and hosts that may have come to hold the
// target through requests of another entry.
func hostsToProbe(list []option, probed []core.HostName) []core.HostName {
	if list[0].loadTime > 0 {
		if out := pickHosts(nil, list, probed, option.noReport); len(out) > 0 {
			return out
		}
	}
	front := list[:min(maxProbes, len(list))]
	out := pickHosts(nil, front, probed, func(o option) bool { return o.stale })
	if len(probed) < maxProbed {
		out = pickHosts(out, list, probed, option.mayHold)
	}
	return out
}

func (o option) noReport() bool { return o.Load.At.IsZero() }

// mayHold reports whether a host that did not hold the target when it last
// reported may hold it now.
func (o option) mayHold() bool { return o.loadTime > 0 && (o.noReport() || o.age > reprobeAge) }

func pickHosts(out []core.HostName, list []option, probed []core.HostName, want func(option) bool) []core.HostName {
	for _, o := range list {
		if want(o) && !slices.Contains(out, o.Host) && !o.setAside && !slices.Contains(probed, o.Host) && len(out) < maxProbes {
			out = append(out, o.Host)
		}
	}
	return out
}
