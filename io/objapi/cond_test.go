package objapi

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/io/fakes/apisrv"
)

// lossy is a platform on whose writes scripted faults are injected, one for each write.
type lossy struct {
	*Client
	faults []fault
	writes int
	// delayedWrite is a write that has not arrived yet.
	delayedWrite func() (core.Object, error)
}

// fault is a fault injected on one write.
type fault uint8

const (
	none fault = iota
	// answerLost: the write takes effect, its answer is lost.
	answerLost
	// requestLost: the write never arrives.
	requestLost
	// delayed: the write arrives just before the next one.
	delayed
	// rivalAfter: the write takes effect, its answer is lost, and another writer
	// writes after it.
	rivalAfter
	// rivalBefore: another writer writes first, and the answer is lost.
	rivalBefore
)

func (l *lossy) write(o core.Object, send func() (core.Object, error)) (core.Object, error) {
	f := none
	if l.writes < len(l.faults) {
		f = l.faults[l.writes]
	}
	l.writes++
	if l.delayedWrite != nil {
		_, _ = l.delayedWrite()
		l.delayedWrite = nil
	}
	unknown := &core.PlatformError{Fault: core.Unknown, Kind: o.Kind, Name: o.Name}
	switch f {
	case none:
		return send()
	case delayed:
		l.delayedWrite = send
	case requestLost:
		return core.Object{}, unknown
	case rivalBefore:
		l.rival(o)
		_, _ = send()
	case rivalAfter:
		_, _ = send()
		l.rival(o)
	case answerLost:
		_, _ = send()
	}
	return core.Object{}, unknown
}

// rival writes another spec, whether or not the object exists.
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

// writeCase is the expected result of a conditional write under injected faults.
type writeCase struct {
	name   string
	faults []fault
	// failed is set if the write must fail with fault.
	failed bool
	fault  core.PlatformFault
	// spec is the spec that the platform must hold in the end.
	spec string
	// writes is the number of times that the write must be sent.
	writes int
}

const (
	ours   = `{"writer":"us","number":9007199254740993}`
	theirs = `{"writer":"rival"}`
	before = `{"writer":"nobody"}`
)

// TestConditionalUpdate guards against an entry that misjudges whether it holds its lease after
// the platform committed the write and the answer was lost. The entry must neither give
// the lease up nor hold it together with a rival.
func TestConditionalUpdate(t *testing.T) {
	cases := []writeCase{
		{name: "answered", spec: ours, writes: 1},
		{name: "answer lost", faults: []fault{answerLost}, spec: ours, writes: 1},
		{name: "request lost", faults: []fault{requestLost}, spec: ours, writes: 2},
		{name: "request lost, then answer lost", faults: []fault{requestLost, answerLost}, spec: ours, writes: 2},
		{name: "request delayed", faults: []fault{delayed}, spec: ours, writes: 2},
		{name: "a rival came first", faults: []fault{rivalBefore}, failed: true, fault: core.Conflict, spec: theirs, writes: 1},
		{name: "a rival came after", faults: []fault{rivalAfter}, failed: true, fault: core.Conflict, spec: theirs, writes: 1},
		{name: "request lost, then a rival", faults: []fault{requestLost, rivalBefore}, failed: true, fault: core.Conflict, spec: theirs, writes: 2},
		{name: "never arrives", faults: []fault{requestLost, requestLost, requestLost}, failed: true, fault: core.Unknown, spec: before, writes: 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := start(t, &apisrv.Server{Seed: []core.Object{model("lease", before)}})
			l := &lossy{Client: p.Client, faults: c.faults}
			o, err := l.Get(context.Background(), core.KindModel, "lease")
			assert.NilError(t, err)
			o.Spec = []byte(ours)
			got, err := ConditionalWriter{Platform: l}.Update(context.Background(), o, nil)
			c.check(t, p, l, "lease", got, err)
		})
	}
}

func TestConditionalCreate(t *testing.T) {
	cases := []writeCase{
		{name: "answered", spec: ours, writes: 1},
		{name: "answer lost", faults: []fault{answerLost}, spec: ours, writes: 1},
		{name: "request lost", faults: []fault{requestLost}, spec: ours, writes: 2},
		{name: "request delayed", faults: []fault{delayed}, spec: ours, writes: 2},
		{name: "a rival came first", faults: []fault{rivalBefore}, failed: true, fault: core.Exists, spec: theirs, writes: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := start(t, &apisrv.Server{})
			l := &lossy{Client: p.Client, faults: c.faults}
			got, err := ConditionalWriter{Platform: l}.Create(context.Background(), model("lease", ours), nil)
			c.check(t, p, l, "lease", got, err)
		})
	}
}

func TestConditionalDelete(t *testing.T) {
	cases := []writeCase{
		{name: "answered", writes: 1},
		{name: "answer lost", faults: []fault{answerLost}, writes: 1},
		{name: "request lost", faults: []fault{requestLost}, writes: 2},
		{name: "request delayed", faults: []fault{delayed}, writes: 2},
		{name: "a rival came first", faults: []fault{rivalBefore}, failed: true, fault: core.Conflict, spec: theirs, writes: 1},
		{name: "a rival created it again", faults: []fault{rivalAfter}, spec: theirs, writes: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := start(t, &apisrv.Server{Seed: []core.Object{model("lease", before)}})
			l := &lossy{Client: p.Client, faults: c.faults}
			o, err := l.Get(context.Background(), core.KindModel, "lease")
			assert.NilError(t, err)
			err = ConditionalWriter{Platform: l}.Delete(context.Background(), o)
			c.check(t, p, l, "lease", core.Object{}, err)
		})
	}
}

// check compares the result of a conditional write with the expected one.
func (c writeCase) check(t *testing.T, p *platform, l *lossy, name string, got core.Object, err error) {
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

// TestConditionalStatus guards against a second write of a status whose answer was lost. The
// status must be found applied by reading it back.
func TestConditionalStatus(t *testing.T) {
	p := start(t, &apisrv.Server{Seed: []core.Object{model("qalam", before)}})
	o, err := p.Get(context.Background(), core.KindModel, "qalam")
	assert.NilError(t, err)
	o.Status = []byte(`{"accepted":false}`)
	p.srv.SetFaults(apisrv.Faults{LoseAnswers: 1})
	got, err := ConditionalWriter{Platform: p.Client}.UpdateStatus(context.Background(), o, nil)
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
