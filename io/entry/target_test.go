package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/io/fakes/llmsrv"
	"radishwell/io/fakes/plain"
)

// targetRig is a fleet whose upstreams record the targets of the requests that they run.
type targetRig struct {
	address string

	mu  sync.Mutex
	ran []string
}

func newTargetRig(t testing.TB) *targetRig {
	t.Helper()
	g := &targetRig{}
	f := newFleet(t)
	f.host("up-1", "ledger", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.record("ledger " + r.RequestURI)
	}), true).plain = &plain.Server{}
	llm := (&llmsrv.Server{LoadTimes: quickLoads, Capacity: []core.Bytes{4 * core.GiB}}).Handler()
	f.host("up-2", "pool", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/") {
			g.record("pool " + r.RequestURI)
		}
		llm.ServeHTTP(w, r)
	}), false)
	g.address = strings.TrimPrefix(f.entryHost(), "http://")
	return g
}

func (g *targetRig) record(run string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ran = append(g.ran, run)
}

// send sends a request with its target as it is, and returns the status and the service and target
// that ran, empty if none did.
func (g *targetRig) send(t testing.TB, version, method, target string) (status int, ran string) {
	t.Helper()
	conn, err := net.Dial("tcp", g.address)
	assert.NilError(t, err)
	defer conn.Close()
	const body = `{"model":"alpha","max_tokens":1,"messages":[{"role":"user","content":"x"}]}`
	_, err = fmt.Fprintf(conn, "%s %s HTTP/%s\r\nHost: t.example\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		method, target, version, callerKey, len(body), body)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	g.mu.Lock()
	defer g.mu.Unlock()
	ran, g.ran = strings.Join(g.ran, ", "), nil
	return resp.StatusCode, ran
}

// Guards against requests that run with another path or query than was asked, and against those
// that run although their target can't be matched and forwarded as sent.
func TestTargetIsSentAsMatched(t *testing.T) {
	t.Parallel()
	g := newTargetRig(t)
	for _, c := range []struct {
		name, method, target, ran string
		status                    int
	}{
		{"path", "POST", "/services/ledger/x/y", "ledger /x/y", 200},
		{"service alone", "POST", "/services/ledger", "ledger /", 200},
		{"service with a query", "POST", "/services/ledger?x", "ledger /?x", 200},
		{"empty query", "POST", "/services/ledger/x?", "ledger /x?", 200},
		{"question marks", "POST", "/services/ledger/x?a?b=//c/../d", "ledger /x?a?b=//c/../d", 200},
		{"two slashes", "POST", "/services/ledger//dues/post?member=7", "ledger //dues/post?member=7", 200},
		{"three slashes", "POST", "/services/ledger///dues", "ledger ///dues", 200},
		{"empty segments", "POST", "/services/ledger/a//b//", "ledger /a//b//", 200},
		{"encoded slash", "POST", "/services/ledger/a%2Fb", "ledger /a%2Fb", 200},
		{"encoded slash among characters to be encoded", "POST", "/services/ledger/a%2Fb|c\"{d}", "ledger /a%2Fb|c\"{d}", 200},
		{"UTF-8", "POST", "/services/ledger/é?é", "ledger /é?é", 200},
		{"percent-encoding in both cases", "POST", "/services/ledger/%c3%A9%00", "ledger /%c3%A9%00", 200},
		{"dots in names", "POST", "/services/ledger/.a/b../...", "ledger /.a/b../...", 200},
		{"model with a query", "POST", "/v1/chat/completions?version=2", "pool /v1/chat/completions?version=2", 200},
		{"model with an encoded path", "POST", "/v1%2Fchat/completions", "", 404},
		{"encoded name of a service", "POST", "/services/led%67er/x", "", 404},
		{"encoded prefix", "POST", "/%73ervices/ledger/x", "", 404},
		{"two slashes before the prefix", "POST", "//services/ledger/x", "", 404},
		{"absolute", "POST", "http://t.example/services/ledger/x", "", 400},
		{"absolute with another host", "POST", "http://u.example/v1/chat/completions", "", 400},
		{"asterisk", "POST", "*", "", 400},
		{"authority", "CONNECT", "t.example:80", "", 400},
		{"path to connect to", "CONNECT", "/services/ledger/x", "", 400},
		{"fragment", "POST", "/services/ledger/x#y", "", 400},
		{"fragment in a query", "POST", "/services/ledger/x?y#z", "", 400},
		{"invalid encoding", "POST", "/services/ledger/%zz", "", 400},
		{"invalid UTF-8", "POST", "/services/ledger/\xff", "", 400},
		{"invalid UTF-8 in a query", "POST", "/services/ledger/x?\xff", "", 400},
		{"dots", "POST", "/services/ledger/../pool/x", "", 400},
		{"encoded dots", "POST", "/services/ledger/%2e%2E%2fx", "", 400},
		{"two slashes with characters to be encoded", "POST", "/services/ledger//a|b", "", 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, version := range []string{"1.0", "1.1"} {
				status, ran := g.send(t, version, c.method, c.target)
				assert.Equal(t, ran, c.ran, "HTTP/%s", version)
				assert.Equal(t, status, c.status, "HTTP/%s", version)
			}
		})
	}
}

// FuzzTarget compares the service and path of a target with what upstreams receive.
func FuzzTarget(f *testing.F) {
	for _, target := range []string{"/services/ledger", "/services/ledger/x?", "/services/ledger//a|b", "/services/ledger/a%2Fb|c", "/v1/chat/completions?a", "http://t/services/ledger/", "*", "/services/ledger/\xff#"} {
		f.Add(target, false)
		f.Add(target, true)
	}
	g := newTargetRig(f)
	f.Fuzz(func(t *testing.T, target string, old bool) {
		if strings.ContainsAny(target, " \r\n") {
			t.Skip("the line has other parts")
		}
		version := "1.1"
		if old {
			version = "1.0"
		}
		status, ran := g.send(t, version, http.MethodPost, target)
		below, plain := strings.CutPrefix(target, "/services/ledger")
		switch {
		case ran == "":
			assert.Assert(t, status == http.StatusBadRequest || status == http.StatusNotFound || status == http.StatusMethodNotAllowed, "%d", status)
		case plain && strings.HasPrefix(below, "/"):
			assert.Equal(t, ran, "ledger "+below)
		case plain:
			assert.Equal(t, ran, "ledger /"+below)
		default:
			assert.Equal(t, ran, "pool "+target)
		}
	})
}
