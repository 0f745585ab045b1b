package front

import (
	"net/http"
	"strings"
	"time"

	"radishwell/core"
)

// Names of header fields in requests of callers and in answers to them.
const (
	// HeaderOutcome carries the outcome of a request, as a field, a trailer, or
	// both.
	HeaderOutcome = "Radishwell-Outcome"
	// HeaderDeadline carries the caller's absolute deadline in RFC 3339 format.
	HeaderDeadline = "Radishwell-Deadline"
	// HeaderRequestID carries the id of the request. It occurs in answers only.
	HeaderRequestID = "X-Request-Id"
	// HeaderKey carries the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// headerShouldRetry tells client libraries whether to retry on their own.
	// Without it they retry any 5xx.
	headerShouldRetry = "X-Should-Retry"
	headerAuth        = "Authorization"
	headerType        = "Content-Type"
	headerRetryAfter  = "Retry-After"
	headerTraceParent = "Traceparent"
)

// maxKeyBytes is the maximum length of an idempotency key, in bytes.
const maxKeyBytes = 255

// singleFields lists the fields that must not occur twice: two readers of the same
// request could each use a different value.
var singleFields = []string{headerAuth, headerType, HeaderDeadline, HeaderKey, headerTraceParent, "Content-Length", "Host"}

func checkSingle(h http.Header) *core.Refusal {
	for _, name := range singleFields {
		if len(h.Values(name)) > 1 {
			return core.Refuse(core.CodeBadRequest, "the header field "+name+" comes more than once")
		}
	}
	return nil
}

// idempotencyKey returns the caller's idempotency key, or "" if the caller sent
// none.
func idempotencyKey(h http.Header) (string, *core.Refusal) {
	if len(h.Values(HeaderKey)) == 0 {
		return "", nil
	}
	key := h.Get(HeaderKey)
	if key == "" || len(key) > maxKeyBytes {
		return "", core.Refuse(core.CodeBadRequest, HeaderKey+" must have 1 to 255 bytes")
	}
	return key, nil
}

// deadline returns the caller's deadline, or fallback if the caller sent none.
func deadline(h http.Header, now, fallback time.Time) (time.Time, *core.Refusal) {
	text := h.Get(HeaderDeadline)
	if text == "" {
		return fallback, nil
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

// hopByHop lists the fields that apply to a single connection and must not be
// forwarded (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of h without the hop-by-hop fields, which include
// those that Connection lists.
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

// upstreamHeader returns the part of a caller's header that is forwarded to the
// upstream. It leaves out the caller's key and the fields that concern only the
// caller and the entry.
func upstreamHeader(h http.Header) http.Header {
	out := endToEnd(h)
	for _, name := range []string{headerAuth, HeaderDeadline, HeaderRequestID, headerTraceParent, "Content-Length", "Accept-Encoding", "Expect"} {
		out.Del(name)
	}
	return out
}
