package reply

import (
	"io"
	"net/http"
)

// NewClient returns a client whose responses are checked as those of a Transport.
func NewClient(base *http.Transport) *http.Client {
	return &http.Client{Transport: &Transport{Base: base}}
}

// Transport implements http.RoundTripper. Its responses have well-formed headers, and the bodies end
// without an error only if nothing shows that they are cut: a malformed trailer does.
// The field must be set before first use.
type Transport struct{ Base *http.Transport }

var _ http.RoundTripper = (*Transport)(nil)

// RoundTrip implements http.RoundTripper. The error of a malformed header is a VersionError, StatusError
// or FieldError.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	if resp.Body != http.NoBody {
		resp.Body = &body{ReadCloser: resp.Body, resp: resp}
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }

// body is the body of a response.
type body struct {
	io.ReadCloser
	resp *http.Response
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
	return io.EOF
}
