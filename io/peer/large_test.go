package peer

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/io/fakes/apisrv"
	"radishwell/io/fakes/midbox"
	"radishwell/io/objapi"
)

// largeDocument returns a document of about the given size in bytes that does not
// compress well.
func largeDocument(bytes int) []byte {
	raw := make([]byte, bytes*3/4)
	r := rand.New(rand.NewPCG(1, 2))
	for i := range raw {
		raw[i] = byte(r.Uint32())
	}
	return []byte(`{"text":"` + base64.StdEncoding.EncodeToString(raw) + `"}`)
}

// remoteProcess is a process that the platform does not reach, behind a link of limited
// bandwidth. failedCalls receives the errors of its calls to peers.
type remoteProcess struct {
	*process
	failedCalls chan error
}

// startRemoteProcess starts a process that exchanges with all others of the fleet over
// one link with the given rate in bytes per second.
func (f *fleet) startRemoteProcess(rate float64) *remoteProcess {
	f.t.Helper()
	link := &midbox.Link{Rate: rate}
	var through []Target
	for _, p := range f.peers() {
		box, err := midbox.New(p.Address)
		assert.NilError(f.t, err)
		f.t.Cleanup(box.Close)
		box.Limit(midbox.ToClient, link)
		through = append(through, Target{Host: p.Host, Address: box.At()})
	}
	r := &remoteProcess{failedCalls: make(chan error, 64)}
	r.process = f.start(func(s *Store) {
		s.Platform = &objapi.Client{Address: netip.MustParseAddrPort("127.0.0.1:9")}
		s.Peers = func() []Target { return slices.Clone(through) }
		s.OnError = func(err error) {
			var failed *CallError
			if errors.As(err, &failed) {
				r.failedCalls <- err
			}
		}
	})
	return r
}

// maxFailedCalls is how many exchanges may fail before a test decides that the change
// never arrives.
const maxFailedCalls = 4

// wait waits for a condition. The test fails after maxFailedCalls failed exchanges.
func (r *remoteProcess) wait(what string, cond func() bool) {
	r.t.Helper()
	failed := 0
	for !cond() {
		select {
		case <-r.changed:
		case err := <-r.failedCalls:
			failed++
			assert.Assert(r.t, failed < maxFailedCalls, "%s: %v", what, err)
		}
	}
}

// startLarge starts processes that hold an object of about the given size in bytes, and
// returns its specification.
func startLarge(t *testing.T, bytes, processes int) (*fleet, []byte) {
	t.Helper()
	large := model("qalam")
	large.Spec = largeDocument(bytes)
	f := startFleet(t, &apisrv.Server{Seed: []core.Object{large}})
	var all []*process
	for range processes {
		all = append(all, f.start(nil))
	}
	for _, p := range all {
		p.until(p.has("qalam"))
	}
	return f, large.Spec
}

func (f *fleet) platform() *objapi.Client { return &objapi.Client{Address: f.addr} }

func grant(name string) core.Object {
	return core.Object{Kind: core.KindGrant, Name: name, Spec: []byte(`{}`)}
}

func (p *process) hasGrant(name string) func() bool {
	return func() bool {
		_, ok := p.Get(core.KindGrant, name)
		return ok
	}
}

// TestLargeObjectArrivesOverSlowLink: an object is so large that no exchange over the
// link can carry it within its deadline. It must arrive nevertheless.
func TestLargeObjectArrivesOverSlowLink(t *testing.T) {
	f, spec := startLarge(t, 800<<10, 1)
	far := f.startRemoteProcess(400 << 10)
	far.wait("the object", far.has("qalam"))
	got, _ := far.Get(core.KindModel, "qalam")
	assert.Equal(t, string(got.Spec), string(spec))
}

// TestLargeObjectIsSentOnce: several peers offer a process the same large object. They
// must not all send it.
func TestLargeObjectIsSentOnce(t *testing.T) {
	f, spec := startLarge(t, 800<<10, 8)
	far := f.startRemoteProcess(4 << 20)
	far.wait("the object", far.has("qalam"))
	_, received := far.client.Traffic()
	assert.Assert(t, received < int64(len(spec))*3/2, "received %d bytes for an object of %d", received, len(spec))
}

// TestSmallChangePassesLargeObject: a host leaves, or there is another small change,
// while a large object is in transit. The small change must not be delayed or lost with
// the large object.
func TestSmallChangePassesLargeObject(t *testing.T) {
	f := startFleet(t, &apisrv.Server{Seed: []core.Object{model("qalam"), grant("first")}})
	near := f.start(nil)
	near.until(func() bool { return near.has("qalam")() && near.hasGrant("first")() })
	far := f.startRemoteProcess(400 << 10)
	far.wait("the existing objects", func() bool { return far.has("qalam")() && far.hasGrant("first")() })

	ctx := context.Background()
	large, ok := near.Get(core.KindModel, "qalam")
	assert.Assert(t, ok)
	large.Spec = largeDocument(800 << 10)
	large, err := f.platform().Update(ctx, large)
	assert.NilError(t, err)
	holds := func(p *process) func() bool {
		return func() bool {
			o, _ := p.Get(core.KindModel, "qalam")
			return o.Version >= large.Version
		}
	}
	near.until(holds(near))
	_, err = f.platform().Create(ctx, grant("second"))
	assert.NilError(t, err)
	far.wait("the small change", far.hasGrant("second"))
	assert.Assert(t, !holds(far.process)(), "the large object came before the small change")
	far.wait("the large object", holds(far.process))
}

// TestManyChangesArriveOverSlowLink: there are so many small changes that no exchange
// over the link can carry them within its deadline. They must arrive nevertheless.
func TestManyChangesArriveOverSlowLink(t *testing.T) {
	const objects = 4000
	text := largeDocument(objects * 256)
	var seed []core.Object
	for i := range objects {
		o := model(fmt.Sprintf("qalam-%d", i))
		o.Spec = []byte(`{"text":"` + string(text[9+i*256:][:220]) + `"}`)
		seed = append(seed, o)
	}
	f := startFleet(t, &apisrv.Server{Seed: seed})
	near := f.start(nil)
	near.until(func() bool { return len(near.All(core.KindModel)) == objects })
	far := f.startRemoteProcess(400 << 10)
	far.wait("all objects", func() bool { return len(far.All(core.KindModel)) == objects })
	assert.Assert(t, far.Status(core.KindModel).Through > 0)
}

// TestPartArrivesOverVerySlowLink: a part takes longer than hedgeDelay and than the
// deadline of an exchange. The object must arrive nevertheless.
func TestPartArrivesOverVerySlowLink(t *testing.T) {
	f, _ := startLarge(t, 64<<10, 1)
	far := f.startRemoteProcess(16 << 10)
	far.wait("the object", far.has("qalam"))
}

// TestChangeOfLargeObjectCostsItsSize: a few bytes of a large object change. Peers that have the
// version before must not be sent all of it again.
func TestChangeOfLargeObjectCostsItsSize(t *testing.T) {
	f, spec := startLarge(t, 800<<10, 2)
	far := f.startRemoteProcess(4 << 20)
	far.wait("the object", far.has("qalam"))
	_, before := far.client.Traffic()
	for i := range 3 {
		o, _ := far.Get(core.KindModel, "qalam")
		spec = slices.Concat(spec[:1000*i+500], []byte("changed"), spec[1000*i+510:])
		o.Spec = spec
		o, err := f.platform().Update(context.Background(), o)
		assert.NilError(t, err)
		far.wait("the change", func() bool {
			held, _ := far.Get(core.KindModel, "qalam")
			return held.Version >= o.Version
		})
	}
	got, _ := far.Get(core.KindModel, "qalam")
	assert.Equal(t, string(got.Spec), string(spec))
	_, after := far.client.Traffic()
	assert.Assert(t, after-before < 64<<10, "received %d bytes for three small changes", after-before)
}
