package peer

import (
	"slices"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/wire"
)

// partSource is a peer that holds a large object and records the offsets requested from
// it.
type partSource struct {
	Target
	mu      sync.Mutex
	offsets []uint64
}

// startPartSource starts a peer that returns the parts of p for which responds reports
// true, and empty replies for the others.
func startPartSource(t *testing.T, p *payload, responds func(*wire.FetchCall) bool) *partSource {
	t.Helper()
	s := &partSource{}
	s.Target, _ = serveCalls(t, &Handler{Fetch: func(c *wire.FetchCall) (*wire.FetchReply, error) {
		s.mu.Lock()
		s.offsets = append(s.offsets, c.GetOffset())
		s.mu.Unlock()
		if !responds(c) {
			return &wire.FetchReply{}, nil
		}
		total := uint64(len(p.data))
		return &wire.FetchReply{Data: p.data[c.GetOffset():min(c.GetOffset()+partSize, total)], Size: total, Sum: p.sum, Unpacked: p.size}, nil
	}})
	return s
}

// requestedOffsets returns the offsets requested so far.
func (s *partSource) requestedOffsets() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.offsets)
}

// deltaNaming returns a delta that names a version of the large object and omits its
// content.
func deltaNaming(size int, v uint64) *wire.KindDelta {
	return &wire.KindDelta{Kind: "models", Through: v, Full: true, Items: []*wire.Item{{Name: "qalam", Version: v, Size: uint64(size)}}}
}

func newFetchStore(t *testing.T) *Store {
	t.Helper()
	s := &Store{Kinds: []core.Kind{core.KindModel}, Client: &Client{}}
	s.init()
	t.Cleanup(s.Client.Close)
	return s
}

// fetchFrom returns a store after it has downloaded what it can of an object that peers
// have named.
func fetchFrom(t *testing.T, size int, peers ...*partSource) *Store {
	t.Helper()
	s := newFetchStore(t)
	for _, p := range peers {
		s.joinWireDelta(p.Target, deltaNaming(size, 7))
	}
	s.downloadAll(t.Context(), core.KindModel)
	return s
}

// fetchWithSilentSource has a store download version 7 from a peer that does not respond,
// while another peer names a version and responds.
func fetchWithSilentSource(t *testing.T, p *payload, named uint64) *Store {
	t.Helper()
	silent := make(chan struct{})
	defer close(silent)
	asked := make(chan struct{}, 1)
	first := startPartSource(t, p, func(*wire.FetchCall) bool { asked <- struct{}{}; <-silent; return false })
	second := startPartSource(t, p, func(*wire.FetchCall) bool { return true })
	s := newFetchStore(t)
	s.joinWireDelta(first.Target, deltaNaming(int(p.size), 7))
	fetched := make(chan struct{})
	go func() {
		s.downloadAll(t.Context(), core.KindModel)
		close(fetched)
	}()
	<-asked
	s.joinWireDelta(second.Target, deltaNaming(int(p.size), named))
	<-fetched
	return s
}

func heldSpec(s *Store) string {
	o, _ := s.Get(core.KindModel, "qalam")
	return string(o.Spec)
}

func TestFetch(t *testing.T) {
	spec := largeDocument(100 << 10)
	p := &payload{build: func() ([]byte, int) { return spec, len(spec) }}
	p.compress()
	always := func(*wire.FetchCall) bool { return true }
	once := func(c *wire.FetchCall) bool { return c.GetOffset() == 0 }
	t.Run("continues at the same offset with another peer", func(t *testing.T) {
		first, second := startPartSource(t, p, once), startPartSource(t, p, always)
		assert.Equal(t, heldSpec(fetchFrom(t, len(spec), first, second)), string(spec))
		assert.DeepEqual(t, first.requestedOffsets(), []uint64{0, partSize})
		assert.Equal(t, second.requestedOffsets()[0], uint64(partSize))
	})
	t.Run("continues at the same offset after no peer had it", func(t *testing.T) {
		first, second := startPartSource(t, p, once), startPartSource(t, p, always)
		s := fetchFrom(t, len(spec), first)
		assert.Equal(t, heldSpec(s), "")
		s.joinWireDelta(second.Target, deltaNaming(len(spec), 7))
		s.downloadAll(t.Context(), core.KindModel)
		assert.Equal(t, heldSpec(s), string(spec))
		assert.Equal(t, second.requestedOffsets()[0], uint64(partSize))
	})
	t.Run("asks another peer if one is silent", func(t *testing.T) {
		silent := make(chan struct{})
		defer close(silent)
		first, second := startPartSource(t, p, func(*wire.FetchCall) bool { <-silent; return false }), startPartSource(t, p, always)
		assert.Equal(t, heldSpec(fetchFrom(t, len(spec), first, second)), string(spec))
		assert.Equal(t, len(first.requestedOffsets()), 1, "first peer asked again although another responds")
	})
	t.Run("asks a peer that names the object while another is silent", func(t *testing.T) {
		assert.Equal(t, heldSpec(fetchWithSilentSource(t, p, 7)), string(spec))
	})
	t.Run("abandons a silent peer's version for a newer one", func(t *testing.T) {
		s := fetchWithSilentSource(t, p, 8)
		assert.Equal(t, heldSpec(s), string(spec))
		o, _ := s.Get(core.KindModel, "qalam")
		assert.Equal(t, o.Version, core.Version(8))
	})
	t.Run("restarts if another peer's compression differs", func(t *testing.T) {
		other := &payload{data: p.data, size: p.size, sum: p.sum + 1}
		first, second := startPartSource(t, other, once), startPartSource(t, p, always)
		assert.Equal(t, heldSpec(fetchFrom(t, len(spec), first, second)), string(spec))
		assert.DeepEqual(t, second.requestedOffsets()[:2], []uint64{partSize, 0})
	})
	t.Run("skips a peer that sends a corrupt payload", func(t *testing.T) {
		corrupt := &payload{data: p.data, size: p.size - 1, sum: p.sum}
		first, second := startPartSource(t, corrupt, always), startPartSource(t, p, always)
		assert.Equal(t, heldSpec(fetchFrom(t, len(spec), first, second)), string(spec))
	})
}
