package peer

import (
	"time"

	"radishwell/core"
	"radishwell/wire"
)

// EncodePace encodes the pace of an engine; nil if it is unknown.
func EncodePace(p core.Pace) *wire.EnginePace {
	if p == (core.Pace{}) {
		return nil
	}
	return &wire.EnginePace{
		Event: uint32(p.Event.Microseconds()), ReadingEvent: uint32(p.ReadingEvent.Microseconds()), EventTokens: uint32(p.EventTokens),
	}
}

// DecodePace decodes the pace of an engine.
func DecodePace(p *wire.EnginePace) core.Pace {
	micros := func(n uint32) time.Duration { return time.Duration(n) * time.Microsecond }
	return core.Pace{Event: micros(p.GetEvent()), ReadingEvent: micros(p.GetReadingEvent()), EventTokens: int(p.GetEventTokens())}
}
