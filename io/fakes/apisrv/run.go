package apisrv

import (
	"context"

	"radishwell/io/fakes/httpd"
)

// Run serves until ctx ends, then closes all connections and returns nil. While the fault
// Refusing is set it doesn't listen on Listen. That needs a valid Control, over which the
// fault can be removed.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 2)
	running := 1
	go func() { failed <- s.runAPI(ctx) }()
	if s.Control.IsValid() {
		running++
		go func() { failed <- httpd.Serve(ctx, s.Control, s.control, nil) }()
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

// runAPI serves the API, except while connections have to be refused.
func (s *Server) runAPI(ctx context.Context) error {
	for ctx.Err() == nil {
		f, changed := s.switches.current()
		if !s.refused(f) {
			if err := httpd.Serve(ctx, s.Listen, s, s.untilRefused); err != nil {
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

// refused reports whether connections have to be refused.
func (s *Server) refused(f Faults) bool { return f.Down == Refusing && s.Control.IsValid() }

// untilRefused returns when connections have to be refused or ctx ends.
func (s *Server) untilRefused(ctx context.Context) {
	for ctx.Err() == nil {
		f, changed := s.switches.current()
		if s.refused(f) {
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}
