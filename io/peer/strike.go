package peer

import (
	"time"

	"radishwell/core"
	"radishwell/core/strike"
	"radishwell/wire"
)

// DecodeStrikes decodes strikes.
func DecodeStrikes(list []*wire.Strike) []strike.Record {
	out := make([]strike.Record, 0, len(list))
	for _, s := range list {
		out = append(out, strike.Record{
			Fingerprint: core.Fingerprint(s.GetFingerprint()), Source: core.HostName(s.GetSource()),
			Count: s.GetCount(), Alone: s.GetAlone(), Late: s.GetLate(), Passed: s.GetPassed(),
			Granted: s.GetGranted(), Void: s.GetVoid(), Expires: time.Unix(0, s.GetExpires()),
		})
	}
	return out
}

// EncodeStrikes encodes strikes.
func EncodeStrikes(list []strike.Record) []*wire.Strike {
	out := make([]*wire.Strike, 0, len(list))
	for _, r := range list {
		out = append(out, &wire.Strike{
			Fingerprint: uint64(r.Fingerprint), Source: string(r.Source),
			Count: r.Count, Alone: r.Alone, Late: r.Late, Passed: r.Passed,
			Granted: r.Granted, Void: r.Void, Expires: r.Expires.UnixNano(),
		})
	}
	return out
}
