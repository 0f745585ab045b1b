package certs

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/samber/oops"
)

// Files names the files of one certificate and, between own processes, of the
// authority that peers are checked against.
type Files struct {
	CA   string
	Cert string
	Key  string
}

// texts are the contents of Files.
type texts struct{ ca, cert, key []byte }

func (t texts) equal(o texts) bool {
	return bytes.Equal(t.ca, o.ca) && bytes.Equal(t.cert, o.cert) && bytes.Equal(t.key, o.key)
}

func (f Files) read() (t texts, err error) {
	for _, part := range []struct {
		file string
		to   *[]byte
	}{{f.CA, &t.ca}, {f.Cert, &t.cert}, {f.Key, &t.key}} {
		if part.file == "" {
			continue
		}
		*part.to, err = os.ReadFile(part.file)
		if err != nil {
			return texts{}, oops.In("certs").Wrapf(err, "read TLS file")
		}
	}
	return t, nil
}

// material is a certificate ready for use.
type material struct {
	texts texts
	cert  *tls.Certificate
	leaf  *x509.Certificate
	pool  *x509.CertPool
}

// parse checks that the files fit together; self is what the certificate has to
// name, or the zero Identity where it names none.
func (f Files) parse(t texts, self Identity) (*material, error) {
	pair, err := tls.X509KeyPair(t.cert, t.key)
	if err != nil {
		return nil, oops.In("certs").With("cert", f.Cert, "key", f.Key).Wrapf(err, "read certificate and key")
	}
	m := &material{texts: t, cert: &pair, leaf: pair.Leaf}
	if self == (Identity{}) {
		return m, nil
	}
	if id, ok := IdentityOf(m.leaf); !ok || id != self {
		return nil, &FileError{File: f.Cert, Reason: "the certificate names " + describe(id, ok) + ", the settings " + self.String()}
	}
	m.pool = x509.NewCertPool()
	if !m.pool.AppendCertsFromPEM(t.ca) {
		return nil, &FileError{File: f.CA, Reason: "holds no certificate"}
	}
	return m, nil
}

func describe(id Identity, ok bool) string {
	if !ok {
		return "no role and host"
	}
	return id.String()
}
