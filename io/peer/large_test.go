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

// largeDocument returns a document of about so many bytes that does not compress well.
func largeDocument(bytes int) []byte {
	raw := make([]byte, bytes*3/4)
	r := rand.New(rand.NewPCG(1, 2))
	for i := range raw {
		raw[i] = byte(r.Uint32())
	}
	return []byte(`{"text":"` + base64.StdEncoding.EncodeToString(raw) + `"}`)
}

// remote is a process that the platform does not reach, behind a link of a limited rate, and
// the calls of others that it made in vain.
type remote struct {
	*process
	cut chan error
}

// startRemote starts a process that exchanges with all others of the fleet through one
// link, of some bytes a second.
func (f *fleet) startRemote(rate float64) *remote {
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
	r := &remote{cut: make(chan error, 64)}
	r.process = f.start(func(s *Store) {
		s.Platform = &objapi.Client{Address: netip.MustParseAddrPort("127.0.0.1:9")}
		s.Peers = func() []Target { return slices.Clone(through) }
		s.Failed = func(err error) {
			var failed *CallError
			if errors.As(err, &failed) {
				r.cut <- err
			}
		}
	})
	return r
}

// mostCut is how many exchanges may fail before a change counts as never arriving.
const mostCut = 4

// wait waits for a condition, for as long as few exchanges fail.
func (r *remote) wait(what string, cond func() bool) {
	r.t.Helper()
	failed := 0
	for !cond() {
		select {
		case <-r.changed:
		case err := <-r.cut:
			failed++
			assert.Assert(r.t, failed < mostCut, "%s: %v", what, err)
		}
	}
}

// startLarge starts processes that hold an object of about so many bytes, and returns its
// specification.
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

// Guards against an object that no exchange can carry within its deadline and that
// therefore never arrives.
func TestLargeObjectArrivesOverSlowLink(t *testing.T) {
	f, spec := startLarge(t, 800<<10, 1)
	far := f.startRemote(400 << 10)
	far.wait("the object", far.has("qalam"))
	got, _ := far.Get(core.KindModel, "qalam")
	assert.Equal(t, string(got.Spec), string(spec))
}

// Guards against a process that has several others send it the same large object at once.
func TestLargeObjectIsSentOnce(t *testing.T) {
	f, spec := startLarge(t, 800<<10, 8)
	far := f.startRemote(4 << 20)
	far.wait("the object", far.has("qalam"))
	_, received := far.client.Traffic()
	assert.Assert(t, received < int64(len(spec))*3/2, "received %d bytes of an object of %d", received, len(spec))
}

// Guards against a host that leaves, or another small change, being held up or lost
// together with a large object.
func TestSmallChangePassesLargeObject(t *testing.T) {
	f := startFleet(t, &apisrv.Server{Seed: []core.Object{model("qalam"), grant("first")}})
	near := f.start(nil)
	near.until(func() bool { return near.has("qalam")() && near.hasGrant("first")() })
	far := f.startRemote(400 << 10)
	far.wait("what was there", func() bool { return far.has("qalam")() && far.hasGrant("first")() })

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

// Guards against changes that are small but so many that no exchange can carry them, and
// that therefore never arrive.
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
	far := f.startRemote(400 << 10)
	far.wait("all objects", func() bool { return len(far.All(core.KindModel)) == objects })
	assert.Assert(t, far.Status(core.KindModel).Through > 0)
}

// Guards against a part that takes longer than a call for it may, each time.
func TestPartArrivesOverVerySlowLink(t *testing.T) {
	f, _ := startLarge(t, 64<<10, 1)
	far := f.startRemote(16 << 10)
	far.wait("the object", far.has("qalam"))
}
