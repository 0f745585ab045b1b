package httpd

import (
	"crypto/tls"
	"net"
	"net/http"
)

// Abort ends the response to a request such that the client sees that it is not complete.
// unframed is set if the response has neither a length nor chunks: an orderly close would end
// it as it ends a complete one, so the connection is reset. Other responses miss their end if
// the connection is closed, and what was written before still arrives; Abort panics with
// http.ErrAbortHandler for them, and where HTTP/2 leaves no connection to reset.
func Abort(w http.ResponseWriter, unframed bool) {
	if !unframed {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	reset(conn)
}

// reset closes a connection with a reset. A TLS connection is not closed as such, since its
// closing alert stands for a complete response.
func reset(conn net.Conn) {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // it fails only if the connection has ended already
	}
	_ = conn.Close()
}
