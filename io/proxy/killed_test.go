package proxy_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/io/httpd"
	"radishwell/platform/stand"
)

// childUpstream names the variable with the address of the upstream i-1. If it is set, the test
// binary runs as a process with a proxy before that upstream.
const childUpstream = "RADISHWELL_TEST_UPSTREAM"

// TestProxyProcess is the process of startProxy. It prints the address for callers, and stops as
// planned, with a short grace period, once its standard input ends.
func TestProxyProcess(t *testing.T) {
	upstream := os.Getenv(childUpstream)
	if upstream == "" {
		t.Skip("it is run by other tests")
	}
	r := newRig(t)
	r.Update(func(v *fleet.View, _ time.Time) {
		v.Apply(fleet.Entry{
			ID: "i-1", Service: "llm", Address: netip.MustParseAddrPort(upstream), Usable: true, DataCentre: "dc-1", Slots: 6,
			Models: []core.HeldModel{{Model: "m"}},
		})
	})
	s := &httpd.Server{Address: netip.MustParseAddrPort("127.0.0.1:0"), Handler: r.Proxy}
	assert.NilError(t, s.Listen())
	go func() { _ = s.Start(t.Context()) }() // it ends with the process
	fmt.Println("callers:", s.Address)
	_, _ = io.Copy(io.Discard, os.Stdin)
	ctx, stop := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer stop()
	assert.ErrorIs(t, s.Stop(ctx), context.DeadlineExceeded)
	os.Exit(0) // with streams in progress
}

// proxyProcess is a process with a proxy.
type proxyProcess struct {
	callers string
	command *exec.Cmd
	stdin   io.Closer
}

// startProxy starts a process with a proxy before an upstream.
func startProxy(t *testing.T, upstream *stand.Worker) *proxyProcess {
	t.Helper()
	r := newRig(t)
	r.add(t, "llm", upstream)
	var at netip.AddrPort
	r.Update(func(v *fleet.View, _ time.Time) { at = v.Host("i-1").Address })
	p := &proxyProcess{command: exec.Command(os.Args[0], "-test.run=^TestProxyProcess$")}
	p.command.Env = append(os.Environ(), childUpstream+"="+at.String())
	var err error
	p.stdin, err = p.command.StdinPipe()
	assert.NilError(t, err)
	out, err := p.command.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, p.command.Start())
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
	})
	for lines := bufio.NewScanner(out); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), "callers: "); ok {
			p.callers = text
			return p
		}
	}
	t.Fatal("the process has ended")
	return nil
}

// readUntil sends a request for a stream, calls end after its first event, and reads the connection
// to its end.
func (p *proxyProcess) readUntil(t *testing.T, version string, end func()) (string, error) {
	t.Helper()
	conn, err := net.Dial("tcp", p.callers)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(longTimeout)))
	_, err = io.WriteString(conn, "POST /stream/x HTTP/"+version+"\r\nHost: a.example\r\nContent-Length: 0\r\nX-Radishwell-Request-Id: q\r\nX-Radishwell-Model: m\r\n\r\n")
	assert.NilError(t, err)
	in := bufio.NewReader(conn)
	var head strings.Builder
	for !strings.Contains(head.String(), eventsOf(1)) {
		line, err := in.ReadString('\n')
		assert.NilError(t, err, "after %q", head.String())
		head.WriteString(line)
	}
	assert.Assert(t, !strings.Contains(head.String(), "chunked"), head.String())
	end()
	rest, err := io.ReadAll(in)
	return head.String() + string(rest), err
}

// Guards against a stream without framing that looks complete to its caller since the process that
// forwards it was killed, or stopped with a grace period shorter than the stream.
func TestEndOfProcessDoesNotEndStream(t *testing.T) {
	ends := map[string]func(p *proxyProcess) error{
		"killed":  func(p *proxyProcess) error { return p.command.Process.Kill() },
		"stopped": func(p *proxyProcess) error { return p.stdin.Close() },
	}
	for name, end := range ends {
		for _, version := range []string{"1.0", "1.1"} {
			t.Run(name+" HTTP/"+version, func(t *testing.T) {
				w := &stand.Worker{ID: "i-1", Events: 1000, Gap: 20 * time.Millisecond}
				w.SetUnframed(version == "1.1") // callers of HTTP/1.0 get no chunks anyway
				p := startProxy(t, w)
				text, err := p.readUntil(t, version, func() { assert.NilError(t, end(p)) })
				assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "the answer ended with %v: %q", err, text)
			})
		}
	}
	for _, version := range []string{"1.0", "1.1"} {
		t.Run("a whole stream ends in order with HTTP/"+version, func(t *testing.T) {
			w := &stand.Worker{ID: "i-1", Events: 8, Gap: 10 * time.Millisecond}
			w.SetUnframed(version == "1.1")
			text, err := startProxy(t, w).readUntil(t, version, func() {})
			assert.NilError(t, err)
			assert.Assert(t, strings.HasPrefix(text, "HTTP/1."), text)
			assert.Assert(t, strings.Contains(text, fmt.Sprintf(" %d ", http.StatusOK)), text)
			assert.Assert(t, strings.HasSuffix(text, eventsOf(8)), text)
		})
	}
}
