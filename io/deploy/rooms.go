package deploy

import (
	"context"
	"time"

	"radishwell/core"
	"radishwell/io/events"
	"radishwell/wire"
)

// rooms implements core.Rooms by calls to the hosts' agents.
type rooms struct{ links *links }

// Ask implements core.Rooms. It reports false at once if the host has no agent.
func (r rooms) Ask(ctx context.Context, host core.HostName, ask core.RoomAsk) bool {
	l := r.links
	h, _, ok := l.host(host)
	deadline, bounded := ctx.Deadline()
	if !ok || !bounded {
		return false
	}
	to, upstream := l.target(h.Address, h.DataCentre)
	if upstream != nil {
		return false // an entry orders the engine, whose reports it has too late
	}
	reply, err := l.entry.client.Room(ctx, to, &wire.RoomCall{
		Instance: string(host), Rank: uint32(max(0, ask.Rank)), Customer: string(ask.Customer), Tokens: uint32(max(0, ask.Tokens)),
		Reading: int64(ask.Reading), Ahead: int64(ask.Ahead), Wait: int64(time.Until(deadline) - roomMargin),
	})
	if err != nil {
		if ctx.Err() == nil {
			events.Fail(events.PeerUnreachable, err, "address", h.Address)
		}
		return false
	}
	return reply.GetGranted()
}

// roomMargin is the part of a call's time that is left for the reply.
const roomMargin = 50 * time.Millisecond

var _ core.Rooms = rooms{}
