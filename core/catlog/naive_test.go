package catlog_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"radishwell/core"
	"radishwell/core/catlog"
)

// A fixed seed makes runs reproducible; -rapid.seed on the command line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
}

// naive is a reference implementation of the catalogue: it holds the newest object of
// each entry and derives everything else from these on demand.
type naive struct{ newest map[string]core.Object }

func (n *naive) apply(o core.Object) {
	key := string(o.Kind) + "/" + o.Name
	if o.Version > n.newest[key].Version {
		n.newest[key] = o
	}
}

// spec decodes the spec of an entry's newest version. It reports whether there is
// one.
func (n *naive) spec(kind core.Kind, name string, to any) bool {
	o, ok := n.newest[string(kind)+"/"+name]
	return ok && !o.Deleted && json.Unmarshal(o.Spec, to) == nil
}

func (n *naive) exists(kind core.Kind, name string) bool { return n.spec(kind, name, &struct{}{}) }

// complete reports whether everything that the newest version of a model or adapter
// refers to exists. serves reports whether a base is in force.
func (n *naive) complete(kind core.Kind, name string, serves func(core.ModelName) bool) bool {
	if kind == core.KindModel {
		var m core.ModelSpec
		return n.spec(kind, name, &m) && n.exists(core.KindOwner, string(m.Owner)) && n.exists(core.KindService, string(m.Service))
	}
	var a core.AdapterSpec
	return n.spec(kind, name, &a) && n.exists(core.KindOwner, string(a.Owner)) && serves(a.Base)
}

// schedule draws edits and deletions of a few entries that refer to each other.
func schedule(t *rapid.T) []core.Object {
	kinds := []core.Kind{core.KindOwner, core.KindService, core.KindModel, core.KindAdapter}
	var all []core.Object
	for i := range rapid.IntRange(1, 40).Draw(t, "edits") {
		kind := rapid.SampledFrom(kinds).Draw(t, "kind")
		pick := func(label string) int { return rapid.IntRange(0, 2).Draw(t, label) }
		name := fmt.Sprintf("%s-%d", kind, pick("name"))
		o := object(kind, name, core.Version(i+1), specOf(kind, pick("first"), pick("second")))
		o.Deleted = rapid.IntRange(0, 4).Draw(t, "delete") == 0
		all = append(all, o)
	}
	return all
}

func specOf(kind core.Kind, first, second int) string {
	switch kind {
	case core.KindOwner:
		return fmt.Sprintf(`{"keys":[],"limits":{"concurrency":%d}}`, first+1)
	case core.KindService:
		return fmt.Sprintf(`{"type":"engine","limits":{"queue":%d}}`, first+1)
	case core.KindModel:
		return fmt.Sprintf(`{"owner":"owners-%d","service":"services-%d","class":"evening","memory":"1GiB"}`, first, second)
	default:
		return fmt.Sprintf(`{"owner":"owners-%d","base":"models-%d","class":"evening","memory":"1MiB"}`, first, second)
	}
}

func served(v *catlog.View, name string) core.Version {
	e, ok := v.Snapshot().Model(core.ModelName(name))
	if !ok {
		return 0
	}
	return e.Version
}

// TestAgainstNaive guards against a result that depends on the order, repetition or
// batching of the objects received: the newest version of an entry must be in force
// whenever the entries it refers to are, and no entry may go back to an older version.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := schedule(t)
		arrivals := rapid.Permutation(append(all, all...)).Draw(t, "arrivals")
		want := naive{newest: map[string]core.Object{}}
		var v catlog.View
		highest := map[string]core.Version{}
		for len(arrivals) > 0 {
			n := rapid.IntRange(1, len(arrivals)).Draw(t, "batch")
			for _, o := range arrivals[:n] {
				want.apply(o)
			}
			v.Apply(arrivals[:n]...)
			arrivals = arrivals[n:]
			compare(t, &v, &want, highest)
		}
	})
}

func compare(t *rapid.T, v *catlog.View, want *naive, highest map[string]core.Version) {
	serves := func(name core.ModelName) bool { return served(v, string(name)) > 0 }
	for _, kind := range []core.Kind{core.KindModel, core.KindAdapter} {
		for i := range 3 {
			name := fmt.Sprintf("%s-%d", kind, i)
			got := served(v, name)
			newest := want.newest[string(kind)+"/"+name]
			if want.complete(kind, name, serves) {
				text, _ := v.Status(kind, name)
				assert.Equal(t, text.State, catlog.Accepted)
				assertContent(t, v, want, name)
			}
			if newest.Deleted {
				assert.Equal(t, got, core.Version(0))
			}
			if got > 0 {
				assert.Assert(t, got >= highest[name], "%s went back", name)
				assertSound(t, v, name)
				highest[name] = got
			}
		}
	}
}

// assertContent checks that the served content is that of the newest version.
func assertContent(t *rapid.T, v *catlog.View, want *naive, name string) {
	e, ok := v.Snapshot().Model(core.ModelName(name))
	assert.Assert(t, ok)
	if e.Kind == core.KindModel {
		var m core.ModelSpec
		assert.Assert(t, want.spec(e.Kind, name, &m))
		assert.Equal(t, e.Owner, m.Owner)
		assert.Equal(t, e.Target.Service, m.Service)
		return
	}
	var a core.AdapterSpec
	assert.Assert(t, want.spec(e.Kind, name, &a))
	assert.Equal(t, e.Owner, a.Owner)
	assert.Equal(t, e.Target.Base, a.Base)
}

// assertSound checks that everything that a served entry refers to is in force too.
func assertSound(t *rapid.T, v *catlog.View, name string) {
	s := v.Snapshot()
	e, _ := s.Model(core.ModelName(name))
	_, owner := s.Account(e.Owner)
	_, pool := s.Pool(e.Target.Service)
	assert.Assert(t, owner && pool)
	if e.Target.Base != "" {
		_, base := s.Model(e.Target.Base)
		assert.Assert(t, base)
	}
}

// large returns a catalogue of the size expected within two years.
func large() []core.Object {
	all := []core.Object{
		object(core.KindService, "services-0", 1, specOf(core.KindService, 0, 0)),
	}
	for i := range 100 {
		name := fmt.Sprintf("owners-%d", i)
		all = append(all, object(core.KindOwner, name, 2, specOf(core.KindOwner, 0, 0)))
	}
	for i := range 70 {
		name := fmt.Sprintf("models-%d", i)
		all = append(all, object(core.KindModel, name, 3, specOf(core.KindModel, i, 0)))
	}
	for i := range 3400 {
		name := fmt.Sprintf("adapters-%d", i)
		all = append(all, object(core.KindAdapter, name, 4, specOf(core.KindAdapter, i%100, i%70)))
	}
	return all
}

func TestLookupsDoNotAllocate(t *testing.T) {
	s := applied(small()...).Snapshot()
	d, _ := catlog.ParseDigest(digestA)
	perRun := testing.AllocsPerRun(100, func() {
		c, _ := s.Caller(d)
		e, _ := s.Model("ledger-tunis")
		if !e.Allows(c.Account.Name) || !e.Repeats("POST") {
			t.Fail()
		}
	})
	assert.Equal(t, perRun, 0.0)
}

func BenchmarkBoot(b *testing.B) {
	all := large()
	for b.Loop() {
		var v catlog.View
		v.Apply(all...)
	}
}

func BenchmarkEdit(b *testing.B) {
	v := applied(large()...)
	version := core.Version(10)
	for b.Loop() {
		version++
		v.Apply(object(core.KindModel, "models-7", version, specOf(core.KindModel, int(version%100), 0)))
	}
}

func BenchmarkLookup(b *testing.B) {
	s := applied(large()...).Snapshot()
	for b.Loop() {
		e, _ := s.Model("adapters-77")
		e.Allows("owners-7")
	}
}

// FuzzEntry applies arbitrary specs and statuses. There must be no panic, and accepted
// entries must be found by lookups.
func FuzzEntry(f *testing.F) {
	for _, text := range []string{ownerText, serviceText, modelText, modelBad, adapterText, `{}`, `null`, `[]`} {
		f.Add(text, `{"state":"rejected","in-force":{"uid":"one","spec":`+text+`}}`)
	}
	f.Fuzz(func(t *testing.T, text, status string) {
		for _, kind := range core.CatalogueKinds() {
			o := object(kind, "fuzzed", 9, text)
			o.Status = []byte(status)
			v := applied(append(small(), o)...)
			s, ok := v.Status(kind, "fuzzed")
			assert.Assert(t, ok)
			assert.Equal(t, len(v.DueStatuses()) > 3, true)
			if s.State == catlog.Accepted && kind == core.KindModel {
				assert.Assert(t, served(v, "fuzzed") > 0)
			}
		}
	})
}

// FuzzFile reads arbitrary catalogue files. There must be no panic, and the entries of
// a file without problems must be accepted.
func FuzzFile(f *testing.F) {
	f.Add([]byte("kind: models\nname: ledger\nspec: " + modelText + "\n"))
	f.Add([]byte("kind: owners\nname: nadi\nspec:\n  keys: []\n---\nkind: services\nname: qalam\nspec: {type: engine}\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		objects, problems := catlog.Read(catlog.Source{Name: "f", Text: text})
		if len(problems) > 0 {
			return
		}
		v := &catlog.View{}
		for i, o := range objects {
			o.Version, o.UID = core.Version(i+1), "one"
			v.Apply(o)
		}
		for _, o := range objects {
			s, _ := v.Status(o.Kind, o.Name)
			assert.Equal(t, s.State, catlog.Accepted, "%v", s.Faults)
		}
	})
}
