package catlog_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/catlog"
)

const (
	ownerText   = `{"keys":[{"caller":"amel","digest":"` + digestA + `"}],"limits":{"memory":"64GiB"},"caller-limits":{}}`
	serviceText = `{"type":"engine","class":"interactive","limits":{}}`
	modelText   = `{"owner":"nadi","service":"qalam","class":"evening","memory":"8GiB","limits":{"replicas":2}}`
	adapterText = `{"owner":"nadi","base":"ledger","class":"evening","memory":"256MiB","limits":{}}`
	digestA     = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
	digestB     = "ff112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
)

// object returns an object whose UID is of its first life.
func object(kind core.Kind, name string, version core.Version, spec string) core.Object {
	return core.Object{Kind: kind, Name: name, UID: "one", Version: version, Generation: int64(version), Spec: []byte(spec)}
}

func tombstone(kind core.Kind, name string, version core.Version) core.Object {
	return core.Object{Kind: kind, Name: name, UID: "one", Version: version, Deleted: true}
}

// small is a catalogue with one entry of each kind.
func small() []core.Object {
	return []core.Object{
		object(core.KindOwner, "nadi", 1, ownerText),
		object(core.KindService, "qalam", 2, serviceText),
		object(core.KindModel, "ledger", 3, modelText),
		object(core.KindAdapter, "ledger-tunis", 4, adapterText),
	}
}

func applied(objects ...core.Object) *catlog.View {
	v := &catlog.View{}
	v.Apply(objects...)
	return v
}

// assertServed checks the version in force of a model or adapter; zero is none.
func assertServed(t *testing.T, v *catlog.View, name core.ModelName, want core.Version) {
	t.Helper()
	var got core.Version
	if e, ok := v.Snapshot().Model(name); ok {
		got = e.Version
	}
	assert.Equal(t, got, want, "version of %s in force", name)
}

func assertState(t *testing.T, v *catlog.View, kind core.Kind, name string, want catlog.State) {
	t.Helper()
	s, ok := v.Status(kind, name)
	assert.Assert(t, ok)
	assert.Equal(t, s.State, want, "%v", s.Faults)
}

func TestLookups(t *testing.T) {
	s := applied(small()...).Snapshot()
	d, ok := catlog.ParseDigest(digestA)
	assert.Assert(t, ok)
	caller, ok := s.Caller(d)
	assert.Assert(t, ok)
	assert.Equal(t, caller.Name, core.CallerName("amel"))
	assert.Equal(t, caller.Account.Name, core.OwnerName("nadi"))
	e, ok := s.Model("ledger-tunis")
	assert.Assert(t, ok)
	assert.Equal(t, e.Target, core.Target{Service: "qalam", Model: "ledger-tunis", Base: "ledger"})
	assert.Assert(t, e.Allows("nadi"))
	assert.Assert(t, !e.Allows("kopa"))
	assert.Equal(t, len(s.Items()), 2)
	assert.Equal(t, s.Items()[0].Target.Model, core.ModelName("ledger"))
}
