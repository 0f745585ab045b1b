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

// naming is a delta that names a version of the large object.
func naming(size int, v uint64) *wire.KindDelta {
	return &wire.KindDelta{Kind: "models", Through: v, Full: true, Items: []*wire.Item{{Name: "qalam", Version: v, Size: uint64(size)}}}
}

func makeFetching(t *testing.T) *Store {
	t.Helper()
	s := &Store{Kinds: []core.Kind{core.KindModel}, Client: &Client{}}
	s.init()
	t.Cleanup(s.Client.Close)
	return s
}

// fetching is a store that lacks an object which peers have named, after it has fetched what
// it could.
func fetching(t *testing.T, size int, peers ...*holder) *Store {
	t.Helper()
	s := makeFetching(t)
	for _, p := range peers {
		s.takeDelta(p.Target, naming(size, 7))
	}
	s.fetchAll(t.Context())
	return s
}

// fetchBesideSilent has a store fetch version 7 from a peer that does not answer, while
// another peer names a version and answers.
func fetchBesideSilent(t *testing.T, p *packed, named uint64) *Store {
	t.Helper()
	silent := make(chan struct{})
	defer close(silent)
	asked := make(chan struct{}, 1)
	first := startHolder(t, p, func(*wire.FetchCall) bool { asked <- struct{}{}; <-silent; return false })
	second := startHolder(t, p, func(*wire.FetchCall) bool { return true })
	s := makeFetching(t)
	s.takeDelta(first.Target, naming(int(p.size), 7))
	fetched := make(chan struct{})
	go func() {
		s.fetchAll(t.Context())
		close(fetched)
	}()
	<-asked
	s.takeDelta(second.Target, naming(int(p.size), named))
	<-fetched
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
		s.takeDelta(second.Target, naming(len(spec), 7))
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
	t.Run("asks a peer that has named it while another is silent", func(t *testing.T) {
		assert.Equal(t, held(fetchBesideSilent(t, p, 7)), string(spec))
	})
	t.Run("leaves a silent peer's version for a newer one", func(t *testing.T) {
		s := fetchBesideSilent(t, p, 8)
		assert.Equal(t, held(s), string(spec))
		o, _ := s.Get(core.KindModel, "qalam")
		assert.Equal(t, o.Version, core.Version(8))
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
