package apisrv

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// freePort returns an address on which no process listens at present.
func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// TestRunRefuses checks that, while the fault "refuse" is set, connections to the API
// are refused. Once the fault is removed over the control address, calls work again
// without a restart.
func TestRunRefuses(t *testing.T) {
	srv := &Server{Listen: freePort(t), Control: freePort(t)}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- srv.Run(ctx) }()
	api := "http://" + srv.Listen.String() + base + "models"
	faults := "http://" + srv.Control.String() + "/faults"

	untilCall(t, api, func(err error) bool { return err == nil })
	untilCall(t, faults, func(err error) bool { return err == nil })
	put(t, faults, `{"down":"refuse"}`)
	untilCall(t, api, func(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) })
	put(t, faults, `{"down":""}`)
	untilCall(t, api, func(err error) bool { return err == nil })

	cancel()
	assert.NilError(t, <-ended)
}

// untilCall repeats a call until wanted accepts its error. Otherwise it runs into the
// deadline of the test.
func untilCall(t *testing.T, url string, wanted func(error) bool) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		resp, err := client.Get(url)
		if err == nil {
			resp.Body.Close()
		}
		if wanted(err) {
			return
		}
	}
}

func put(t *testing.T, url, body string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}
