package peer

import (
	"bytes"
	"cmp"
	"compress/flate"
	"context"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishwell/core"
	"radishwell/core/replic"
	"radishwell/io/loop"
	"radishwell/wire"
)

// Large specifications are left out of exchanges, which so stay short and reach all peers
// whatever else is on its way. A process fetches each of them once, in parts, from one
// peer at a time, and goes on at another where one does not answer.
const (
	// largeSize is the size in bytes from which a specification counts as large.
	largeSize = 16 << 10
	// partSize bounds the compressed bytes in one answer.
	partSize = 32 << 10
	// partTimeout bounds one call for a part.
	partTimeout = 1500 * time.Millisecond
	// maxSources bounds the peers that are remembered as having an object.
	maxSources = 8
	// maxPacked bounds the compressed specifications kept for peers, the version before
	// the present one among them: some may be half way through it.
	maxPacked = 4
	// downloadAge is how long a download is kept that no peer names any more.
	downloadAge = 30 * time.Second
	// maxSize bounds a specification.
	maxSize = 64 << 20
)

// objectID names one version of an object.
type objectID struct {
	kind    core.Kind
	name    string
	version core.Version
}

// download is a large specification on its way.
type download struct {
	// object has no specification yet.
	object core.Object
	// size is that of the specification.
	size uint64
	// data is what has been received of the compressed specification of total bytes; sum
	// tells whether another peer's compression is the same.
	data  []byte
	total uint64
	sum   uint64
	// sources are the peers that have it, the one to ask next first.
	sources []Target
	// until is when it is forgotten, unless a peer names it again.
	until time.Time
}

func (d *download) id() objectID {
	return objectID{kind: d.object.Kind, name: d.object.Name, version: d.object.Version}
}

// complete tells whether everything was received.
func (d *download) complete() bool { return d.total > 0 && uint64(len(d.data)) == d.total }

// take adds a part. One of another compression replaces what is there.
func (d *download) take(offset uint64, part *wire.FetchReply) {
	if d.total != part.GetSize() || d.sum != part.GetSum() {
		d.data, d.total, d.sum = nil, part.GetSize(), part.GetSum()
	}
	if offset == uint64(len(d.data)) {
		d.data = append(d.data, part.GetData()...)
	}
}

// CorruptError reports a specification that peers sent and that cannot be unpacked.
type CorruptError struct {
	Kind  core.Kind
	Name  string
	Cause error
}

// Error implements error.
func (e *CorruptError) Error() string {
	return "specification of " + string(e.Kind) + "/" + e.Name + " from peers: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

// takeDelta takes in a peer's delta. Where it leaves out specifications that are not held
// here, they are fetched; until then the replica has the rest of the delta and the same
// through mark as before.
func (s *Store) takeDelta(from Target, d *wire.KindDelta) {
	kind, delta := core.Kind(d.GetKind()), fromWire(d)
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
		size := item.GetSize()
		if size == 0 {
			continue
		}
		if held, _ := k.Get(objects[i].Name); held.Version >= objects[i].Version {
			objects[i] = held
			continue
		}
		whole = false
		if size <= maxSize {
			s.want(from, objects[i], size)
		}
	}
	return whole
}

// want notes that a peer has an object whose specification is lacking. The caller holds mu.
func (s *Store) want(from Target, o core.Object, size uint64) {
	id := objectID{kind: o.Kind, name: o.Name, version: o.Version}
	d := s.downloads[id]
	if d == nil {
		d = &download{object: o, size: size}
		s.downloads[id] = d
	}
	d.until = s.Clock.Now().Add(downloadAge)
	if !slices.Contains(d.sources, from) && len(d.sources) < maxSources {
		d.sources = append(d.sources, from)
	}
	loop.Poke(s.fetch)
}

// runFetch fetches what is lacking, one part after the other.
func (s *Store) runFetch(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.fetch:
		}
		for ctx.Err() == nil {
			d, from, ok := s.nextDownload()
			if !ok {
				break
			}
			s.fetchPart(ctx, d, from)
		}
	}
}

// nextDownload returns what to fetch next and from whom: what has begun goes first, so
// that versions which follow each other closely do not keep all of them from arriving.
func (s *Store) nextDownload() (*download, Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	maps.DeleteFunc(s.downloads, func(id objectID, d *download) bool {
		held, _ := s.kinds[id.kind].Get(id.name)
		return held.Version >= id.version || !now.Before(d.until)
	})
	var next *download
	for _, d := range s.downloads {
		if len(d.sources) > 0 && (next == nil || d.before(next)) {
			next = d
		}
	}
	if next == nil {
		return nil, Target{}, false
	}
	return next, next.sources[0], true
}

// before tells which of two downloads goes first.
func (d *download) before(other *download) bool {
	if begun := len(d.data) > 0; begun != (len(other.data) > 0) {
		return begun
	}
	return d.object.Version > other.object.Version
}

// fetchPart fetches one part of a download. Only runFetch changes a download's data.
func (s *Store) fetchPart(ctx context.Context, d *download, from Target) {
	ctx, stop := context.WithTimeout(ctx, partTimeout)
	defer stop()
	offset := uint64(len(d.data))
	part, err := s.Client.Fetch(ctx, from, &wire.FetchCall{
		Kind: string(d.object.Kind), Name: d.object.Name, Version: uint64(d.object.Version), Offset: offset,
	})
	if err != nil && s.Failed != nil && ctx.Err() != context.Canceled {
		s.Failed(err)
	}
	if err != nil || len(part.GetData()) == 0 || part.GetSize() > maxSize {
		s.dropSource(d, from)
		return
	}
	d.take(offset, part)
	if !d.complete() {
		return
	}
	spec, err := unpack(d.data, d.size)
	if err != nil {
		d.data, d.total = nil, 0
		s.dropSource(d, from)
		if s.Failed != nil {
			s.Failed(&CorruptError{Kind: d.object.Kind, Name: d.object.Name, Cause: err})
		}
		return
	}
	d.object.Spec = spec
	s.join(d.object.Kind, replic.Delta{Objects: []core.Object{d.object}})
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.downloads, d.id())
}

func (s *Store) dropSource(d *download, from Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.sources = slices.DeleteFunc(d.sources, func(t Target) bool { return t == from })
}

// packed is a compressed specification, for peers that fetch it.
type packed struct {
	once sync.Once
	// spec is what to compress, nil once that is done.
	spec []byte
	data []byte
	sum  uint64
	// used numbers the last use, over all that are kept.
	used uint64
}

// ServeFetch answers a peer's call for a part; it is the server's handler of Fetch.
func (s *Store) ServeFetch(call *wire.FetchCall) (*wire.FetchReply, error) {
	s.init()
	id := objectID{kind: core.Kind(call.GetKind()), name: call.GetName(), version: core.Version(call.GetVersion())}
	p := s.pack(id)
	if p == nil {
		return &wire.FetchReply{}, nil
	}
	p.once.Do(p.compress)
	total := uint64(len(p.data))
	begin := min(call.GetOffset(), total)
	end := min(begin+partSize, total)
	return &wire.FetchReply{Data: p.data[begin:end], Size: total, Sum: p.sum}, nil
}

// pack returns the place of a compressed specification; nil where that version is neither
// held nor kept.
func (s *Store) pack(id objectID) *packed {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uses++
	if p := s.packs[id]; p != nil {
		p.used = s.uses
		return p
	}
	k := s.kinds[id.kind]
	if k == nil {
		return nil
	}
	o, ok := k.Get(id.name)
	if !ok || o.Version != id.version {
		return nil
	}
	if len(s.packs) >= maxPacked {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(s.packs)), func(a, b objectID) int {
			return cmp.Compare(s.packs[a].used, s.packs[b].used)
		})
		delete(s.packs, oldest)
	}
	p := &packed{spec: o.Spec, used: s.uses}
	s.packs[id] = p
	return p
}

func (p *packed) compress() {
	var out bytes.Buffer
	// The level is valid, and a buffer takes everything.
	w, _ := flate.NewWriter(&out, flate.BestSpeed)
	_, _ = w.Write(p.spec)
	_ = w.Close()
	p.data, p.spec = out.Bytes(), nil
	p.sum = xxhash.Sum64(p.data)
}

// unpack returns the specification, whose size is known. Its error is one of package flate
// or io.
func unpack(data []byte, size uint64) ([]byte, error) {
	spec := make([]byte, size)
	r := flate.NewReader(bytes.NewReader(data))
	if _, err := io.ReadFull(r, spec); err != nil {
		return nil, err
	}
	if n, _ := r.Read(make([]byte, 1)); n > 0 {
		return nil, io.ErrShortBuffer
	}
	return spec, nil
}
