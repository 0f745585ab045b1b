package fleet

import (
	"time"

	"radishwell/core"
)

// mostGone is how many lives that the registry does not list are remembered by their word.
const mostGone = 256

// LeaveAge is how long a host's word that it leaves counts: by then it has left.
const LeaveAge = 10 * time.Minute

// word is what one life of a host says of itself in its answers. It outlasts the host's
// entry in the registry, which lapses while the store is out and comes back.
type word struct {
	// limit is the rate that the host names, and limitAt when it last named one.
	limit   core.RateLimit
	limitAt time.Time
	// liftedAt is when it surely named none for the last time.
	liftedAt time.Time
	// turn is when the host takes this process's next request, as far as is known of a
	// host that names a rate, and turnAt when that was known.
	turn, turnAt time.Time
	// leftAt is when the host first said that it leaves, zero while it has not.
	leftAt time.Time
	// restTill is until when the host wants no requests of this process, having turned
	// one away.
	restTill time.Time
}

// Resting returns until when the host wants no requests of this process; false where it
// takes them.
func (w *word) Resting(now time.Time) (till time.Time, ok bool) {
	return w.restTill, now.Before(w.restTill)
}

// Rests takes in until when the host wants no requests of this process, and tells whether
// it took them until now.
func (w *word) Rests(now, till time.Time) bool {
	_, resting := w.Resting(now)
	if till.After(w.restTill) {
		w.restTill = till
	}
	return !resting && now.Before(till)
}

// Left returns for how long the host is known to say, in its answers, that it leaves;
// false where it does not.
func (w *word) Left(now time.Time) (since time.Duration, ok bool) {
	since = now.Sub(w.leftAt)
	if w.leftAt.IsZero() || since >= LeaveAge {
		return 0, false
	}
	return since, true
}

// Leaves takes in that a life of a host says it leaves, and tells whether that is news.
func (v *View) Leaves(now time.Time, life Life) bool {
	w := v.wordOf(life)
	if _, ok := w.Left(now); ok {
		return false
	}
	w.leftAt = now
	v.changes++
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
