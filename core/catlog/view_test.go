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
	modelBad    = `{"owner":"nadi","service":"qalam","class":"evening","memory":"8GB","limits":{}}`
	modelWider  = `{"owner":"nadi","service":"qalam","class":"evening","memory":"9GiB","limits":{}}`
	modelAstray = `{"owner":"nadii","service":"qalam","class":"evening","memory":"8GiB","limits":{}}`
	adapterText = `{"owner":"nadi","base":"ledger","class":"evening","memory":"256MiB","limits":{}}`
	digestA     = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
	digestB     = "ff112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
)

// object returns an object with the UID of an entry that was never deleted.
func object(kind core.Kind, name string, version core.Version, spec string) core.Object {
	return core.Object{Kind: kind, Name: name, UID: "one", Version: version, Generation: int64(version), Spec: []byte(spec)}
}

func tombstone(kind core.Kind, name string, version core.Version) core.Object {
	return core.Object{Kind: kind, Name: name, UID: "one", Version: version, Deleted: true}
}

// small returns a catalogue with one entry of each kind.
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

// restarted returns the view of a process that starts with the objects as the platform
// holds them: the newest ones, with the statuses that are due.
func restarted(v *catlog.View, objects ...core.Object) *catlog.View {
	newest := map[string]core.Object{}
	for _, o := range append(objects, v.DueStatuses()...) {
		newest[string(o.Kind)+"/"+o.Name] = o
	}
	fresh := &catlog.View{}
	for _, o := range newest {
		o.Version += 100
		fresh.Apply(o)
	}
	return fresh
}

// assertServed checks the version in force of a model or adapter; zero means none.
func assertServed(t *testing.T, v *catlog.View, name core.ModelName, want core.Version) {
	t.Helper()
	var got core.Version
	if e, ok := v.Snapshot().Model(name); ok {
		got = e.Version
	}
	assert.Equal(t, got, want, "version of %s in force", name)
}

// assertState checks an entry's state and the first check that it fails; "" means
// none.
func assertState(t *testing.T, v *catlog.View, kind core.Kind, name string, want catlog.State, check catlog.CheckID) {
	t.Helper()
	s, ok := v.Status(kind, name)
	assert.Assert(t, ok)
	assert.Equal(t, s.State, want, "%v", s.Faults)
	var got catlog.CheckID
	if len(s.Faults) > 0 {
		got = s.Faults[0].Check
	}
	assert.Equal(t, got, check)
}

// assertKey checks to which owner the key with a digest belongs; "" means none.
func assertKey(t *testing.T, v *catlog.View, digest string, want core.OwnerName) {
	t.Helper()
	d, ok := catlog.ParseDigest(digest)
	assert.Assert(t, ok)
	var got core.OwnerName
	if c, ok := v.Snapshot().Caller(d); ok {
		got = c.Account.Name
	}
	assert.Equal(t, got, want)
}

// TestInvalidEditKeepsLastGood guards against a model that goes out of service because
// of an invalid edit, here a wrong unit. Its last valid version must stay in force,
// also in a process that starts after the edit and can find that version only in the
// status.
func TestInvalidEditKeepsLastGood(t *testing.T) {
	v := applied(small()...)
	statuses := v.DueStatuses()
	v.Apply(statusWritten(statuses, core.KindModel, 5))
	bad := statusWritten(statuses, core.KindModel, 6)
	bad.Spec, bad.Generation = []byte(modelBad), 6
	reports := v.Apply(bad)
	assert.Equal(t, len(reports), 1)
	assert.Equal(t, reports[0].State, catlog.Rejected)
	assert.Equal(t, reports[0].Served, core.Version(3))
	assertServed(t, v, "ledger", 3)
	assertServed(t, v, "ledger-tunis", 4)
	assertState(t, v, core.KindModel, "ledger", catlog.Rejected, catlog.CheckForm)
	late := restarted(v, append(small()[:2], bad)...)
	assertServed(t, late, "ledger", 3)
	late.Apply(object(core.KindModel, "ledger", 300, modelText))
	assertServed(t, late, "ledger", 300)
}

// statusWritten returns the first object of a kind among those due, as the platform
// holds it after its status was written at a version.
func statusWritten(due []core.Object, kind core.Kind, version core.Version) core.Object {
	for _, o := range due {
		if o.Kind == kind {
			o.Version = version
			return o
		}
	}
	return core.Object{}
}

// TestEditWithMissingReferenceKeepsLastServed guards against an edit with a misspelt
// owner taking effect: the entry alone is valid, but nobody could be charged for its
// requests. The previous version must stay in force until the owner exists.
func TestEditWithMissingReferenceKeepsLastServed(t *testing.T) {
	v := applied(small()...)
	v.Apply(object(core.KindModel, "ledger", 5, modelAstray))
	assertServed(t, v, "ledger", 3)
	assertState(t, v, core.KindModel, "ledger", catlog.Pending, catlog.CheckOwnerExists)
	assertServed(t, restarted(v, small()...), "ledger", 3)
	v.Apply(object(core.KindOwner, "nadii", 6, `{"keys":[]}`))
	assertServed(t, v, "ledger", 5)
	v.Apply(tombstone(core.KindOwner, "nadii", 7))
	assertServed(t, v, "ledger", 0)
}

// TestAdapterFollowsItsBase guards against adapters that stay in force after their base
// model was deleted: without their base they would give the answers of another model.
// They must be unknown until the base is created again under the same name.
func TestAdapterFollowsItsBase(t *testing.T) {
	v := applied(small()...)
	reports := v.Apply(tombstone(core.KindModel, "ledger", 5))
	assert.Equal(t, len(reports), 2)
	assertServed(t, v, "ledger-tunis", 0)
	assertState(t, v, core.KindAdapter, "ledger-tunis", catlog.Pending, catlog.CheckBaseExists)
	again := object(core.KindModel, "ledger", 6, modelText)
	again.UID = "two"
	v.Apply(again)
	assertServed(t, v, "ledger", 6)
	assertServed(t, v, "ledger-tunis", 4)
}

// TestOlderVersionsAreIgnored guards against an old version that comes back into force
// because a slow watch or a peer delivers it after a newer one or after the deletion.
func TestOlderVersionsAreIgnored(t *testing.T) {
	t.Run("edit", func(t *testing.T) {
		v := applied(append(small(), object(core.KindModel, "ledger", 9, modelWider))...)
		assert.Equal(t, len(v.Apply(small()[2])), 0)
		assertServed(t, v, "ledger", 9)
	})
	t.Run("deletion", func(t *testing.T) {
		v := applied(append(small(), tombstone(core.KindModel, "ledger", 9))...)
		assert.Equal(t, len(v.Apply(small()[2])), 0)
		assertServed(t, v, "ledger", 0)
	})
	t.Run("valid version of a deleted object of the same name", func(t *testing.T) {
		v := applied(small()...)
		again := object(core.KindModel, "ledger", 9, modelBad)
		again.UID = "two"
		again.Status = statusWritten(v.DueStatuses(), core.KindModel, 0).Status
		v.Apply(again)
		assertServed(t, v, "ledger", 0)
	})
}

// TestDigestOfAnother guards against a key changing its owner because the operator of a
// second owner lists it by mistake. Requests with the key must never run on behalf of
// the second owner, and the first one must not lose it.
func TestDigestOfAnother(t *testing.T) {
	other := object(core.KindOwner, "kopa", 5, ownerText)
	t.Run("edit", func(t *testing.T) {
		v := applied(small()...)
		v.Apply(other)
		assertKey(t, v, digestA, "nadi")
		assertState(t, v, core.KindOwner, "kopa", catlog.Pending, catlog.CheckKeyTaken)
		assertKey(t, restarted(v, append(small(), other)...), digestA, "nadi")
	})
	t.Run("freed", func(t *testing.T) {
		v := applied(small()...)
		v.Apply(other)
		v.Apply(tombstone(core.KindOwner, "nadi", 6))
		assertKey(t, v, digestA, "kopa")
	})
	t.Run("both at once", func(t *testing.T) {
		v := applied(append(small(), other)...)
		assertKey(t, v, digestA, "")
		assertState(t, v, core.KindOwner, "kopa", catlog.Accepted, catlog.CheckKeyShared)
	})
}

// TestNameRaceIsSettledByStatus guards against processes that permanently disagree on
// which of two entries has a name, after both were created at the same time and arrived
// in different orders. The status written by the deciding process resolves the
// conflict.
func TestNameRaceIsSettledByStatus(t *testing.T) {
	model := object(core.KindModel, "portal", 5, modelText)
	service := object(core.KindService, "portal", 6, serviceText)
	decider, other := applied(small()...), applied(small()...)
	decider.Apply(model)
	decider.Apply(service)
	other.Apply(service)
	other.Apply(model)
	assertServed(t, decider, "portal", 5)
	assertServed(t, other, "portal", 0)
	for _, o := range decider.DueStatuses() {
		o.Version += 100
		other.Apply(o)
	}
	assertServed(t, other, "portal", 5)
	assertState(t, other, core.KindService, "portal", catlog.Pending, catlog.CheckNameTaken)
}

// TestDeletedEntryFreesItsName guards against a name that stays reserved after its
// entry was deleted. A model with a pending edit is deleted and a service of its name
// created; the name must be free, although a status named the model as served under it.
func TestDeletedEntryFreesItsName(t *testing.T) {
	v := applied(small()...)
	v.Apply(statusWritten(v.DueStatuses(), core.KindModel, 5))
	edit := object(core.KindModel, "ledger", 6, modelAstray)
	v.Apply(edit)
	v.Apply(statusWritten(v.DueStatuses(), core.KindModel, 7))
	v.Apply(tombstone(core.KindModel, "ledger", 8))
	v.Apply(object(core.KindService, "ledger", 9, serviceText))
	assertState(t, v, core.KindService, "ledger", catlog.Accepted, "")
}

func TestStatusIsWrittenOnce(t *testing.T) {
	v := applied(small()...)
	due := v.DueStatuses()
	assert.Equal(t, len(due), 4)
	for _, o := range due {
		o.Version += 100
		v.Apply(o)
	}
	assert.Equal(t, len(v.DueStatuses()), 0)
}

func TestStatusIsBounded(t *testing.T) {
	text := `{"keys":[`
	for range 300 {
		text += `{"caller":"","digest":"x"},`
	}
	v := applied(object(core.KindOwner, "nadi", 1, text[:len(text)-1]+`]}`))
	s, _ := v.Status(core.KindOwner, "nadi")
	assert.Equal(t, s.State, catlog.Rejected)
	assert.Equal(t, len(s.Faults), 21)
}

func TestLookups(t *testing.T) {
	shared := `{"owner":"nadi","base":"ledger","class":"evening","memory":"1MiB","shared-with":["*"],"repeatable":false}`
	plain := `{"type":"plain","owner":"nadi","class":"interactive"}`
	v := applied(append(
		small(),
		object(core.KindAdapter, "common", 5, shared),
		object(core.KindService, "portal", 6, plain),
		object(core.KindOwner, "kopa", 7, `{"keys":[]}`),
	)...)
	s := v.Snapshot()
	t.Run("adapter", func(t *testing.T) {
		e, ok := s.Model("ledger-tunis")
		assert.Assert(t, ok)
		assert.Equal(t, e.Target, core.Target{Service: "qalam", Model: "ledger-tunis", Base: "ledger"})
		assert.Assert(t, e.Allows("nadi") && !e.Allows("kopa"))
		assert.Assert(t, e.Repeats("POST"))
	})
	t.Run("shared", func(t *testing.T) {
		var names []core.ModelName
		for e := range s.Usable("kopa") {
			names = append(names, e.Target.Model)
		}
		assert.DeepEqual(t, names, []core.ModelName{"common"})
	})
	t.Run("service", func(t *testing.T) {
		e, ok := s.Service("portal")
		assert.Assert(t, ok)
		assert.Assert(t, e.Repeats("GET") && !e.Repeats("POST"))
		_, ok = s.Service("qalam")
		assert.Assert(t, !ok, "an engine service is asked for by its models")
		assert.Equal(t, len(s.Pools()), 2)
	})
	t.Run("order", func(t *testing.T) {
		var names []core.ModelName
		for _, e := range s.Items() {
			names = append(names, e.Target.Model)
		}
		assert.DeepEqual(t, names, []core.ModelName{"ledger", "common", "ledger-tunis"})
	})
	t.Run("key", func(t *testing.T) {
		assertKey(t, v, digestA, "nadi")
		assertKey(t, v, digestB, "")
	})
}

// TestConcurrentReaders guards against readers that see a partial update while the
// catalogue changes: in each snapshot, every served model must have its owner.
func TestConcurrentReaders(t *testing.T) {
	v := applied(small()...)
	done := make(chan error, 4)
	stop := make(chan struct{})
	for range cap(done) {
		go func() { done <- readUntil(v, stop) }()
	}
	for i := range 200 {
		at := core.Version(10 + 2*i)
		v.Apply(tombstone(core.KindOwner, "nadi", at))
		v.Apply(object(core.KindOwner, "nadi", at+1, ownerText))
	}
	close(stop)
	for range cap(done) {
		assert.NilError(t, <-done)
	}
}

func readUntil(v *catlog.View, stop <-chan struct{}) error {
	for {
		select {
		case <-stop:
			return nil
		default:
		}
		s := v.Snapshot()
		for _, e := range s.Items() {
			if _, ok := s.Account(e.Owner); !ok {
				return &core.NameError{Kind: "owner", Text: string(e.Owner)}
			}
		}
	}
}
