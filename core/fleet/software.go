package fleet

import (
	"slices"
	"time"

	"radishwell/core"
)

// SoftwareTTL is how long a software version counts as one at which a stream may have begun
// after its last host has gone.
const SoftwareTTL = 5 * time.Minute

// Software is a software version of a service's hosts.
type Software struct {
	Service core.ServiceName
	Version core.SoftwareVersion
}

func (h *Host) softwareID() Software { return Software{Service: h.Service, Version: h.Software} }

// noteDeparture records that a host with a version has gone. The version may be that of other
// hosts still.
func (v *View) noteDeparture(h *Host) {
	if h.Service != "" {
		v.departures = append(v.departures, h.softwareID())
	}
}

// keepDepartures keeps the versions of the hosts that have gone since the last call. The platform's
// record of a version may end once no host has it, so a later host has to be recorded again.
func (v *View) keepDepartures(now time.Time) {
	for _, s := range v.departures {
		v.NoteDeparted(s, now.Add(SoftwareTTL))
		if !v.lists(s) {
			delete(v.recorded, s)
		}
	}
	v.departures = nil
}

// NoteRecorded records which versions the platform's record has. One that this process has never
// known is that of hosts that had gone before it started.
func (v *View) NoteRecorded(now time.Time, list []Software) {
	v.init()
	v.record = list
	for _, s := range list {
		if v.lists(s) {
			v.recorded[s] = true
		} else if _, known := v.departed[s]; !known {
			v.NoteDeparted(s, now.Add(SoftwareTTL))
		}
	}
}

// RecordedVersions returns the versions of a service in the platform's record, as of the last read.
// Among them may be one that has come back and is not listed yet.
func (v *View) RecordedVersions(service core.ServiceName) (out []core.SoftwareVersion) {
	for _, s := range v.record {
		if s.Service == service {
			out = append(out, s.Version)
		}
	}
	return out
}

// IsRecorded reports whether the platform's record has the version of a listed host.
func (v *View) IsRecorded(s Software) bool { return v.recorded[s] }

// InService returns the versions at which streams may have begun.
func (v *View) InService(now time.Time) map[Software]bool {
	out := map[Software]bool{}
	for _, h := range v.hosts {
		if h.Service != "" {
			out[h.softwareID()] = true
		}
	}
	for s, until := range v.departed {
		if now.Before(until) {
			out[s] = true
		}
	}
	return out
}

// lists reports whether a listed host has a version.
func (v *View) lists(s Software) bool {
	for _, h := range v.hosts {
		if h.softwareID() == s {
			return true
		}
	}
	return false
}

// NoteDeparted records a version of hosts that have gone, at which streams may have begun
// that are in progress until the given time.
func (v *View) NoteDeparted(s Software, until time.Time) {
	v.init()
	if until.After(v.departed[s]) {
		v.departed[s] = until
	}
}

// Departed returns the versions that no listed host has and at which streams may have begun,
// with the time until which that is so.
func (v *View) Departed(now time.Time) map[Software]time.Time {
	out := map[Software]time.Time{}
	for s, until := range v.departed {
		if now.Before(until) {
			out[s] = until
		} else if now.Sub(until) >= SoftwareTTL {
			delete(v.departed, s) // the platform's record has ended by now
		}
	}
	for _, h := range v.hosts {
		delete(out, h.softwareID())
	}
	return out
}

// Versions returns the software versions at which a stream of a service may have begun, sorted.
func (v *View) Versions(now time.Time, service core.ServiceName) (out []core.SoftwareVersion) {
	for _, h := range v.hosts {
		if h.Service == service {
			out = append(out, h.Software)
		}
	}
	for s, until := range v.departed {
		if s.Service == service && now.Before(until) {
			out = append(out, s.Version)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// HasSeveralVersions reports whether Versions returns more than one.
func (v *View) HasSeveralVersions(now time.Time, service core.ServiceName) bool {
	for _, h := range v.hosts {
		if h.Service == service {
			return !v.hasOnly(now, service, h.Software)
		}
	}
	return len(v.Versions(now, service)) > 1 // no host is listed
}

// hasOnly reports whether no stream of a service began at another version than the given one.
func (v *View) hasOnly(now time.Time, service core.ServiceName, version core.SoftwareVersion) bool {
	if v.listsOther(service, version) {
		return false
	}
	for s, until := range v.departed {
		if s.Service == service && s.Version != version && now.Before(until) {
			return false
		}
	}
	return true
}

// listsOther reports whether the registry lists a host of a service with another version than
// the given one.
func (v *View) listsOther(service core.ServiceName, version core.SoftwareVersion) bool {
	for _, h := range v.hosts {
		if h.Service == service && h.Software != version {
			return true
		}
	}
	return false
}

// continues reports whether a host has the service and the version that began a stream. Hosts whose versions
// are not known may differ, so among several versions only the run of the host that began it does
// then.
func (h *Host) continues(o *core.StreamOrigin, oneVersion bool) bool {
	return h.Service == o.Service && h.Software == o.Software && (o.Software != "" || oneVersion || h.ID == o.Host && h.Born == o.Born)
}
