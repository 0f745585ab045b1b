package core

import (
	"slices"
	"time"
)

// Code is the stable code of a refusal or failure, as callers see it.
type Code string

// Codes of refusals and failures. docs/ERRORS.md lists them; TestErrorsPage
// checks that the page matches codeTable.
const (
	CodeBadRequest       Code = "bad-request"
	CodeBadKey           Code = "bad-credentials"
	CodeForbidden        Code = "not-permitted"
	CodeUnknownModel     Code = "unknown-model"
	CodeUnknownPath      Code = "unknown-path"
	CodeMethod           Code = "method-not-allowed"
	CodeTooLarge         Code = "body-too-large"
	CodeKeyReused        Code = "key-reused"
	CodeDeadline         Code = "deadline-passed"
	CodeWaitTooLong      Code = "wait-too-long"
	CodeRateLimit        Code = "rate-limit"
	CodeConcurrency      Code = "concurrency-limit"
	CodeQueueFull        Code = "queue-full"
	CodeOverload         Code = "overload"
	CodeNoHost           Code = "no-host"
	CodeNoMemory         Code = "no-memory"
	CodeNotGranted       Code = "not-granted"
	CodeLoadFailed       Code = "load-failed"
	CodeLeaving          Code = "leaving"
	CodeQuarantined      Code = "quarantined"
	CodeClaimUnavailable Code = "claim-unavailable"
	CodeAnswerLost       Code = "answer-lost"
	CodeSealed           Code = "attempt-sealed"
	CodeUnreached        Code = "host-unreached"
	CodeUpstreamFailed   Code = "upstream-failed"
	CodeUpstreamLost     Code = "upstream-lost"
	CodeUpstreamLate     Code = "upstream-late"
	CodeCancelled        Code = "cancelled"
	CodeNotReady         Code = "not-ready"
	CodeInternal         Code = "internal"
)

// CodeInfo describes a code to callers and operators.
type CodeInfo struct {
	Code Code
	// Status is the HTTP status that callers receive.
	Status int
	// Type is the error type of the OpenAI API, which client libraries map to
	// exception classes.
	Type string
	// Retryable is set if a later attempt can succeed, so that Retry-After is sent.
	Retryable bool
	// Text explains the code in one sentence.
	Text string
}

var codeTable = []CodeInfo{
	{CodeBadRequest, 400, "invalid_request_error", false, "The request is malformed; the message names the field."},
	{CodeBadKey, 401, "authentication_error", false, "The bearer key is missing or unknown."},
	{CodeForbidden, 403, "permission_error", false, "The caller's owner may not use this model or service."},
	{CodeUnknownModel, 404, "invalid_request_error", false, "No model, adapter or service of this name is in force."},
	{CodeUnknownPath, 404, "invalid_request_error", false, "No such path."},
	{CodeMethod, 405, "invalid_request_error", false, "The path does not take this method."},
	{CodeTooLarge, 413, "invalid_request_error", false, "The body is larger than the entry accepts."},
	{CodeKeyReused, 422, "invalid_request_error", false, "The idempotency key was used before with another request."},
	{CodeDeadline, 408, "timeout_error", false, "The deadline had passed before the request could run."},
	{CodeWaitTooLong, 503, "overloaded_error", true, "The wait foreseen is longer than the deadline leaves."},
	{CodeRateLimit, 429, "rate_limit_error", true, "The rate limit of owner, caller or model is used up."},
	{CodeConcurrency, 429, "rate_limit_error", true, "Too many requests of this owner, caller or model are in progress."},
	{CodeQueueFull, 429, "rate_limit_error", true, "The queue of the owner, model or service is full."},
	{CodeOverload, 503, "overloaded_error", true, "The entry sheds load of this class."},
	{CodeNoHost, 503, "overloaded_error", true, "No upstream host may serve the target at present."},
	{CodeNoMemory, 503, "overloaded_error", true, "No accelerator has room for the model at present."},
	{CodeNotGranted, 503, "overloaded_error", true, "The host asked may not load the model."},
	{CodeLoadFailed, 503, "overloaded_error", true, "The model could not be loaded."},
	{CodeLeaving, 503, "overloaded_error", true, "The host is leaving and takes no new work."},
	{CodeQuarantined, 422, "invalid_request_error", false, "The same request has crashed upstreams and is refused."},
	{CodeClaimUnavailable, 503, "overloaded_error", true, "The platform cannot record the idempotency key at present."},
	{CodeAnswerLost, 502, "api_error", false, "The request with this key ran or may have run and its answer is lost."},
	{CodeSealed, 503, "overloaded_error", true, "This attempt was given up before it ran; another may have followed it."},
	{CodeUnreached, 503, "overloaded_error", true, "No connection to a host that may serve the target could be made."},
	{CodeUpstreamFailed, 502, "api_error", false, "The upstream answered with a failure."},
	{CodeUpstreamLost, 502, "api_error", false, "Contact with the upstream was lost while the request was there."},
	{CodeUpstreamLate, 504, "api_error", false, "The upstream had not answered when the request's time was over."},
	{CodeCancelled, 499, "api_error", false, "The caller went away before the answer was complete."},
	{CodeNotReady, 503, "overloaded_error", true, "The entry has no catalogue yet, or may lack the newest keys or routes."},
	{CodeInternal, 500, "api_error", false, "The entry failed; the log has the cause under the request id."},
}

// Codes returns the descriptions of all codes.
func Codes() []CodeInfo { return slices.Clone(codeTable) }

// Info returns the code's description, or that of CodeInternal if the code is
// unknown.
func (c Code) Info() CodeInfo {
	for _, row := range codeTable {
		if row.Code == c {
			return row
		}
	}
	return CodeInternal.Info()
}

// Refusal is the error answer to a request that was not served, or not
// completely. Every hop returns it in place of an answer.
type Refusal struct {
	Code    Code
	Outcome Outcome
	// Reason explains to the caller what happened, in one sentence.
	Reason string
	// RetryAt is when a later attempt can succeed; zero if unknown.
	RetryAt time.Time
	// Host is the upstream host that refused; empty if an entry did.
	Host HostName
}

// Error implements error.
func (r *Refusal) Error() string {
	return string(r.Code) + " (" + r.Outcome.String() + "): " + r.Reason
}

// Refuse returns a refusal of a request that did not run.
func Refuse(code Code, reason string) *Refusal {
	return &Refusal{Code: code, Outcome: NotRun, Reason: reason}
}

// RefuseUntil is like Refuse, with the time from which a later attempt can
// succeed.
func RefuseUntil(code Code, reason string, at time.Time) *Refusal {
	return &Refusal{Code: code, Outcome: NotRun, Reason: reason, RetryAt: at}
}
