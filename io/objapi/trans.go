package objapi

import (
	"crypto/tls"
	"net"
	"net/http"
	"syscall"
	"time"
)

// Limits of connections. A connection whose other end is gone or that a
// middlebox has forgotten is closed after about unackedTimeout: idle ones by
// keep-alive probes, busy ones because the kernel gives up on sent data that
// nobody acknowledges. A slow platform still acknowledges, and is waited for.
const (
	dialTimeout    = 2 * time.Second
	keepAliveIdle  = 2 * time.Second
	keepAliveEvery = time.Second
	keepAliveCount = 3
	unackedTimeout = 3 * time.Second
	idleTimeout    = 90 * time.Second
	maxIdle        = 8
)

// tcpUserTimeout is Linux's socket option of that name (RFC 5482), which the
// syscall package does not name.
const tcpUserTimeout = 18

// Transport returns a transport for calls of the platform: it notices a
// connection that has gone silent within about unackedTimeout.
func Transport(conf *tls.Config) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveEvery,
			Count:    keepAliveCount,
		},
		Control: LimitUnacked,
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     conf,
		TLSHandshakeTimeout: dialTimeout,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
	}
}

// LimitUnacked makes the kernel give up on data that nobody acknowledges within
// three seconds; it is a dialer's Control. Where the option is not known, calls
// still end at their deadlines.
func LimitUnacked(_, _ string, conn syscall.RawConn) error {
	return conn.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
}
