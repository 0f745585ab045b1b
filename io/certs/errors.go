package certs

import "strconv"

// Fault is the reason why a peer's certificate is refused.
type Fault string

// Faults of peers' certificates.
const (
	// NoCertificate: the peer sent no certificate.
	NoCertificate Fault = "no-certificate"
	// UnknownAuthority: the certificate was not issued by the authority in tls.ca.
	UnknownAuthority Fault = "unknown-authority"
	// OutOfDate: the certificate has expired or is not valid yet.
	OutOfDate Fault = "out-of-date"
	// NoIdentity: the certificate does not name exactly one role and host.
	NoIdentity Fault = "no-identity"
	// WrongRole: the role in the certificate is not permitted for this connection.
	WrongRole Fault = "wrong-role"
	// WrongHost: the certificate belongs to another host than the one called.
	WrongHost Fault = "wrong-host"
)

// PeerError reports a peer that is refused for its certificate.
type PeerError struct {
	Fault Fault
	// Peer is the identity in the peer's certificate; zero if there is no valid one.
	Peer Identity
	// Remote is the peer's address; empty if it is not known.
	Remote string
	// Cause is the error of a failed verification of the chain; nil for other faults.
	Cause error
}

// Error implements error.
func (e *PeerError) Error() string {
	s := "peer refused: " + string(e.Fault)
	if e.Peer != (Identity{}) {
		s += " (" + e.Peer.String() + ")"
	}
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Cause }

// FileError reports TLS files that cannot be used.
type FileError struct {
	File   string
	Reason string
}

// Error implements error.
func (e *FileError) Error() string { return e.File + ": " + e.Reason }

// HostError reports a text that is not of the form NAME=ROLE@IP.
type HostError struct {
	Text   string
	Reason string
}

// Error implements error.
func (e *HostError) Error() string {
	return strconv.Quote(e.Text) + ": " + e.Reason + "; write NAME=ROLE@IP, as in agent-1=agent@127.0.0.1"
}
