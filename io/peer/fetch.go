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

// What exchanges leave out is fetched once, in parts, from one peer at a time, and from
// another where that one does not answer.
const (
	// partPatience is after how long without an answer another peer is asked for a part as
	// well. The first is not given up for that: its answer may be half way over a slow link.
	partPatience = 600 * time.Millisecond
	// partTimeout bounds all calls for a part together.
	partTimeout = 5 * time.Second
	// maxSources bounds the peers that are remembered as having something, maxAsked those
	// that are asked for the same part.
	maxSources = 8
	maxAsked   = 8
	// downloadAge is how long a download is kept that no peer names any more.
	downloadAge = 30 * time.Second
	// maxSize bounds what is fetched, in bytes before compression.
	maxSize = maxMessage
	// bootFetch bounds how long a process that starts waits for what peers have.
	bootFetch = 2 * time.Second
)

// blobID names what is fetched: the specification of one version of an object, or, without
// a name, the changes of a kind after a version.
type blobID struct {
	kind    core.Kind
	name    string
	version core.Version
}

// download is something large on its way.
type download struct {
	id blobID
	// object is the one whose specification is fetched.
	object core.Object
	// data is what has been received of total bytes; sum tells whether another peer's
	// compression is the same.
	data       []byte
	total, sum uint64
	// sources are the peers that have it, the one to ask next first.
	sources []Target
	// until is when it is forgotten, unless a peer names it again.
	until time.Time
}

// before tells which of two downloads goes first: what has begun does, so that versions
// which follow each other closely do not keep all of them from arriving.
func (d *download) before(other *download) bool {
	if begun := len(d.data) > 0; begun != (len(other.data) > 0) {
		return begun
	}
	return d.id.version > other.id.version
}

// take adds a part and tells whether everything is there. A part of another compression
// replaces what is there.
func (d *download) take(offset uint64, part *wire.FetchReply) bool {
	if d.total != part.GetSize() || d.sum != part.GetSum() {
		d.data, d.total, d.sum = nil, part.GetSize(), part.GetSum()
	}
	if offset == uint64(len(d.data)) {
		d.data = append(d.data, part.GetData()...)
	}
	return uint64(len(d.data)) == d.total
}

// CorruptError reports something from peers that cannot be unpacked.
type CorruptError struct {
	Kind core.Kind
	// Name is the object's; empty for changes of the kind.
	Name  string
	Cause error
}

// Error implements error.
func (e *CorruptError) Error() string {
	return string(e.Kind) + "/" + e.Name + " from peers cannot be unpacked: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

// takeDelta takes in a peer's delta. What is left out of it is fetched; until then the
// replica has the rest and the same through mark as before, so that peers go on naming
// what is lacking.
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

// fill puts specifications that are held into objects that came without, and has the others
// fetched. It tells whether none is lacking.
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

// want notes that a peer has something that is lacking here. The caller holds mu.
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

// runFetch fetches what is lacking. What peers have at the start is fetched by runSync.
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

// fetchAll fetches what is lacking, one part after the other, while there are peers to ask.
func (s *Store) fetchAll(ctx context.Context) {
	for ctx.Err() == nil {
		d := s.nextDownload()
		if d == nil {
			return
		}
		s.fetchPart(ctx, d)
	}
}

// nextDownload returns what to fetch next, nil for nothing.
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

// has tells whether the replica has what was to be fetched, or something newer. The caller
// holds mu.
func (s *Store) has(id blobID) bool {
	k := s.kinds[id.kind]
	if id.name == "" {
		return k.Through() > id.version
	}
	held, _ := k.Get(id.name)
	return held.Version >= id.version
}

// fetchPart fetches one part of a download. Only its goroutine changes a download's data.
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

// partAnswer is what a peer answered to a call for a part; nil where it had nothing.
type partAnswer struct {
	from Target
	part *wire.FetchReply
}

// askPart asks one source of a download after the other for a part until one has answered
// with it. Those that have it not are no longer sources.
func (s *Store) askPart(ctx context.Context, d *download, call *wire.FetchCall) partAnswer {
	ctx, stop := context.WithTimeout(ctx, partTimeout)
	defer stop()
	answers := make(chan partAnswer, maxAsked)
	next := time.NewTimer(0)
	defer next.Stop()
	var asked []Target
	for pending, ticks := 0, 0; ; {
		select {
		case <-next.C:
			ticks++
			from, ok := s.nextSource(d, asked)
			switch {
			case ok && len(asked) < maxAsked:
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

// nextSource returns a source of a download that was not asked yet; false for none.
func (s *Store) nextSource(d *download, asked []Target) (Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(d.sources, func(t Target) bool { return !slices.Contains(asked, t) })
	if i < 0 {
		return Target{}, false
	}
	return d.sources[i], true
}

// othersWait tells whether something else could be fetched.
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

// finish takes in what has been received whole. Its error is one of packages flate, io or
// proto.
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

// prefer has a source of a download asked first.
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

// unpack returns what was compressed, whose size is known. Its error is one of package flate
// or io.
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
