package certs

import "strconv"

// Fault classes why a peer's certificate is not taken.
type Fault string

// Faults of peers' certificates.
const (
	// NoCertificate: the peer sent none.
	NoCertificate Fault = "no-certificate"
	// BadChain: it was not issued by the authority of tls.ca.
	BadChain Fault = "unknown-authority"
	// OutOfDate: it is expired or not valid yet.
	OutOfDate Fault = "out-of-date"
	// NoIdentity: it does not name a role and a host.
	NoIdentity Fault = "no-identity"
	// WrongRole: its role may not do this.
	WrongRole Fault = "wrong-role"
	// WrongHost: it belongs to another host than the one called.
	WrongHost Fault = "wrong-host"
)

// PeerError reports a peer that is refused for its certificate.
type PeerError struct {
	Fault Fault
	// Peer is what its certificate names, if that could be read.
	Peer Identity
	// Remote is the peer's address; empty where it is not known.
	Remote string
	// Cause is the reason of a failed verification.
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

// HostError reports a text that is no NAME=ROLE@IP.
type HostError struct {
	Text   string
	Reason string
}

// Error implements error.
func (e *HostError) Error() string {
	return strconv.Quote(e.Text) + ": " + e.Reason + "; write NAME=ROLE@IP, as in agent-1=agent@127.0.0.1"
}
