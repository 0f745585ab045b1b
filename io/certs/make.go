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

// Lives of certificates. Hosts are replaced long before a year is over.
const (
	authorityYears = 10
	hostYears      = 1
	// clockSkew lets a certificate be used at once on hosts whose clock is behind.
	clockSkew = 5 * time.Minute
	// serialBits is the length of the random serial numbers.
	serialBits = 120
)

// Names of the authority's files in the directory; a host's are NAME.crt and
// NAME.key.
const (
	AuthorityCert = "ca.crt"
	AuthorityKey  = "ca.key"
)

// Host is a process to make a certificate for.
type Host struct {
	Identity
	// Addrs are the IP numbers under which callers reach an entry.
	Addrs []netip.Addr
}

// ParseHost reads NAME=ROLE@IP[,IP...]. Its error is a HostError.
func ParseHost(text string) (Host, error) {
	name, rest, ok := strings.Cut(text, "=")
	role, list, ok2 := strings.Cut(rest, "@")
	h := Host{Identity: Identity{Role: Role(role), Host: core.HostName(name)}}
	switch {
	case !ok || !ok2:
		return Host{}, &HostError{text, "is not complete"}
	case !goodHost(name):
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

// goodHost keeps names of hosts, which become names of files, within a directory.
func goodHost(name string) bool {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789-._"
	return name != "" && name != "ca" && name[0] != '.' && strings.Trim(name, letters) == ""
}

// Maker writes an authority and certificates of hosts into a directory. It is
// meant for trials and for fleets without an authority of their own.
type Maker struct {
	Dir   string
	Clock core.Clock
}

// Make writes a certificate and key for each host. An authority that is in the
// directory already is used again, so that hosts can be added later.
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

// issuer is an authority with its key.
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

// ipsOf turns addresses into the form that the x509 package takes.
func ipsOf(addrs []netip.Addr) []net.IP {
	ips := make([]net.IP, len(addrs))
	for i, a := range addrs {
		ips[i] = a.Unmap().AsSlice()
	}
	return ips
}

// write makes a key, signs its certificate by the issuer, or by itself where
// there is none, and writes both.
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
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return oops.In("certs").Wrapf(err, "encode key")
	}
	if err := m.file(name+".key", "PRIVATE KEY", secret, 0o600); err != nil {
		return err
	}
	return m.file(name+".crt", "CERTIFICATE", der, 0o644)
}

// file replaces a file in one step, so that a process which reads it again never
// meets half of it.
func (m Maker) file(name, kind string, der []byte, mode fs.FileMode) error {
	path := filepath.Join(m.Dir, name)
	fresh := path + ".new"
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(fresh, text, mode); err != nil {
		return oops.In("certs").Wrapf(err, "write TLS file")
	}
	return oops.In("certs").Wrapf(os.Rename(fresh, path), "put TLS file in place")
}
