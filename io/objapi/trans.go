package objapi

import (
	"crypto/tls"
	"net"
	"net/http"
	"syscall"
	"time"
)

// Limits of connections. A connection whose peer is gone, or of which a middlebox has
// lost the state, is closed after about unackedTimeout: an idle one by keep-alive probes,
// a busy one because the kernel gives up on unacknowledged data. A slow platform still
// acknowledges data, so its connections stay open.
const (
	dialTimeout       = 2 * time.Second
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	unackedTimeout    = 3 * time.Second
	idleTimeout       = 90 * time.Second
	maxIdlePerHost    = 8
	// maxHeader bounds the head of a response, in bytes.
	maxHeader = 64 << 10
)

// tcpUserTimeout is the number of Linux's socket option TCP_USER_TIMEOUT (RFC 5482), for
// which the syscall package has no constant.
const tcpUserTimeout = 18

// Transport returns a transport for calls of the platform. It detects silent connections
// within about unackedTimeout.
func Transport(conf *tls.Config) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: LimitUnacked,
	}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		TLSClientConfig:        conf,
		TLSHandshakeTimeout:    dialTimeout,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeader,
	}
}

// LimitUnacked makes the kernel close a connection whose data is not acknowledged within
// three seconds. It is a Control function for a dialer. On systems without the option,
// calls still end at their deadlines.
func LimitUnacked(_, _ string, conn syscall.RawConn) error {
	return conn.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
}
