package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishwell/core"
)

// prefixTTL is how long a prefix is assumed to stay cached. Engines cache in
// limited memory and report evictions late or not at all; after a pause of ten
// minutes a person's conversation is likely over.
const prefixTTL = 10 * time.Minute

// prefixHost is the host that likely has a prefix cached.
type prefixHost struct {
	host core.HostName
	at   time.Time
}

// RecordSent records that a request was sent to a host, which caches its
// prefixes.
func (r *Router) RecordSent(now time.Time, q core.Request, host core.HostName) {
	for _, p := range q.Prefixes {
		r.prefixes.put(prefixKey(q.Target, p), prefixHost{host: host, at: now})
	}
}

// CacheEvent records a host's report that a prefix is cached or was evicted.
// Such events arrive late and with gaps, so an eviction removes only what was
// recorded for that host.
func (r *Router) CacheEvent(now time.Time, t core.Target, host core.HostName, prefix uint64, present bool) {
	k := prefixKey(t, prefix)
	known, ok := r.prefixes.get(k)
	switch {
	case present && !ok:
		r.prefixes.put(k, prefixHost{host: host, at: now})
	case !present && ok && known.host == host:
		r.prefixes.remove(k)
	}
}

// cachedHolder returns the holder that likely has the longest part of the
// prompt cached, unless its load is too far above the mean. If nothing is
// recorded, the shortest prefix chooses by rendezvous hashing, so that all
// entries send prompts with the same beginning to the same host.
func (r *Router) cachedHolder(now time.Time, q Query, list []option) (int, bool) {
	prefixes := q.Request.Prefixes
	if len(prefixes) == 0 || len(list) < 2 {
		return 0, false
	}
	limit := loadBound(list)
	for _, p := range slices.Backward(prefixes) {
		h, ok := r.prefixes.get(prefixKey(q.Request.Target, p))
		if !ok || now.Sub(h.at) > prefixTTL {
			continue
		}
		at := slices.IndexFunc(list, func(o option) bool { return o.Host == h.host })
		if at >= 0 && withinBound(list, at, limit) {
			return at, true
		}
	}
	return hashedHolder(prefixKey(q.Request.Target, prefixes[0]), list, limit)
}

// loadBound returns the load up to which a holder may be chosen for its cache.
func loadBound(list []option) float64 {
	sum := 1.0
	for _, o := range list {
		sum += o.load
	}
	return boundFactor*sum/float64(len(list)) + boundSlack
}

// withinBound reports whether a holder may be chosen for its cache. Waiting in
// a queue costs more than computing a prefix again. The list is ordered by
// wait.
func withinBound(list []option, at int, limit float64) bool {
	return list[at].load+1 <= limit && list[at].wait <= list[0].wait
}

func hashedHolder(key uint64, list []option, limit float64) (int, bool) {
	best, found := 0, false
	var most uint64
	for i, o := range list {
		if !withinBound(list, i, limit) {
			continue
		}
		rank := mix(key ^ xxhash.Sum64String(string(o.Host)))
		if !found || rank > most {
			best, most, found = i, rank, true
		}
	}
	return best, found
}

// prefixKey distinguishes equal prefixes of different models, which share no
// cache.
func prefixKey(t core.Target, prefix uint64) uint64 {
	return mix(prefix ^ xxhash.Sum64String(t.Name()))
}

// rendezvousScore returns the rendezvous hashing score of a name and a host.
func rendezvousScore(seed uint64, name, host string) uint64 {
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
