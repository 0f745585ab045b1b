package deploy

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"sync/atomic"
	"time"

	"radishwell/core"
	"radishwell/io/events"
	"radishwell/io/loop"
)

const (
	// maxCrashRecords bounds the requests in an object, and the parts of prompts in it.
	maxCrashRecords = 64
	// crashWriteGap is the least time between two writes of an entry.
	crashWriteGap = 500 * time.Millisecond
)

// crashLog keeps the latest crashes in the store, for which nothing may be refused yet. Without them all
// entries would begin to count anew whenever all of them have been killed. Each entry that writes has an
// object of its own.
type crashLog struct {
	entry *entry
	// changed receives a value when there may be new crashes.
	changed chan struct{}
	// loaded is set once the store has been read, or reading it has failed.
	loaded atomic.Bool
	// stored has the objects in the store by name, as read or written in an era of it. Only run uses
	// them.
	stored map[string]core.Object
	era    uint64
}

// crashesJSON is an object in the store.
type crashesJSON struct {
	Requests []quarantineJSON `json:"requests,omitempty"`
	Parts    []quarantineJSON `json:"parts,omitempty"`
}

// run loads the objects and keeps one of them up to date until the context ends.
func (l *crashLog) run(ctx context.Context) error {
	if !loadFirst(ctx, &l.loaded, l.load) {
		return nil
	}
	for running := true; running; {
		gap, next := crashWriteGap, quarantineInterval
		wrote, err := l.update(ctx)
		if err != nil {
			events.Fail(events.DecisionFailed, err, "kind", core.KindCrashes)
			gap = recordRetryPause
			loop.Wake(l.changed)
		}
		if wrote {
			next = quarantineRecheck
		}
		if !loop.Sleep(ctx, gap) {
			return nil
		}
		_, running = loop.Wait(ctx, l.changed, next)
	}
	return nil
}

// load reads the objects and merges their records.
func (l *crashLog) load(ctx context.Context) error {
	list, err := l.entry.store.List(ctx, core.KindCrashes)
	if err != nil {
		return err
	}
	l.stored, l.era = map[string]core.Object{}, list.Version.Era()
	var records []quarantineJSON
	for _, o := range list.Objects {
		l.stored[o.Name] = o
		var object crashesJSON
		if err := json.Unmarshal(o.Spec, &object); err != nil {
			events.Fail(events.DecisionFailed, err, "kind", core.KindCrashes, "name", o.Name)
			continue
		}
		records = append(append(records, object.Requests...), object.Parts...)
	}
	l.entry.joinStored(records)
	return nil
}

// update writes this entry's object if there are other crashes than when it was last written, and reports
// whether it has.
func (l *crashLog) update(ctx context.Context) (wrote bool, err error) {
	before, _ := l.entry.members.predecessors()
	if len(before) >= quarantineWriters {
		return false, nil
	}
	if l.entry.storeEra() > l.era {
		// The restored store may lack crashes.
		if err := l.load(ctx); err != nil {
			return false, err
		}
	}
	name := "rank-" + strconv.Itoa(len(before))
	have, exists := l.stored[name]
	spec, err := l.encode()
	if err != nil {
		return false, err
	}
	if bytes.Equal(spec, have.Spec) || !exists && string(spec) == "{}" {
		return false, nil
	}
	o := core.Object{Kind: core.KindCrashes, Name: name, Version: have.Version, Spec: spec}
	if exists {
		o, err = l.entry.store.Update(ctx, o)
	} else {
		o, err = l.entry.store.Create(ctx, o)
	}
	switch {
	case isFault(err, core.Conflict) || isFault(err, core.NotFound) || isFault(err, core.Exists):
		loop.Wake(l.changed) // another entry had the same rank
		return false, l.load(ctx)
	case err != nil:
		return false, err
	}
	o.Spec = spec
	l.stored[name] = o
	return true, nil
}

// encode returns this entry's object.
func (l *crashLog) encode() ([]byte, error) {
	requests, shared := l.entry.proxy.Crashed(maxCrashRecords)
	var object crashesJSON
	for _, strikes := range requests {
		object.Requests = append(object.Requests, encodeStrikes(strikes[0].Fingerprint, strikes))
	}
	for _, r := range shared {
		object.Parts = append(object.Parts, encodePart(&r))
	}
	return json.Marshal(object)
}
