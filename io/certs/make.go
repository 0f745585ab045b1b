package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io/fs"
	"math/big"
	"net"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"

	"radishwell/core"
)

const (
	// authorityYears is the validity of an authority's certificate.
	authorityYears = 10
	// hostYears is the validity of a host's certificate. Hosts are replaced long before
	// a year is over.
	hostYears = 1
	// clockSkew is how far certificates are backdated, so that hosts whose clock is
	// slow accept them at once.
	clockSkew = 5 * time.Minute
	// serialBits is the length of the random serial numbers.
	serialBits = 120
)

// File names of the authority in the directory. Those of a host are NAME.crt and
// NAME.key.
const (
	AuthorityCert = "ca.crt"
	AuthorityKey  = "ca.key"
)

// Host describes a process for which a certificate is made.
type Host struct {
	Identity
	// Addrs are the IP numbers at which callers reach an entry.
	Addrs []netip.Addr
}

// ParseHost parses NAME=ROLE@IP[,IP...]. Its error is a HostError.
func ParseHost(text string) (Host, error) {
	name, rest, ok := strings.Cut(text, "=")
	role, list, ok2 := strings.Cut(rest, "@")
	h := Host{Identity: Identity{Role: Role(role), Host: core.HostName(name)}}
	switch {
	case !ok || !ok2:
		return Host{}, &HostError{text, "is not complete"}
	case !validHost(name):
		return Host{}, &HostError{text, "the name has to be lower-case letters, digits, '-', '.' or '_'"}
	case !slices.Contains(Roles(), h.Role):
		return Host{}, &HostError{text, "the role has to be entry, agent or operator"}
	}
	for part := range strings.SplitSeq(list, ",") {
		addr, err := netip.ParseAddr(part)
		if err != nil || addr.Zone() != "" {
			return Host{}, &HostError{text, "the address has to be an IP number"}
		}
		h.Addrs = append(h.Addrs, addr)
	}
	return h, nil
}

// validHost reports whether a name is valid for a host. Since the name becomes that of
// files, it must not lead out of the directory or collide with the authority's files.
func validHost(name string) bool {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789-._"
	return name != "" && name != "ca" && name[0] != '.' && strings.Trim(name, letters) == ""
}

// Maker creates an authority and certificates of hosts in a directory. It is meant for
// tests and for fleets without an authority of their own.
type Maker struct {
	Dir   string
	Clock core.Clock
}

// Make writes a certificate and key for each host. It uses the authority in the directory
// if there is one, so that hosts can be added later.
func (m Maker) Make(hosts ...Host) error {
	if err := os.MkdirAll(m.Dir, 0o755); err != nil {
		return oops.In("certs").Wrapf(err, "make directory")
	}
	ca, err := m.authority()
	if err != nil {
		return err
	}
	for _, h := range hosts {
		if err := m.host(ca, h); err != nil {
			return err
		}
	}
	return nil
}

// issuer is the certificate of an authority with its key.
type issuer struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func (m Maker) authority() (issuer, error) {
	ca, err := m.readAuthority()
	if errors.Is(err, fs.ErrNotExist) {
		return m.newAuthority()
	}
	return ca, err
}

func (m Maker) readAuthority() (issuer, error) {
	certFile, keyFile := filepath.Join(m.Dir, AuthorityCert), filepath.Join(m.Dir, AuthorityKey)
	t, err := Files{Cert: certFile, Key: keyFile}.read()
	if err != nil {
		return issuer{}, err
	}
	pair, err := Files{Cert: certFile, Key: keyFile}.parse(t, Identity{})
	if err != nil {
		return issuer{}, err
	}
	key, ok := pair.cert.PrivateKey.(*ecdsa.PrivateKey)
	if !ok || !pair.leaf.IsCA {
		return issuer{}, &FileError{File: certFile, Reason: "is no authority with an ECDSA key"}
	}
	return issuer{cert: pair.leaf, key: key}, nil
}

func (m Maker) newAuthority() (issuer, error) {
	now := m.Clock.Now()
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "radishwell authority"},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.AddDate(authorityYears, 0, 0),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
	}
	if err := m.write(strings.TrimSuffix(AuthorityCert, ".crt"), template, nil); err != nil {
		return issuer{}, err
	}
	return m.readAuthority()
}

func (m Maker) host(ca issuer, h Host) error {
	now := m.Clock.Now()
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: string(h.Host)},
		NotBefore:   now.Add(-clockSkew),
		NotAfter:    now.AddDate(hostYears, 0, 0),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		URIs:        []*url.URL{h.url()},
		IPAddresses: ipsOf(h.Addrs),
	}
	return m.write(string(h.Host), template, &ca)
}

// ipsOf converts addresses to the type that the x509 package uses.
func ipsOf(addrs []netip.Addr) []net.IP {
	ips := make([]net.IP, len(addrs))
	for i, a := range addrs {
		ips[i] = a.Unmap().AsSlice()
	}
	return ips
}

// write generates a key, signs its certificate with the issuer's key, or with the new key
// if ca is nil, and writes both files.
func (m Maker) write(name string, template *x509.Certificate, ca *issuer) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return oops.In("certs").Wrapf(err, "make key")
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return oops.In("certs").Wrapf(err, "draw serial number")
	}
	if ca == nil {
		ca = &issuer{cert: template, key: key}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.cert, &key.PublicKey, ca.key)
	if err != nil {
		return oops.In("certs").Wrapf(err, "sign certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return oops.In("certs").Wrapf(err, "encode key")
	}
	if err := m.file(name+".key", "PRIVATE KEY", keyDER, 0o600); err != nil {
		return err
	}
	return m.file(name+".crt", "CERTIFICATE", der, 0o644)
}

// file replaces a file atomically, so that a process that reads it never finds it
// incomplete.
func (m Maker) file(name, kind string, der []byte, mode fs.FileMode) error {
	path := filepath.Join(m.Dir, name)
	temp := path + ".new"
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(temp, text, mode); err != nil {
		return oops.In("certs").Wrapf(err, "write TLS file")
	}
	return oops.In("certs").Wrapf(os.Rename(temp, path), "put TLS file in place")
}
