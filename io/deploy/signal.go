package deploy

import (
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/io/peer"
)

// shareSignals has this entry and the others tell each other what upstreams say of
// themselves in answers. One that sends an upstream little hears of it late, and what all
// entries send counts there.
func (e *entry) shareSignals() {
	e.proxy.OnRateLimit, e.proxy.OnLeaving = e.spreadLimit, e.spreadLeaving
	e.state.Marked = e.takeMarks
	e.meter.LimitedUpstreams(e.proxy.LimitedHosts)
}

// spreadLimit tells other entries of the rate limit that an upstream names.
func (e *entry) spreadLimit(life fleet.Life, limit core.RateLimit) {
	e.state.Mark(peer.Mark{
		Host: life.ID, Incarnation: core.Incarnation(life.Born), Kind: peer.MarkLimited, Rate: limit.Rate,
		Expires: e.clock.Now().Add(fleet.LimitAge),
	})
}

// spreadLeaving tells other entries of an upstream that leaves.
func (e *entry) spreadLeaving(life fleet.Life) {
	e.state.Mark(peer.Mark{
		Host: life.ID, Incarnation: core.Incarnation(life.Born), Kind: peer.MarkLeaving,
		Expires: e.clock.Now().Add(fleet.LeaveAge),
	})
}

// takeMarks takes in what other entries have heard.
func (e *entry) takeMarks(marks []peer.Mark) {
	e.proxy.Update(func(v *fleet.View, now time.Time) {
		for _, m := range marks {
			life := fleet.Life{ID: m.Host, Born: int64(m.Incarnation)}
			switch m.Kind {
			case peer.MarkLimited:
				v.NoteLimit(life, now, now, core.RateLimit{Limited: m.Rate > 0, Rate: m.Rate})
			case peer.MarkLeaving:
				v.NoteLeaving(life, now)
			}
		}
	})
}
