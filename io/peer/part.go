package peer

import (
	"time"

	"radishwell/core"
	"radishwell/core/parts"
	"radishwell/wire"
)

// DecodeParts decodes records of parts of prompts.
func DecodeParts(list []*wire.PartRecord) []parts.Record {
	out := make([]parts.Record, 0, len(list))
	for _, in := range list {
		r := parts.Record{Part: parts.Name(in.GetPart())}
		if at := in.GetServedAt(); at != 0 {
			r.ServedAt = time.Unix(0, at)
		}
		for _, c := range in.GetCrashes() {
			r.Crashes = append(r.Crashes, parts.Crash{
				Upstream: core.HostName(c.GetUpstream()), At: time.Unix(0, c.GetAt()), Tried: c.GetTried(),
				Requests: int(c.GetRequests()), Ran: max(0, time.Duration(c.GetRan())),
			})
		}
		for _, a := range in.GetAnswers() {
			r.Answers = append(r.Answers, parts.Answer{At: time.Unix(0, a.GetAt()), Tried: a.GetTried()})
		}
		for _, t := range in.GetTries() {
			r.Tries = append(r.Tries, parts.Try{At: time.Unix(0, t.GetAt()), Void: t.GetVoid()})
		}
		out = append(out, r)
	}
	return out
}

// EncodeParts encodes records of parts of prompts.
func EncodeParts(list []parts.Record) []*wire.PartRecord {
	out := make([]*wire.PartRecord, 0, len(list))
	for _, r := range list {
		in := &wire.PartRecord{Part: string(r.Part)}
		if !r.ServedAt.IsZero() {
			in.ServedAt = r.ServedAt.UnixNano()
		}
		for _, c := range r.Crashes {
			in.Crashes = append(in.Crashes, &wire.PartCrash{
				Upstream: string(c.Upstream), At: c.At.UnixNano(), Tried: c.Tried, Requests: uint32(c.Requests), Ran: int64(c.Ran),
			})
		}
		for _, a := range r.Answers {
			in.Answers = append(in.Answers, &wire.PartAnswer{At: a.At.UnixNano(), Tried: a.Tried})
		}
		for _, t := range r.Tries {
			in.Tries = append(in.Tries, &wire.PartTry{At: t.At.UnixNano(), Void: t.Void})
		}
		out = append(out, in)
	}
	return out
}
