package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/core/rawurl"
	"radishwell/core/rtable"
	"radishwell/io/httpd"
	"radishwell/platform/stand"
)

// targetPrefixes are the path prefixes of the routes of t.example. Each goes to a service of its
// own with the prefix as its name. The only route of root.example goes to the first.
var targetPrefixes = []string{"/", "/open/", "/open/in/", "/caf%C3%A9/"}

// received is a request as an upstream received it.
type received struct{ service, method, target, host string }

// targetRig is a proxy on the product's own server, before an upstream for each of targetPrefixes.
type targetRig struct {
	address string

	mu   sync.Mutex
	runs map[string]received
	n    int
}

func newTargetRig(t testing.TB) *targetRig {
	t.Helper()
	g := &targetRig{runs: map[string]received{}}
	r := newRig(t)
	var services []*rtable.Service
	var routes []*rtable.Route
	add := func(host, prefix string, s core.ServiceName) {
		routes = append(routes, &rtable.Route{
			Name: host + prefix, Host: host, Prefix: prefix, Kind: rtable.Once, MaxHosts: 1, Timeout: longTimeout, Target: time.Second,
			Shares: []rtable.Share{{Service: s, Weight: 1}},
		})
	}
	for _, prefix := range targetPrefixes {
		service := core.ServiceName(prefix)
		services = append(services, &rtable.Service{Name: service})
		add("t.example", prefix, service)
		g.addUpstream(t, r, service)
	}
	add("root.example", "/", "/")
	table, err := rtable.Build(2, rtable.Limits{}, services, routes, nil)
	assert.NilError(t, err)
	r.Offer(table)
	s := &httpd.Server{Address: netip.MustParseAddrPort("127.0.0.1:0"), Handler: r.Proxy}
	assert.NilError(t, s.Listen())
	ended := make(chan error, 1)
	go func() { ended <- s.Start(context.Background()) }()
	t.Cleanup(func() {
		assert.NilError(t, s.Stop(context.Background()))
		assert.NilError(t, <-ended)
	})
	g.address = s.Address.String()
	return g
}

func (g *targetRig) addUpstream(t testing.TB, r *rig, service core.ServiceName) {
	t.Helper()
	id := fmt.Sprint("i-", len(service))
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.mu.Lock()
		g.runs[r.Header.Get("X-Radishwell-Request-Id")] = received{string(service), r.Method, r.RequestURI, r.Host}
		g.mu.Unlock()
		// Each request has a worker of its own, whatever its path.
		r.URL.Path = "/"
		(&stand.Worker{ID: id, Plain: true}).ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	r.Update(func(v *fleet.View, _ time.Time) {
		v.Apply(fleet.Entry{
			ID: core.HostName(id), Service: service, Address: netip.MustParseAddrPort(srv.Listener.Addr().String()),
			Usable: true, DataCentre: "dc-1", Slots: 6,
		})
	})
}

// send sends a request with its target as it is, and returns the status and what an upstream
// received.
func (g *targetRig) send(t testing.TB, version, method, target, host string) (status int, run received, ran bool) {
	t.Helper()
	g.mu.Lock()
	g.n++
	id := fmt.Sprint("q-", g.n)
	g.mu.Unlock()
	conn, err := net.Dial("tcp", g.address)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "%s %s HTTP/%s\r\nHost: %s\r\nX-Radishwell-Request-Id: %s\r\nContent-Length: 4\r\n\r\nbody",
		method, target, version, host, id)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	g.mu.Lock()
	defer g.mu.Unlock()
	run, ran = g.runs[id]
	delete(g.runs, id)
	return resp.StatusCode, run, ran
}

// assertSent sends a request over both versions of HTTP. The upstream of the service has to receive
// it as sent. If there is no service, the request has to be refused with a status and not run.
func (g *targetRig) assertSent(t *testing.T, method, target, host, service string, status int) {
	t.Helper()
	for _, version := range []string{"1.0", "1.1"} {
		got, run, ran := g.send(t, version, method, target, host)
		assert.Equal(t, got, status, "HTTP/%s, run as %+v", version, run)
		assert.Equal(t, ran, service != "", "HTTP/%s, run as %+v", version, run)
		if ran {
			assert.Equal(t, run, received{service, method, target, host}, "HTTP/%s", version)
		}
	}
}

// Guards against requests that run with another path or host than was asked, and against those that
// reach an upstream by a route that does not hold for the path as the upstream reads it.
func TestTargetIsSentAsMatched(t *testing.T) {
	g := newTargetRig(t)
	for _, c := range []struct{ name, target, host, service string }{
		{"path", "/x/y", "t.example", "/"},
		{"prefix", "/open/x", "t.example", "/open/"},
		{"longest prefix", "/open/in/x", "t.example", "/open/in/"},
		{"host in capitals with a port", "/open/x", "T.Example:80", "/open/"},
		{"two slashes", "//dues/post?member=7", "root.example", "/"},
		{"two slashes twice", "//dues//post", "root.example", "/"},
		{"three slashes", "///dues", "root.example", "/"},
		{"slashes only", "//", "root.example", "/"},
		{"two slashes with a port", "//dues:80/post", "root.example", "/"},
		{"two slashes with a user", "//a@dues/post", "root.example", "/"},
		{"two slashes, encoded", "//a%2Fb%20c/%c3%A9?x=%zz|y", "root.example", "/"},
		{"two slashes among routes", "//x", "t.example", "/"},
		{"empty segments", "/open//x//", "t.example", "/open/"},
		{"empty query", "/x?", "t.example", "/"},
		{"two slashes, empty query", "//x?", "t.example", "/"},
		{"question marks", "/x?a?b=//c/../d", "t.example", "/"},
		{"encoded question mark", "/x%3Fa?b", "t.example", "/"},
		{"encoded slash", "/open/a%2Fb", "t.example", "/open/"},
		{"percent-encoding in both cases", "/open/%c3%A9", "t.example", "/open/"},
		{"encoded prefix", "/caf%C3%A9/x", "t.example", "/caf%C3%A9/"},
		{"characters to be encoded", "/open/a|b\"{c}", "t.example", "/open/"},
		{"UTF-8", "/open/é", "t.example", "/open/"},
		{"dots in names", "/open/.a/b../...", "t.example", "/open/"},
		{"asterisk in a path", "/*", "t.example", "/"},
		{"colon", "/open:80/x", "t.example", "/"},
		{"encoded control character", "/open/%00%0d%0a", "t.example", "/open/"},
	} {
		t.Run(c.name, func(t *testing.T) { g.assertSent(t, http.MethodPost, c.target, c.host, c.service, http.StatusOK) })
	}
}

// Guards against requests that run although their target can't be matched and forwarded as sent.
func TestTargetIsRefused(t *testing.T) {
	g := newTargetRig(t)
	for _, c := range []struct{ name, method, target, host string }{
		{"absolute", "POST", "http://t.example/open/x", "t.example"},
		{"absolute with another host", "POST", "http://root.example/open/x", "t.example"},
		{"absolute with another scheme", "POST", "ftp://t.example/x", "t.example"},
		{"absolute without a path", "POST", "http://t.example", "t.example"},
		{"absolute without a host", "POST", "http:/open/x", "t.example"},
		{"opaque", "POST", "http:open/x", "t.example"},
		{"asterisk", "OPTIONS", "*", "t.example"},
		{"asterisk of another method", "POST", "*", "t.example"},
		{"authority", "CONNECT", "t.example:80", "t.example"},
		{"path to connect to", "CONNECT", "/open/x", "t.example"},
		{"no slash", "POST", "open/x", "t.example"},
		{"fragment", "POST", "/open/x#y", "t.example"},
		{"fragment in a query", "POST", "/open/x?y#z", "t.example"},
		{"encoding cut short", "POST", "/open/%4", "t.example"},
		{"invalid encoding", "POST", "/open/%zz", "t.example"},
		{"invalid UTF-8", "POST", "/open/\xff", "t.example"},
		{"control character", "POST", "/open/\x01", "t.example"},
		{"space", "POST", "/open/a b", "t.example"},
		{"dots out of a prefix", "POST", "/open/../x", "t.example"},
		{"dots at the end", "POST", "/open/..", "t.example"},
		{"dot", "POST", "/open/./x", "t.example"},
		{"encoded dots", "POST", "/open/%2e%2E/x", "t.example"},
		{"dots between encoded slashes", "POST", "/open%2F..%2fx", "t.example"},
		{"dots with a parameter", "POST", "/open/..;a=b/x", "t.example"},
		{"two slashes before a prefix", "POST", "//open/x", "t.example"},
		{"encoded letter of a prefix", "POST", "/%6fpen/x", "t.example"},
		{"encoded letter of a longer prefix", "POST", "/open/%69n/x", "t.example"},
		{"encoded slash in a prefix", "POST", "/open%2fin/x", "t.example"},
		{"encoded slash among characters to be encoded", "POST", "/open%2Fa|b", "t.example"},
		{"two slashes with characters to be encoded", "POST", "//a|b", "root.example"},
		{"two hosts", "POST", "/x", "t.example\r\nHost: root.example"},
	} {
		t.Run(c.name, func(t *testing.T) { g.assertSent(t, c.method, c.target, c.host, "", http.StatusBadRequest) })
	}
	t.Run("no route", func(t *testing.T) {
		g.assertSent(t, http.MethodPost, "//x", "other.example", "", http.StatusNotFound)
	})
}

// FuzzTarget compares the route of a target, as the rule reads it, with what upstreams receive.
func FuzzTarget(f *testing.F) {
	for _, target := range []string{"/", "//", "/open/x", "//open//in/", "/open%2Fin/?a#b", "http://t.example/x", "*", "/open/../x", "/open/\xff", "//[::1]/x", "/a?"} {
		f.Add(target, false, true)
		f.Add(target, true, false)
	}
	g := newTargetRig(f)
	f.Fuzz(func(t *testing.T, target string, root, old bool) {
		if strings.ContainsAny(target, " \r\n") {
			t.Skip("the line has other parts")
		}
		host, version := "t.example", "1.1"
		if root {
			host = "root.example"
		}
		if old {
			version = "1.0"
		}
		status, run, ran := g.send(t, version, http.MethodPost, target, host)
		if !ran {
			assert.Equal(t, status, http.StatusBadRequest)
			return
		}
		path, _, _ := strings.Cut(target, "?")
		want := "/"
		for _, prefix := range targetPrefixes {
			if !root && strings.HasPrefix(path, prefix) && len(prefix) > len(want) {
				want = prefix
			}
		}
		assert.Equal(t, run, received{want, http.MethodPost, target, host})
		if !root {
			assert.Equal(t, strings.HasPrefix(rawurl.Normal(path), "/open/"), strings.HasPrefix(want, "/open/"))
		}
	})
}
