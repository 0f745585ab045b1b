package deploy

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/io/events"
	"radishwell/io/loop"
)

const (
	// softwareObject is the name of the object with the record.
	softwareObject = "versions"
	// softwareTimeout bounds a read and a write of the record. The callers of streams wait for it.
	softwareTimeout = 250 * time.Millisecond
	// softwareGap is the least mean time between two reads of the record, of which softwareBurst may
	// come at once, so that the entries of a large fleet do not use up the store's calls when all
	// streams are resumed.
	softwareGap   = 200 * time.Millisecond
	softwareBurst = 5
	// softwareInterval is the interval at which versions are looked for that the record needs no more.
	softwareInterval = 5 * time.Second
	// softwareWriters is the number of entries that remove versions from the record.
	softwareWriters = 3
	// softwareBackoff is how long nobody waits for the record after a call for it has failed.
	softwareBackoff = time.Second
	// maxStandstill is the longest time for which this process may stand still without reading the record
	// again, and standstillInterval the interval at which it notes that it runs. Hosts of versions that
	// it does not know may have come and gone meanwhile.
	maxStandstill      = time.Second
	standstillInterval = 200 * time.Millisecond
)

// software keeps in the store at which software versions streams may have begun. A version is in the
// record before the first event of a stream from there reaches its caller, so an entry that starts
// after all others have ended learns of versions that have gone meanwhile.
type software struct {
	entry  *entry
	loaded atomic.Bool
	// asked is the requests for the next read. A value is sent on wake when there is one.
	wake  chan struct{}
	mu    sync.Mutex
	asked []*softwareCall
	// retryAt is when the record is read again after a call has failed.
	retryAt time.Time
	// ranAt is when this process last noted that it runs, and standstills counts how often it has stood
	// still for longer than maxStandstill.
	ranAt       time.Time
	standstills int
	// record and version are the object as last read, zero if there is none; damaged is set if it
	// could not be decoded. Only run uses them.
	record  softwareJSON
	version core.Version
	damaged bool
	// era is the highest era of the store in which the record was found to have all versions in service,
	// and hasRead is set once it was read at all. Only run uses them.
	era     uint64
	hasRead bool
}

var _ core.SoftwareRecord = (*software)(nil)

// softwareJSON is the record in the store.
type softwareJSON struct {
	// Services has the versions of each service, sorted.
	Services map[core.ServiceName][]core.SoftwareVersion `json:"services"`
}

// softwareCall is a request for a read of the record. add is set if it has to have a version.
type softwareCall struct {
	add  *fleet.Software
	done chan bool
}

// list returns the versions in the record.
func (r softwareJSON) list() (out []fleet.Software) {
	for service, versions := range r.Services {
		for _, v := range versions {
			out = append(out, fleet.Software{Service: service, Version: v})
		}
	}
	return out
}

// encodeSoftware returns the record of some versions.
func encodeSoftware(list []fleet.Software) softwareJSON {
	out := softwareJSON{Services: map[core.ServiceName][]core.SoftwareVersion{}}
	slices.SortFunc(list, func(a, b fleet.Software) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	for _, s := range slices.Compact(list) {
		out.Services[s.Service] = append(out.Services[s.Service], s.Version)
	}
	return out
}

// Loaded implements core.SoftwareRecord.
func (s *software) Loaded() bool {
	s.noteRuns()
	return s.loaded.Load()
}

// noteRuns notes that this process runs, and returns how often it has stood still. The record counts as
// not read after that.
func (s *software) noteRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.entry.clock.Now()
	if !s.ranAt.IsZero() && now.Sub(s.ranAt) > maxStandstill {
		s.standstills++
		s.loaded.Store(false)
		loop.Wake(s.wake)
	}
	s.ranAt = now
	return s.standstills
}

// followStandstills notes that this process runs until the context ends.
func (s *software) followStandstills(ctx context.Context) error {
	for loop.Sleep(ctx, standstillInterval) {
		s.noteRuns()
	}
	return nil
}

// Add implements core.SoftwareRecord.
func (s *software) Add(ctx context.Context, service core.ServiceName, version core.SoftwareVersion) bool {
	return s.call(ctx, &softwareCall{add: &fleet.Software{Service: service, Version: version}})
}

// Refresh implements core.SoftwareRecord.
func (s *software) Refresh(ctx context.Context) bool { return s.call(ctx, &softwareCall{}) }

func (s *software) call(ctx context.Context, c *softwareCall) bool {
	c.done = make(chan bool, 1)
	s.mu.Lock()
	failing := s.entry.clock.Now().Before(s.retryAt)
	if !failing {
		s.asked = append(s.asked, c)
	}
	s.mu.Unlock()
	if failing {
		return false
	}
	loop.Wake(s.wake)
	timer := time.NewTimer(softwareGap + 2*softwareTimeout)
	defer timer.Stop()
	select {
	case ok := <-c.done:
		return ok
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// run reads the record and keeps it up to date until the context ends.
func (s *software) run(ctx context.Context) error {
	ticker := time.NewTicker(softwareInterval)
	defer ticker.Stop()
	retry := maxStoreRetry
	var next time.Time // when the record may be read again
	for {
		s.mu.Lock()
		calls := s.asked
		s.asked = nil
		s.mu.Unlock()
		s.update(ctx, calls)
		if !s.loaded.Load() {
			if _, running := loop.Wait(ctx, s.wake, retry); !running {
				return nil
			}
			retry = min(2*retry, softwareInterval)
			continue
		}
		retry = maxStoreRetry
		now := s.entry.clock.Now()
		next = core.Later(next, now.Add(-softwareBurst*softwareGap)).Add(softwareGap)
		if !loop.Sleep(ctx, next.Sub(now)) {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case <-ticker.C:
			s.prune(ctx)
		}
	}
}

// update reads the record, adds the versions that calls want, and ends the calls.
func (s *software) update(ctx context.Context, calls []*softwareCall) {
	era, loaded := s.entry.storeEra(), s.loaded.Load()
	restored := s.hasRead && era > s.era && !s.leavesWrites()
	if len(calls) == 0 && loaded && !restored {
		return
	}
	read := s.read(ctx)
	list := s.record.list()
	if restored {
		// The copy may lack versions at which streams are in progress.
		list = append(list, s.missing()...)
	}
	for _, c := range calls {
		if c.add != nil && !slices.Contains(list, *c.add) {
			list = append(list, *c.add)
		}
	}
	written := read && (len(list) == len(s.record.list()) && !s.damaged || s.write(ctx, list))
	for _, c := range calls {
		c.done <- read && (c.add == nil || written)
	}
	if read && !s.hasRead {
		s.era, s.hasRead = s.entry.storeEra(), true
	}
	if written && restored {
		s.era = era
	}
	if !written {
		s.mu.Lock()
		s.retryAt = s.entry.clock.Now().Add(softwareBackoff)
		s.mu.Unlock()
	}
}

// read reads the record, and reports whether it could be read.
func (s *software) read(ctx context.Context) bool {
	ctx, stop := context.WithTimeout(ctx, softwareTimeout)
	defer stop()
	standstills := s.noteRuns()
	o, err := s.entry.store.Get(ctx, core.KindSoftware, softwareObject)
	if s.noteRuns() != standstills {
		return false // the answer may be as old as the standstill
	}
	record := softwareJSON{}
	s.damaged = false
	switch {
	case isFault(err, core.NotFound):
		o.Version = 0
	case err != nil:
		events.Fail(events.PlatformUnreachable, err, "kind", core.KindSoftware)
		return false
	default:
		if err := json.Unmarshal(o.Spec, &record); err != nil {
			// It is written anew with the versions that this entry knows.
			events.Fail(events.DecisionFailed, err, "kind", core.KindSoftware)
			record, s.damaged = encodeSoftware(s.inService()), true
		}
	}
	s.apply(record, o.Version)
	return true
}

// apply applies the record as it is in the store.
func (s *software) apply(record softwareJSON, version core.Version) {
	s.record, s.version = record, version
	s.entry.proxy.Update(func(v *fleet.View, now time.Time) { v.NoteRecorded(now, record.list()) })
	s.loaded.Store(true)
}

// write writes the record, and reports whether it holds the versions in the list now. Several entries
// may write at once; those that lose read the record and write it again.
func (s *software) write(ctx context.Context, list []fleet.Software) bool {
	const attempts = 3
	for range attempts {
		record := encodeSoftware(list)
		spec, err := json.Marshal(record)
		if err != nil {
			events.Fail(events.DecisionFailed, err, "kind", core.KindSoftware)
			return false
		}
		o := core.Object{Kind: core.KindSoftware, Name: softwareObject, Version: s.version, Spec: spec}
		bounded, stop := context.WithTimeout(ctx, softwareTimeout)
		var made core.Object
		if s.version == 0 {
			made, err = s.entry.store.Create(bounded, o)
		} else {
			made, err = s.entry.store.Update(bounded, o)
		}
		stop()
		if err == nil {
			events.Log(events.SoftwareRecorded, "services", record.Services, "revision", made.Version)
			s.damaged = false
			s.apply(record, made.Version)
			return true
		}
		if !isFault(err, core.Conflict) && !isFault(err, core.Exists) && !isFault(err, core.NotFound) {
			events.Fail(events.PlatformUnreachable, err, "kind", core.KindSoftware)
			return false
		}
		if !s.read(ctx) {
			return false
		}
		missing := false
		have := s.record.list()
		for _, want := range list {
			missing = missing || !slices.Contains(have, want)
		}
		if !missing {
			return true
		}
		list = append(list, have...)
	}
	return false
}

// inService returns the versions at which streams may have begun, as this entry knows them.
func (s *software) inService() (out []fleet.Software) {
	s.entry.proxy.Update(func(v *fleet.View, now time.Time) {
		for known := range v.InService(now) {
			out = append(out, known)
		}
	})
	return out
}

// prune removes the versions from the record at which no stream may be in progress, unless other
// entries do.
func (s *software) prune(ctx context.Context) {
	if s.leavesWrites() || s.entry.storeOut() {
		return
	}
	// What another entry has added since the last read is in service.
	if len(s.needed()) == len(s.record.list()) || !s.read(ctx) {
		return
	}
	if kept := s.needed(); len(kept) < len(s.record.list()) {
		s.write(ctx, kept)
	}
}

// leavesWrites reports whether other entries keep the record in accordance with the registry.
func (s *software) leavesWrites() bool {
	before, _ := s.entry.members.predecessors()
	return len(before) >= softwareWriters
}

// missing returns the versions in service that are not in the record.
func (s *software) missing() []fleet.Software {
	list := s.record.list()
	return slices.DeleteFunc(s.inService(), func(v fleet.Software) bool { return slices.Contains(list, v) })
}

// needed returns the versions in the record that are in service.
func (s *software) needed() []fleet.Software {
	inService := s.inService()
	return slices.DeleteFunc(s.record.list(), func(v fleet.Software) bool { return !slices.Contains(inService, v) })
}
