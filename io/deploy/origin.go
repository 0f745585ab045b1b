package deploy

import (
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/core/follow"
	"radishwell/io/peer"
	"radishwell/io/resume"
	"radishwell/io/stale"
	"radishwell/wire"
)

// maxRegistryAge is the age of the store's last confirmation of the registry up to which all
// hosts count as known. Confirmations pass from entry to entry within some seconds.
const maxRegistryAge = 5 * time.Second

// shareOrigins sets up the exchange with entries and agents of where streams began, and the records in
// the store, by which a stream that its caller resumes at another entry continues at its software version.
func (e *entry) shareOrigins() {
	saved := newOriginLog(e)
	e.origins = &resume.Exchange{
		Self: e.members.self.Name, Clock: e.clock, Caller: e.client, Records: e.proxy, Members: e.members.all, Agents: e.links.agents, Save: saved.save,
	}
	e.origins.Start()
	e.software = &software{entry: e, wake: make(chan struct{}, 1)}
	e.proxy.Origins, e.proxy.Software, e.proxy.SavedOrigins = e.origins, e.software, saved
	e.proxy.RegistryStale = func() bool { return stale.IsOlder(e.state, core.KindRegistry, maxRegistryAge) }
	e.handler.Keep, e.handler.Find = e.origins.ServeKeep, e.origins.ServeFind
	e.state.Departed = peer.Gossip[*wire.DepartedSoftware]{Next: e.departedSoftware, Join: e.joinDeparted}
	e.parts = append(e.parts, e.origins.Run, e.software.run, saved.runReads, saved.runWrites, saved.runSweeps)
}

// all returns the other entries with a record in the store.
func (m *members) all() (out []follow.Member) {
	for _, list := range m.others() {
		out = append(out, list...)
	}
	return out
}

// departedSoftware returns the software versions of hosts that have gone, for other entries: one
// that has just started does not know them from the registry.
func (e *entry) departedSoftware() []*wire.DepartedSoftware {
	now := e.clock.Now()
	var out []*wire.DepartedSoftware
	for s, until := range e.proxy.Departed() {
		out = append(out, &wire.DepartedSoftware{Service: string(s.Service), Version: string(s.Version), Left: until.Sub(now).Milliseconds()})
	}
	return out
}

// joinDeparted applies what another entry sent. It never asks for passing it on at once: hosts
// are gone for long before their versions matter.
func (e *entry) joinDeparted(list []*wire.DepartedSoftware) (news bool) {
	e.proxy.Update(func(v *fleet.View, now time.Time) {
		for _, d := range list {
			s := fleet.Software{Service: core.ServiceName(d.GetService()), Version: core.SoftwareVersion(d.GetVersion())}
			left := min(time.Duration(d.GetLeft())*time.Millisecond, fleet.SoftwareTTL)
			v.NoteDeparted(s, now.Add(left))
		}
	})
	return false
}
