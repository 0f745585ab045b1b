package deploy

import (
	"time"

	"radishwell/core"
	"radishwell/core/parts"
	"radishwell/core/strike"
)

// quarantineJSON is what the store keeps of a request or a part of prompts that was in crashes. The object of one
// that is quarantined, suspect or refused has the fingerprint as its name, or partPrefix and the hash of the part.
type quarantineJSON struct {
	Fingerprint uint64       `json:"fingerprint,omitempty"`
	Strikes     []strikeJSON `json:"strikes,omitempty"`
	// Granted are the trials of the request at upstreams.
	Granted []grantJSON `json:"granted,omitempty"`
	Part    parts.Name  `json:"part,omitempty"`
	Crashes []crashJSON `json:"crashes,omitempty"`
	// Served is when a request with the part was last served, Answered when one was last answered whole, and
	// Tries are the grants of trials.
	Served   time.Time `json:"served,omitzero"`
	Answered time.Time `json:"answered,omitzero"`
	Tries    []tryJSON `json:"tries,omitempty"`
}

// trials returns the number of trials, granted ones and crashes in them.
func (r *quarantineJSON) trials() int {
	n := 0
	for _, s := range r.Strikes {
		n += core.CountIf(s.Trial)
	}
	for _, g := range r.Granted {
		n += int(g.Granted)
	}
	for _, c := range r.Crashes {
		n += core.CountIf(c.Trial)
	}
	return n + len(r.Tries)
}

// crashJSON is a crash of an upstream, as in parts.Crash.
type crashJSON struct {
	Upstream core.HostName `json:"upstream"`
	At       time.Time     `json:"at"`
	Trial    bool          `json:"trial,omitempty"`
	Requests int           `json:"requests,omitempty"`
	RanMS    int64         `json:"ran-ms,omitempty"`
}

// tryJSON is the grant of a trial, as in parts.Try.
type tryJSON struct {
	At   time.Time `json:"at"`
	Void bool      `json:"void,omitempty"`
}

// strikeJSON is a crash of an upstream, or the clear mark if Source is empty, as in
// strike.Record.
type strikeJSON struct {
	Source  core.HostName `json:"source"`
	Expires time.Time     `json:"expires"`
	// Trial is set if the request ran in a trial, and Late if its answer had gone on for some time.
	Trial bool `json:"trial,omitempty"`
	Late  bool `json:"late,omitempty"`
}

// grantJSON is what strike.Record has of the trials of a request at an upstream.
type grantJSON struct {
	Source  core.HostName `json:"source"`
	Expires time.Time     `json:"expires"`
	Granted uint32        `json:"granted"`
	Void    uint32        `json:"void,omitempty"`
}

// encodeStrikes returns the record of a request.
func encodeStrikes(f core.Fingerprint, strikes []strike.Record) quarantineJSON {
	record := quarantineJSON{Fingerprint: uint64(f)}
	for _, s := range strikes {
		if s.Count > 0 || s.Source == "" {
			record.Strikes = append(record.Strikes, strikeJSON{Source: s.Source, Expires: s.Expires, Trial: s.Alone > 0, Late: s.Late > 0})
		}
		if s.Granted > 0 {
			record.Granted = append(record.Granted, grantJSON{Source: s.Source, Expires: s.Expires, Granted: s.Granted, Void: s.Void})
		}
	}
	return record
}

// encodePart returns the record of a part of prompts.
func encodePart(r *parts.Record) quarantineJSON {
	record := quarantineJSON{Part: r.Part, Served: r.ServedAt}
	for _, c := range r.Crashes {
		record.Crashes = append(record.Crashes, crashJSON{Upstream: c.Upstream, At: c.At, Trial: c.Tried, Requests: c.Requests, RanMS: c.Ran.Milliseconds()})
	}
	if n := len(r.Answers); n > 0 {
		record.Answered = r.Answers[n-1].At
	}
	for _, t := range r.Tries {
		record.Tries = append(record.Tries, tryJSON(t))
	}
	return record
}

// decodeStrikes returns the strikes of the record of a request.
func (r *quarantineJSON) decodeStrikes() (out []strike.Record) {
	f := core.Fingerprint(r.Fingerprint)
	for _, s := range r.Strikes {
		out = append(out, strike.Record{
			Fingerprint: f, Source: s.Source, Count: 1,
			Alone: uint32(core.CountIf(s.Trial)), Late: uint32(core.CountIf(s.Late)), Expires: s.Expires,
		})
	}
	for _, g := range r.Granted {
		out = append(out, strike.Record{Fingerprint: f, Source: g.Source, Granted: g.Granted, Void: g.Void, Expires: g.Expires})
	}
	return out
}

// decodePart returns what the record of a part of prompts holds.
func (r *quarantineJSON) decodePart() parts.Record {
	out := parts.Record{Part: r.Part, ServedAt: r.Served}
	for _, c := range r.Crashes {
		ran := time.Duration(c.RanMS) * time.Millisecond
		out.Crashes = append(out.Crashes, parts.Crash{Upstream: c.Upstream, At: c.At, Tried: c.Trial, Requests: c.Requests, Ran: ran})
	}
	if !r.Answered.IsZero() {
		out.Answers = []parts.Answer{{At: r.Answered}}
	}
	for _, t := range r.Tries {
		out.Tries = append(out.Tries, parts.Try(t))
	}
	return out
}

// joinStored merges records of the store.
func (e *entry) joinStored(records []quarantineJSON) {
	var strikes []strike.Record
	var shared []parts.Record
	for _, r := range records {
		strikes = append(strikes, r.decodeStrikes()...)
		if r.Part != "" {
			shared = append(shared, r.decodePart())
		}
	}
	e.proxy.MergeStrikes(strikes)
	e.proxy.MergeParts(shared)
}
