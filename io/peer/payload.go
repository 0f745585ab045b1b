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
	"radishwell/core/patch"
	"radishwell/wire"
)

// Large payloads are omitted from exchanges, so that these stay short, and served to
// peers in compressed parts.
const (
	// largeSpec is the size in bytes from which a specification is omitted, and
	// largeDelta the size from which all items of a delta are.
	largeSpec  = 16 << 10
	largeDelta = 64 << 10
	// partSize bounds the compressed bytes in one reply.
	partSize = 32 << 10
	// maxCachedPayloads bounds the cached payloads. Peers may still be downloading older
	// versions.
	maxCachedPayloads = 24
	// maxInlinePatch bounds the patches in exchanges, in compressed bytes.
	maxInlinePatch = 4 << 10
	// deltaCacheTTL is how long a cached delta is offered to new downloads.
	deltaCacheTTL = 2 * time.Second
)

// payload is a cached payload.
type payload struct {
	once sync.Once
	// build returns the payload before compression; it is nil once the payload is
	// compressed. plain is the size of what the payload stands for.
	build func() (data []byte, plain int)
	// worthwhile is set if the payload is much shorter than what it stands for.
	worthwhile bool
	// data is the compressed payload, sum its hash and size its size before compression.
	data      []byte
	size, sum uint64
	// created is when the payload was cached, lastUsed when it was last served.
	created, lastUsed time.Time
}

func (p *payload) compress() {
	data, plain := p.build()
	p.size, p.build = uint64(len(data)), nil
	p.worthwhile = len(data) < plain/2
	var out bytes.Buffer
	// No call fails: the level is valid, and writes to a bytes.Buffer succeed.
	w, _ := flate.NewWriter(&out, flate.BestSpeed)
	_, _ = w.Write(data)
	_ = w.Close()
	p.data, p.sum = out.Bytes(), xxhash.Sum64(out.Bytes())
}

// ServeFetch serves a peer's request for a part. It is the handler of Fetch.
func (s *Store) ServeFetch(call *wire.FetchCall) (*wire.FetchReply, error) {
	s.init()
	id := payloadID{kind: core.Kind(call.GetKind()), name: call.GetName(), version: core.Version(call.GetVersion())}
	first := call.GetOffset() == 0
	fromBase := id
	fromBase.base = core.Version(call.GetBase())
	p := s.worthwhilePatch(fromBase, first)
	patched := p != nil
	if p == nil {
		p = s.payload(id, first)
	}
	if p == nil {
		return &wire.FetchReply{}, nil
	}
	p.once.Do(p.compress)
	total := uint64(len(p.data))
	begin := min(call.GetOffset(), total)
	end := min(begin+partSize, total)
	return &wire.FetchReply{Data: p.data[begin:end], Size: total, Sum: p.sum, Unpacked: p.size, Patch: patched}, nil
}

// worthwhilePatch returns the patch of an object for a peer that holds the base version; nil if there
// is none, or if it is hardly shorter.
func (s *Store) worthwhilePatch(id payloadID, first bool) *payload {
	if id.base == 0 || id.name == "" {
		return nil
	}
	p := s.payload(id, first)
	if p == nil {
		return nil
	}
	p.once.Do(p.compress)
	if !p.worthwhile {
		return nil
	}
	return p
}

// payload returns a payload from the cache or the replica; nil if neither holds it. A
// delta older than deltaCacheTTL is rebuilt for the first part of a download.
func (s *Store) payload(id payloadID, first bool) *payload {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if p := s.payloads[id]; p != nil && (id.name != "" || !first || now.Sub(p.created) < deltaCacheTTL) {
		p.lastUsed = now
		return p
	}
	build := s.builder(id)
	if build == nil {
		return nil
	}
	if len(s.payloads) >= maxCachedPayloads {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(s.payloads)), func(a, b payloadID) int {
			return s.payloads[a].lastUsed.Compare(s.payloads[b].lastUsed)
		})
		delete(s.payloads, oldest)
	}
	p := &payload{build: build, created: now, lastUsed: now}
	s.payloads[id] = p
	return p
}

// builder returns a function that returns a payload, or nil if the replica does not hold
// it. The caller holds mu.
func (s *Store) builder(id payloadID) func() ([]byte, int) {
	k := s.kinds[id.kind]
	if k == nil {
		return nil
	}
	if id.name == "" {
		delta := k.Since(id.version)
		return func() ([]byte, int) {
			// Marshalling fails only for invalid UTF-8, which the platform's names exclude.
			data, _ := proto.Marshal(toWire(string(id.kind), delta, true))
			return data, len(data)
		}
	}
	o, ok := k.version(id.name, id.version)
	if !ok {
		return nil
	}
	if id.base == 0 {
		return func() ([]byte, int) { return o.Spec, len(o.Spec) }
	}
	base, ok := k.version(id.name, id.base)
	if !ok {
		return nil
	}
	return func() ([]byte, int) { return patch.Make(base.Spec, o.Spec), len(o.Spec) }
}

// inlinePatch is an omitted specification of a message that a patch may replace.
type inlinePatch struct {
	item *wire.Item
	id   payloadID
}

// omitted returns the omitted specifications of a delta for a peer that has all objects up to the
// newest version. The caller holds mu.
func (k *kindState) omitted(d *wire.KindDelta, newest core.Version) []inlinePatch {
	var list []inlinePatch
	for _, item := range d.GetItems() {
		if item.GetSize() == 0 {
			continue
		}
		if base := k.lastBefore(item.GetName(), newest); base > 0 {
			id := payloadID{kind: core.Kind(d.GetKind()), name: item.GetName(), version: core.Version(item.GetVersion()), base: base}
			list = append(list, inlinePatch{item: item, id: id})
		}
	}
	return list
}

// addPatches adds the patches that are short enough to omitted specifications.
func (s *Store) addPatches(list []inlinePatch) {
	for _, in := range list {
		if p := s.worthwhilePatch(in.id, false); p != nil && len(p.data) <= maxInlinePatch {
			in.item.Patch, in.item.PatchSize, in.item.Base = p.data, p.size, uint64(in.id.base)
		}
	}
}
