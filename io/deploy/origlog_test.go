package deploy

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/follow"
	"radishwell/core/origin"
	plat "radishwell/platform"
	"radishwell/platform/stand"
)

// logRig is an entry's log of where streams began, on a store.
type logRig struct {
	store *stand.Store
	// writesRefused is set while the store refuses all writes.
	writesRefused atomic.Bool
	*originLog
}

// ServeHTTP implements http.Handler.
func (r *logRig) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if r.writesRefused.Load() && req.Method != http.MethodGet {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	r.store.ServeHTTP(w, req)
}

func newLogRig(t *testing.T) *logRig {
	t.Helper()
	r := &logRig{store: &stand.Store{}}
	srv := httptest.NewServer(r)
	t.Cleanup(srv.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	e := &entry{Process: &Process{clock: newClock(), store: &plat.Store{Address: address, Client: &http.Client{}}}}
	e.members.clock, e.members.self = e.clock, follow.Member{Name: "edge-1"}
	r.originLog = newOriginLog(e)
	return r
}

var (
	atVersion = core.StreamOrigin{Service: "llm", Software: "v1", Host: "i-1", Born: 7}
	unstated  = core.StreamOrigin{Service: "llm", Host: "i-2", Born: 8}
)

// saveAndRead saves the origin of a stream, and reads the store.
func (r *logRig) saveAndRead(t *testing.T, attempt core.RequestID, o core.StreamOrigin) {
	t.Helper()
	r.save([]origin.Record{{Key: origin.KeyOf(attempt), Origin: o, Until: r.entry.clock.Now().Add(time.Minute)}})
	for n := 0; r.waits() && n < 4; n++ {
		_, _ = r.read(t.Context())
		r.write(t.Context())
	}
	assert.Assert(t, !r.waits())
	_, ok := r.read(t.Context())
	assert.Assert(t, ok)
}

func (r *logRig) wantFound(t *testing.T, attempt core.RequestID, want core.StreamOrigin) {
	t.Helper()
	o, ok := r.find(origin.KeyOf(attempt))
	assert.Assert(t, ok)
	assert.Equal(t, o, want)
}

// Guards against records in the store that another process reads differently.
func TestSavedOriginsAreReadBack(t *testing.T) {
	r := newLogRig(t)
	r.saveAndRead(t, "q-1", atVersion)
	r.saveAndRead(t, "q-2", unstated)
	r.wantFound(t, "q-1", core.StreamOrigin{Service: "llm", Software: "v1"})
	r.wantFound(t, "q-2", unstated)
	assert.Equal(t, r.store.Len(string(core.KindOrigins)), 1)
	_, ok := r.find(origin.KeyOf("q-3"))
	assert.Assert(t, !ok)
}

// Guards against records that are lost since the store has not the version of their object that the
// entry expects.
func TestOriginsAreSavedOverOtherVersions(t *testing.T) {
	for name, disturb := range map[string]func(r *logRig){
		"an object is written by an earlier write": func(r *logRig) { r.store.Put(string(core.KindOrigins), "edge-1-1", `{"origins":[]}`) },
		"an object is deleted":                     func(r *logRig) { r.store.Remove(string(core.KindOrigins), "edge-1-1") },
		"the store is restored":                    func(r *logRig) { r.store.Restore(stand.Copy{}) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newLogRig(t)
			r.saveAndRead(t, "q-1", atVersion)
			disturb(r)
			r.saveAndRead(t, "q-2", unstated)
			r.wantFound(t, "q-1", core.StreamOrigin{Service: "llm", Software: "v1"})
			r.wantFound(t, "q-2", unstated)
		})
	}
}

// Guards against an object that cannot be read and hides all others.
func TestDamagedOriginsHideNoOthers(t *testing.T) {
	r := newLogRig(t)
	r.store.Put(string(core.KindOrigins), "edge-0-1", `{"origins":7}`)
	r.saveAndRead(t, "q-1", atVersion)
	r.wantFound(t, "q-1", core.StreamOrigin{Service: "llm", Software: "v1"})
}

// Guards against a stream that goes on by whichever of two records comes last, after a request ID was used
// twice.
func TestContradictingOriginsAreNotUsed(t *testing.T) {
	r := newLogRig(t)
	for i, software := range []core.SoftwareVersion{"v1", "v2", "v1"} {
		key := origin.Record{Key: origin.KeyOf("q-1"), Origin: core.StreamOrigin{Service: "llm", Software: software}}
		spec, err := json.Marshal(encodeOrigins([]origin.Record{key}))
		assert.NilError(t, err)
		r.store.Put(string(core.KindOrigins), fmt.Sprint("edge-", i, "-1"), string(spec))
	}
	_, ok := r.read(t.Context())
	assert.Assert(t, ok)
	_, found := r.find(origin.KeyOf("q-1"))
	assert.Assert(t, !found)
}

// Guards against callers who are refused since the store takes no writes, though it can be read.
func TestRefusedWriteStopsNoReads(t *testing.T) {
	r := newLogRig(t)
	r.saveAndRead(t, "q-1", atVersion)
	r.found, r.readAt = nil, time.Time{}
	r.writesRefused.Store(true)
	r.save([]origin.Record{{Key: origin.KeyOf("q-2"), Origin: atVersion, Until: r.entry.clock.Now().Add(time.Minute)}})
	assert.Assert(t, !r.write(t.Context()))
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- r.runReads(ctx) }()
	a := r.Find(t.Context(), "q-1")
	assert.Assert(t, a.Found && a.Complete, "%+v", a)
	stop()
	assert.NilError(t, <-ended)
}

// Guards against objects of entries that have left, which would stay in the store for ever.
func TestOriginsOfEntriesThatLeftAreDeleted(t *testing.T) {
	r := newLogRig(t)
	r.store.Put(string(core.KindOrigins), "gone-3", `{"origins":[]}`)
	r.saveAndRead(t, "q-1", atVersion)
	before := r.sweep(t.Context(), map[string]core.Version{})
	assert.Equal(t, r.store.Len(string(core.KindOrigins)), 2)
	r.saveAndRead(t, "q-2", atVersion)
	r.sweep(t.Context(), before)
	assert.Equal(t, r.store.Len(string(core.KindOrigins)), 1)
	r.wantFound(t, "q-1", core.StreamOrigin{Service: "llm", Software: "v1"})
}

// Guards against calls to the store that grow with the number of entries.
func TestFewEntriesSaveOrigins(t *testing.T) {
	r := newLogRig(t)
	var others []follow.Member
	for i := range 399 {
		others = append(others, follow.Member{Name: core.HostName(fmt.Sprint("other-", i))})
	}
	r.entry.members.ranked = follow.Rank(others)
	assert.Equal(t, len(r.writers()), 32)
}
