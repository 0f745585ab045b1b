package cached

import "sync"

// Wants are the parts that requests begin with and others may begin with too, as one entry has seen
// them. What engines keep besides is of no use to others: most parts are the end of one request's
// prompt. The zero Wants is empty. It is safe for concurrent use.
type Wants struct {
	mu   sync.Mutex
	set  Set
	last uint64
}

// Note records the parts that a request begins with, by their hashes.
func (w *Wants) Note(parts []uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, hash := range parts {
		w.add(Key(hash))
	}
}

// Add records parts that another entry wants.
func (w *Wants) Add(keys []uint32) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, key := range keys {
		w.add(key)
	}
}

// add adds a part that is not wanted yet. If there are too many, it begins anew: those that are still
// wanted come back with the next requests.
func (w *Wants) add(key uint32) {
	if w.set.Has(key) {
		return
	}
	w.last++
	if w.set.Len() >= maxCached {
		w.set.Reset(w.last)
		w.last++
	}
	w.set.Put(w.last, key)
}

// Since returns the parts that were added after the one with a number, and the number of the last.
func (w *Wants) Since(number uint64) (last uint64, keys []uint32) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last, w.set.Since(number).Added
}
