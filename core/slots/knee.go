package slots

import (
	"slices"
	"time"

	"radishwell/core"
)

const (
	// enough is the part of the best throughput that a smaller number of
	// transfers has to reach to be preferred: the same work is done, and each
	// transfer ends sooner.
	enough = 0.9
	// stale is how long a measurement counts. After it the level is tried again,
	// so that the pool finds out when the store has recovered.
	stale = 30 * time.Second
	// smoothing is the weight of a new measurement.
	smoothing = 0.3
	// slow is the part of the best speed seen below which the store counts as
	// slow, and smaller numbers of transfers are tried.
	slow = 0.7
	// growth is the ratio of two neighbouring levels above the small ones.
	growth = 1.25
)

// knee finds how many transfers at once help. It keeps the speed of a transfer
// by the number at once, and takes the smallest number whose throughput is
// close to the best.
//
// It answers a store that slows down. If each transfer slows however few there
// are, throughput still grows with their number, and the limit stays; if they
// share what is left, fewer at once end sooner, and the limit sinks. A limit
// lowered for slowness alone would make the first case four times worse.
type knee struct {
	levels []level
	// fastest is the best speed seen.
	fastest float64
}

type level struct {
	// transfers is the largest number at once that counts to this level.
	transfers int
	speed     float64 // bytes a second, smoothed
	at        time.Time
}

func (k *knee) init(most int) {
	if len(k.levels) > 0 && k.levels[len(k.levels)-1].transfers == most {
		return
	}
	k.levels = nil
	for n := 1; n < most; n = max(n+1, int(float64(n)*growth)) {
		k.levels = append(k.levels, level{transfers: n})
	}
	k.levels = append(k.levels, level{transfers: most})
}

// measure takes the time of one transfer that ran beside others. A transfer
// that failed says nothing about speed.
func (k *knee) measure(now time.Time, beside int, size core.Bytes, took time.Duration) {
	if took <= 0 || size <= 0 || len(k.levels) == 0 {
		return
	}
	l := &k.levels[len(k.levels)-1]
	for i := range k.levels {
		if beside <= k.levels[i].transfers {
			l = &k.levels[i]
			break
		}
	}
	speed := speedOf(size, took)
	if !l.known(now) {
		l.speed = speed
	}
	l.speed += smoothing * (speed - l.speed)
	l.at = now
	k.fastest = max(k.fastest, l.speed)
}

func (l *level) known(now time.Time) bool { return l.speed > 0 && now.Before(l.at.Add(stale)) }

// limit returns the number of transfers to allow, at most most, which is what
// the store is said to move at full speed. It is what is allowed as long as
// nothing speaks against it.
func (k *knee) limit(now time.Time, most int) int {
	k.init(most)
	best := k.best(now)
	if best < 0 {
		return most
	}
	isSlow := k.isSlow(k.levels[best])
	above := k.levels[best+1:]
	switch {
	case !isSlow && !slices.ContainsFunc(above, k.isSlow):
		return most
	case isSlow && best > 0 && !k.levels[best-1].known(now):
		best--
	case len(above) > 0 && !above[0].known(now):
		best++
	}
	return k.levels[best].transfers
}

func (k *knee) isSlow(l level) bool { return l.speed > 0 && l.speed < slow*k.fastest }

// best returns the smallest measured level with enough throughput; -1 where
// none is measured.
func (k *knee) best(now time.Time) int {
	most := 0.0
	for i := range k.levels {
		if k.levels[i].known(now) {
			most = max(most, k.levels[i].throughput())
		}
	}
	for i := range k.levels {
		if k.levels[i].known(now) && k.levels[i].throughput() >= enough*most {
			return i
		}
	}
	return -1
}

func (l *level) throughput() float64 { return l.speed * float64(l.transfers) }
