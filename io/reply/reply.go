package reply

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"radishwell/core"
)

// Framing returns the framing of a response of net/http's client.
func Framing(resp *http.Response) core.Framing {
	switch {
	case resp.ContentLength >= 0, resp.Body == http.NoBody:
		return core.FramedByLength
	case slices.Contains(resp.TransferEncoding, "chunked"), resp.ProtoMajor > 1:
		// The frames of HTTP/2 mark the end as the last chunk does.
		return core.FramedByChunks
	}
	return core.Unframed
}

// VersionError reports a response of an HTTP version that is not 1.x.
type VersionError struct{ Version string }

// Error implements error.
func (e *VersionError) Error() string { return "it is in " + e.Version }

// StatusError reports a response whose status is none of a final response of HTTP.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return "its status " + strconv.Itoa(e.Status) + " is not that of a final response"
}

// FieldError reports a field in the header or trailer of a response whose name or value is none of HTTP.
type FieldError struct{ Name string }

// Error implements error.
func (e *FieldError) Error() string { return "its field " + strconv.Quote(e.Name) + " is malformed" }

// maxStatus is the largest status of HTTP (RFC 9110, section 15).
const maxStatus = 599

// check returns an error if the header of a response is one that net/http accepts and that is not well
// formed: a VersionError if its framing can't be relied on, since it states another major version, a
// StatusError or a FieldError. Status 101 is not final either, since no request asks for another
// protocol.
func check(resp *http.Response) error {
	major := 1
	if resp.TLS != nil && resp.TLS.NegotiatedProtocol == "h2" {
		major = 2
	}
	switch {
	case resp.ProtoMajor != major:
		return &VersionError{Version: resp.Proto}
	case resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus:
		return &StatusError{Status: resp.StatusCode}
	}
	return checkFields(resp.Header)
}

// checkFields returns a FieldError if a field is malformed: its name has to be a token, and its value
// has no control bytes but tabs (RFC 9110, section 5).
func checkFields(fields http.Header) error {
	for name, values := range fields {
		if name == "" || strings.ContainsFunc(name, func(r rune) bool { return !isTokenRune(r) }) {
			return &FieldError{Name: name}
		}
		for _, value := range values {
			if strings.ContainsFunc(value, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
				return &FieldError{Name: name}
			}
		}
	}
	return nil
}

func isTokenRune(r rune) bool {
	return 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9' || strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}
