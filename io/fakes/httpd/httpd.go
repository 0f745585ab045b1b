// Package httpd runs the HTTP servers of the stand-ins. When a server stops, it closes
// its connections in the middle of their requests, as if the process were killed, so
// that no truncated answer looks complete.
package httpd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/samber/oops"
)

// readHeaderTimeout closes connections whose client sends nothing.
const readHeaderTimeout = 10 * time.Second

// Serve runs an HTTP server until ctx ends or, if until isn't nil, until returns.
// Requests don't inherit ctx: their handlers would return when it ends, and a truncated
// answer would look complete.
func Serve(ctx context.Context, at netip.AddrPort, h http.Handler, until func(context.Context)) error {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(at))
	if err != nil {
		return oops.Wrapf(err, "listen at %s", at)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(l) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		if until != nil {
			until(ctx)
			return
		}
		<-ctx.Done()
	}()
	select {
	case err = <-ended:
		cancel()
		<-stop
	case <-stop:
		_ = srv.Close()
		err = <-ended
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return oops.Wrapf(err, "serve at %s", at)
}
