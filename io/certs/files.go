package certs

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/samber/oops"
)

// Files holds the file names of a certificate, of its key and, between own processes, of
// the authority that peers' certificates are verified against.
type Files struct {
	CA   string
	Cert string
	Key  string
}

// contents holds the contents of Files.
type contents struct{ ca, cert, key []byte }

func (t contents) equal(o contents) bool {
	return bytes.Equal(t.ca, o.ca) && bytes.Equal(t.cert, o.cert) && bytes.Equal(t.key, o.key)
}

// read reads the files that are named.
func (f Files) read() (t contents, err error) {
	for _, part := range []struct {
		file string
		to   *[]byte
	}{{f.CA, &t.ca}, {f.Cert, &t.cert}, {f.Key, &t.key}} {
		if part.file == "" {
			continue
		}
		*part.to, err = os.ReadFile(part.file)
		if err != nil {
			return contents{}, oops.In("certs").Wrapf(err, "read TLS file")
		}
	}
	return t, nil
}

// bundle holds the parsed files.
type bundle struct {
	contents contents
	cert     *tls.Certificate
	leaf     *x509.Certificate
	// pool holds the authority; nil for a certificate that is used towards callers.
	pool *x509.CertPool
}

// parse parses the files and checks that they match each other. self is the identity
// that the certificate must name. The zero Identity stands for a certificate that is
// used towards callers, which need not name one.
func (f Files) parse(t contents, self Identity) (*bundle, error) {
	pair, err := tls.X509KeyPair(t.cert, t.key)
	if err != nil {
		return nil, oops.In("certs").With("cert", f.Cert, "key", f.Key).Wrapf(err, "read certificate and key")
	}
	m := &bundle{contents: t, cert: &pair, leaf: pair.Leaf}
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
