package reply

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"

	"radishwell/core"
)

// NewClient returns a client whose responses are checked as those of a Transport.
func NewClient(base *http.Transport) *http.Client {
	return &http.Client{Transport: &Transport{Base: base}}
}

// Transport implements http.RoundTripper. Its responses have well-formed headers, and the bodies end
// without an error only if nothing shows that they are cut: a malformed trailer does, and, where the
// end is that of the connection, a request that could not be written whole. The field must be set
// before first use.
type Transport struct{ Base *http.Transport }

var _ http.RoundTripper = (*Transport)(nil)

// RoundTrip implements http.RoundTripper. The error of a malformed header is a VersionError, StatusError
// or FieldError.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var up upload
	up.begin()
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { up.begin() },
		WroteRequest: func(info httptrace.WroteRequestInfo) { up.end(info.Err) },
	})
	resp, err := t.Base.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	if resp.Body != http.NoBody {
		resp.Body = &body{ReadCloser: resp.Body, ctx: ctx, resp: resp, upload: &up}
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }

// upload is whether a request was written whole. It may be written more than once, each time on
// another connection.
type upload struct {
	mu sync.Mutex
	// ended is closed once the request was written, or could not be for the reason in err.
	ended chan struct{}
	err   error
}

func (u *upload) begin() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended, u.err = make(chan struct{}), nil
}

func (u *upload) end(err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	select {
	case <-u.ended:
	default:
		u.err = err
		close(u.ended)
	}
}

// wait returns the error with which the writing ended. The connection is closed by the time that it is
// called, so that the writing ends soon.
func (u *upload) wait(ctx context.Context) error {
	u.mu.Lock()
	ended := u.ended
	u.mu.Unlock()
	select {
	case <-ended:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err
}

// CutError reports a body that ended with its connection while the request could not be written whole:
// a reset shows itself to either the reading or the writing side only.
type CutError struct{ Cause error }

// Error implements error.
func (e *CutError) Error() string {
	return "the connection ended before the request was written whole: " + e.Cause.Error()
}

// Unwrap returns the error of a connection that ended too early, and the cause.
func (e *CutError) Unwrap() []error { return []error{io.ErrUnexpectedEOF, e.Cause} }

// body is the body of a response.
type body struct {
	io.ReadCloser
	ctx    context.Context
	resp   *http.Response
	upload *upload
	// ended is set at the end, and err is what Read returns from then on.
	ended bool
	err   error
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.ended {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ended, b.err = true, b.checkEnd()
		err = b.err
	}
	return n, err
}

// checkEnd returns io.EOF if the body is complete as far as the connection shows.
func (b *body) checkEnd() error {
	if err := checkFields(b.resp.Trailer); err != nil {
		return err
	}
	if Framing(b.resp) != core.Unframed {
		return io.EOF
	}
	if err := b.upload.wait(b.ctx); err != nil {
		return &CutError{Cause: err}
	}
	return io.EOF
}
