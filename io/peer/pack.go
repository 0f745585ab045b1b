package peer

import (
	"bytes"
	"compress/flate"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"radishwell/core"
	"radishwell/wire"
)

// Large payloads are omitted from exchanges, so that these stay short, and served to peers in
// compressed parts.
const (
	// largeSpec is the size in bytes from which a specification is omitted, largeDelta the
	// size from which all items of a delta are.
	largeSpec  = 16 << 10
	largeDelta = 64 << 10
	// partSize bounds the compressed bytes in one answer.
	partSize = 32 << 10
	// maxPacked bounds the cached payloads. Peers may still be downloading older versions.
	maxPacked = 8
	// packedAge is how long a cached delta is offered to new downloads.
	packedAge = 2 * time.Second
)

// packed is a cached payload.
type packed struct {
	once sync.Once
	// build returns the payload before compression; nil once it is compressed.
	build func() []byte
	// data is the compressed payload, sum its hash and size its size before compression.
	data      []byte
	size, sum uint64
	// made is when it was cached, used when it was last served.
	made, used time.Time
}

func (p *packed) compress() {
	data := p.build()
	p.size, p.build = uint64(len(data)), nil
	var out bytes.Buffer
	// The level is valid, and a buffer takes everything.
	w, _ := flate.NewWriter(&out, flate.BestSpeed)
	_, _ = w.Write(data)
	_ = w.Close()
	p.data, p.sum = out.Bytes(), xxhash.Sum64(out.Bytes())
}

// ServeFetch answers a peer's call for a part; it is the server's handler of Fetch.
func (s *Store) ServeFetch(call *wire.FetchCall) (*wire.FetchReply, error) {
	s.init()
	id := blobID{kind: core.Kind(call.GetKind()), name: call.GetName(), version: core.Version(call.GetVersion())}
	p := s.pack(id, call.GetOffset() == 0)
	if p == nil {
		return &wire.FetchReply{}, nil
	}
	p.once.Do(p.compress)
	total := uint64(len(p.data))
	begin := min(call.GetOffset(), total)
	end := min(begin+partSize, total)
	return &wire.FetchReply{Data: p.data[begin:end], Size: total, Sum: p.sum, Unpacked: p.size}, nil
}

// pack returns a payload from the cache or the replica; nil if neither holds it. An old
// delta is rebuilt if the peer begins its download.
func (s *Store) pack(id blobID, begins bool) *packed {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if p := s.packs[id]; p != nil && (id.name != "" || !begins || now.Sub(p.made) < packedAge) {
		p.used = now
		return p
	}
	build := s.builder(id)
	if build == nil {
		return nil
	}
	if len(s.packs) >= maxPacked {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(s.packs)), func(a, b blobID) int {
			return s.packs[a].used.Compare(s.packs[b].used)
		})
		delete(s.packs, oldest)
	}
	p := &packed{build: build, made: now, used: now}
	s.packs[id] = p
	return p
}

// builder returns a function that returns a payload; nil if the replica does not hold it.
// The caller holds mu.
func (s *Store) builder(id blobID) func() []byte {
	k := s.kinds[id.kind]
	if k == nil {
		return nil
	}
	if id.name == "" {
		delta := k.Since(id.version)
		return func() []byte {
			// Marshalling fails only for invalid UTF-8, which the platform's names exclude.
			data, _ := proto.Marshal(toWire(string(id.kind), delta, true))
			return data
		}
	}
	o, ok := k.Get(id.name)
	if !ok || o.Version != id.version {
		return nil
	}
	return func() []byte { return o.Spec }
}
