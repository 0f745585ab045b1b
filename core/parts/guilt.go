package parts

import (
	"cmp"
	"slices"
	"time"

	"radishwell/core"
)

const (
	// answerDoubt is what a whole answer adds to the doubt that a part is to blame. A crash with one
	// request that has just begun adds 1.
	answerDoubt = 2.
	// boundDoubt is the number of requests in a crash, and of seconds for which the answer to one of them
	// had gone on, up to which there is little doubt.
	boundDoubt = 3.
)

// suspect is a part with enough crashes to be refused.
type suspect struct {
	*entry
	crashes []Crash
	needed  int
	// answers is the weight of the whole answers since the first of the crashes.
	answers int
	refused bool
}

// doubt returns a number that is higher the more speaks against the guilt of a part for its crashes
// that are not in a set: answers, several requests with the part in one crash, and requests whose
// answers had gone on for long.
func (s *suspect) doubt(explained upstreamSet) float64 {
	sum := answerDoubt * float64(s.answers)
	for _, c := range s.crashes {
		if !explained[c.Upstream] {
			requests := float64(max(1, c.Requests))
			sum += requests*requests + c.Ran.Seconds()
		}
	}
	return sum
}

// isEnough reports whether a suspect's crashes that are not explained suffice to refuse the part. Any
// number does once it has boundCrashes in all with little doubt, and nobody was answered with it since
// the first: that another part explains them may be chance.
func (s *suspect) isEnough(explained upstreamSet) bool {
	return explained.countOthers(s.crashes) >= s.needed || s.answers == 0 && s.isBound()
}

// isBound reports whether all that is sent with the part counts, and there is little doubt that it is
// to blame. Several requests in a crash raise that no further than their number: a part that comes
// often is in many, whether it is to blame or not.
func (s *suspect) isBound() bool {
	sum := 0.
	for _, c := range s.crashes {
		sum += float64(max(1, c.Requests)) + c.Ran.Seconds()
	}
	return len(s.crashes) >= boundCrashes && sum <= boundDoubt*float64(len(s.crashes))
}

// requests returns the upstreams that each request has crashed by itself.
func (t *Table) requests(now time.Time) (out []upstreamSet) {
	if t.Requests == nil {
		return nil
	}
	for _, list := range t.Requests(now) {
		set := upstreamSet{}
		for _, upstream := range list {
			set[upstream] = true
		}
		out = append(out, set)
	}
	return out
}

// isExplainedByOne reports whether one of the requests explains the crashes of a part, but for fewer than
// would make a new part a suspect. That request is refused by itself.
func (s *suspect) isExplainedByOne(requests []upstreamSet) bool {
	return slices.ContainsFunc(requests, func(r upstreamSet) bool { return r.countOthers(s.crashes) < newCrashes })
}

// compareGuilt returns a positive number if s is more likely to be to blame than other, by the crashes
// that are not explained: parts with which nobody was answered since their first crash come first,
// then those with more crashes and less doubt. All requests may share a part, and have it in each crash.
func (s *suspect) compareGuilt(other *suspect, explained upstreamSet) int {
	score := func(s *suspect) float64 {
		n := float64(explained.countOthers(s.crashes))
		return n * n / max(1, s.doubt(explained))
	}
	return cmp.Or(core.CompareBool(other.answers > 0, s.answers > 0), cmp.Compare(score(s), score(other)))
}

// guiltiest returns the suspect that most likely is to blame for crashes that are not explained, with
// those that were in the same requests in all crashes but for one: that one may have had another
// cause. The list is empty if no suspect has enough crashes.
func guiltiest(suspects []suspect, explained upstreamSet) []suspect {
	var best *suspect
	for i := range suspects {
		if s := &suspects[i]; !s.refused && s.isEnough(explained) && (best == nil || s.compareGuilt(best, explained) > 0) {
			best = s
		}
	}
	if best == nil {
		return nil
	}
	best.refused = true
	group := []suspect{*best}
	for i := range suspects {
		s := &suspects[i]
		similar := !s.refused && s.isEnough(explained) && len(s.crashes) >= len(best.crashes)-1 && (s.answers > 0) == (best.answers > 0)
		if similar && s.isInSameRequests(best) {
			s.refused = true
			group = append(group, *s)
		}
	}
	return group
}

// isInSameRequests reports whether as many requests had a part as had another, in each of its crashes.
func (s *suspect) isInSameRequests(other *suspect) bool {
	return !slices.ContainsFunc(s.crashes, func(c Crash) bool {
		i := slices.IndexFunc(other.crashes, func(o Crash) bool { return o.Upstream == c.Upstream })
		return i < 0 || other.crashes[i].Requests != c.Requests || other.crashes[i].Ran != c.Ran
	})
}
