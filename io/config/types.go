package config

import (
	"net/netip"
	"net/url"
	"strconv"

	"radishwell/core"
)

// Role is the role of a process in the fleet. An entry takes callers' requests; an
// agent runs on the same host as an upstream.
type Role string

// Roles of processes.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// UnmarshalText implements encoding.TextUnmarshaler. Its error is a
// core.NameError.
func (r *Role) UnmarshalText(text []byte) error {
	switch known := Role(text); known {
	case Entry, Agent:
		*r = known
		return nil
	}
	return &core.NameError{Kind: "role", Text: string(text), Known: []string{string(Entry), string(Agent)}}
}

// Origin is the base address of an HTTP server by IP number.
type Origin struct {
	// TLS is set if the scheme is https.
	TLS  bool
	Addr netip.AddrPort
}

// OriginError reports a text that is not a valid Origin.
type OriginError struct {
	Text   string
	Reason string
}

// Error implements error.
func (e *OriginError) Error() string {
	return strconv.Quote(e.Text) + " is no base address: " + e.Reason
}

// UnmarshalText implements encoding.TextUnmarshaler. Its error is an
// OriginError.
func (o *Origin) UnmarshalText(text []byte) error {
	fail := func(reason string) error { return &OriginError{Text: string(text), Reason: reason} }
	u, err := url.Parse(string(text))
	if err != nil {
		return fail("not a URL")
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return fail("has to start with http:// or https://")
	}
	if u.User != nil || u.Path != "" && u.Path != "/" || u.RawQuery != "" || u.Fragment != "" {
		return fail("scheme, IP number and port only")
	}
	addr, err := netip.ParseAddrPort(u.Host)
	if err != nil || addr.Port() == 0 || addr.Addr().Zone() != "" {
		return fail("the host has to be an IP number and a port")
	}
	*o = Origin{TLS: u.Scheme == "https", Addr: addr}
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (o Origin) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// String returns the address as a URL without a path. It is empty for the zero Origin.
func (o Origin) String() string {
	switch {
	case !o.IsSet():
		return ""
	case o.TLS:
		return "https://" + o.Addr.String()
	default:
		return "http://" + o.Addr.String()
	}
}

// IsSet reports whether the address is set.
func (o Origin) IsSet() bool { return o.Addr.IsValid() }
