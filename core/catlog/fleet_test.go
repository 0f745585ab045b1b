package catlog_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"radishwell/core"
	"radishwell/core/catlog"
)

// platform holds the newest object of each entry, as the object API does.
type platform struct {
	version core.Version
	objects map[string]core.Object
}

func (p *platform) key(kind core.Kind, name string) string { return string(kind) + "/" + name }

// edit writes or deletes an entry and returns its new state.
func (p *platform) edit(kind core.Kind, name, spec string, remove bool) core.Object {
	p.version++
	o, there := p.objects[p.key(kind, name)]
	if !there || o.Deleted {
		o = core.Object{Kind: kind, Name: name, UID: fmt.Sprint(p.version)}
	}
	o.Version, o.Deleted = p.version, remove
	o.Spec = []byte(spec)
	o.Generation++
	p.objects[p.key(kind, name)] = o
	return o
}

// writeStatus writes a status if the entry is still at the version of o.
func (p *platform) writeStatus(o core.Object) (core.Object, bool) {
	if p.objects[p.key(o.Kind, o.Name)].Version != o.Version {
		return core.Object{}, false
	}
	p.version++
	o.Version = p.version
	p.objects[p.key(o.Kind, o.Name)] = o
	return o, true
}

// rivalSpec draws specs, of which some are invalid, some refer to missing entries,
// and some list digests of other owners.
func rivalSpec(t *rapid.T, kind core.Kind) string {
	pick := func(label string) int { return rapid.IntRange(0, 2).Draw(t, label) }
	if rapid.IntRange(0, 5).Draw(t, "invalid") == 0 {
		return `{"colour":"red"}`
	}
	switch kind {
	case core.KindOwner:
		digest := digests[pick("digest")]
		return fmt.Sprintf(`{"keys":[{"caller":"c","digest":"%s"}],"limits":{"queue":%d}}`, digest, 1+pick("queue"))
	case core.KindService:
		return fmt.Sprintf(`{"type":"engine","limits":{"queue":%d}}`, 1+pick("queue"))
	case core.KindModel:
		return fmt.Sprintf(`{"owner":"n%d","service":"n%d","class":"evening","memory":"%dGiB"}`, pick("owner"), pick("service"), 1+pick("memory"))
	default:
		return fmt.Sprintf(`{"owner":"n%d","base":"n%d","class":"evening","memory":"%dGiB"}`, pick("owner"), pick("base"), 1+pick("memory"))
	}
}

// TestFleetAgrees guards against processes that permanently serve different catalogues
// after concurrent edits of entries with the same names, some of them invalid or with
// another owner's digest. The deciding process receives every version, others receive
// only some of them, late and in another order, and one process starts at the end. Once
// all have received the statuses they must serve the same entries, and the number of
// status writes must be bounded.
func TestFleetAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &platform{objects: map[string]core.Object{}}
		decider, others := &catlog.View{}, []*catlog.View{{}, {}}
		for range rapid.IntRange(1, 30).Draw(t, "edits") {
			kind := rapid.SampledFrom(core.CatalogueKinds()).Draw(t, "kind")
			name := fmt.Sprintf("n%d", rapid.IntRange(0, 2).Draw(t, "name"))
			o := p.edit(kind, name, rivalSpec(t, kind), rapid.IntRange(0, 5).Draw(t, "remove") == 0)
			decider.Apply(o)
			for _, v := range others {
				if rapid.Bool().Draw(t, "seen") {
					v.Apply(o)
				}
			}
			if rapid.Bool().Draw(t, "status") {
				writeDue(p, decider)
			}
		}
		others = append(others, &catlog.View{})
		settle(t, p, decider, others)
		for _, v := range others {
			assertAgrees(t, decider, v)
		}
	})
}

// assertAgrees checks that the entries that the deciding process has accepted are in
// force in another process, and that no key belongs to another owner there. If the
// newest edit is not accepted, a process may continue with a valid version that the
// deciding process never received, since no process goes back to an older version.
func assertAgrees(t *rapid.T, decider, other *catlog.View) {
	want, got := decider.Snapshot(), other.Snapshot()
	for _, e := range want.Items() {
		if s, _ := decider.Status(e.Kind, string(e.Target.Model)); s.State != catlog.Accepted {
			continue
		}
		same, ok := got.Model(e.Target.Model)
		assert.Assert(t, ok, "%s is not in force", e.Target.Model)
		assert.Equal(t, fmt.Sprint(same.Kind, same.Target, same.Owner, same.Memory), fmt.Sprint(e.Kind, e.Target, e.Owner, e.Memory))
	}
	for _, a := range want.Accounts() {
		if s, _ := decider.Status(core.KindOwner, string(a.Name)); s.State == catlog.Accepted {
			same, ok := got.Account(a.Name)
			assert.Assert(t, ok, "%s is not in force", a.Name)
			assert.Equal(t, same.Limits, a.Limits)
		}
	}
	for _, text := range digests {
		d, _ := catlog.ParseDigest(text)
		c, ok := want.Caller(d)
		if !ok {
			continue
		}
		same, ok := got.Caller(d)
		s, _ := decider.Status(core.KindOwner, string(c.Account.Name))
		assert.Assert(t, ok || s.State != catlog.Accepted, "%s opens to nobody", text)
		assert.Assert(t, !ok || same.Account.Name == c.Account.Name, "%s opens to another owner", text)
	}
}

var digests = []string{digestA, digestB, digestA[1:] + "0"}

func writeDue(p *platform, decider *catlog.View) (written int) {
	for _, o := range decider.DueStatuses() {
		if fresh, ok := p.writeStatus(o); ok {
			decider.Apply(fresh)
			written++
		}
	}
	return written
}

// settle applies the platform's objects to all views until no status is due.
func settle(t *rapid.T, p *platform, decider *catlog.View, others []*catlog.View) {
	const rounds = 4
	for range rounds {
		written := writeDue(p, decider)
		for _, v := range others {
			var all []core.Object
			for _, kind := range core.CatalogueKinds() {
				for i := range 3 {
					if o, ok := p.objects[p.key(kind, fmt.Sprintf("n%d", i))]; ok {
						all = append(all, o)
					}
				}
			}
			v.Apply(all...)
		}
		if written == 0 {
			return
		}
	}
	t.Fatalf("statuses are still written after %d rounds", rounds)
}
