package fleet

import (
	"cmp"
	"slices"
	"time"

	"radishwell/core"
	"radishwell/core/room"
)

const (
	// paceInterval is the time after which the hosts of a service are compared again.
	paceInterval = 500 * time.Millisecond
	// minPaced is the least number of hosts of known pace that give a usual pace.
	minPaced = 4
	// minSpeed bounds the speed of a host against the usual one. A host above slowSpeed counts as
	// usual: engines run models of different sizes, and one that runs a small one beside a large
	// one seems quick or slow by turns.
	minSpeed, slowSpeed = 0.3, 0.75
	// readingHalfLife is the time after which past reading counts half.
	readingHalfLife = 1500 * time.Millisecond
)

// enginePace is what is known of the pace of one incarnation of a host.
type enginePace struct {
	// pace is the reported pace. A part that has not been measured is inferred from the other
	// one, if both are known of enough hosts.
	pace core.Pace
	// speed is the rate at which the host reads prompts, as a fraction of the usual one; zero
	// if it is unknown or about the usual one.
	speed float64
	// reading is the decayed fraction of time in which the host read prompts, as of readingAt.
	reading   float64
	readingAt time.Time
}

// noteReading records whether the host was reading prompts from its last report until now.
func (p *enginePace) noteReading(until time.Time, was bool) {
	elapsed := until.Sub(p.readingAt)
	if p.readingAt.IsZero() || elapsed <= 0 {
		p.readingAt = until
		return
	}
	keep := core.Decay(elapsed, readingHalfLife)
	p.reading *= keep
	if was {
		p.reading += 1 - keep
	}
	p.readingAt = until
}

// rate returns the number of prompt tokens that the host reads in a millisecond.
func (h *Host) rate() float64 {
	if h.speed == 0 {
		return PrefillRate
	}
	return PrefillRate * h.speed
}

// Speed returns the rate at which the host reads prompts as a fraction of the usual one, zero if
// it is unknown or about the usual one.
func (h *Host) Speed() float64 { return h.speed }

// readingTime returns the time by which an event is later while the host reads prompts. It is
// inversely proportional to the rate of reading, since engines read a piece of the same size
// with each token.
func readingTime(p core.Pace) time.Duration {
	if p.Event == 0 || p.ReadingEvent == 0 {
		return 0
	}
	return max(0, p.ReadingEvent-p.Event)
}

// UsePaces sets whether the measured paces and free memory of hosts affect the choice, as they do
// in a new View.
func (v *View) UsePaces(use bool) {
	v.ignorePace = !use
	if use {
		return
	}
	for _, h := range v.hosts {
		h.pace, h.speed = core.Pace{}, 0
	}
}

// usualPace is the pace of the hosts of a service in the middle.
type usualPace struct {
	// readingTime is the time by which reading delays an event, and ratio the quotient of the
	// two gaps of a pace.
	readingTime time.Duration
	ratio       float64
}

// usualPaces returns the usual pace of each service with enough measured hosts.
func (v *View) usualPaces(now time.Time) map[core.ServiceName]usualPace {
	times, ratios := map[core.ServiceName][]time.Duration{}, map[core.ServiceName][]float64{}
	for _, h := range v.hosts {
		if t := readingTime(h.Report.Pace); t > 0 && h.IsAvailable(now) {
			times[h.Service] = append(times[h.Service], t)
			ratios[h.Service] = append(ratios[h.Service], float64(h.Report.Pace.ReadingEvent)/float64(h.Report.Pace.Event))
		}
	}
	out := map[core.ServiceName]usualPace{}
	for name, list := range times {
		if len(list) >= minPaced {
			out[name] = usualPace{readingTime: median(list), ratio: median(ratios[name])}
		}
	}
	return out
}

func median[T cmp.Ordered](list []T) T {
	slices.Sort(list)
	return list[len(list)/2]
}

// comparePaces compares the paces of each service's hosts, which yields their speeds and the
// parts of their paces that were not measured.
func (v *View) comparePaces(now time.Time) {
	if now.Before(v.comparePacesAt) || v.ignorePace {
		return
	}
	v.comparePacesAt = now.Add(paceInterval)
	usual := v.usualPaces(now)
	for _, h := range v.hosts {
		u, ok := usual[h.Service]
		h.pace, h.speed = h.Report.Pace, 0
		switch {
		case !ok:
			continue
		case h.pace.ReadingEvent == 0:
			h.pace.ReadingEvent = time.Duration(float64(h.pace.Event) * u.ratio)
		case h.pace.Event == 0:
			h.pace.Event = time.Duration(float64(h.pace.ReadingEvent) / u.ratio)
		}
		own := readingTime(h.pace)
		if speed := float64(u.readingTime) / float64(own); own > 0 && speed < slowSpeed {
			h.speed = max(minSpeed, speed)
		}
	}
}

// engine returns what the view knows of the host's engine, given its backlog.
func (h *Host) engine(backlog float64) room.Engine {
	return room.Engine{
		Pace: h.pace, Rate: h.rate(), Ahead: int(backlog * h.rate()), Streams: h.Report.Running, Reading: h.reading,
	}
}

// pauses are the pauses that sending a request to a host should cause, as in Choice.
type pauses struct{ heldUp, avoidable, own float64 }

// pauses returns the pauses that sending a request to a host should cause, which has the given
// number of its prompt tokens to process, behind the host's backlog.
func (v *View) pauses(now time.Time, h *Host, q *Query, tokens int, backlog float64) pauses {
	if q.Model == "" || q.Pause == 0 || !h.Fresh(now) || h.pace == (core.Pace{}) {
		return pauses{}
	}
	e := h.engine(backlog)
	r := room.Request{Prompt: tokens, Answer: q.Answer, Pause: q.Pause}
	out := pauses{heldUp: e.HeldUp(r), own: e.PauseChance(r)}
	if out.heldUp > 0 {
		e.Ahead = 0
		out.avoidable = max(0, out.heldUp-e.HeldUp(r))
	}
	return out
}
