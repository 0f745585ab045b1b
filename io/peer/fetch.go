package peer

import (
	"bytes"
	"compress/flate"
	"context"
	"errors"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"radishwell/core"
	"radishwell/core/patch"
	"radishwell/core/replic"
	"radishwell/io/loop"
	"radishwell/wire"
)

// Large payloads are downloaded outside exchanges: once each, in parts, and from one peer
// at a time as long as that peer responds.
const (
	// hedgeDelay is the time without a response after which another peer is asked for the
	// same part. The first call stays open: its response may be in transit on a slow
	// link.
	hedgeDelay = 600 * time.Millisecond
	// neededPeriod is how often a download looks whether the replica has the payload from
	// elsewhere.
	neededPeriod = 100 * time.Millisecond
	// partTimeout bounds all calls for one part together.
	partTimeout = 5 * time.Second
	// maxSources bounds the peers remembered as sources of a download, and those asked for
	// the same part.
	maxSources = 8
	// downloadTTL is how long a download is kept after a peer last offered it.
	downloadTTL = 30 * time.Second
	// maxPayload bounds a payload, in bytes before compression.
	maxPayload = maxMessage
	// firstFetchTimeout bounds how long a starting process waits for downloads.
	firstFetchTimeout = 2 * time.Second
)

// payloadID identifies a payload: the specification of one version of an object, or, if
// name is empty, the delta of a kind from a version.
type payloadID struct {
	kind    core.Kind
	name    string
	version core.Version
	// base is the version that the receiver of a patch holds; zero for the whole payload.
	base core.Version
}

// String returns the payload's name in logs.
func (id payloadID) String() string {
	return string(id.kind) + "/" + id.name + "@" + strconv.FormatUint(uint64(id.version), 10)
}

// download is a payload that is being downloaded.
type download struct {
	id payloadID
	// object is the object whose specification is downloaded; unused for deltas.
	object core.Object
	// data is the received prefix of the compressed payload, total its size in bytes and sum
	// its hash. Data of different sums cannot be combined.
	data       []byte
	total, sum uint64
	// base is the version of the object that the replica held when the download began. The payload
	// is a patch for it if patched is set.
	base    core.Object
	patched bool
	// sources are the peers that offered the payload, in the order in which they are asked.
	sources []Target
	// offered is when a peer first offered the payload, began when its first part was requested.
	offered, began time.Time
	// expires is when the download is abandoned.
	expires time.Time
}

// precedes reports whether a download is continued before another. Started ones go first:
// otherwise a fast series of versions could keep every one of them from completing.
func (d *download) precedes(other *download) bool {
	if started := len(d.data) > 0; started != (len(other.data) > 0) {
		return started
	}
	return d.id.version > other.id.version
}

// addPart appends a part and reports whether the payload is complete. A part with another
// sum discards the data received so far.
func (d *download) addPart(offset uint64, part *wire.FetchReply) bool {
	if d.total != part.GetSize() || d.sum != part.GetSum() {
		d.data, d.total, d.sum, d.patched = nil, part.GetSize(), part.GetSum(), part.GetPatch()
	}
	if offset == uint64(len(d.data)) {
		d.data = append(d.data, part.GetData()...)
	}
	return uint64(len(d.data)) == d.total
}

// CorruptError reports a payload that cannot be decompressed or decoded.
type CorruptError struct {
	Kind core.Kind
	// Name is the object's; empty for a delta of the kind.
	Name  string
	Cause error
}

// Error implements error.
func (e *CorruptError) Error() string {
	return "corrupt payload of " + string(e.Kind) + "/" + e.Name + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

// joinWireDelta joins a peer's delta. If payloads are omitted from it, their download
// starts. The objects that are complete are then joined without advancing the through
// mark, so that later exchanges offer the rest again.
func (s *Store) joinWireDelta(from Target, d *wire.KindDelta) {
	kind, delta := core.Kind(d.GetKind()), fromWire(d)
	if d.GetApart() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.addSource(from, payloadID{kind: kind, version: delta.From}, core.Object{})
		return
	}
	if s.fillOmitted(from, kind, delta.Objects, d.GetItems()) {
		s.join(kind, delta, Arrival{Way: WayExchange, From: from.Host})
		return
	}
	var complete []core.Object
	for i, item := range d.GetItems() {
		if item.GetSize() == 0 || len(delta.Objects[i].Spec) > 0 {
			complete = append(complete, delta.Objects[i])
		}
	}
	s.join(kind, replic.Delta{Objects: complete}, Arrival{Way: WayExchange, From: from.Host})
}

// fillOmitted completes objects whose specifications were omitted, as far as the replica
// holds them, and starts the download of the others. It reports whether all objects are
// complete.
func (s *Store) fillOmitted(from Target, kind core.Kind, objects []core.Object, items []*wire.Item) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	if k == nil {
		return true
	}
	complete := true
	for i, item := range items {
		if item.GetSize() == 0 {
			continue
		}
		o := objects[i]
		if held, _ := k.Get(o.Name); held.Version >= o.Version {
			objects[i] = held
			continue
		} else if spec, ok := patched(held, item); ok {
			objects[i].Spec = spec
			continue
		}
		complete = false
		s.addSource(from, payloadID{kind: kind, name: o.Name, version: o.Version}, o)
	}
	return complete
}

// patched returns the specification of an item that has a patch for the held version of its object.
// If the patch does not fit, the specification is downloaded.
func patched(held core.Object, item *wire.Item) ([]byte, bool) {
	if len(item.GetPatch()) == 0 || held.Version == 0 || uint64(held.Version) != item.GetBase() || item.GetPatchSize() > maxPayload {
		return nil, false
	}
	data, err := decompress(item.GetPatch(), item.GetPatchSize())
	if err != nil {
		return nil, false
	}
	spec, err := patch.Apply(held.Spec, data, maxPayload)
	return spec, err == nil
}

// addSource adds a peer as a source of a download, which starts if it is new. The caller
// holds mu.
func (s *Store) addSource(from Target, id payloadID, o core.Object) {
	if s.kinds[id.kind] == nil {
		return
	}
	d, now := s.downloads[id], s.Clock.Now()
	if d == nil {
		d = &download{id: id, object: o, offered: now}
		s.downloads[id] = d
	}
	d.expires = now.Add(downloadTTL)
	if !slices.Contains(d.sources, from) && len(d.sources) < maxSources {
		d.sources = append(d.sources, from)
	}
	loop.Wake(s.downloadWakes[id.kind])
}

// runDownloads downloads the payloads of a kind as peers offer them, so that no kind waits for the
// downloads of others. The first exchange counts as over once what it offered has been downloaded.
func (s *Store) runDownloads(ctx context.Context, kind core.Kind) error {
	select {
	case <-ctx.Done():
		return nil
	case <-s.exchanged:
	}
	fetchCtx, stop := context.WithTimeout(ctx, firstFetchTimeout)
	s.downloadAll(fetchCtx, kind)
	stop()
	if s.firstFetches.Add(-1) == 0 {
		close(s.firstSync)
	}
	wake := s.downloadWakes[kind]
	loop.Wake(wake)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
		}
		s.downloadAll(ctx, kind)
	}
}

// downloadAll continues downloads of a kind, one part after the other, until none has a source
// left.
func (s *Store) downloadAll(ctx context.Context, kind core.Kind) {
	for ctx.Err() == nil {
		d := s.nextDownload(kind)
		if d == nil {
			return
		}
		s.downloadPart(ctx, d)
	}
}

// nextDownload returns the download of a kind to continue, or nil if none has a source.
func (s *Store) nextDownload(kind core.Kind) *download {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	maps.DeleteFunc(s.downloads, func(id payloadID, d *download) bool { return s.has(id) || !now.Before(d.expires) })
	var next *download
	for id, d := range s.downloads {
		if id.kind == kind && len(d.sources) > 0 && (next == nil || d.precedes(next)) {
			next = d
		}
	}
	if next != nil && next.began.IsZero() {
		next.began = now
	}
	s.kinds[kind].downloading = next
	return next
}

// has reports whether the replica holds a payload or a newer one. The caller holds mu.
func (s *Store) has(id payloadID) bool {
	k := s.kinds[id.kind]
	if id.name == "" {
		return k.Through() > id.version
	}
	held, _ := k.Get(id.name)
	return held.Version >= id.version
}

// downloadPart downloads one part. Only the goroutine that calls it accesses a download's
// data.
func (s *Store) downloadPart(ctx context.Context, d *download) {
	offset := uint64(len(d.data))
	if offset == 0 && d.id.name != "" {
		d.base, _ = s.Get(d.id.kind, d.id.name)
	}
	r := s.requestPart(ctx, d, &wire.FetchCall{
		Kind: string(d.id.kind), Name: d.id.name, Version: uint64(d.id.version), Offset: offset, Base: uint64(d.base.Version),
	})
	if r.part == nil {
		return
	}
	s.moveToFront(d, r.from)
	if !d.addPart(offset, r.part) {
		return
	}
	if err := s.complete(d, r.from, r.part.GetUnpacked()); err != nil {
		d.data, d.total = nil, 0
		s.removeSources(d, r.from)
		if s.OnError != nil {
			s.OnError(&CorruptError{Kind: d.id.kind, Name: d.id.name, Cause: err})
		}
	}
}

// partResponse is a peer's response to a request for a part; part is nil if the peer had
// none or did not respond.
type partResponse struct {
	from Target
	part *wire.FetchReply
}

// requestPart asks the sources of a download, one after the other, until one returns the
// part. Peers without it are removed from the sources.
func (s *Store) requestPart(ctx context.Context, d *download, call *wire.FetchCall) partResponse {
	ctx, stop := context.WithTimeout(ctx, partTimeout)
	defer stop()
	responses := make(chan partResponse, maxSources)
	next := time.NewTimer(0)
	defer next.Stop()
	look := time.NewTicker(neededPeriod)
	defer look.Stop()
	var asked []Target
	for pending, rounds := 0, 0; ; {
		select {
		case <-look.C:
			if !s.isNeeded(d) {
				return partResponse{}
			}
		case <-next.C:
			rounds++
			from, ok := s.nextSource(d, asked)
			switch {
			case ok && len(asked) < maxSources:
				asked = append(asked, from)
				pending++
				go func() { responses <- s.requestPartFrom(ctx, call, from) }()
			case pending == 0:
				return partResponse{}
			case rounds > len(asked)+1 && s.othersPending(d):
				s.removeSources(d, asked...)
				return partResponse{}
			}
			next.Reset(hedgeDelay)
		case r := <-responses:
			if r.part != nil {
				return r
			}
			pending--
			s.removeSources(d, r.from)
			next.Reset(0)
		}
	}
}

// nextSource returns a source that was not asked yet, or false if there is none.
func (s *Store) nextSource(d *download, asked []Target) (Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(d.sources, func(t Target) bool { return !slices.Contains(asked, t) })
	if i < 0 {
		return Target{}, false
	}
	return d.sources[i], true
}

// isNeeded reports whether the replica still lacks what a download brings.
func (s *Store) isNeeded(d *download) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.has(d.id)
}

// othersPending reports whether another download of the kind has sources.
func (s *Store) othersPending(d *download) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, other := range s.downloads {
		if other != d && id.kind == d.id.kind && len(other.sources) > 0 && !s.has(id) {
			return true
		}
	}
	return false
}

// requestPartFrom asks one peer for a part.
func (s *Store) requestPartFrom(ctx context.Context, call *wire.FetchCall, from Target) partResponse {
	part, err := s.Client.Fetch(ctx, from, call)
	switch {
	case err != nil:
		if s.OnError != nil && !errors.Is(context.Cause(ctx), context.Canceled) {
			s.OnError(err)
		}
		return partResponse{from: from}
	case len(part.GetData()) == 0 || max(part.GetSize(), part.GetUnpacked()) > maxPayload:
		return partResponse{from: from}
	}
	return partResponse{from: from, part: part}
}

// complete joins a payload of which all parts have arrived. Its error is one of package
// flate, io, patch or proto.
func (s *Store) complete(d *download, from Target, size uint64) error {
	data, err := decompress(d.data, size)
	if err == nil && d.patched {
		data, err = patch.Apply(d.base.Spec, data, maxPayload)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	delete(s.downloads, d.id)
	s.mu.Unlock()
	if d.id.name != "" {
		d.object.Spec = data
		s.join(d.id.kind, replic.Delta{Objects: []core.Object{d.object}}, Arrival{
			Way: WayDownload, From: from.Host, Offered: d.offered, Began: d.began, Received: len(d.data),
		})
		return nil
	}
	delta := &wire.KindDelta{}
	if err := proto.Unmarshal(data, delta); err != nil {
		return err
	}
	s.joinWireDelta(from, delta)
	return nil
}

// moveToFront makes a source the first to be asked.
func (s *Store) moveToFront(d *download, from Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(d.sources, from); i > 0 {
		d.sources[0], d.sources[i] = d.sources[i], d.sources[0]
	}
}

func (s *Store) removeSources(d *download, from ...Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.sources = slices.DeleteFunc(d.sources, func(t Target) bool { return slices.Contains(from, t) })
}

// decompress decompresses data whose decompressed size is known. Its error is one of
// package flate or io.
func decompress(data []byte, size uint64) ([]byte, error) {
	out := make([]byte, size)
	r := flate.NewReader(bytes.NewReader(data))
	if _, err := io.ReadFull(r, out); err != nil {
		return nil, err
	}
	if n, _ := r.Read(make([]byte, 1)); n > 0 {
		return nil, io.ErrShortBuffer
	}
	return out, nil
}
