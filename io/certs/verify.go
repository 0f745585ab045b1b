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

// Server returns the configuration of a listener that takes own processes of the
// given roles only. Protocols are those of ALPN, the preferred first. Refusals
// are logged.
func (k *Keeper) Server(protocols []string, roles ...Role) *tls.Config {
	base := &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		// VerifyConnection does all checks, so that a peer without a certificate
		// or with one of another authority is logged like any other.
		ClientAuth:             tls.RequestClientCert,
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.now.Load().cert, nil
		},
	}
	base.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		remote := hello.Conn.RemoteAddr().String()
		one := base.Clone()
		one.GetConfigForClient = nil
		one.VerifyConnection = func(state tls.ConnectionState) error {
			return k.verify(state, remote, wanted{roles: roles, usage: x509.ExtKeyUsageClientAuth})
		}
		return one, nil
	}
	// Without GetConfigForClient's clone nothing is let in.
	base.VerifyConnection = func(tls.ConnectionState) error { return &PeerError{Fault: NoCertificate} }
	return base
}

// Client returns the configuration for calls to a process of a role; an empty
// host is any. Refusals are logged.
func (k *Keeper) Client(protocols []string, role Role, host core.HostName) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		// The library would check host names, which own certificates do not hold.
		// VerifyConnection checks authority, dates, role and host instead.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.now.Load().cert, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return k.verify(state, "", wanted{roles: []Role{role}, host: host, usage: x509.ExtKeyUsageServerAuth})
		},
	}
}

// Callers returns the configuration of a listener for callers, who need no
// certificate. The Keeper's Self is the zero Identity.
func (k *Keeper) Callers(protocols []string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: protocols,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.now.Load().cert, nil
		},
	}
}

// PeerOf returns who is at the other end of a connection that Server or Client
// has verified.
func PeerOf(state tls.ConnectionState) (Identity, bool) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, false
	}
	return IdentityOf(state.PeerCertificates[0])
}

// wanted is what a peer's certificate has to be good for.
type wanted struct {
	roles []Role
	// host is empty where any host will do.
	host  core.HostName
	usage x509.ExtKeyUsage
}

// verify refuses and logs a peer that is not what is wanted. The remote address is
// known to listeners only; a dialler logs which role and host it wanted.
func (k *Keeper) verify(state tls.ConnectionState, remote string, w wanted) error {
	err := k.inspect(state, w)
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

// inspect returns why a peer is refused, or nil.
func (k *Keeper) inspect(state tls.ConnectionState, w wanted) *PeerError {
	if len(state.PeerCertificates) == 0 {
		return &PeerError{Fault: NoCertificate}
	}
	id, named := IdentityOf(state.PeerCertificates[0])
	if err := k.chain(state.PeerCertificates, w.usage); err != nil {
		return &PeerError{Fault: faultOf(err), Peer: id, Cause: err}
	}
	switch {
	case !named:
		return &PeerError{Fault: NoIdentity}
	case !slices.Contains(w.roles, id.Role):
		return &PeerError{Fault: WrongRole, Peer: id}
	case w.host != "" && id.Host != w.host:
		return &PeerError{Fault: WrongHost, Peer: id}
	}
	return nil
}

func (k *Keeper) chain(certs []*x509.Certificate, usage x509.ExtKeyUsage) error {
	between := x509.NewCertPool()
	for _, c := range certs[1:] {
		between.AddCert(c)
	}
	_, err := certs[0].Verify(x509.VerifyOptions{
		Roots:         k.now.Load().pool,
		Intermediates: between,
		CurrentTime:   k.Clock.Now(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return err
}

func faultOf(err error) Fault {
	var invalid x509.CertificateInvalidError
	if errors.As(err, &invalid) && invalid.Reason == x509.Expired {
		return OutOfDate
	}
	return BadChain
}
