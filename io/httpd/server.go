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

	"radishwell/core"
	"radishwell/io/accept"
	"radishwell/io/events"
)

const (
	// readHeaderTimeout is the time within which the header of a request has to arrive, so
	// that peers that send nothing don't keep connections open.
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// pingInterval and pingTimeout detect a silent connection to an entry. The entry
	// checks the connection in the same way from its end.
	pingInterval = time.Second
	pingTimeout  = time.Second
	// maxStreams is the number of answers that an entry may read at the same time
	// over one connection.
	maxStreams = 4096
)

// Server is an HTTP server on the transport of kratos. A process may have several.
// The exported fields have to be set before Listen.
type Server struct {
	// Address is the address to listen on. Listen replaces port 0 by the port
	// that the system assigned.
	Address netip.AddrPort
	// TLS is nil for plain HTTP.
	TLS     *tls.Config
	Handler http.Handler
	// Peers enables HTTP/2 with settings for streams between processes of
	// radishwell.
	Peers bool
	// MaxWaiting and MaxOpen bound the connections that are accepted, as in accept.Listener, and
	// OnRefuse is called for the others. Zero means no bound.
	MaxWaiting, MaxOpen int
	OnRefuse            func(accept.Reason)
	// Clock is that of accept.Listener.
	Clock core.Clock

	listener net.Listener
	server   *khttp.Server
}

// Quiet discards the log of kratos, so that only numbered events are logged. It
// runs once per process, because kratos has one logger for the whole process and
// several nodes may run in it.
var Quiet = sync.OnceFunc(func() { kratoslog.SetLogger(kratoslog.NewStdLogger(io.Discard)) })

// Listen starts to listen on Address. It fails at once if another process listens
// there.
func (s *Server) Listen() error {
	lis, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(s.Address))
	if err != nil {
		return oops.In("httpd").With("address", s.Address).Wrapf(err, "listen")
	}
	bounded := &accept.Listener{Listener: lis, MaxWaiting: s.MaxWaiting, MaxOpen: s.MaxOpen, OnRefuse: s.OnRefuse, Clock: s.Clock}
	s.listener = bounded
	s.Address = lis.Addr().(*net.TCPAddr).AddrPort()
	// The filter bypasses the router of kratos, which would clean paths and answer
	// with redirects. Plain services receive paths as callers sent them.
	options := []khttp.ServerOption{
		khttp.Listener(bounded), khttp.Timeout(0), khttp.Endpoint(&url.URL{Scheme: "http", Host: s.Address.String()}),
		khttp.Filter(func(http.Handler) http.Handler { return http.HandlerFunc(s.handle) }),
	}
	if s.TLS != nil {
		options = append(options, khttp.TLSConfig(s.TLS))
	}
	s.server = khttp.NewServer(options...)
	s.server.ReadHeaderTimeout = readHeaderTimeout
	s.server.IdleTimeout = idleTimeout
	s.server.ConnContext = accept.WithConn
	s.server.DisableGeneralOptionsHandler = true // the handler refuses a target of "*" as other forms
	s.server.ErrorLog = events.Logger(events.ConnectionFailed)
	if s.Peers {
		var protocols http.Protocols
		protocols.SetHTTP1(true)
		protocols.SetHTTP2(true)
		protocols.SetUnencryptedHTTP2(s.TLS == nil)
		s.server.Protocols = &protocols
		s.server.HTTP2 = &http.HTTP2Config{
			SendPingTimeout: pingInterval, PingTimeout: pingTimeout, WriteByteTimeout: pingInterval + pingTimeout,
			MaxConcurrentStreams: maxStreams,
		}
	}
	return nil
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	defer accept.Understood(r.Context())
	s.Handler.ServeHTTP(w, r)
}

// Start implements transport.Server of kratos.
func (s *Server) Start(ctx context.Context) error { return s.server.Start(ctx) }

// Stop implements transport.Server of kratos. It accepts no new connections and
// waits until the requests in progress have ended or ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	err := s.server.Stop(ctx)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
