package deploy

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/origin"
	"radishwell/io/events"
	"radishwell/io/loop"
)

const (
	// originObjects is the number of objects in which an entry keeps records, and originSpan how
	// long it gathers records in one: longer together than streams that callers take up last.
	originObjects = 12
	originSpan    = 4 * time.Second
	// maxOriginRecords bounds the records in one object, below the size that the store takes also where
	// hosts state no versions.
	maxOriginRecords = 1 << 13
	// originWriteGap is the least time between two writes of an entry, and originReadGap that between
	// two reads.
	originWriteGap = 500 * time.Millisecond
	originReadGap  = 500 * time.Millisecond
	// originReadWait bounds the time for which a caller waits for a read, and originReadTimeout that of a
	// read: after a loss of a large fleet all entries read at once. originWriteTimeout bounds a write.
	originReadWait     = 300 * time.Millisecond
	originReadTimeout  = 10 * time.Second
	originWriteTimeout = time.Second
	// originSweepInterval is the interval at which one entry looks for objects that nobody has written
	// since the last time, as those of entries that have left.
	originSweepInterval = 15 * time.Minute
)

// originLog keeps in the store where streams began while their service has several software versions,
// so that the streams go on after all entries and agents have ended. A few entries write, for all.
type originLog struct {
	entry *entry
	// wake receives a value when records wait, and asked when a read is wanted.
	wake, asked chan struct{}

	mu  sync.Mutex
	log origin.Log
	// loaded is set once the versions of this entry's objects are known.
	loaded bool
	// reads are callers that wait for the next read. reading is when the read in progress began, zero if there is
	// none, and readAt when the last that succeeded did.
	reads           []chan bool
	reading, readAt time.Time
	// retryAt is when the store is read again after a read has failed.
	retryAt time.Time
	// found are the origins in the store as of the last read, nil for a stream to which its records ascribe
	// several.
	found map[core.Fingerprint]*core.StreamOrigin
}

var _ core.SavedOrigins = (*originLog)(nil)

// originsJSON is an object in the store.
type originsJSON struct {
	Origins []originJSON `json:"origins"`
}

// originJSON is where some streams began. Host and Born are those of a host whose version is not known.
type originJSON struct {
	Service  core.ServiceName     `json:"service"`
	Software core.SoftwareVersion `json:"software,omitempty"`
	Host     core.HostName        `json:"host,omitempty"`
	Born     int64                `json:"born,omitempty"`
	// Keys are those of the streams, eight bytes each.
	Keys []byte `json:"keys"`
}

// encodeOrigins encodes records by their origins.
func encodeOrigins(records []origin.Record) originsJSON {
	var out originsJSON
	places := map[core.StreamOrigin]int{}
	for _, r := range records {
		o := r.Origin
		if o.Software != "" {
			o.Host, o.Born = "", 0
		}
		place, ok := places[o]
		if !ok {
			place = len(out.Origins)
			places[o] = place
			out.Origins = append(out.Origins, originJSON{Service: o.Service, Software: o.Software, Host: o.Host, Born: o.Born})
		}
		out.Origins[place].Keys = binary.BigEndian.AppendUint64(out.Origins[place].Keys, uint64(r.Key))
	}
	return out
}

// decodeOrigins adds the origins of an object to a map.
func decodeOrigins(spec []byte, to map[core.Fingerprint]*core.StreamOrigin) error {
	var object originsJSON
	if err := json.Unmarshal(spec, &object); err != nil {
		return err
	}
	for _, o := range object.Origins {
		began := &core.StreamOrigin{Service: o.Service, Software: o.Software, Host: o.Host, Born: o.Born}
		for key := range slices.Chunk(o.Keys, 8) {
			if len(key) == 8 {
				addOrigin(to, core.Fingerprint(binary.BigEndian.Uint64(key)), began)
			}
		}
	}
	return nil
}

// addOrigin adds the origin of a stream. One that contradicts another makes both useless: a request ID was
// used twice.
func addOrigin(to map[core.Fingerprint]*core.StreamOrigin, key core.Fingerprint, began *core.StreamOrigin) {
	if other, ok := to[key]; ok && (other == nil || *other != *began) {
		began = nil
	}
	to[key] = began
}

// newOriginLog returns an entry's log of where streams began.
func newOriginLog(e *entry) *originLog {
	return &originLog{
		entry: e, wake: make(chan struct{}, 1), asked: make(chan struct{}, 1),
		log: origin.Log{Objects: originObjects, Span: originSpan, MaxRecords: maxOriginRecords},
	}
}

// save has records saved soon if this entry is one of those that do so.
func (l *originLog) save(records []origin.Record) {
	if len(records) == 0 || !slices.Contains(l.writers(), l.entry.members.self.Name) {
		return
	}
	l.mu.Lock()
	l.log.Add(l.entry.clock.Now(), records)
	l.mu.Unlock()
	loop.Wake(l.wake)
}

// writers returns the entries that write.
func (l *originLog) writers() []core.HostName {
	names := []core.HostName{l.entry.members.self.Name}
	for _, m := range l.entry.members.all() {
		names = append(names, m.Name)
	}
	return origin.Writers(names)
}

// Find implements core.SavedOrigins.
func (l *originLog) Find(ctx context.Context, attempt core.RequestID) core.OriginAnswer {
	key := origin.KeyOf(attempt)
	if o, ok := l.find(key); ok {
		return core.OriginAnswer{Origin: o, Found: true, Complete: true}
	}
	read := l.awaitRead(ctx)
	o, ok := l.find(key)
	return core.OriginAnswer{Origin: o, Found: ok, Complete: read}
}

func (l *originLog) find(key core.Fingerprint) (core.StreamOrigin, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.found[key]; o != nil {
		return *o, true
	}
	return core.StreamOrigin{}, false
}

// awaitRead waits until the store has been read, or reading it has failed, and reports whether it
// was. It returns at once if it has just been read, and false at once while that fails or takes long.
func (l *originLog) awaitRead(ctx context.Context) bool {
	done := make(chan bool, 1)
	l.mu.Lock()
	now := l.entry.clock.Now()
	fresh := !l.readAt.IsZero() && now.Sub(l.readAt) < originReadGap
	failing := now.Before(l.retryAt) || !l.reading.IsZero() && now.Sub(l.reading) >= originReadWait
	if !fresh && !failing {
		l.reads = append(l.reads, done)
	}
	l.mu.Unlock()
	if fresh || failing {
		return fresh
	}
	loop.Wake(l.asked)
	timer := time.NewTimer(originReadWait)
	defer timer.Stop()
	select {
	case ok := <-done:
		return ok
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// runReads reads the store whenever callers wait for that, until the context ends.
func (l *originLog) runReads(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.asked:
		}
		if !l.readWanted() {
			continue
		}
		_, ok := l.read(ctx)
		l.mu.Lock()
		reads := l.reads
		l.reads = nil
		l.mu.Unlock()
		for _, done := range reads {
			done <- ok
		}
		if !loop.Sleep(ctx, originReadGap) {
			return nil
		}
	}
}

func (l *originLog) readWanted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.reads) > 0
}

// read reads the records of all entries, and returns the objects; false if that failed.
func (l *originLog) read(ctx context.Context) ([]core.Object, bool) {
	ctx, stop := context.WithTimeout(ctx, originReadTimeout)
	defer stop()
	began := l.beginRead()
	list, err := l.entry.store.List(ctx, core.KindOrigins)
	if err != nil {
		events.Fail(events.PlatformUnreachable, err, "kind", core.KindOrigins)
		l.endRead(time.Time{})
		return nil, false
	}
	found := map[core.Fingerprint]*core.StreamOrigin{}
	own := map[int]core.Version{}
	for _, o := range list.Objects {
		if err := decodeOrigins(o.Spec, found); err != nil {
			events.Fail(events.DecisionFailed, err, "kind", core.KindOrigins, "name", o.Name)
		}
		if place, ok := l.place(o.Name); ok {
			own[place] = o.Version
		}
	}
	l.mu.Lock()
	l.found = found
	if !l.loaded {
		l.log.Load(own)
		l.loaded = true
	}
	l.mu.Unlock()
	l.endRead(began)
	return list.Objects, true
}

// beginRead records that a read begins, and returns when.
func (l *originLog) beginRead() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reading = l.entry.clock.Now()
	return l.reading
}

// endRead records that the read in progress has ended. began is when it began, zero if it has failed: the
// store is then not read again at once.
func (l *originLog) endRead(began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reading, l.readAt = time.Time{}, began
	if began.IsZero() {
		l.retryAt = l.entry.clock.Now().Add(softwareBackoff)
	}
}

// name returns the name of this entry's object at a place in the log, and place is its inverse.
func (l *originLog) name(place int) string {
	return string(l.entry.members.self.Name) + "-" + strconv.Itoa(place)
}

func (l *originLog) place(name string) (int, bool) {
	text, ok := strings.CutPrefix(name, string(l.entry.members.self.Name)+"-")
	place, err := strconv.Atoi(text)
	return place, ok && err == nil
}

// runWrites writes records until the context ends.
func (l *originLog) runWrites(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.wake:
		}
		for l.waits() {
			l.mu.Lock()
			loaded := l.loaded
			l.mu.Unlock()
			pause := originWriteGap
			if !loaded {
				_, loaded = l.read(ctx)
			}
			if !loaded || !l.write(ctx) {
				pause = softwareBackoff
			}
			if !loop.Sleep(ctx, pause) {
				return nil
			}
		}
	}
}

func (l *originLog) waits() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.log.Waits()
}

// write writes the records that wait, and reports whether it succeeded.
func (l *originLog) write(ctx context.Context) bool {
	l.mu.Lock()
	place, version, records, ok := l.log.Next(l.entry.clock.Now())
	l.mu.Unlock()
	if !ok {
		return true
	}
	spec, err := json.Marshal(encodeOrigins(records))
	if err != nil {
		events.Fail(events.DecisionFailed, err, "kind", core.KindOrigins)
		return false
	}
	o := core.Object{Kind: core.KindOrigins, Name: l.name(place), Version: version, Spec: spec}
	ctx, stop := context.WithTimeout(ctx, originWriteTimeout)
	defer stop()
	if version == 0 {
		o, err = l.entry.store.Create(ctx, o)
	} else {
		o, err = l.entry.store.Update(ctx, o)
	}
	if err == nil {
		events.Log(events.OriginsSaved, "object", l.name(place), "records", len(records))
		l.mu.Lock()
		defer l.mu.Unlock()
		l.log.Written(o.Version)
		return true
	}
	if version, err = l.actualVersion(ctx, l.name(place), version, err); err != nil {
		events.Fail(events.PlatformUnreachable, err, "kind", core.KindOrigins)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log.Failed(version)
	return err == nil
}

// actualVersion returns the version of an object after a write of it has failed, or the error if that
// is not known. An earlier write whose response was lost may have been carried out, and another
// entry may have deleted the object.
func (l *originLog) actualVersion(ctx context.Context, name string, version core.Version, cause error) (core.Version, error) {
	switch {
	case isFault(cause, core.NotFound):
		return 0, nil
	case !isFault(cause, core.Conflict) && !isFault(cause, core.Exists):
		return version, cause
	}
	o, err := l.entry.store.Get(ctx, core.KindOrigins, name)
	switch {
	case isFault(err, core.NotFound):
		return 0, nil
	case err != nil:
		return version, err
	}
	return o.Version, nil
}

// runSweeps deletes the objects that are no longer written until the context ends.
func (l *originLog) runSweeps(ctx context.Context) error {
	before := map[string]core.Version{}
	for loop.Sleep(ctx, originSweepInterval) {
		if writers := l.writers(); writers[0] == l.entry.members.self.Name {
			before = l.sweep(ctx, before)
		}
	}
	return nil
}

// sweep deletes the objects that have had the same versions before, and returns the versions of all.
func (l *originLog) sweep(ctx context.Context, before map[string]core.Version) map[string]core.Version {
	objects, ok := l.read(ctx)
	if !ok {
		return before
	}
	now := map[string]core.Version{}
	for _, o := range objects {
		if now[o.Name] = o.Version; before[o.Name] == o.Version {
			l.remove(ctx, o)
		}
	}
	return now
}

func (l *originLog) remove(ctx context.Context, o core.Object) {
	ctx, stop := context.WithTimeout(ctx, originWriteTimeout)
	defer stop()
	if err := l.entry.store.Delete(ctx, core.KindOrigins, o.Name, o.Version); err != nil && !isFault(err, core.NotFound) && !isFault(err, core.Conflict) {
		events.Fail(events.PlatformUnreachable, err, "kind", core.KindOrigins, "name", o.Name)
	}
}
