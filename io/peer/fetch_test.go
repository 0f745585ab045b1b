package peer

import (
	"slices"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/wire"
)

// holder is a peer that has the large object of a test; it answers while answers allows it
// and notes from where it was asked.
type holder struct {
	Target
	mu      sync.Mutex
	offsets []uint64
}

func startHolder(t *testing.T, p *packed, answers func(*wire.FetchCall) bool) *holder {
	t.Helper()
	h := &holder{}
	h.Target, _ = serveCalls(t, &Handler{Fetch: func(c *wire.FetchCall) (*wire.FetchReply, error) {
		h.mu.Lock()
		h.offsets = append(h.offsets, c.GetOffset())
		h.mu.Unlock()
		if !answers(c) {
			return &wire.FetchReply{}, nil
		}
		total := uint64(len(p.data))
		return &wire.FetchReply{Data: p.data[c.GetOffset():min(c.GetOffset()+partSize, total)], Size: total, Sum: p.sum, Unpacked: p.size}, nil
	}})
	return h
}

// asked returns from where the peer was asked so far.
func (h *holder) asked() []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.offsets)
}

// fetching is a store that lacks an object which peers have named.
func fetching(t *testing.T, size int, peers ...*holder) *Store {
	t.Helper()
	s := &Store{Kinds: []core.Kind{core.KindModel}, Client: &Client{}}
	s.init()
	t.Cleanup(s.Client.Close)
	for _, p := range peers {
		s.takeDelta(p.Target, &wire.KindDelta{Kind: "models", Through: 9, Full: true, Items: []*wire.Item{{Name: "qalam", Version: 7, Size: uint64(size)}}})
	}
	s.fetchAll(t.Context())
	return s
}

func held(s *Store) string {
	o, _ := s.Get(core.KindModel, "qalam")
	return string(o.Spec)
}

func TestFetch(t *testing.T) {
	spec := largeDocument(100 << 10)
	p := &packed{build: func() []byte { return spec }}
	p.compress()
	always := func(*wire.FetchCall) bool { return true }
	once := func(c *wire.FetchCall) bool { return c.GetOffset() == 0 }
	t.Run("goes on at another peer from where it had got to", func(t *testing.T) {
		first, second := startHolder(t, p, once), startHolder(t, p, always)
		assert.Equal(t, held(fetching(t, len(spec), first, second)), string(spec))
		assert.DeepEqual(t, first.asked(), []uint64{0, partSize})
		assert.Equal(t, second.asked()[0], uint64(partSize))
	})
	t.Run("goes on where it had got to after no peer had it", func(t *testing.T) {
		first, second := startHolder(t, p, once), startHolder(t, p, always)
		s := fetching(t, len(spec), first)
		assert.Equal(t, held(s), "")
		s.takeDelta(second.Target, &wire.KindDelta{Kind: "models", Through: 9, Full: true, Items: []*wire.Item{{Name: "qalam", Version: 7, Size: uint64(len(spec))}}})
		s.fetchAll(t.Context())
		assert.Equal(t, held(s), string(spec))
		assert.Equal(t, second.asked()[0], uint64(partSize))
	})
	t.Run("asks another peer where one is silent", func(t *testing.T) {
		silent := make(chan struct{})
		defer close(silent)
		first, second := startHolder(t, p, func(*wire.FetchCall) bool { <-silent; return false }), startHolder(t, p, always)
		assert.Equal(t, held(fetching(t, len(spec), first, second)), string(spec))
		assert.Equal(t, len(first.asked()), 1, "asked again though another answers")
	})
	t.Run("begins anew where another peer's compression differs", func(t *testing.T) {
		other := &packed{data: p.data, size: p.size, sum: p.sum + 1}
		first, second := startHolder(t, other, once), startHolder(t, p, always)
		assert.Equal(t, held(fetching(t, len(spec), first, second)), string(spec))
		assert.DeepEqual(t, second.asked()[:2], []uint64{partSize, 0})
	})
	t.Run("passes over a peer that sends something else", func(t *testing.T) {
		spoilt := &packed{data: p.data, size: p.size - 1, sum: p.sum}
		first, second := startHolder(t, spoilt, always), startHolder(t, p, always)
		assert.Equal(t, held(fetching(t, len(spec), first, second)), string(spec))
	})
}
