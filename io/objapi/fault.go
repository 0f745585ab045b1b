package objapi

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"radishwell/core"
)

// maxStatus bounds how much of a failed answer is read.
const maxStatus = 64 << 10

// BudgetError says that a call was not sent because the budget did not allow
// it before the caller's deadline.
type BudgetError struct{ PerSecond float64 }

// Error implements error.
func (e *BudgetError) Error() string {
	return "over the budget of " + strconv.FormatFloat(e.PerSecond, 'g', 4, 64) + " calls a second"
}

// Is implements errors.Is: all budget errors are the same.
func (e *BudgetError) Is(target error) bool {
	_, ok := target.(*BudgetError)
	return ok
}

// StatusError is an answer with an HTTP status that means failure.
type StatusError struct {
	Status  int
	Reason  string
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return "status " + strconv.Itoa(e.Status) + " " + e.Reason + ": " + e.Message
}

// FormatError says that an answer does not follow the protocol.
type FormatError struct{ What string }

// Error implements error.
func (e *FormatError) Error() string { return "malformed answer: " + e.What }

// SilenceError says that a watch brought neither a change nor a bookmark in
// time, so that its connection is taken for dead.
type SilenceError struct{}

// Error implements error.
func (*SilenceError) Error() string { return "watch silent for too long" }

func (what *call) fail(fault core.PlatformFault, cause error) *core.PlatformError {
	return &core.PlatformError{Fault: fault, Kind: what.kind, Name: what.name, Cause: cause}
}

// refused classes an answer with a failing status.
func (what *call) refused(resp *http.Response) *core.PlatformError {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxStatus))
	var body statusJSON
	if json.Unmarshal(data, &body) != nil || body.Kind != "Status" {
		body = statusJSON{Message: string(data)}
	}
	return what.fail(classify(resp.StatusCode, body.Reason), &StatusError{
		Status:  resp.StatusCode,
		Reason:  body.Reason,
		Message: body.Message,
	})
}

// classify maps a status to a fault. An answer of the API itself says that the
// call was refused before it took effect; 5xx answers without the API's own
// reason may come from a proxy that had passed the call on, and stay unknown.
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
