package certs

import (
	"crypto/tls"
	"crypto/x509"
)

// AnyClient returns the configuration for calls to a process whose role is not known
// yet, such as a peer of which the settings give the address only. It accepts any entry
// or agent with a certificate of the same authority. Refusals are logged.
func (r *Reloader) AnyClient(protocols []string) *tls.Config {
	conf := r.Client(protocols, Entry, "")
	conf.VerifyConnection = func(state tls.ConnectionState) error {
		return r.verify(state, "", requirement{roles: []Role{Entry, Agent}, usage: x509.ExtKeyUsageServerAuth})
	}
	return conf
}
