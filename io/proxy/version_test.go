package proxy_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/core/rtable"
	"radishwell/platform/stand"
)

// addVersion starts an engine of a software version that streams eight events, with a fault.
func (r *rig) addVersion(t *testing.T, id string, version core.SoftwareVersion, fault stand.WorkerFault) *stand.Worker {
	t.Helper()
	w := r.addStream(t, id, false, fault)
	r.Update(func(v *fleet.View, _ time.Time) {
		e := v.Host(core.HostName(id)).Entry
		e.Software = version
		v.Apply(e)
	})
	return w
}

// askPrompt is askStream with a prompt of its own, so that requests differ in the host that they
// prefer.
func (r *rig) askPrompt(t *testing.T, id string) *http.Request {
	t.Helper()
	req := r.askStream(t, "/resumed/x", id)
	req.Header.Set("X-Radishwell-Prompt-Prefix", "shared-"+id+":100,own-"+id+":10")
	return req
}

// begun sends requests until one was begun by a host, and returns its answer and id.
func (r *rig) begun(t *testing.T, host *stand.Worker) (a answer, id string) {
	t.Helper()
	for i := range 20 {
		id := fmt.Sprintf("q-%s-%d", host.ID, i)
		a := do(t, r.askPrompt(t, id))
		if a.header.Get("X-Radishwell-Server-Signature") == "signed-by-"+host.ID {
			return a, id
		}
	}
	t.Fatal("no stream began at " + host.ID)
	return answer{}, ""
}

// takeUp sends a caller's request for the events after the fourth of a stream.
func (r *rig) takeUp(t *testing.T, id, first string) answer {
	t.Helper()
	req := r.askPrompt(t, id)
	req.Header.Set("Last-Event-Id", "4")
	req.Header.Set("Resumes", first)
	return do(t, req)
}

// Guards against streams that hold events of two software versions, whose parts do not fit
// together: the version did not count when a host was chosen to continue a stream.
func TestStreamGoesOnOnlyAtItsVersion(t *testing.T) {
	t.Run("in one answer", func(t *testing.T) {
		r := newRig(t)
		first, other := r.addVersion(t, "i-1", "v1", stand.Truncated), r.addVersion(t, "i-2", "v2", stand.NoFault)
		a, id := r.begun(t, first)
		wantCut(t, a, 4)
		assert.Equal(t, other.Ran(id), 0)
	})
	t.Run("in one answer, at another host of the version", func(t *testing.T) {
		r := newRig(t)
		first, other := r.addVersion(t, "i-1", "v1", stand.Truncated), r.addVersion(t, "i-2", "v2", stand.NoFault)
		same := r.addVersion(t, "i-3", "v1", stand.NoFault)
		a, id := r.begun(t, first)
		wantStatus(t, a, http.StatusOK)
		assert.Equal(t, a.body, eventsOf(8))
		assert.Assert(t, same.Ran(id) == 1 && other.Ran(id) == 0)
	})
	t.Run("in a caller's next attempt", func(t *testing.T) {
		r := newRig(t)
		first, other := r.addVersion(t, "i-1", "v1", stand.Truncated), r.addVersion(t, "i-2", "v2", stand.NoFault)
		_, id := r.begun(t, first)
		first.SetFault(stand.NoFault)
		for i := range 6 {
			next := fmt.Sprint("next-", i)
			a := r.takeUp(t, next, id)
			wantStatus(t, a, http.StatusOK)
			assert.Equal(t, eventsOf(4)+a.body, eventsOf(8))
			assert.Assert(t, first.Ran(next) == 1 && other.Ran(next) == 0)
		}
	})
	t.Run("not elsewhere where the host of its version turns it away", func(t *testing.T) {
		r := newRig(t)
		first, other := r.addVersion(t, "i-1", "v1", stand.Truncated), r.addVersion(t, "i-2", "v2", stand.NoFault)
		_, id := r.begun(t, first)
		first.SetFault(stand.Shed)
		wantStatus(t, r.takeUp(t, "next", id), http.StatusServiceUnavailable)
		assert.Equal(t, other.Ran("next"), 0)
	})
	t.Run("nor where no host of its version is left", func(t *testing.T) {
		r := newRig(t)
		first, other := r.addVersion(t, "i-1", "v1", stand.Truncated), r.addVersion(t, "i-2", "v2", stand.NoFault)
		_, id := r.begun(t, first)
		r.Update(func(v *fleet.View, now time.Time) { v.Remove(now, "i-1") })
		a := r.takeUp(t, "next", id)
		wantStatus(t, a, http.StatusServiceUnavailable)
		assert.Assert(t, strings.Contains(a.body, string(core.CodeNoHost)), a.body)
		assert.Equal(t, other.Ran("next"), 0)
	})
	t.Run("nor where its version is not known", func(t *testing.T) {
		r := newRig(t)
		first, other := r.addVersion(t, "i-1", "v1", stand.NoFault), r.addVersion(t, "i-2", "v2", stand.NoFault)
		for _, named := range []string{"unheard-of", ""} {
			wantStatus(t, r.takeUp(t, "next", named), http.StatusServiceUnavailable)
		}
		assert.Equal(t, first.Ran("next")+other.Ran("next"), 0)
	})
	t.Run("also where its host starts again under its id at another version", func(t *testing.T) {
		r := newRig(t)
		first, same := r.addVersion(t, "i-1", "v1", stand.Truncated), r.addVersion(t, "i-2", "v1", stand.NoFault)
		_, id := r.begun(t, first)
		first.SetFault(stand.NoFault)
		r.Update(func(v *fleet.View, _ time.Time) {
			e := v.Host("i-1").Entry
			e.Born, e.Software = 2, "v2"
			v.Apply(e)
		})
		for i := range 6 {
			next := fmt.Sprint("next-", i)
			wantStatus(t, r.takeUp(t, next, id), http.StatusOK)
			assert.Assert(t, first.Ran(next) == 0 && same.Ran(next) == 1)
		}
	})
	t.Run("also where the host's entry states no version", func(t *testing.T) {
		r := newRig(t)
		first, other := r.addVersion(t, "i-1", "", stand.Truncated), r.addVersion(t, "i-2", "", stand.NoFault)
		r.addVersion(t, "i-3", "v1", stand.NoFault)
		a, id := r.begun(t, first)
		wantCut(t, a, 4)
		first.SetFault(stand.NoFault)
		for i := range 6 {
			next := fmt.Sprint("next-", i)
			wantStatus(t, r.takeUp(t, next, id), http.StatusOK)
			assert.Assert(t, first.Ran(next) == 1 && other.Ran(next) == 0)
		}
	})
}

// Guards against losing streams of services whose hosts all have one version, or state none.
func TestOneVersionContinuesAnyStream(t *testing.T) {
	for _, version := range []core.SoftwareVersion{"", "v1"} {
		t.Run(fmt.Sprintf("version %q", version), func(t *testing.T) {
			r := newRig(t)
			r.addVersion(t, "i-1", version, stand.Truncated)
			r.addVersion(t, "i-2", version, stand.NoFault)
			for i := range 4 {
				a := do(t, r.askPrompt(t, fmt.Sprint("q-", i)))
				wantStatus(t, a, http.StatusOK)
				assert.Equal(t, a.body, eventsOf(8))
				for j, named := range []string{"unheard-of", ""} {
					wantStatus(t, r.takeUp(t, fmt.Sprint("next-", i, j), named), http.StatusOK)
				}
			}
		})
	}
}

// Guards against new streams that keep to one version.
func TestNewStreamsUseAllVersions(t *testing.T) {
	r := newRig(t)
	first, other := r.addVersion(t, "i-1", "v1", stand.NoFault), r.addVersion(t, "i-2", "v2", stand.NoFault)
	r.begun(t, first)
	r.begun(t, other)
}

// otherEntries is what other entries answer.
type otherEntries struct {
	core.OriginAnswer
	asked int
}

func (o *otherEntries) Share() {}

func (o *otherEntries) Find(context.Context, core.RequestID, core.ServiceName) core.OriginAnswer {
	o.asked++
	return o.OriginAnswer
}

// Guards against an entry whose registry is old, and which takes the only version that it knows
// for that of every stream.
func TestOldRegistryIsNotTrustedWithVersions(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer core.OriginAnswer
		status int
	}{
		{"no other entry answers", core.OriginAnswer{}, http.StatusServiceUnavailable},
		{"others know another version", core.OriginAnswer{Versions: []core.SoftwareVersion{"v1", "v2"}, Answered: true}, http.StatusServiceUnavailable},
		{"others know the same", core.OriginAnswer{Versions: []core.SoftwareVersion{"v1"}, Answered: true}, http.StatusOK},
		{"others know where it began", core.OriginAnswer{
			Origin: core.StreamOrigin{Service: "llm", Software: "v1"}, Found: true, Versions: []core.SoftwareVersion{"v1", "v2"}, Answered: true,
		}, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			others := &otherEntries{OriginAnswer: c.answer}
			r.Origins, r.RegistryStale = others, func() bool { return true }
			w := r.addVersion(t, "i-1", "v1", stand.NoFault)
			wantStatus(t, r.takeUp(t, "next", "elsewhere"), c.status)
			assert.Equal(t, w.Ran("next") == 1, c.status == http.StatusOK)
			r.RegistryStale = func() bool { return false }
			wantStatus(t, r.takeUp(t, "later", "elsewhere"), http.StatusOK)
			assert.Equal(t, others.asked, 1)
		})
	}
}

// Guards against streams that are refused although a host of their version can load the model in
// time, and against callers who wait for a load that comes too late.
func TestStreamWaitsForItsModelAtItsVersion(t *testing.T) {
	begin := func(t *testing.T, load time.Duration) (r *rig, id string, other *stand.Worker) {
		t.Helper()
		r = newRig(t)
		table := routes(longTimeout)
		table.Version = 2
		table.Services["llm"].Models["m"] = rtable.Model{Name: "m", Load: load, FromDisk: load, FromMemory: load}
		table.Match("a.example", "/resumed/x").SilenceTimeout = 4 * time.Second
		r.Offer(table)
		first := r.addVersion(t, "i-1", "v1", stand.Truncated)
		other = r.addVersion(t, "i-2", "v2", stand.NoFault)
		_, id = r.begun(t, first)
		r.addVersion(t, "i-3", "v1", stand.NoFault)
		r.Update(func(v *fleet.View, now time.Time) {
			v.Remove(now, "i-1")
			v.Report(fleet.Report{ID: "i-3", Taken: now, Models: []core.HeldModel{}})
		})
		return r, id, other
	}
	t.Run("until a host of its version has loaded the model", func(t *testing.T) {
		r, id, other := begin(t, 500*time.Millisecond)
		for len(r.Waiting()) > 0 {
			<-r.Waiting()
		}
		got := make(chan answer, 1)
		go func() { got <- r.takeUp(t, "next", id) }()
		<-r.Waiting()
		assert.DeepEqual(t, r.Demands()["m"].Continuing, []core.SoftwareVersion{"v1"})
		r.Update(func(v *fleet.View, now time.Time) {
			v.Report(fleet.Report{ID: "i-3", Taken: now, Models: []core.HeldModel{{Model: "m"}}})
		})
		a := <-got
		wantStatus(t, a, http.StatusOK)
		assert.Equal(t, eventsOf(4)+a.body, eventsOf(8))
		assert.Equal(t, other.Ran("next"), 0)
		assert.Equal(t, len(r.Demands()["m"].Continuing), 0)
	})
	t.Run("not for a load that ends after its caller has left", func(t *testing.T) {
		r, id, _ := begin(t, 6*time.Second)
		began := time.Now()
		wantStatus(t, r.takeUp(t, "next", id), http.StatusServiceUnavailable)
		assert.Assert(t, time.Since(began) < 2*time.Second, "refused at once")
	})
	t.Run("and no longer than the load should take", func(t *testing.T) {
		r, id, _ := begin(t, 100*time.Millisecond)
		wantStatus(t, r.takeUp(t, "next", id), http.StatusServiceUnavailable)
		assert.Equal(t, len(r.Demands()["m"].Continuing), 0)
	})
}

// savedOrigins are platform's records of where streams began, that name one origin for all.
type savedOrigins core.OriginAnswer

// Find implements core.SavedOrigins.
func (s savedOrigins) Find(context.Context, core.RequestID) core.OriginAnswer {
	return core.OriginAnswer(s)
}

// Guards against streams that are refused for good, or go on anywhere, since only the platform knows
// where they began.
func TestTakeUpByThePlatformsRecords(t *testing.T) {
	takeUp := func(t *testing.T, saved savedOrigins) answer {
		t.Helper()
		r := newRig(t)
		r.addVersion(t, "i-1", "v1", stand.NoFault)
		r.addVersion(t, "i-2", "v2", stand.NoFault)
		r.Origins, r.SavedOrigins = &otherEntries{OriginAnswer: core.OriginAnswer{Answered: true, Complete: true}}, saved
		return r.takeUp(t, "next", "first")
	}
	for _, version := range []core.SoftwareVersion{"v1", "v2"} {
		t.Run("began at "+string(version), func(t *testing.T) {
			a := takeUp(t, savedOrigins{Origin: core.StreamOrigin{Service: "llm", Software: version}, Found: true, Complete: true})
			wantStatus(t, a, http.StatusOK)
			assert.Equal(t, a.header.Get("X-Radishwell-Server-Signature"), "signed-by-i-"+string(version[1:]))
		})
	}
	t.Run("the platform does not know", func(t *testing.T) {
		a := takeUp(t, savedOrigins{Complete: true})
		wantStatus(t, a, http.StatusServiceUnavailable)
		assert.Equal(t, a.header.Get("Retry-After"), "")
	})
	t.Run("the platform cannot be read", func(t *testing.T) {
		a := takeUp(t, savedOrigins{})
		wantStatus(t, a, http.StatusServiceUnavailable)
		assert.Assert(t, a.header.Get("Retry-After") != "")
	})
}

// readRecord is the platform's record of software versions, which names some at each read.
type readRecord struct {
	*rig
	versions []core.SoftwareVersion
}

func (readRecord) Add(context.Context, core.ServiceName, core.SoftwareVersion) bool { return true }
func (readRecord) Loaded() bool                                                     { return true }

// Refresh implements core.SoftwareRecord.
func (s readRecord) Refresh(context.Context) bool {
	var list []fleet.Software
	for _, v := range s.versions {
		list = append(list, fleet.Software{Service: "llm", Version: v})
	}
	s.Update(func(v *fleet.View, now time.Time) { v.NoteRecorded(now, list) })
	return true
}

// Guards against a stream that goes on at another version, since its own has come back after its time and
// this entry does not see it listed yet.
func TestVersionThatCameBackIsTakenFromTheRecord(t *testing.T) {
	for _, versions := range [][]core.SoftwareVersion{{"v1"}, {"v1", "v2"}} {
		t.Run(fmt.Sprint("the record has ", versions), func(t *testing.T) {
			r := newRig(t)
			w := r.addVersion(t, "i-1", "v1", stand.NoFault)
			r.Update(func(v *fleet.View, now time.Time) {
				v.NoteDeparted(fleet.Software{Service: "llm", Version: "v2"}, now.Add(-time.Minute))
			})
			r.Software = readRecord{r, versions}
			a := r.takeUp(t, "next", "first")
			assert.Equal(t, w.Ran("next") == 1, len(versions) == 1)
			assert.Equal(t, a.status == http.StatusOK, len(versions) == 1)
		})
	}
}
