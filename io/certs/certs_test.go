package certs_test

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/io/certs"
)

// clock is a core.Clock that tests control.
type clock struct{ at atomic.Int64 }

func (c *clock) Now() time.Time      { return time.Unix(c.at.Load(), 0) }
func (c *clock) add(d time.Duration) { c.at.Add(int64(d / time.Second)) }

func newClock() *clock {
	c := &clock{}
	c.at.Store(time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC).Unix())
	return c
}

const (
	day  = 24 * time.Hour
	year = 365 * day
)

// makeKeys writes an authority and certificates to a directory.
func makeKeys(t *testing.T, dir string, c core.Clock, hosts ...string) {
	t.Helper()
	var all []certs.Host
	for _, text := range hosts {
		h, err := certs.ParseHost(text)
		assert.NilError(t, err)
		all = append(all, h)
	}
	assert.NilError(t, certs.Maker{Dir: dir, Clock: c}.Make(all...))
}

func filesOf(dir, name string) certs.Files {
	return certs.Files{
		CA:   filepath.Join(dir, certs.AuthorityCert),
		Cert: filepath.Join(dir, name+".crt"),
		Key:  filepath.Join(dir, name+".key"),
	}
}

func load(t *testing.T, dir, name string, role certs.Role, c core.Clock) *certs.Reloader {
	t.Helper()
	k := &certs.Reloader{
		Files: filesOf(dir, name),
		Self:  certs.Identity{Role: role, Host: core.HostName(name)},
		Clock: c,
	}
	assert.NilError(t, k.Load())
	return k
}

// handshake connects a client to a server over TCP and returns the errors of both ends.
// The connections are closed at the end of the test.
func handshake(t *testing.T, server, client *tls.Config) (srv, cli *tls.Conn, srvErr, cliErr error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	raw, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	cli, srv = tls.Client(raw, client), tls.Server(accepted, server)
	t.Cleanup(func() { cli.Close(); srv.Close() })
	done := make(chan error, 1)
	go func() {
		err := srv.Handshake()
		if err != nil {
			accepted.Close()
		}
		done <- err
	}()
	cliErr = cli.Handshake()
	if cliErr != nil {
		raw.Close()
	}
	return srv, cli, <-done, cliErr
}

// assertFault checks that a peer was refused with a fault; "" means not refused.
func assertFault(t *testing.T, err error, want certs.Fault) {
	t.Helper()
	var refused *certs.PeerError
	got := certs.Fault("")
	if errors.As(err, &refused) {
		got = refused.Fault
	}
	assert.Equal(t, got, want, "%v", err)
}

func TestMutual(t *testing.T) {
	c, dir := newClock(), t.TempDir()
	makeKeys(t, dir, c, "entry-1=entry@127.0.0.1", "agent-1=agent@127.0.0.1", "boss=operator@127.0.0.1")
	entry, agent := load(t, dir, "entry-1", certs.Entry, c), load(t, dir, "agent-1", certs.Agent, c)
	boss := load(t, dir, "boss", certs.Operator, c)
	server := agent.Server([]string{"h2"}, certs.Entry)

	t.Run("right role", func(t *testing.T) {
		srv, cli, srvErr, cliErr := handshake(t, server, entry.Client([]string{"h2"}, certs.Agent, "agent-1"))
		assert.NilError(t, srvErr)
		assert.NilError(t, cliErr)
		assert.Equal(t, cli.ConnectionState().NegotiatedProtocol, "h2")
		id, ok := certs.PeerOf(srv.ConnectionState())
		assert.Assert(t, ok)
		assert.Equal(t, id, certs.Identity{Role: certs.Entry, Host: "entry-1"})
	})
	t.Run("wrong role of client", func(t *testing.T) {
		_, _, srvErr, _ := handshake(t, server, boss.Client(nil, certs.Agent, ""))
		assertFault(t, srvErr, certs.WrongRole)
	})
	t.Run("wrong role of server", func(t *testing.T) {
		_, _, _, cliErr := handshake(t, server, entry.Client(nil, certs.Entry, ""))
		assertFault(t, cliErr, certs.WrongRole)
	})
	t.Run("wrong host of server", func(t *testing.T) {
		_, _, _, cliErr := handshake(t, server, entry.Client(nil, certs.Agent, "agent-2"))
		assertFault(t, cliErr, certs.WrongHost)
	})
	t.Run("no certificate", func(t *testing.T) {
		_, _, srvErr, _ := handshake(t, server, &tls.Config{InsecureSkipVerify: true})
		assertFault(t, srvErr, certs.NoCertificate)
	})
	t.Run("other authority", func(t *testing.T) {
		other := t.TempDir()
		makeKeys(t, other, c, "entry-1=entry@127.0.0.1")
		stranger := load(t, other, "entry-1", certs.Entry, c)
		_, _, srvErr, _ := handshake(t, server, &tls.Config{
			InsecureSkipVerify:   true,
			GetClientCertificate: stranger.Client(nil, certs.Agent, "").GetClientCertificate,
		})
		assertFault(t, srvErr, certs.UnknownAuthority)
	})
	t.Run("no role", func(t *testing.T) {
		_, _, srvErr, _ := handshake(t, server, withCert(t, dir, certs.AuthorityCert, certs.AuthorityKey))
		assertFault(t, srvErr, certs.NoIdentity)
	})
}

func withCert(t *testing.T, dir, cert, key string) *tls.Config {
	t.Helper()
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, cert), filepath.Join(dir, key))
	assert.NilError(t, err)
	return &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{pair}}
}

// TestHTTP2 checks that a request can be sent over HTTP/2 with certificates on both
// sides, as between entry and agent.
func TestHTTP2(t *testing.T) {
	c, dir := newClock(), t.TempDir()
	makeKeys(t, dir, c, "entry-1=entry@127.0.0.1", "agent-1=agent@127.0.0.1")
	entry, agent := load(t, dir, "entry-1", certs.Entry, c), load(t, dir, "agent-1", certs.Agent, c)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id, _ := certs.PeerOf(*r.TLS)
		fmt.Fprint(w, r.Proto, " ", id)
	}))
	listener := tls.NewListener(server.Listener, agent.Server([]string{"h2"}, certs.Entry))
	go func() { _ = server.Config.Serve(listener) }()
	defer server.Config.Close()
	transport := &http.Transport{
		TLSClientConfig:   entry.Client([]string{"h2"}, certs.Agent, "agent-1"),
		ForceAttemptHTTP2: true,
	}
	defer transport.CloseIdleConnections()
	answer, err := (&http.Client{Transport: transport}).Get("https://" + listener.Addr().String())
	assert.NilError(t, err)
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "HTTP/2.0 radishwell://entry/entry-1")
}

// TestExpired guards against a host that stays refused after its expired certificate
// was renewed. Other processes refuse the host while the certificate is expired, and
// accept it once the files are renewed, without a restart.
func TestExpired(t *testing.T) {
	c, dir := newClock(), t.TempDir()
	makeKeys(t, dir, c, "entry-1=entry@127.0.0.1", "agent-1=agent@127.0.0.1")
	entry, agent := load(t, dir, "entry-1", certs.Entry, c), load(t, dir, "agent-1", certs.Agent, c)
	c.add(year + day)
	_, _, srvErr, _ := handshake(t, agent.Server(nil, certs.Entry), entry.Client(nil, certs.Agent, ""))
	_, _, _, cliErr := handshake(t, agent.Server(nil, certs.Entry), entry.Client(nil, certs.Agent, ""))
	assertFault(t, errors.Join(srvErr, cliErr), certs.OutOfDate)
	makeKeys(t, dir, c, "entry-1=entry@127.0.0.1", "agent-1=agent@127.0.0.1")
	entry.Poll()
	agent.Poll()
	_, _, srvErr, cliErr = handshake(t, agent.Server(nil, certs.Entry), entry.Client(nil, certs.Agent, ""))
	assert.NilError(t, errors.Join(srvErr, cliErr))
}

// TestReloadCutsNothing guards against a reload that closes open connections.
// Certificates are replaced while an answer is streamed; the stream must continue on
// its connection, and new connections must use the new files.
func TestReloadCutsNothing(t *testing.T) {
	c, dir := newClock(), t.TempDir()
	makeKeys(t, dir, c, "entry-1=entry@127.0.0.1", "agent-1=agent@127.0.0.1")
	entry, agent := load(t, dir, "entry-1", certs.Entry, c), load(t, dir, "agent-1", certs.Agent, c)
	server, client := agent.Server(nil, certs.Entry), entry.Client(nil, certs.Agent, "agent-1")
	srv, cli, srvErr, cliErr := handshake(t, server, client)
	assert.NilError(t, errors.Join(srvErr, cliErr))
	before := cli.ConnectionState().PeerCertificates[0].SerialNumber
	makeKeys(t, dir, c, "agent-1=agent@127.0.0.1")
	agent.Poll()
	_, fresh, srvErr, cliErr := handshake(t, server, client)
	assert.NilError(t, errors.Join(srvErr, cliErr))
	assert.Assert(t, fresh.ConnectionState().PeerCertificates[0].SerialNumber.Cmp(before) != 0)
	_, err := srv.Write([]byte("token"))
	assert.NilError(t, err)
	got := make([]byte, len("token"))
	_, err = io.ReadFull(cli, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "token")
}

// TestHalfWrittenFiles guards against files that are only partly replaced, as when a
// deployment fails after it wrote the certificate and before it wrote the key. The
// process must continue with the pair it has.
func TestHalfWrittenFiles(t *testing.T) {
	c, dir, other := newClock(), t.TempDir(), t.TempDir()
	makeKeys(t, dir, c, "agent-1=agent@127.0.0.1", "entry-1=entry@127.0.0.1")
	makeKeys(t, other, c, "agent-1=agent@127.0.0.1")
	entry, agent := load(t, dir, "entry-1", certs.Entry, c), load(t, dir, "agent-1", certs.Agent, c)
	for _, broken := range []string{"swapped", "empty", "absent"} {
		t.Run(broken, func(t *testing.T) {
			path := filepath.Join(dir, "agent-1.crt")
			old, err := os.ReadFile(path)
			assert.NilError(t, err)
			defer func() { assert.NilError(t, os.WriteFile(path, old, 0o600)) }()
			switch broken {
			case "swapped":
				text, err := os.ReadFile(filepath.Join(other, "agent-1.crt"))
				assert.NilError(t, err)
				assert.NilError(t, os.WriteFile(path, text, 0o600))
			case "empty":
				assert.NilError(t, os.Truncate(path, 0))
			case "absent":
				assert.NilError(t, os.Remove(path))
			}
			agent.Poll()
			agent.Poll()
			_, _, srvErr, cliErr := handshake(t, agent.Server(nil, certs.Entry), entry.Client(nil, certs.Agent, ""))
			assert.NilError(t, errors.Join(srvErr, cliErr))
		})
	}
}

func TestLoadRefusesWrongName(t *testing.T) {
	c, dir := newClock(), t.TempDir()
	makeKeys(t, dir, c, "agent-1=agent@127.0.0.1")
	k := &certs.Reloader{
		Files: filesOf(dir, "agent-1"),
		Self:  certs.Identity{Role: certs.Entry, Host: "agent-1"},
		Clock: c,
	}
	var wrong *certs.FileError
	assert.Assert(t, errors.As(k.Load(), &wrong))
}

func TestCallers(t *testing.T) {
	c, dir := newClock(), t.TempDir()
	makeKeys(t, dir, c, "entry-1=entry@127.0.0.1,::1")
	k := &certs.Reloader{Files: certs.Files{Cert: filesOf(dir, "entry-1").Cert, Key: filesOf(dir, "entry-1").Key}, Clock: c}
	assert.NilError(t, k.Load())
	_, cli, srvErr, cliErr := handshake(t, k.Callers([]string{"http/1.1"}), &tls.Config{InsecureSkipVerify: true})
	assert.NilError(t, errors.Join(srvErr, cliErr))
	assert.NilError(t, cli.ConnectionState().PeerCertificates[0].VerifyHostname("127.0.0.1"))
}

func TestParseHost(t *testing.T) {
	h, err := certs.ParseHost("entry-1=entry@127.0.0.1,::1")
	assert.NilError(t, err)
	assert.Assert(t, slices.Equal(h.Addrs, []netip.Addr{netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("::1")}))
	for _, bad := range []string{"", "a", "a=entry", "a=clerk@127.0.0.1", "../a=entry@127.0.0.1", "ca=entry@127.0.0.1", "a=entry@host", "a=entry@"} {
		t.Run(bad, func(t *testing.T) {
			_, err := certs.ParseHost(bad)
			var wrong *certs.HostError
			assert.Assert(t, errors.As(err, &wrong))
		})
	}
}

func TestKeysAreSecret(t *testing.T) {
	c, dir := newClock(), t.TempDir()
	makeKeys(t, dir, c, "agent-1=agent@127.0.0.1")
	for _, name := range []string{"agent-1.key", certs.AuthorityKey} {
		info, err := os.Stat(filepath.Join(dir, name))
		assert.NilError(t, err)
		assert.Equal(t, info.Mode().Perm(), os.FileMode(0o600))
	}
}

// FuzzParseHost checks that the name of a parsed host is a file name without a directory,
// and that its identity is unchanged when read from a certificate.
func FuzzParseHost(f *testing.F) {
	for _, text := range []string{"a=entry@127.0.0.1", "a-1=agent@::1,10.0.0.1", "=@", "a=operator@"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		h, err := certs.ParseHost(text)
		if err != nil {
			return
		}
		assert.Equal(t, filepath.Base(string(h.Host)), string(h.Host))
		u, err := url.Parse(h.String())
		assert.NilError(t, err)
		id, ok := certs.IdentityOf(&x509.Certificate{URIs: []*url.URL{u}})
		assert.Assert(t, ok)
		assert.Equal(t, id, h.Identity)
	})
}
