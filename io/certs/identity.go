package certs

import (
	"crypto/x509"
	"net/url"
	"slices"

	"radishwell/core"
)

// Role is the role of a certificate's holder, which decides which connections it may
// make and accept.
type Role string

// Roles in certificates.
const (
	Entry    Role = "entry"
	Agent    Role = "agent"
	Operator Role = "operator"
)

// Roles returns all roles.
func Roles() []Role { return []Role{Entry, Agent, Operator} }

const uriScheme = "radishwell"

// Identity is the role and host named in a certificate.
type Identity struct {
	Role Role
	Host core.HostName
}

// String returns the identity as the URI that is written to the certificate.
func (i Identity) String() string { return i.url().String() }

func (i Identity) url() *url.URL {
	return &url.URL{Scheme: uriScheme, Host: string(i.Role), Path: "/" + string(i.Host)}
}

// IdentityOf returns the identity in a certificate. ok is false unless there is exactly
// one, with a known role.
func IdentityOf(cert *x509.Certificate) (id Identity, ok bool) {
	for _, u := range cert.URIs {
		if u.Scheme != uriScheme {
			continue
		}
		if ok {
			return Identity{}, false
		}
		id, ok = parseIdentity(u)
		if !ok {
			return Identity{}, false
		}
	}
	return id, ok
}

func parseIdentity(u *url.URL) (Identity, bool) {
	if len(u.Path) < 2 {
		return Identity{}, false
	}
	id := Identity{Role: Role(u.Host), Host: core.HostName(u.Path[1:])}
	return id, slices.Contains(Roles(), id.Role) && id.url().String() == u.String()
}
