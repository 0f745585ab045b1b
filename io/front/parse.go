package front

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"radishwell/core"
	"radishwell/core/rawurl"
)

// completionRequest holds the members of a chat or text completion request that
// an entry reads or checks. Engines read the rest.
type completionRequest struct {
	Model               *string           `json:"model"`
	Messages            []json.RawMessage `json:"messages"`
	Prompt              json.RawMessage   `json:"prompt"`
	Stream              bool              `json:"stream"`
	MaxTokens           *int              `json:"max_tokens"`
	MaxCompletionTokens *int              `json:"max_completion_tokens"`
	Temperature         *float64          `json:"temperature"`
	TopP                *float64          `json:"top_p"`
	N                   *int              `json:"n"`
	User                *string           `json:"user"`
	StreamOptions       *streamOptions    `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// parsedRequest is the result of parsing and checking a request body.
type parsedRequest struct {
	raw    []byte
	model  core.ModelName
	stream bool
	// tokens is the limit that the caller set for the answer, or 0.
	tokens int
	// prefixes are hashes of ever longer prefixes of the prompt.
	prefixes []uint64
}

// maxPrefixes limits the number of hashed prefixes. Longer prefixes would add
// little, because prompts share little beyond these.
const maxPrefixes = 16

// readAll reads the body of r. It refuses a body of more than limit bytes.
func readAll(w http.ResponseWriter, r *http.Request, limit core.Bytes) ([]byte, *core.Refusal) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, core.Refuse(core.CodeTooLarge, "the body is larger than "+limit.String())
	case err != nil:
		return nil, core.Refuse(core.CodeBadRequest, "the body ended before its length")
	}
	return raw, nil
}

// parseCompletion decodes and checks the body of a request to
// /v1/chat/completions if chat is set, otherwise to /v1/completions.
func parseCompletion(h http.Header, raw []byte, chat bool) (parsedRequest, *core.Refusal) {
	if kind, _, err := mime.ParseMediaType(h.Get(headerType)); err != nil || kind != "application/json" {
		return parsedRequest{}, core.Refuse(core.CodeBadRequest, "Content-Type must be application/json")
	}
	var a completionRequest
	if err := decodeOne(raw, &a); err != nil {
		return parsedRequest{}, core.Refuse(core.CodeBadRequest, jsonReason(err))
	}
	if reason := a.check(chat); reason != "" {
		return parsedRequest{}, core.Refuse(core.CodeBadRequest, reason)
	}
	return parsedRequest{
		raw: raw, model: core.ModelName(*a.Model), stream: a.Stream,
		tokens: a.tokens(), prefixes: a.prefixes(),
	}, nil
}

// trailingError reports that data follows the JSON value of a body.
type trailingError struct{}

func (trailingError) Error() string { return "data follows the JSON object" }

func decodeOne(raw []byte, to any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	if err := d.Decode(to); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return trailingError{}
	}
	return nil
}

func jsonReason(err error) string {
	var wrong *json.UnmarshalTypeError
	switch {
	case errors.As(err, &wrong) && wrong.Field != "":
		return wrong.Field + " must not be a " + wrong.Value
	case errors.Is(err, io.EOF):
		return "the body is empty; a JSON object is expected"
	default:
		return "the body is no JSON object: " + err.Error()
	}
}

func (a completionRequest) check(chat bool) string {
	switch {
	case a.Model == nil || *a.Model == "":
		return "model is missing"
	case chat && len(a.Messages) == 0:
		return "messages must hold at least one message"
	case !chat && len(a.Prompt) == 0:
		return "prompt is missing"
	case !chat && a.Prompt[0] != '"' && a.Prompt[0] != '[':
		return "prompt must be a string or an array"
	case a.MaxTokens != nil && *a.MaxTokens < 1:
		return "max_tokens must be at least 1"
	case a.MaxCompletionTokens != nil && *a.MaxCompletionTokens < 1:
		return "max_completion_tokens must be at least 1"
	case a.N != nil && *a.N < 1:
		return "n must be at least 1"
	case a.StreamOptions != nil && !a.Stream:
		return "stream_options goes with stream"
	}
	return checkMessages(a.Messages)
}

func checkMessages(messages []json.RawMessage) string {
	for _, raw := range messages {
		var m struct {
			Role    *string         `json:"role"`
			Content json.RawMessage `json:"content"`
		}
		if err := json.Unmarshal(raw, &m); err != nil {
			return "messages must hold objects with role and content"
		}
		if m.Role == nil {
			return "a message has no role"
		}
	}
	return ""
}

func (a completionRequest) tokens() int {
	switch {
	case a.MaxCompletionTokens != nil:
		return *a.MaxCompletionTokens
	case a.MaxTokens != nil:
		return *a.MaxTokens
	}
	return 0
}

func (a completionRequest) prefixes() []uint64 {
	pieces := a.Messages
	if len(pieces) == 0 {
		pieces = []json.RawMessage{a.Prompt}
	}
	var out []uint64
	h := xxhash.New()
	for _, p := range pieces[:min(len(pieces), maxPrefixes)] {
		_, _ = h.Write(p)
		out = append(out, h.Sum64())
	}
	return out
}

// splitServiceTarget splits a target below /services/ into the name of the service and the target
// that the upstream receives.
func splitServiceTarget(t rawurl.Target) (core.ServiceName, string, bool) {
	rest, ok := strings.CutPrefix(string(t), "/services/")
	if !ok {
		return "", "", false
	}
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		end = len(rest)
	}
	name, below := rest[:end], rest[end:]
	if !strings.HasPrefix(below, "/") {
		below = "/" + below
	}
	return core.ServiceName(name), below, name != ""
}
