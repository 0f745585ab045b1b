package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http/httptest"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/wire"
)

// TestTLS: a client without a certificate of this system connects to a control port. Its
// call must fail, and the attempt must be reported.
func TestTLS(t *testing.T) {
	web := httptest.NewTLSServer(nil)
	defer web.Close()
	roots := x509.NewCertPool()
	roots.AddCert(web.Certificate())
	refused := make(chan error, 1)
	s := &Server{
		Address:   netip.MustParseAddrPort("127.0.0.1:0"),
		TLS:       &tls.Config{Certificates: web.TLS.Certificates, ClientAuth: tls.RequireAnyClientCert},
		Handler:   &Handler{Probe: func(*wire.ProbeCall) (*wire.HostLoad, error) { return &wire.HostLoad{}, nil }},
		OnRefused: func(_ netip.AddrPort, cause error) { refused <- cause },
	}
	assert.NilError(t, s.Listen())
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	call := func(conf *tls.Config) error {
		c := &Client{TLS: func(core.HostName) *tls.Config { return conf }}
		defer c.Close()
		_, err := c.Probe(t.Context(), Target{Address: s.Address}, &wire.ProbeCall{})
		return err
	}
	own := &tls.Config{RootCAs: roots, Certificates: web.TLS.Certificates}
	assert.NilError(t, call(own))
	assert.Assert(t, call(&tls.Config{RootCAs: roots}) != nil)
	assert.Assert(t, <-refused != nil)
	stop()
	assert.NilError(t, <-ended)
}
