package resume

import (
	"time"

	"radishwell/core"
	"radishwell/core/origin"
	"radishwell/wire"
)

// maxTime bounds the time for which a record of another entry is kept.
const maxTime = 15 * time.Minute

func encode(now time.Time, r origin.Record) *wire.StreamOrigin {
	out := encodeOrigin(r.Origin)
	out.Key, out.Left = uint64(r.Key), r.Until.Sub(now).Milliseconds()
	return out
}

// decode decodes a record. Its time is relative, since clocks of hosts differ.
func decode(now time.Time, o *wire.StreamOrigin) origin.Record {
	left := time.Duration(o.GetLeft()) * time.Millisecond
	return origin.Record{Key: core.Fingerprint(o.GetKey()), Origin: decodeOrigin(o), Until: now.Add(min(left, maxTime))}
}

func encodeOrigin(o core.StreamOrigin) *wire.StreamOrigin {
	return &wire.StreamOrigin{Service: string(o.Service), Software: string(o.Software), Host: string(o.Host), Born: o.Born}
}

func decodeOrigin(o *wire.StreamOrigin) core.StreamOrigin {
	return core.StreamOrigin{
		Service: core.ServiceName(o.GetService()), Software: core.SoftwareVersion(o.GetSoftware()), Host: core.HostName(o.GetHost()), Born: o.GetBorn(),
	}
}

func decodeAll(now time.Time, in *wire.KeepCall) []origin.Record {
	out := make([]origin.Record, 0, len(in.GetOrigins()))
	for _, o := range in.GetOrigins() {
		out = append(out, decode(now, o))
	}
	return out
}

func encodeAnswer(a core.OriginAnswer) *wire.FindReply {
	out := &wire.FindReply{Versions: core.Strings(a.Versions), Recorded: a.Recorded}
	if a.Found {
		out.Origin = encodeOrigin(a.Origin)
	}
	return out
}
