package apisrv

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"

	"github.com/samber/oops"
)

// Run serves until ctx ends; then it closes all connections and returns nil.
// While connections are to be refused it keeps Listen closed, which takes a
// valid Control to be switched back.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 2)
	running := 1
	go func() { failed <- s.runAPI(ctx) }()
	if s.Control.IsValid() {
		running++
		go func() { failed <- serve(ctx, s.Control, s.control, nil) }()
	}
	var first error
	for range running {
		if err := <-failed; err != nil && first == nil {
			first = err
		}
		cancel()
	}
	return first
}

// runAPI serves the API whenever connections are not to be refused.
func (s *Server) runAPI(ctx context.Context) error {
	for ctx.Err() == nil {
		f, changed := s.switches.now()
		if !s.refused(f) {
			if err := serve(ctx, s.Listen, s, s.untilRefused); err != nil {
				return err
			}
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return nil
}

func (s *Server) refused(f Faults) bool { return f.Down == Refusing && s.Control.IsValid() }

// untilRefused returns when connections are to be refused or ctx ends.
func (s *Server) untilRefused(ctx context.Context) {
	for ctx.Err() == nil {
		f, changed := s.switches.now()
		if s.refused(f) {
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// serve runs an HTTP server until ctx ends or until, if given, returns.
func serve(ctx context.Context, at netip.AddrPort, h http.Handler, until func(context.Context)) error {
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
