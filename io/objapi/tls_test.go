package objapi

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/io/fakes/apisrv"
)

func TestTLS(t *testing.T) {
	web := httptest.NewTLSServer(&apisrv.Server{Seed: []core.Object{model("qalam", `{}`)}})
	defer web.Close()
	addr := web.Listener.Addr().(*net.TCPAddr).AddrPort()
	t.Run("known certificate", func(t *testing.T) {
		roots := x509.NewCertPool()
		roots.AddCert(web.Certificate())
		c := &Client{Address: addr, TLS: &tls.Config{RootCAs: roots}}
		defer c.Close()
		_, err := c.Get(context.Background(), core.KindModel, "qalam")
		assert.NilError(t, err)
	})
	t.Run("unknown certificate", func(t *testing.T) {
		c := &Client{Address: addr, TLS: &tls.Config{RootCAs: x509.NewCertPool()}}
		_, err := c.Create(context.Background(), model("sijill", `{}`))
		assertFault(t, err, core.Unavailable)
	})
}
