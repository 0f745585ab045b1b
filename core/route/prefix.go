package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishwell/core"
)

// remembered is how long a cached prefix is believed in. Engines cache in
// limited memory and tell of evictions late or not at all; ten minutes is the
// pause after which a person's conversation is likely over.
const remembered = 10 * time.Minute

// holder is the host that likely has a prefix cached.
type holder struct {
	host core.HostName
	at   time.Time
}

// Sent records that a request went to a host, which will have its prefixes
// cached then.
func (r *Router) Sent(now time.Time, q core.Request, host core.HostName) {
	for _, p := range q.Prefixes {
		r.prefixes.put(prefixKey(q.Target, p), holder{host: host, at: now})
	}
}

// CacheEvent records what a host said about a prefix. Such events come late and
// with gaps, so an eviction only takes back what was believed of that host.
func (r *Router) CacheEvent(now time.Time, t core.Target, host core.HostName, prefix uint64, present bool) {
	k := prefixKey(t, prefix)
	known, ok := r.prefixes.get(k)
	switch {
	case present && !ok:
		r.prefixes.put(k, holder{host: host, at: now})
	case !present && ok && known.host == host:
		r.prefixes.cut(k)
	}
}

// cached returns the holder that likely has the longest part of the prompt
// cached, unless its load is too far above the mean. Where nothing is known the
// shortest prefix chooses by rendezvous hashing, so that all entries send
// prompts that begin alike to the same host.
func (r *Router) cached(now time.Time, q Query, list []option) (int, bool) {
	prefixes := q.Request.Prefixes
	if len(prefixes) == 0 || len(list) < 2 {
		return 0, false
	}
	limit := crowdLimit(list)
	for _, p := range slices.Backward(prefixes) {
		h, ok := r.prefixes.get(prefixKey(q.Request.Target, p))
		if !ok || now.Sub(h.at) > remembered {
			continue
		}
		at := slices.IndexFunc(list, func(o option) bool { return o.Host == h.host })
		if at >= 0 && follows(list, at, limit) {
			return at, true
		}
	}
	return byPrefix(prefixKey(q.Request.Target, prefixes[0]), list, limit)
}

// crowdLimit is the load up to which a holder may be taken for its cache.
func crowdLimit(list []option) float64 {
	sum := 1.0
	for _, o := range list {
		sum += o.load
	}
	return crowd*sum/float64(len(list)) + crowdSlack
}

// follows reports whether a holder may be taken for its cache: a queue costs more
// than computing a prefix again. The list is in the order of waits.
func follows(list []option, at int, limit float64) bool {
	return list[at].load+1 <= limit && list[at].wait <= list[0].wait
}

func byPrefix(key uint64, list []option, limit float64) (int, bool) {
	best, found := 0, false
	var most uint64
	for i, o := range list {
		if !follows(list, i, limit) {
			continue
		}
		rank := mix(key ^ xxhash.Sum64String(string(o.Host)))
		if !found || rank > most {
			best, most, found = i, rank, true
		}
	}
	return best, found
}

// prefixKey tells equal prefixes of different models apart: they share no cache.
func prefixKey(t core.Target, prefix uint64) uint64 {
	return mix(prefix ^ xxhash.Sum64String(t.Name()))
}

// score is a rendezvous score of a name and a host.
func score(seed uint64, name, host string) uint64 {
	return mix(seed ^ xxhash.Sum64String(name) ^ mix(xxhash.Sum64String(host)))
}

// mix spreads the bits of a hash (the finalizer of MurmurHash3).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
