package reply

import (
	"net/http"
	"slices"

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

// Check returns a VersionError if a response that was read as HTTP/1 states another major version.
// net/http accepts it, and its framing can't be relied on.
func Check(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return &VersionError{Version: resp.Proto}
	}
	return nil
}
