package httpd

import (
	"net/http"

	"radishwell/io/accept"
)

// BeginUnframed is called before the header of a response that has neither a length nor chunks. If
// the process ends, or closes the connection, before EndUnframed, the client sees a reset instead
// of what it would take for the end of a complete response. It does nothing on HTTP/2, whose frames
// tell the end.
func BeginUnframed(r *http.Request) {
	if r.ProtoMajor < 2 {
		accept.SetUnfinished(r.Context(), true)
	}
}

// EndUnframed is called once such a response has been written whole.
func EndUnframed(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor >= 2 {
		return
	}
	// A reset would discard what net/http still buffers. An error means that the client has left.
	_ = http.NewResponseController(w).Flush()
	accept.SetUnfinished(r.Context(), false)
}

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
	accept.Reset(conn)
}
