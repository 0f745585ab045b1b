package proxy_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/core/rtable"
	"radishwell/platform/stand"
)

// offerServices replaces the routing table by one with a route for resumable streams to some services.
func (r *rig) offerServices(t *testing.T, version int64, services ...core.ServiceName) {
	t.Helper()
	models := map[core.ModelName]rtable.Model{"m": {Name: "m"}}
	var shares []rtable.Share
	for _, s := range services {
		shares = append(shares, rtable.Share{Service: s, Weight: 1})
	}
	table, err := rtable.Build(version, rtable.Limits{}, []*rtable.Service{{Name: "llm", Models: models}, {Name: "llm-2", Models: models}}, []*rtable.Route{{
		Name: "resumed", Host: "a.example", Prefix: "/resumed/", Kind: rtable.Stream, Shares: shares, MaxHosts: 2, Timeout: longTimeout,
		Target: time.Second, Resumable: true,
	}}, nil)
	assert.NilError(t, err)
	r.Offer(table)
}

// newServicesRig returns a rig with a host of each of two services.
func newServicesRig(t *testing.T, versions ...core.SoftwareVersion) *rig {
	t.Helper()
	r := newRig(t)
	for i, service := range []core.ServiceName{"llm", "llm-2"} {
		id := core.HostName(fmt.Sprint("i-", i+1))
		r.add(t, "llm", &stand.Worker{ID: string(id), Events: 8})
		r.Update(func(v *fleet.View, now time.Time) {
			e := v.Host(id).Entry
			v.Remove(now, id)
			e.Service, e.Software = service, versions[i]
			v.Apply(e)
		})
	}
	return r
}

// wantSameHost checks that a stream that was taken up went on at the host where it began, or was refused.
func wantSameHost(t *testing.T, began, next answer) {
	t.Helper()
	if next.status != http.StatusServiceUnavailable {
		wantStatus(t, next, http.StatusOK)
		assert.Equal(t, next.header.Get("X-Radishwell-Server-Signature"), began.header.Get("X-Radishwell-Server-Signature"))
	}
}

// Guards against a stream of a route to several services that goes on at another one than where it began.
func TestStreamOfSplitRouteStaysAtItsService(t *testing.T) {
	for _, versions := range [][]core.SoftwareVersion{{"v1", "v2"}, {"v1", "v1"}} {
		t.Run(fmt.Sprint(versions), func(t *testing.T) {
			first, other := newServicesRig(t, versions...), newServicesRig(t, versions...)
			for _, r := range []*rig{first, other} {
				r.offerServices(t, 2, "llm", "llm-2")
			}
			for n := range 20 {
				id := fmt.Sprint("q-", n)
				began := do(t, first.askPrompt(t, id))
				wantSameHost(t, began, other.takeUp(t, "other-"+id, id))
				again := first.takeUp(t, "again-"+id, id)
				wantStatus(t, again, http.StatusOK)
				wantSameHost(t, began, again)
			}
		})
	}
}

// Guards against a stream that goes on at the service to which its route was moved meanwhile.
func TestStreamOfMovedRouteStaysAtItsService(t *testing.T) {
	first, other := newServicesRig(t, "v1", "v1"), newServicesRig(t, "v1", "v1")
	for _, r := range []*rig{first, other} {
		r.offerServices(t, 2, "llm")
	}
	began := do(t, first.askPrompt(t, "q"))
	for _, r := range []*rig{first, other} {
		r.offerServices(t, 3, "llm-2")
		wantSameHost(t, began, r.takeUp(t, "next", "q"))
	}
}
