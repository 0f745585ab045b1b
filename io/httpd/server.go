package httpd

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	kratoslog "github.com/go-kratos/kratos/v2/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/samber/oops"

	"radishwell/io/events"
)

const (
	// headTime bounds the arrival of a request's head, so that idle peers do not
	// hold connections for nothing.
	headTime = 10 * time.Second
	idleTime = 2 * time.Minute
	// pingAfter and pingTimeout find a silent connection to an entry; see the
	// entry's end of it.
	pingAfter   = time.Second
	pingTimeout = time.Second
	// maxStreams is how many answers an entry may read over one connection.
	maxStreams = 4096
)

// Server is one of a process's HTTP servers, on kratos' transport. Set the
// exported fields before Listen.
type Server struct {
	// Address is where it listens; after Listen with the port that was taken.
	Address netip.AddrPort
	// TLS is nil for plain HTTP.
	TLS     *tls.Config
	Handler http.Handler
	// Peers sets HTTP/2 up for streams between own processes.
	Peers bool

	listener net.Listener
	server   *khttp.Server
}

// Quiet keeps kratos from logging beside the numbered events. Its logger is one
// for the whole process, in which several nodes may run.
var Quiet = sync.OnceFunc(func() { kratoslog.SetLogger(kratoslog.NewStdLogger(io.Discard)) })

// Listen takes the address, so that a second process on it fails at once.
func (s *Server) Listen() error {
	lis, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(s.Address))
	if err != nil {
		return oops.In("httpd").With("address", s.Address).Wrapf(err, "listen")
	}
	s.listener = lis
	s.Address = lis.Addr().(*net.TCPAddr).AddrPort()
	// kratos' router would clean paths and answer them with redirects; plain
	// services get their paths as callers sent them.
	options := []khttp.ServerOption{
		khttp.Listener(lis), khttp.Timeout(0), khttp.Endpoint(&url.URL{Scheme: "http", Host: s.Address.String()}),
		khttp.Filter(func(http.Handler) http.Handler { return s.Handler }),
	}
	if s.TLS != nil {
		options = append(options, khttp.TLSConfig(s.TLS))
	}
	s.server = khttp.NewServer(options...)
	s.server.ReadHeaderTimeout = headTime
	s.server.IdleTimeout = idleTime
	s.server.ErrorLog = events.Logger(events.ConnectionFailed)
	if s.Peers {
		var protocols http.Protocols
		protocols.SetHTTP1(true)
		protocols.SetHTTP2(true)
		protocols.SetUnencryptedHTTP2(s.TLS == nil)
		s.server.Protocols = &protocols
		s.server.HTTP2 = &http.HTTP2Config{
			SendPingTimeout: pingAfter, PingTimeout: pingTimeout, WriteByteTimeout: pingAfter + pingTimeout,
			MaxConcurrentStreams: maxStreams,
		}
	}
	return nil
}

// Start implements kratos' transport.Server.
func (s *Server) Start(ctx context.Context) error { return s.server.Start(ctx) }

// Stop implements kratos' transport.Server: no new connections, and those with
// requests in progress are left to end.
func (s *Server) Stop(ctx context.Context) error {
	err := s.server.Stop(ctx)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
