package deploy

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"radishwell/core"
	"radishwell/io/events"
	"radishwell/io/loop"
)

const (
	// quarantineWriters is the number of entries that write to the store which requests are
	// quarantined, and the latest crashes. Several do, since one may not reach the store.
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

// partPrefix begins the names of the records of parts.
const partPrefix = "part-"

// storedRecord is the version of a record in the store, and the number of trials that it has, granted
// ones and crashes in them.
type storedRecord struct {
	version core.Version
	trials  int
}

// run loads the records and keeps them up to date until the context ends.
func (q *quarantine) run(ctx context.Context) error {
	if !loadFirst(ctx, &q.loaded, q.load) {
		return nil
	}
	for changed, running := false, true; running; {
		pause := quarantineInterval
		if changed {
			pause = quarantineRecheck
		}
		if !q.update(ctx) {
			pause = recordRetryPause
		}
		changed, running = loop.Wait(ctx, q.changed, pause)
	}
	return nil
}

// loadFirst loads records until that succeeds, and reports whether it has before the context ended. loaded is
// set after the first attempt: entries do not wait for a store that cannot be read.
func loadFirst(ctx context.Context, loaded *atomic.Bool, load func(context.Context) error) bool {
	for {
		err := load(ctx)
		loaded.Store(true)
		if err == nil {
			return true
		}
		if !loop.Sleep(ctx, maxStoreRetry) {
			return false
		}
	}
}

// load reads the records and merges their strikes.
func (q *quarantine) load(ctx context.Context) error {
	list, err := q.entry.store.List(ctx, core.KindQuarantine)
	if err != nil {
		return err
	}
	q.stored, q.era = map[string]storedRecord{}, list.Version.Era()
	var records []quarantineJSON
	for _, o := range list.Objects {
		var record quarantineJSON
		if err := json.Unmarshal(o.Spec, &record); err != nil {
			events.Fail(events.DecisionFailed, err, "kind", core.KindQuarantine, "name", o.Name)
			continue
		}
		q.stored[o.Name] = storedRecord{o.Version, record.trials()}
		records = append(records, record)
	}
	q.entry.joinStored(records)
	return nil
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
