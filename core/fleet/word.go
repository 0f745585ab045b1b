package fleet

import (
	"time"

	"radishwell/core"
)

// mostGone is how many lives that the registry does not list are remembered by their word.
const mostGone = 256

// word is what one life of a host says of itself in its answers. It outlasts the host's
// entry in the registry, which lapses while the store is out and comes back.
type word struct {
	// limit is the rate that the host names, and limitAt when it last named one.
	limit   core.RateLimit
	limitAt time.Time
	// turn is when the host takes this process's next request, as far as is known of a
	// host that names a rate, and turnAt when that was known.
	turn, turnAt time.Time
	// leftAt is when the host first said that it leaves, zero while it has not.
	leftAt time.Time
}

// Left returns for how long the host is known to say, in its answers, that it leaves;
// false where it does not.
func (w *word) Left(now time.Time) (since time.Duration, ok bool) {
	if w.leftAt.IsZero() {
		return 0, false
	}
	return now.Sub(w.leftAt), true
}

// Leaves takes in that the host says it leaves, and tells whether that is news.
func (w *word) Leaves(now time.Time) bool {
	if !w.leftAt.IsZero() {
		return false
	}
	w.leftAt = now
	return true
}

// wordOf returns the word of a life, whether the registry lists it or not.
func (v *View) wordOf(life Life) *word {
	v.init()
	w := v.words[life]
	if w == nil {
		w = &word{}
		v.words[life] = w
		v.gone(life)
	}
	return w
}

// gone remembers a life that the registry does not list for some time more.
func (v *View) gone(life Life) {
	v.unlisted = append(v.unlisted, life)
	if len(v.unlisted) <= mostGone {
		return
	}
	oldest := v.unlisted[0]
	v.unlisted = v.unlisted[1:]
	if h := v.hosts[oldest.ID]; h == nil || h.Born != oldest.Born {
		delete(v.words, oldest)
	}
}
