package certs

import (
	"crypto/tls"
	"crypto/x509"
)

// AnyClient is Client for calls to a process whose role is not known yet, as
// that of a peer named only by its address in the settings: an entry or an
// agent of the same authority.
func (k *Keeper) AnyClient(protocols []string) *tls.Config {
	conf := k.Client(protocols, Entry, "")
	conf.VerifyConnection = func(state tls.ConnectionState) error {
		return k.verify(state, "", wanted{roles: []Role{Entry, Agent}, usage: x509.ExtKeyUsageServerAuth})
	}
	return conf
}
