package objapi

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/io/fakes/apisrv"
)

// lossy is a platform whose writes meet scripted faults, one a write.
type lossy struct {
	*Client
	faults []fault
	writes int
	// held is a write that is still on its way.
	held func() (core.Object, error)
}

// fault is what happens to one write.
type fault uint8

const (
	none fault = iota
	// answerLost: the write takes effect, its answer is lost.
	answerLost
	// requestLost: the write never arrives.
	requestLost
	// delayed: the write arrives just before the next one.
	delayed
	// overtaken: the write takes effect, its answer is lost, and another
	// writer follows it.
	overtaken
	// forestalled: another writer comes first, and the answer is lost.
	forestalled
)

func (l *lossy) write(o core.Object, send func() (core.Object, error)) (core.Object, error) {
	f := none
	if l.writes < len(l.faults) {
		f = l.faults[l.writes]
	}
	l.writes++
	if l.held != nil {
		_, _ = l.held()
		l.held = nil
	}
	unknown := &core.PlatformError{Fault: core.Unknown, Kind: o.Kind, Name: o.Name}
	switch f {
	case none:
		return send()
	case delayed:
		l.held = send
	case requestLost:
		return core.Object{}, unknown
	case forestalled:
		l.rival(o)
		_, _ = send()
	case overtaken:
		_, _ = send()
		l.rival(o)
	case answerLost:
		_, _ = send()
	}
	return core.Object{}, unknown
}

// rival writes another spec over whatever is there.
func (l *lossy) rival(o core.Object) {
	got, err := l.Get(context.Background(), o.Kind, o.Name)
	o.Spec = []byte(`{"writer":"rival"}`)
	if err != nil {
		_, _ = l.Client.Create(context.Background(), o)
		return
	}
	got.Spec = o.Spec
	_, _ = l.Client.Update(context.Background(), got)
}

func (l *lossy) Create(ctx context.Context, o core.Object) (core.Object, error) {
	return l.write(o, func() (core.Object, error) { return l.Client.Create(ctx, o) })
}

func (l *lossy) Update(ctx context.Context, o core.Object) (core.Object, error) {
	return l.write(o, func() (core.Object, error) { return l.Client.Update(ctx, o) })
}

func (l *lossy) Delete(ctx context.Context, kind core.Kind, name string, v core.Version) error {
	_, err := l.write(core.Object{Kind: kind, Name: name}, func() (core.Object, error) {
		return core.Object{}, l.Client.Delete(ctx, kind, name, v)
	})
	return err
}

// settled is what a settled write must end in.
type settled struct {
	name   string
	faults []fault
	// failed tells that the write must fail with fault.
	failed bool
	fault  core.PlatformFault
	// spec is what the platform must hold in the end; writes how often the
	// write may have been sent.
	spec   string
	writes int
}

const (
	ours   = `{"writer":"us","number":9007199254740993}`
	theirs = `{"writer":"rival"}`
	before = `{"writer":"nobody"}`
)

// TestSettleUpdate: an entry writes its lease; the platform commits it and the
// answer is lost. The entry must find out that it holds the lease, neither
// giving it up nor holding it beside a rival.
func TestSettleUpdate(t *testing.T) {
	cases := []settled{
		{name: "answered", spec: ours, writes: 1},
		{name: "answer lost", faults: []fault{answerLost}, spec: ours, writes: 1},
		{name: "request lost", faults: []fault{requestLost}, spec: ours, writes: 2},
		{name: "request lost, then answer lost", faults: []fault{requestLost, answerLost}, spec: ours, writes: 2},
		{name: "request delayed", faults: []fault{delayed}, spec: ours, writes: 2},
		{name: "a rival came first", faults: []fault{forestalled}, failed: true, fault: core.Conflict, spec: theirs, writes: 1},
		{name: "a rival came after", faults: []fault{overtaken}, failed: true, fault: core.Conflict, spec: theirs, writes: 1},
		{name: "request lost, then a rival", faults: []fault{requestLost, forestalled}, failed: true, fault: core.Conflict, spec: theirs, writes: 2},
		{name: "never arrives", faults: []fault{requestLost, requestLost, requestLost}, failed: true, fault: core.Unknown, spec: before, writes: 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := start(t, &apisrv.Server{Seed: []core.Object{model("lease", before)}})
			l := &lossy{Client: p.Client, faults: c.faults}
			o, err := l.Get(context.Background(), core.KindModel, "lease")
			assert.NilError(t, err)
			o.Spec = []byte(ours)
			got, err := Settler{Platform: l}.Update(context.Background(), o, nil)
			c.check(t, p, l, "lease", got, err)
		})
	}
}

func TestSettleCreate(t *testing.T) {
	cases := []settled{
		{name: "answered", spec: ours, writes: 1},
		{name: "answer lost", faults: []fault{answerLost}, spec: ours, writes: 1},
		{name: "request lost", faults: []fault{requestLost}, spec: ours, writes: 2},
		{name: "request delayed", faults: []fault{delayed}, spec: ours, writes: 2},
		{name: "a rival came first", faults: []fault{forestalled}, failed: true, fault: core.Exists, spec: theirs, writes: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := start(t, &apisrv.Server{})
			l := &lossy{Client: p.Client, faults: c.faults}
			got, err := Settler{Platform: l}.Create(context.Background(), model("lease", ours), nil)
			c.check(t, p, l, "lease", got, err)
		})
	}
}

func TestSettleDelete(t *testing.T) {
	cases := []settled{
		{name: "answered", writes: 1},
		{name: "answer lost", faults: []fault{answerLost}, writes: 1},
		{name: "request lost", faults: []fault{requestLost}, writes: 2},
		{name: "request delayed", faults: []fault{delayed}, writes: 2},
		{name: "a rival came first", faults: []fault{forestalled}, failed: true, fault: core.Conflict, spec: theirs, writes: 1},
		{name: "created anew after", faults: []fault{overtaken}, spec: theirs, writes: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := start(t, &apisrv.Server{Seed: []core.Object{model("lease", before)}})
			l := &lossy{Client: p.Client, faults: c.faults}
			o, err := l.Get(context.Background(), core.KindModel, "lease")
			assert.NilError(t, err)
			err = Settler{Platform: l}.Delete(context.Background(), o)
			c.check(t, p, l, "lease", core.Object{}, err)
		})
	}
}

// check compares the end of a settled write with what it must be.
func (c settled) check(t *testing.T, p *platform, l *lossy, name string, got core.Object, err error) {
	t.Helper()
	assert.Equal(t, l.writes, c.writes)
	if c.failed {
		assertFault(t, err, c.fault)
	} else {
		assert.NilError(t, err)
	}
	held, err := p.Get(context.Background(), core.KindModel, name)
	if c.spec == "" {
		assertFault(t, err, core.NotFound)
		return
	}
	assert.NilError(t, err)
	assert.Equal(t, string(held.Spec), c.spec)
	if !c.failed && got.Name != "" {
		assert.Equal(t, got.Version, held.Version)
	}
}

// TestSettleStatus: the answer to an operator-visible status is lost; it must
// be found applied without a second write.
func TestSettleStatus(t *testing.T) {
	p := start(t, &apisrv.Server{Seed: []core.Object{model("qalam", before)}})
	o, err := p.Get(context.Background(), core.KindModel, "qalam")
	assert.NilError(t, err)
	o.Status = []byte(`{"accepted":false}`)
	p.srv.SetFaults(apisrv.Faults{LoseAnswers: 1})
	got, err := Settler{Platform: p.Client}.UpdateStatus(context.Background(), o, nil)
	assert.NilError(t, err)
	assert.Equal(t, string(got.Status), `{"accepted":false}`)
	assert.Equal(t, p.srv.Calls()["update-status"], 1)
}

func TestSameSpec(t *testing.T) {
	same := SameSpec(model("a", `{"fence":9007199254740993,"holders":[1]}`))
	assert.Assert(t, same(model("a", `{ "holders": [1], "fence": 9007199254740993 }`)))
	assert.Assert(t, !same(model("a", `{"fence":9007199254740992,"holders":[1]}`)))
	assert.Assert(t, !same(model("a", ``)))
}
