package deploy

import (
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/io/loop"
	"radishwell/io/peer"
	"radishwell/wire"
)

// shareSignals sets up the exchange between entries of rate limits and announcements of
// leaving in upstreams' responses, and of strikes against requests and parts of prompts. An entry
// with few requests for an upstream would learn of them late, and the limits apply to the requests
// of all entries together.
func (e *entry) shareSignals() {
	e.proxy.OnRateLimit, e.proxy.OnLeaving = e.broadcastLimit, e.broadcastLeaving
	e.proxy.OnStrikes = e.broadcastStrikes
	e.state.Strikes = peer.Gossip[*wire.Strike]{Next: e.nextStrikes, Join: e.joinStrikes}
	e.state.Parts = peer.Gossip[*wire.PartRecord]{Next: e.nextParts, Join: e.joinParts}
	e.state.OnMarks = e.applyMarks
	e.meter.LimitedUpstreams(e.proxy.LimitedHosts)
	e.meter.RefusedParts(func() int { return len(e.proxy.RefusedParts()) })
}

// broadcastLimit sends the rate limit that an upstream stated to other entries.
func (e *entry) broadcastLimit(inc fleet.Incarnation, limit core.RateLimit) {
	e.state.Mark(peer.Mark{
		Host: inc.ID, Incarnation: core.Incarnation(inc.Born), Kind: peer.MarkLimited, Rate: limit.Rate,
		Expires: e.clock.Now().Add(fleet.LimitTTL),
	})
}

// broadcastLeaving notifies other entries that an upstream is leaving.
func (e *entry) broadcastLeaving(inc fleet.Incarnation) {
	e.state.Mark(peer.Mark{
		Host: inc.ID, Incarnation: core.Incarnation(inc.Born), Kind: peer.MarkLeaving,
		Expires: e.clock.Now().Add(fleet.LeavingTTL),
	})
}

// broadcastStrikes sends this entry's new strikes to other entries.
func (e *entry) broadcastStrikes() {
	e.state.SyncNow()
	e.wakeQuarantine()
}

// wakeQuarantine has the records of crashes and of what they restrict written to the store.
func (e *entry) wakeQuarantine() {
	loop.Wake(e.quarantine.changed)
	loop.Wake(e.crashes.changed)
}

// nextStrikes returns the strikes for the next message to another entry, and nextParts the records
// of parts of prompts.
func (e *entry) nextStrikes() []*wire.Strike { return peer.EncodeStrikes(e.proxy.Strikes()) }

func (e *entry) nextParts() []*wire.PartRecord { return peer.EncodeParts(e.proxy.Parts()) }

// joinStrikes applies the strikes that another entry sent, and reports whether any was new.
func (e *entry) joinStrikes(list []*wire.Strike) bool {
	if !e.proxy.MergeStrikes(peer.DecodeStrikes(list)) {
		return false
	}
	e.wakeQuarantine()
	return true
}

// joinParts applies the records of parts of prompts that another entry sent, and reports whether
// any was new.
func (e *entry) joinParts(list []*wire.PartRecord) bool {
	if !e.proxy.MergeParts(peer.DecodeParts(list)) {
		return false
	}
	e.wakeQuarantine()
	return true
}

// applyMarks applies the signals that other entries sent.
func (e *entry) applyMarks(marks []peer.Mark) {
	e.proxy.Update(func(v *fleet.View, now time.Time) {
		for _, m := range marks {
			inc := fleet.Incarnation{ID: m.Host, Born: int64(m.Incarnation)}
			switch m.Kind {
			case peer.MarkLimited:
				v.NoteLimit(inc, now, now, core.RateLimit{Limited: m.Rate > 0, Rate: m.Rate})
			case peer.MarkLeaving:
				v.NoteLeaving(inc, now)
			}
		}
	})
}
