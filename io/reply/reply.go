package reply

import (
	"net/http"
	"slices"
	"strconv"

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

// StatusError reports a response whose status is none of a final response.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return "it is not final, status " + strconv.Itoa(e.Status) }

// Check returns an error if a response that was read as HTTP/1 is one that net/http accepts and
// that can't be passed on: a VersionError if its framing can't be relied on, since it states
// another major version, or a StatusError. Status 101 is not final either, since no request asks
// for another protocol.
func Check(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return &VersionError{Version: resp.Proto}
	case resp.StatusCode < http.StatusOK:
		return &StatusError{Status: resp.StatusCode}
	}
	return nil
}
