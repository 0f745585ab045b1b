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
