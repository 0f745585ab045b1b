package origin

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"radishwell/core"
)

// Holders returns the names of the n entries that hold copies of a record, by rendezvous
// hashing: entries that know almost the same members choose almost the same holders.
func Holders(key core.Fingerprint, members []core.HostName, n int) []core.HostName {
	type ranked struct {
		name core.HostName
		rank uint64
	}
	all := make([]ranked, 0, len(members))
	text := make([]byte, 0, 64)
	for _, name := range members {
		text = binary.LittleEndian.AppendUint64(text[:0], uint64(key))
		text = append(text, name...)
		all = append(all, ranked{name: name, rank: xxhash.Sum64(text)})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.name, b.name))
	})
	out := make([]core.HostName, 0, n)
	for _, m := range all[:min(n, len(all))] {
		out = append(out, m.name)
	}
	return out
}
