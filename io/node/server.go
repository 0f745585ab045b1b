package node

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

// httpServer is one of the process's HTTP servers, on kratos' transport.
type httpServer struct {
	address netip.AddrPort
	tls     *tls.Config
	handler http.Handler
	// peers sets HTTP/2 up for streams between own processes.
	peers bool

	listener net.Listener
	server   *khttp.Server
}

// quiet keeps kratos from logging beside the numbered events. Its logger is one
// for the whole process, in which several nodes may run.
var quiet = sync.OnceFunc(func() { kratoslog.SetLogger(kratoslog.NewStdLogger(io.Discard)) })

// listen takes the address.
func (s *httpServer) listen() error {
	lis, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(s.address))
	if err != nil {
		return oops.In("node").With("address", s.address).Wrapf(err, "listen")
	}
	s.listener = lis
	s.address = lis.Addr().(*net.TCPAddr).AddrPort()
	// kratos' router would clean paths and answer them with redirects; plain
	// services get their paths as callers sent them.
	options := []khttp.ServerOption{
		khttp.Listener(lis), khttp.Timeout(0), khttp.Endpoint(&url.URL{Scheme: "http", Host: s.address.String()}),
		khttp.Filter(func(http.Handler) http.Handler { return s.handler }),
	}
	if s.tls != nil {
		options = append(options, khttp.TLSConfig(s.tls))
	}
	s.server = khttp.NewServer(options...)
	s.server.ReadHeaderTimeout = headTime
	s.server.IdleTimeout = idleTime
	s.server.ErrorLog = events.Logger(events.ConnectionFailed)
	if s.peers {
		var protocols http.Protocols
		protocols.SetHTTP1(true)
		protocols.SetHTTP2(true)
		protocols.SetUnencryptedHTTP2(s.tls == nil)
		s.server.Protocols = &protocols
		s.server.HTTP2 = &http.HTTP2Config{
			SendPingTimeout: pingAfter, PingTimeout: pingTimeout, WriteByteTimeout: pingAfter + pingTimeout,
			MaxConcurrentStreams: maxStreams,
		}
	}
	return nil
}

// Start implements kratos' transport.Server.
func (s *httpServer) Start(ctx context.Context) error { return s.server.Start(ctx) }

// Stop implements kratos' transport.Server: no new connections, and those with
// requests in progress are left to end.
func (s *httpServer) Stop(ctx context.Context) error {
	err := s.server.Stop(ctx)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// part is a part of the process that runs until its context ends, as a server
// of kratos.
type part struct {
	name string
	run  func(context.Context) error

	stop  context.CancelFunc
	ended chan error
}

// Start implements kratos' transport.Server.
func (p *part) Start(context.Context) error { return <-p.ended }

// Stop implements kratos' transport.Server.
func (p *part) Stop(context.Context) error {
	p.stop()
	return nil
}

// begin runs the part at once, before the servers, so that replicas fill while
// nothing is served yet.
func (p *part) begin(ctx context.Context) {
	ctx, p.stop = context.WithCancel(ctx)
	p.ended = make(chan error, 1)
	go func() {
		err := p.run(ctx)
		if err != nil {
			events.Fail(events.GoroutineFailed, err, "part", p.name)
		}
		p.ended <- oops.In("node").With("part", p.name).Wrap(err)
	}()
}
