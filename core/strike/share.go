package strike

import (
	"cmp"
	"slices"
	"time"

	"radishwell/core"
)

const (
	// maxShared bounds the records in one message to a peer. Without a bound, the messages
	// would grow with each crash until its strikes expire.
	maxShared = 64
	// maxSharedInTurn is the number of those that are chosen in turn, for peers that missed
	// them.
	maxSharedInTurn = 24
)

// Sharer chooses the records for messages to peers. The zero Sharer is ready for use. It is
// not safe for concurrent use.
type Sharer struct {
	// next is the position of the next record that is sent in turn.
	next int
}

// Next returns the records for the next message: those of the fingerprints with the most
// strikes and the latest ones, and the others in turn.
func (s *Sharer) Next(now time.Time, b *Book) []Record {
	all := b.Records(now)
	if len(all) <= maxShared {
		return all
	}
	counts := map[core.Fingerprint]uint32{}
	for f := range b.records {
		for r := range b.counting(now, f) {
			counts[f] += r.Count
		}
	}
	slices.SortStableFunc(all, func(x, y Record) int {
		return cmp.Or(cmp.Compare(counts[y.Fingerprint], counts[x.Fingerprint]), y.Expires.Compare(x.Expires))
	})
	out, others := all[:maxShared-maxSharedInTurn:maxShared-maxSharedInTurn], all[maxShared-maxSharedInTurn:]
	for range min(maxSharedInTurn, len(others)) {
		out = append(out, others[s.next%len(others)])
		s.next++
	}
	return out
}
