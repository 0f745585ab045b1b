package objapi

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"radishwell/core"
)

// maxStatusBytes bounds how much of the body of an error answer is read.
const maxStatusBytes = 64 << 10

// BudgetError reports that a call was not sent, because the budget did not allow it
// before the caller's deadline.
type BudgetError struct{ PerSecond float64 }

// Error implements error.
func (e *BudgetError) Error() string {
	return "over the budget of " + strconv.FormatFloat(e.PerSecond, 'g', 4, 64) + " calls a second"
}

// Is makes errors.Is match any BudgetError.
func (e *BudgetError) Is(target error) bool {
	_, ok := target.(*BudgetError)
	return ok
}

// StatusError reports an answer with an HTTP error status, or an error event of a watch.
type StatusError struct {
	Status  int
	Reason  string
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return "status " + strconv.Itoa(e.Status) + " " + e.Reason + ": " + e.Message
}

// FormatError reports an answer that violates the protocol.
type FormatError struct{ Detail string }

// Error implements error.
func (e *FormatError) Error() string { return "malformed answer: " + e.Detail }

// SilenceError reports that a watch received neither a change nor a bookmark in time, so
// that its connection is considered dead.
type SilenceError struct{}

// Error implements error.
func (*SilenceError) Error() string { return "watch silent for too long" }

// fail returns an error of the call.
func (op *operation) fail(fault core.PlatformFault, cause error) *core.PlatformError {
	return &core.PlatformError{Fault: fault, Kind: op.kind, Name: op.name, Cause: cause}
}

// statusError returns the error for an answer with an HTTP error status.
func (op *operation) statusError(resp *http.Response) *core.PlatformError {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	var body statusJSON
	if json.Unmarshal(data, &body) != nil || body.Kind != "Status" {
		body = statusJSON{Message: string(data)}
	}
	return op.fail(classify(resp.StatusCode, body.Reason), &StatusError{
		Status:  resp.StatusCode,
		Reason:  body.Reason,
		Message: body.Message,
	})
}

// classify maps an HTTP status to a fault. An answer from the API itself means that the
// call was refused before it took effect. A 5xx answer without the API's reason may come
// from a proxy that had already forwarded the call, so its fault is Unknown.
func classify(status int, reason string) core.PlatformFault {
	switch {
	case status == http.StatusNotFound:
		return core.NotFound
	case status == http.StatusConflict && reason == "AlreadyExists":
		return core.Exists
	case status == http.StatusConflict:
		return core.Conflict
	case status == http.StatusGone:
		return core.Gone
	case status == http.StatusTooManyRequests:
		return core.Unavailable
	case status == http.StatusServiceUnavailable && reason == "ServiceUnavailable":
		return core.Unavailable
	case status >= http.StatusInternalServerError:
		return core.Unknown
	}
	return core.Invalid
}
