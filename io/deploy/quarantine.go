package deploy

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"radishwell/core"
	"radishwell/core/parts"
	"radishwell/core/strike"
	"radishwell/io/events"
	"radishwell/io/loop"
)

const (
	// quarantineWriters is the number of entries that write to the store which requests are
	// quarantined. Several do, since one may not reach the store.
	quarantineWriters = 3
	// quarantineInterval is the interval at which expired records are looked for, and
	// quarantineRecheck the time after a change at which records are looked at once more: whether
	// a crash in a trial is proof is known a little later.
	quarantineInterval = time.Minute
	quarantineRecheck  = 2 * time.Second
)

// quarantine keeps the requests and the parts of prompts that crash upstreams in the store.
// Entries tell each other of crashes, so the records are read only when an entry starts: without
// them, each such request would crash upstreams again after all entries have been killed.
type quarantine struct {
	entry *entry
	// changed receives a value when there may be new quarantined requests.
	changed chan struct{}
	// loaded is set once the store has been read, or reading it has failed.
	loaded atomic.Bool
	// stored has the records in the store by name, as read in an era of it. Only run uses them.
	stored map[string]storedRecord
	era    uint64
}

// storedRecord is the version of a record in the store, and the number of trials that it has, granted
// ones and crashes in them.
type storedRecord struct {
	version core.Version
	trials  int
}

// quarantineJSON is the record of a request that is quarantined or suspect, whose name is its
// fingerprint, or of a refused part of prompts, whose name is partPrefix and the hash of the part.
type quarantineJSON struct {
	Fingerprint uint64       `json:"fingerprint,omitempty"`
	Strikes     []strikeJSON `json:"strikes,omitempty"`
	Part        parts.Name   `json:"part,omitempty"`
	Crashes     []crashJSON  `json:"crashes,omitempty"`
	// Served is when a request with the part was last served, Answered when one was last answered whole, and
	// Tries are the grants of trials.
	Served   time.Time `json:"served,omitzero"`
	Answered time.Time `json:"answered,omitzero"`
	Tries    []tryJSON `json:"tries,omitempty"`
}

// encodeStrikes returns the record of a request.
func encodeStrikes(f core.Fingerprint, strikes []strike.Record) quarantineJSON {
	record := quarantineJSON{Fingerprint: uint64(f)}
	for _, s := range strikes {
		record.Strikes = append(record.Strikes, strikeJSON{Source: s.Source, Expires: s.Expires, Trial: s.Alone > 0, Late: s.Late > 0})
	}
	return record
}

// encodePart returns the record of a part of prompts.
func encodePart(r *parts.Record) quarantineJSON {
	record := quarantineJSON{Part: r.Part, Served: r.ServedAt}
	for _, c := range r.Crashes {
		record.Crashes = append(record.Crashes, crashJSON{Upstream: c.Upstream, At: c.At, Trial: c.Tried, Requests: c.Requests, RanMS: c.Ran.Milliseconds()})
	}
	for _, a := range r.Answers {
		record.Answered = a.At
	}
	for _, t := range r.Tries {
		record.Tries = append(record.Tries, tryJSON(t))
	}
	return record
}

// trials returns the number of trials, granted ones and crashes in them.
func (r *quarantineJSON) trials() int {
	n := 0
	for _, s := range r.Strikes {
		n += core.CountIf(s.Trial)
	}
	for _, c := range r.Crashes {
		n += core.CountIf(c.Trial)
	}
	return n + len(r.Tries)
}

// partPrefix begins the names of the records of parts.
const partPrefix = "part-"

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

// run loads the records and keeps them up to date until the context ends.
func (q *quarantine) run(ctx context.Context) error {
	for {
		err := q.load(ctx)
		q.loaded.Store(true)
		if err == nil {
			break
		}
		if !loop.Sleep(ctx, maxStoreRetry) {
			return nil
		}
	}
	changed := false
	for {
		pause := quarantineInterval
		if changed {
			pause = quarantineRecheck
		}
		if !q.update(ctx) {
			pause = recordRetryPause
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-q.changed:
			changed = true
		case <-timer.C:
			changed = false
		}
		timer.Stop()
	}
}

// load reads the records and merges their strikes.
func (q *quarantine) load(ctx context.Context) error {
	list, err := q.entry.store.List(ctx, core.KindQuarantine)
	if err != nil {
		return err
	}
	q.stored, q.era = map[string]storedRecord{}, list.Version.Era()
	for _, o := range list.Objects {
		var record quarantineJSON
		if err := json.Unmarshal(o.Spec, &record); err != nil {
			events.Fail(events.DecisionFailed, err, "kind", core.KindQuarantine, "name", o.Name)
			continue
		}
		q.stored[o.Name] = storedRecord{o.Version, record.trials()}
		q.entry.joinStored(&record)
	}
	return nil
}

// joinStored merges a record of the store.
func (e *entry) joinStored(record *quarantineJSON) {
	f := core.Fingerprint(record.Fingerprint)
	strikes := make([]strike.Record, 0, len(record.Strikes))
	for _, s := range record.Strikes {
		strikes = append(strikes, strike.Record{
			Fingerprint: f, Source: s.Source, Count: 1, Alone: uint32(core.CountIf(s.Trial)), Late: uint32(core.CountIf(s.Late)), Expires: s.Expires,
		})
	}
	e.proxy.MergeStrikes(strikes)
	if record.Part == "" {
		return
	}
	part := parts.Record{Part: record.Part, ServedAt: record.Served}
	for _, c := range record.Crashes {
		ran := time.Duration(c.RanMS) * time.Millisecond
		part.Crashes = append(part.Crashes, parts.Crash{Upstream: c.Upstream, At: c.At, Tried: c.Trial, Requests: c.Requests, Ran: ran})
	}
	if !record.Answered.IsZero() {
		part.Answers = []parts.Answer{{At: record.Answered}}
	}
	for _, t := range record.Tries {
		part.Tries = append(part.Tries, parts.Try(t))
	}
	e.proxy.MergeParts([]parts.Record{part})
}

// wanted returns the records that the store should have, by name.
func (q *quarantine) wanted() map[string]quarantineJSON {
	out := map[string]quarantineJSON{}
	for f, strikes := range q.entry.proxy.Restricted() {
		out[f.String()] = encodeStrikes(f, strikes)
	}
	for _, r := range q.entry.proxy.RefusedParts() {
		out[partPrefix+core.FingerprintOf([]byte(r.Part)).String()] = encodePart(&r)
	}
	return out
}

// update writes the records that the store lacks and deletes those that no longer apply. It
// reports whether all calls succeeded.
func (q *quarantine) update(ctx context.Context) bool {
	if before, _ := q.entry.members.predecessors(); len(before) >= quarantineWriters {
		return true
	}
	if q.entry.storeEra() > q.era {
		// The restored store may lack records.
		if err := q.load(ctx); err != nil {
			events.Fail(events.PlatformUnreachable, err, "kind", core.KindQuarantine)
			return false
		}
	}
	ok := true
	wanted := q.wanted()
	for name, record := range wanted {
		have, exists := q.stored[name]
		trials := record.trials()
		if exists && trials <= have.trials {
			continue
		}
		spec, err := json.Marshal(record)
		if err != nil {
			events.Fail(events.DecisionFailed, err, "kind", core.KindQuarantine)
			continue // a retry would fail as well
		}
		o := core.Object{Kind: core.KindQuarantine, Name: name, Version: have.version, Spec: spec}
		if exists {
			ok = q.replace(ctx, o, trials) && ok
		} else {
			ok = q.create(ctx, o, trials) && ok
		}
	}
	for name, have := range q.stored {
		if _, exists := wanted[name]; !exists {
			ok = q.remove(ctx, name, have.version) && ok
		}
	}
	return ok
}

// replace writes a record that has further crashes in trials: without them, each restart of all
// entries would cost further trials.
func (q *quarantine) replace(ctx context.Context, o core.Object, trials int) bool {
	made, err := q.entry.store.Update(ctx, o)
	switch {
	case isFault(err, core.Conflict) || isFault(err, core.NotFound):
		delete(q.stored, o.Name) // another entry has written it
		return false
	case err != nil:
		events.Fail(events.DecisionFailed, err, "kind", core.KindQuarantine)
		return false
	}
	q.stored[o.Name] = storedRecord{made.Version, trials}
	return true
}

// create writes a record, unless another entry has written it.
func (q *quarantine) create(ctx context.Context, o core.Object, trials int) bool {
	made, err := q.entry.store.Create(ctx, o)
	if isFault(err, core.Exists) {
		made, err = q.entry.store.Get(ctx, core.KindQuarantine, o.Name)
		var have quarantineJSON
		trials = 0
		if err == nil && json.Unmarshal(made.Spec, &have) == nil {
			trials = have.trials()
		}
	}
	if err != nil {
		events.Fail(events.DecisionFailed, err, "kind", core.KindQuarantine)
		return false
	}
	q.stored[o.Name] = storedRecord{made.Version, trials}
	return true
}

func (q *quarantine) remove(ctx context.Context, name string, version core.Version) bool {
	err := q.entry.store.Delete(ctx, core.KindQuarantine, name, version)
	if err != nil && !isFault(err, core.NotFound) && !isFault(err, core.Conflict) {
		events.Fail(events.DecisionFailed, err, "kind", core.KindQuarantine)
		return false
	}
	delete(q.stored, name)
	return true
}
