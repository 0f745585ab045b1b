// Package httpd runs the stand-ins' HTTP servers. At its end a server's
// connections are closed under their requests, as those of a process that is
// killed, so that no answer is cut off and looks whole.
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

// readHeaderTimeout frees connections whose caller sends nothing.
const readHeaderTimeout = 10 * time.Second

// Serve runs an HTTP server until ctx ends or until, if given, returns. Requests
// don't get ctx: their handlers would return at its end, and half an answer would
// look like a whole one.
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
