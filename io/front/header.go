package front

import (
	"net/http"
	"strings"
	"time"

	"radishwell/core"
)

// Header fields of the callers' interface.
const (
	// HeaderOutcome carries the outcome: a field, a trailer, or both.
	HeaderOutcome = "Radishwell-Outcome"
	// HeaderDeadline carries the caller's absolute deadline, RFC 3339.
	HeaderDeadline = "Radishwell-Deadline"
	// HeaderRequestID carries the request's id, in answers only.
	HeaderRequestID = "X-Request-Id"
	// HeaderKey carries the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// headerShouldRetry tells clients' libraries whether to try again by
	// themselves; without it they repeat any 5xx.
	headerShouldRetry = "X-Should-Retry"
	headerAuth        = "Authorization"
	headerType        = "Content-Type"
	headerRetryAfter  = "Retry-After"
	headerTraceParent = "Traceparent"
)

// maxKey is the longest idempotency key, in bytes.
const maxKey = 255

// single are fields that must not come twice: two readers of the same request
// could each take a different one.
var single = []string{headerAuth, headerType, HeaderDeadline, HeaderKey, headerTraceParent, "Content-Length", "Host"}

func checkSingle(h http.Header) *core.Refusal {
	for _, name := range single {
		if len(h.Values(name)) > 1 {
			return core.Refuse(core.CodeBadRequest, "the header field "+name+" comes more than once")
		}
	}
	return nil
}

// idempotencyKey returns the caller's key, empty where there is none.
func idempotencyKey(h http.Header) (string, *core.Refusal) {
	if len(h.Values(HeaderKey)) == 0 {
		return "", nil
	}
	key := h.Get(HeaderKey)
	if key == "" || len(key) > maxKey {
		return "", core.Refuse(core.CodeBadRequest, HeaderKey+" must have 1 to 255 bytes")
	}
	return key, nil
}

// deadline returns the caller's deadline, or the given default.
func deadline(h http.Header, now, otherwise time.Time) (time.Time, *core.Refusal) {
	text := h.Get(HeaderDeadline)
	if text == "" {
		return otherwise, nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, core.Refuse(core.CodeBadRequest, HeaderDeadline+" must be a time in RFC 3339 form")
	}
	if !at.After(now) {
		return time.Time{}, core.Refuse(core.CodeDeadline, "the deadline has passed")
	}
	return at, nil
}

// hopByHop are the fields that concern one connection only and are not passed
// on (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of h without the fields that concern one connection,
// those that Connection names among them.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// upstreamHeader is what an upstream gets of a caller's header: no credentials
// of ours, no fields of this hop.
func upstreamHeader(h http.Header) http.Header {
	out := endToEnd(h)
	for _, name := range []string{headerAuth, HeaderDeadline, HeaderRequestID, headerTraceParent, "Content-Length", "Accept-Encoding", "Expect"} {
		out.Del(name)
	}
	return out
}
