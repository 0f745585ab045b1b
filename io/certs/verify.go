package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"slices"

	"radishwell/core"
	"radishwell/io/events"
)

// Server returns the configuration of a listener that accepts own processes of the given
// roles only. protocols are those for ALPN, the preferred one first. Refusals are logged.
func (r *Reloader) Server(protocols []string, roles ...Role) *tls.Config {
	base := &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		// VerifyConnection makes all checks, so that peers without a certificate or
		// with one of another authority are logged like any other.
		ClientAuth:             tls.RequestClientCert,
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.current.Load().cert, nil
		},
	}
	base.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		remote := hello.Conn.RemoteAddr().String()
		conf := base.Clone()
		conf.GetConfigForClient = nil
		conf.VerifyConnection = func(state tls.ConnectionState) error {
			return r.verify(state, remote, requirement{roles: roles, usage: x509.ExtKeyUsageClientAuth})
		}
		return conf, nil
	}
	// A connection that does not use the clone from GetConfigForClient is refused.
	base.VerifyConnection = func(tls.ConnectionState) error { return &PeerError{Fault: NoCertificate} }
	return base
}

// Client returns the configuration for calls to a process of a role on a host; an empty
// host means any. protocols are those for ALPN. Refusals are logged.
func (r *Reloader) Client(protocols []string, role Role, host core.HostName) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		// The library would check DNS names, which certificates of own processes do not
		// contain. VerifyConnection checks authority, dates, role and host instead.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return r.current.Load().cert, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return r.verify(state, "", requirement{roles: []Role{role}, host: host, usage: x509.ExtKeyUsageServerAuth})
		},
	}
}

// Callers returns the configuration of a listener for callers, which need no
// certificate. It is for a Reloader whose Self is the zero Identity.
func (r *Reloader) Callers(protocols []string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: protocols,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.current.Load().cert, nil
		},
	}
}

// PeerOf returns the identity of the peer of a connection that was verified by the
// configuration of Server, Client or AnyClient.
func PeerOf(state tls.ConnectionState) (Identity, bool) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, false
	}
	return IdentityOf(state.PeerCertificates[0])
}

// requirement is what a peer's certificate must satisfy.
type requirement struct {
	roles []Role
	// host is empty if any host is accepted.
	host  core.HostName
	usage x509.ExtKeyUsage
}

// verify returns an error for a peer that does not meet the requirement, and logs the
// refusal. Only listeners know the remote address; for diallers, the log shows the
// expected role and host.
func (r *Reloader) verify(state tls.ConnectionState, remote string, w requirement) error {
	err := r.check(state, w)
	if err == nil {
		return nil
	}
	err.Remote = remote
	events.Fail(events.PeerRefused, err,
		"remote", remote,
		"fault", string(err.Fault),
		"peer-role", string(err.Peer.Role),
		"peer-host", string(err.Peer.Host),
		"wanted-roles", fmt.Sprint(w.roles),
		"wanted-host", string(w.host),
	)
	return err
}

// check returns the reason why a peer is refused, or nil if it is accepted.
func (r *Reloader) check(state tls.ConnectionState, w requirement) *PeerError {
	if len(state.PeerCertificates) == 0 {
		return &PeerError{Fault: NoCertificate}
	}
	id, hasIdentity := IdentityOf(state.PeerCertificates[0])
	if err := r.verifyChain(state.PeerCertificates, w.usage); err != nil {
		return &PeerError{Fault: faultOf(err), Peer: id, Cause: err}
	}
	switch {
	case !hasIdentity:
		return &PeerError{Fault: NoIdentity}
	case !slices.Contains(w.roles, id.Role):
		return &PeerError{Fault: WrongRole, Peer: id}
	case w.host != "" && id.Host != w.host:
		return &PeerError{Fault: WrongHost, Peer: id}
	}
	return nil
}

// verifyChain verifies the chain of a peer's certificate and its dates.
func (r *Reloader) verifyChain(certs []*x509.Certificate, usage x509.ExtKeyUsage) error {
	intermediates := x509.NewCertPool()
	for _, c := range certs[1:] {
		intermediates.AddCert(c)
	}
	_, err := certs[0].Verify(x509.VerifyOptions{
		Roots:         r.current.Load().pool,
		Intermediates: intermediates,
		CurrentTime:   r.Clock.Now(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return err
}

func faultOf(err error) Fault {
	var invalid x509.CertificateInvalidError
	if errors.As(err, &invalid) && invalid.Reason == x509.Expired {
		return OutOfDate
	}
	return UnknownAuthority
}
