package bench

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"radishwell/core"
)

// classify sets the fate of a request from its complete answer.
func classify(r *result, status int, outcome string, raw []byte) {
	var o core.Outcome
	if o.UnmarshalText([]byte(outcome)) != nil {
		r.fate, r.note = unmarked, http.StatusText(status)
		return
	}
	switch o {
	case core.Done:
		r.fate = done
		if reason := mismatch(r.request, status, raw); reason != "" {
			r.fate, r.note = wrong, reason
		}
	case core.NotRun:
		r.fate, r.code = refused, failureCode(raw)
	default:
		r.fate, r.code = mayHaveRun, failureCode(raw)
	}
}

// failure is the error document of an answer or of the last event of a stream.
type failure struct {
	Error struct {
		Code core.Code `json:"code"`
	} `json:"error"`
}

// failureCode returns the error code of a failed answer, or "" if it has none.
func failureCode(raw []byte) core.Code {
	text := bytes.TrimSpace(raw)
	if i := bytes.LastIndex(text, []byte("data: ")); i >= 0 {
		text = text[i+len("data: "):]
	}
	var f failure
	if json.Unmarshal(text, &f) != nil {
		return ""
	}
	return f.Error.Code
}

// mismatch checks that an answer with the outcome done is the complete answer to
// its own request, which it can tell because the stand-ins echo requests. It
// returns the difference, or "" if there is none.
func mismatch(s *request, status int, raw []byte) string {
	switch {
	case status != http.StatusOK:
		return "done with status " + http.StatusText(status)
	case s.call.Service != "":
		return mismatchEcho(s, raw)
	case s.stream:
		return mismatchStream(s, raw)
	default:
		return mismatchWhole(s, raw)
	}
}

func mismatchEcho(s *request, raw []byte) string {
	var e struct {
		Body string `json:"body"`
	}
	if json.Unmarshal(raw, &e) != nil {
		return "the answer is no JSON"
	}
	if e.Body != string(s.body) {
		return "the answer is to another body"
	}
	return ""
}

// chunk is the part of a chat answer, streamed or whole, that is checked.
type chunk struct {
	Choices []struct {
		Delta   message `json:"delta"`
		Message message `json:"message"`
	} `json:"choices"`
}

func mismatchWhole(s *request, raw []byte) string {
	var c chunk
	if json.Unmarshal(raw, &c) != nil || len(c.Choices) != 1 {
		return "the answer is no completion"
	}
	return mismatchText(s, c.Choices[0].Message.Content)
}

func mismatchStream(s *request, raw []byte) string {
	var text strings.Builder
	ended := false
	for event := range bytes.SplitSeq(raw, []byte("\n\n")) {
		data, ok := bytes.CutPrefix(event, []byte("data: "))
		if !ok {
			continue
		}
		if ended {
			return "events follow the end of the stream"
		}
		if string(data) == "[DONE]" {
			ended = true
			continue
		}
		var c chunk
		if json.Unmarshal(data, &c) != nil {
			return "an event is no JSON"
		}
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	if !ended {
		return "the stream has no end"
	}
	return mismatchText(s, text.String())
}

func mismatchText(s *request, got string) string {
	words := strings.Fields(got)
	if len(words) != s.tokens {
		return "the answer has another number of tokens than asked for"
	}
	for i, w := range words {
		if w != s.prompt[i%len(s.prompt)] {
			return "the answer's tokens are of another prompt"
		}
	}
	return ""
}
