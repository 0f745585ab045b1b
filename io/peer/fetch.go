package peer

import (
	"bytes"
	"compress/flate"
	"context"
	"errors"
	"io"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"radishwell/core"
	"radishwell/core/replic"
	"radishwell/io/loop"
	"radishwell/wire"
)

// Large payloads are downloaded outside exchanges: once each, in parts, from one peer at a
// time as long as that peer answers.
const (
	// partPatience is the time without an answer after which a second peer is asked for the
	// same part. The first call stays open: its answer may be in transit on a slow link.
	partPatience = 600 * time.Millisecond
	// partTimeout bounds all calls for one part together.
	partTimeout = 5 * time.Second
	// maxSources bounds the peers remembered as sources of a download, and those asked for
	// the same part.
	maxSources = 8
	// downloadAge is how long a download is kept after a peer last offered it.
	downloadAge = 30 * time.Second
	// maxSize bounds a payload, in bytes before compression.
	maxSize = maxMessage
	// bootFetch bounds how long a starting process waits for downloads.
	bootFetch = 2 * time.Second
)

// blobID identifies a payload: the specification of one version of an object, or, if name
// is empty, the delta of a kind from a version.
type blobID struct {
	kind    core.Kind
	name    string
	version core.Version
}

// download is a payload that is being downloaded.
type download struct {
	id blobID
	// object is the object whose specification is downloaded; unused for deltas.
	object core.Object
	// data is the received prefix of the compressed payload, total its size in bytes and sum
	// its hash. Data of different sums cannot be combined.
	data       []byte
	total, sum uint64
	// sources are the peers that offered the payload, in the order in which they are asked.
	sources []Target
	// until is when the download expires.
	until time.Time
}

// before orders downloads. Started ones go first: otherwise a fast series of versions could
// keep every one of them from completing.
func (d *download) before(other *download) bool {
	if begun := len(d.data) > 0; begun != (len(other.data) > 0) {
		return begun
	}
	return d.id.version > other.id.version
}

// take appends a part and reports whether the payload is complete. A part with another sum
// discards the data received so far.
func (d *download) take(offset uint64, part *wire.FetchReply) bool {
	if d.total != part.GetSize() || d.sum != part.GetSum() {
		d.data, d.total, d.sum = nil, part.GetSize(), part.GetSum()
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

// takeDelta joins a peer's delta. If payloads are omitted from it, their download starts, and
// the objects that are present are joined without advancing the through mark, so that later
// exchanges offer the rest again.
func (s *Store) takeDelta(from Target, d *wire.KindDelta) {
	kind, delta := core.Kind(d.GetKind()), fromWire(d)
	if d.GetApart() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.want(from, blobID{kind: kind, version: delta.From}, core.Object{})
		return
	}
	if s.fill(from, kind, delta.Objects, d.GetItems()) {
		s.join(kind, delta)
		return
	}
	var there []core.Object
	for i, item := range d.GetItems() {
		if item.GetSize() == 0 {
			there = append(there, delta.Objects[i])
		}
	}
	s.join(kind, replic.Delta{Objects: there})
}

// fill completes objects whose specifications were omitted from the replica, and starts the
// download of those it lacks. It reports whether all objects are complete.
func (s *Store) fill(from Target, kind core.Kind, objects []core.Object, items []*wire.Item) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	if k == nil {
		return true
	}
	whole := true
	for i, item := range items {
		if item.GetSize() == 0 {
			continue
		}
		o := objects[i]
		if held, _ := k.Get(o.Name); held.Version >= o.Version {
			objects[i] = held
			continue
		}
		whole = false
		s.want(from, blobID{kind: kind, name: o.Name, version: o.Version}, o)
	}
	return whole
}

// want adds a peer as a source of a download. The caller holds mu.
func (s *Store) want(from Target, id blobID, o core.Object) {
	if s.kinds[id.kind] == nil {
		return
	}
	d := s.downloads[id]
	if d == nil {
		d = &download{id: id, object: o}
		s.downloads[id] = d
	}
	d.until = s.Clock.Now().Add(downloadAge)
	if !slices.Contains(d.sources, from) && len(d.sources) < maxSources {
		d.sources = append(d.sources, from)
	}
	loop.Poke(s.fetch)
}

// runFetch runs downloads. Those of the first exchange are run by runSync.
func (s *Store) runFetch(ctx context.Context) error {
	s.awaitBoot(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.fetch:
		}
		s.fetchAll(ctx)
	}
}

// fetchAll runs downloads, one part after the other, until none has a source left.
func (s *Store) fetchAll(ctx context.Context) {
	for ctx.Err() == nil {
		d := s.nextDownload()
		if d == nil {
			return
		}
		s.fetchPart(ctx, d)
	}
}

// nextDownload returns the download to continue, nil if none has a source.
func (s *Store) nextDownload() *download {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	maps.DeleteFunc(s.downloads, func(id blobID, d *download) bool { return s.has(id) || !now.Before(d.until) })
	var next *download
	for _, d := range s.downloads {
		if len(d.sources) > 0 && (next == nil || d.before(next)) {
			next = d
		}
	}
	return next
}

// has reports whether the replica holds a payload or a newer one. The caller holds mu.
func (s *Store) has(id blobID) bool {
	k := s.kinds[id.kind]
	if id.name == "" {
		return k.Through() > id.version
	}
	held, _ := k.Get(id.name)
	return held.Version >= id.version
}

// fetchPart downloads one part. Only its goroutine accesses a download's data.
func (s *Store) fetchPart(ctx context.Context, d *download) {
	offset := uint64(len(d.data))
	a := s.askPart(ctx, d, &wire.FetchCall{
		Kind: string(d.id.kind), Name: d.id.name, Version: uint64(d.id.version), Offset: offset,
	})
	if a.part == nil {
		return
	}
	s.prefer(d, a.from)
	if !d.take(offset, a.part) {
		return
	}
	if err := s.finish(d, a.from, a.part.GetUnpacked()); err != nil {
		d.data, d.total = nil, 0
		s.dropSources(d, a.from)
		if s.Failed != nil {
			s.Failed(&CorruptError{Kind: d.id.kind, Name: d.id.name, Cause: err})
		}
	}
}

// partAnswer is a peer's answer to a call for a part; part is nil if the peer had none.
type partAnswer struct {
	from Target
	part *wire.FetchReply
}

// askPart asks the sources of a download, one after the other, until one returns the part.
// Peers without it are removed from the sources.
func (s *Store) askPart(ctx context.Context, d *download, call *wire.FetchCall) partAnswer {
	ctx, stop := context.WithTimeout(ctx, partTimeout)
	defer stop()
	answers := make(chan partAnswer, maxSources)
	next := time.NewTimer(0)
	defer next.Stop()
	var asked []Target
	for pending, ticks := 0, 0; ; {
		select {
		case <-next.C:
			ticks++
			from, ok := s.nextSource(d, asked)
			switch {
			case ok && len(asked) < maxSources:
				asked = append(asked, from)
				pending++
				go func() { answers <- s.ask(ctx, call, from) }()
			case pending == 0:
				return partAnswer{}
			case ticks > len(asked)+1 && s.othersWait(d):
				s.dropSources(d, asked...)
				return partAnswer{}
			}
			next.Reset(partPatience)
		case a := <-answers:
			if a.part != nil {
				return a
			}
			pending--
			s.dropSources(d, a.from)
			next.Reset(0)
		}
	}
}

// nextSource returns a source that was not asked yet; false if there is none.
func (s *Store) nextSource(d *download, asked []Target) (Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(d.sources, func(t Target) bool { return !slices.Contains(asked, t) })
	if i < 0 {
		return Target{}, false
	}
	return d.sources[i], true
}

// othersWait reports whether another download has sources.
func (s *Store) othersWait(d *download) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, other := range s.downloads {
		if other != d && len(other.sources) > 0 && !s.has(id) {
			return true
		}
	}
	return false
}

// ask asks a peer for a part.
func (s *Store) ask(ctx context.Context, call *wire.FetchCall, from Target) partAnswer {
	part, err := s.Client.Fetch(ctx, from, call)
	switch {
	case err != nil:
		if s.Failed != nil && !errors.Is(context.Cause(ctx), context.Canceled) {
			s.Failed(err)
		}
		return partAnswer{from: from}
	case len(part.GetData()) == 0 || max(part.GetSize(), part.GetUnpacked()) > maxSize:
		return partAnswer{from: from}
	}
	return partAnswer{from: from, part: part}
}

// finish joins a complete payload. Its error is one of packages flate, io or proto.
func (s *Store) finish(d *download, from Target, size uint64) error {
	data, err := unpack(d.data, size)
	if err != nil {
		return err
	}
	s.mu.Lock()
	delete(s.downloads, d.id)
	s.mu.Unlock()
	if d.id.name != "" {
		d.object.Spec = data
		s.join(d.id.kind, replic.Delta{Objects: []core.Object{d.object}})
		return nil
	}
	delta := &wire.KindDelta{}
	if err := proto.Unmarshal(data, delta); err != nil {
		return err
	}
	s.takeDelta(from, delta)
	return nil
}

// prefer moves a source to the front.
func (s *Store) prefer(d *download, from Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(d.sources, from); i > 0 {
		d.sources[0], d.sources[i] = d.sources[i], d.sources[0]
	}
}

func (s *Store) dropSources(d *download, from ...Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.sources = slices.DeleteFunc(d.sources, func(t Target) bool { return slices.Contains(from, t) })
}

// unpack decompresses data of a known size. Its error is one of package flate or io.
func unpack(data []byte, size uint64) ([]byte, error) {
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
