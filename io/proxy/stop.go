package proxy

import (
	"maps"
	"net/http"
	"time"

	"radishwell/core"
	"radishwell/core/recent"
	"radishwell/core/rtable"
)

// routeID identifies a route in successive routing tables.
type routeID struct{ host, prefix string }

func idOf(r *rtable.Route) routeID { return routeID{r.Host, r.Prefix} }

// noteTimes records how long an exchange whose answer was forwarded took: until then, for the route, and until the
// host had answered, for the service, unless it is a stream or a failure.
func (c *call) noteTimes(x *exchange) {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	id := idOf(c.route)
	if p.durations[id] == nil {
		p.durations[id] = &recent.Times{}
	}
	p.durations[id].Add(p.Clock.Now().Sub(x.target.sentAt))
	if c.route.Kind != rtable.Stream && x.resp.StatusCode < http.StatusInternalServerError {
		p.budget(c.service.Name).latencies.Add(x.endedAt.Sub(x.target.sentAt))
	}
}

// forgetDurations forgets those of routes that a table does not have. The caller holds mu.
func (p *Proxy) forgetDurations(t *rtable.Table) {
	maps.DeleteFunc(p.durations, func(id routeID, _ *recent.Times) bool {
		r := t.Match(id.host, id.prefix)
		return r == nil || idOf(r) != id
	})
}

// refuseStopping refuses a request that cannot be expected to end before this process stops, by how long the latest of
// its route took, or by its deadline while that is not known. Its caller is to retry at once, at another entry. The
// caller holds the proxy's mu.
func (c *call) refuseStopping(now time.Time) *core.Refusal {
	p := c.proxy
	if p.stopsAt.IsZero() || c.sends > 0 || c.started || !c.deadline.After(p.stopsAt) {
		return nil
	}
	if times := p.durations[idOf(c.route)]; times != nil {
		if longest, known := times.Longest(); known && !now.Add(longest).After(p.stopsAt) {
			return nil
		}
	}
	return core.RefuseUntil(core.CodeLeaving, "this entry stops before the request could end", now)
}
