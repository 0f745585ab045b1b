package llmsrv

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"radishwell/core"
)

// run is one request in the engine. Its answer is appended to a buffer, which any number
// of connections may read, each at its own offset.
type run struct {
	id     core.RequestID
	model  core.ModelName
	class  core.Class
	cancel context.CancelFunc

	mu     sync.Mutex
	buffer []byte
	ended  bool
	// failed is set if the run was cancelled or the engine crashed before its end.
	failed bool
	// changed is closed and replaced whenever the buffer grows or the run ends.
	changed chan struct{}
}

func newRun(id core.RequestID, model core.ModelName, class core.Class, cancel context.CancelFunc) *run {
	return &run{id: id, model: model, class: class, cancel: cancel, changed: make(chan struct{})}
}

func (r *run) write(p []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.buffer = append(r.buffer, p...)
	r.wake()
}

func (r *run) end(failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	r.failed = failed
	r.wake()
}

func (r *run) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// after returns the data in the buffer from offset, whether the run has ended, whether it
// has failed, and a channel that is closed at the next change.
func (r *run) after(offset int64) (data []byte, ended, failed bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if offset < int64(len(r.buffer)) {
		data = r.buffer[offset:]
	}
	return data, r.ended, r.failed, r.changed
}

// hasEnded reports whether the run has ended. Its answer is kept for resumeTime after that.
func (r *run) hasEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

// emitted returns the length of the answer so far, in bytes.
func (r *run) emitted() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int64(len(r.buffer))
}

// completionRequest holds the members of a request in the format of the OpenAI API that
// the stand-in uses.
type completionRequest struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Prompt   string `json:"prompt"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	MaxTokens           int `json:"max_tokens"`
	MaxCompletionTokens int `json:"max_completion_tokens"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// defaultTokens is the length of an answer if the request has no limit.
const defaultTokens = 16

func (a completionRequest) tokens() int {
	switch {
	case a.MaxTokens > 0:
		return a.MaxTokens
	case a.MaxCompletionTokens > 0:
		return a.MaxCompletionTokens
	default:
		return defaultTokens
	}
}

func (a completionRequest) text() string {
	if len(a.Messages) == 0 {
		return a.Prompt
	}
	var s string
	last := a.Messages[len(a.Messages)-1].Content
	if json.Unmarshal(last, &s) != nil {
		return string(last)
	}
	return s
}

// token returns the ith token of the answer, which repeats the words of the prompt.
func (a completionRequest) token(i int) string {
	words := strings.Fields(a.text())
	if len(words) == 0 {
		return fmt.Sprintf("token-%d ", i)
	}
	return words[i%len(words)] + " "
}

// answerFormat formats the answer to a request.
type answerFormat struct {
	request completionRequest
	chat    bool
	id      core.RequestID
	created time.Time
}

type choice struct {
	Index        int               `json:"index"`
	Delta        map[string]string `json:"delta,omitempty"`
	Message      map[string]string `json:"message,omitempty"`
	Text         *string           `json:"text,omitempty"`
	FinishReason *string           `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (s answerFormat) object(streamed bool) string {
	switch {
	case s.chat && streamed:
		return "chat.completion.chunk"
	case s.chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

func (s answerFormat) body(streamed bool) completion {
	return completion{
		ID: "cmpl-" + string(s.id), Object: s.object(streamed),
		Created: s.created.Unix(), Model: s.request.Model, Choices: []choice{},
	}
}

func (s answerFormat) usage() *usage {
	prompt, answer := len(strings.Fields(s.request.text())), s.request.tokens()
	return &usage{PromptTokens: prompt, CompletionTokens: answer, TotalTokens: prompt + answer}
}

// event returns the ith token as a server-sent event.
func (s answerFormat) event(i int) []byte {
	c := choice{}
	token := s.request.token(i)
	if s.chat {
		c.Delta = map[string]string{"content": token}
	} else {
		c.Text = &token
	}
	if i == s.request.tokens()-1 {
		stop := "stop"
		c.FinishReason = &stop
	}
	b := s.body(true)
	b.Choices = append(b.Choices, c)
	return sse(b)
}

// tail returns the events after the last token of a stream.
func (s answerFormat) tail() []byte {
	var out []byte
	if s.request.StreamOptions.IncludeUsage {
		b := s.body(true)
		b.Usage = s.usage()
		out = sse(b)
	}
	return append(out, "data: [DONE]\n\n"...)
}

// whole returns the answer to a request that isn't streamed.
func (s answerFormat) whole() []byte {
	var text strings.Builder
	for i := range s.request.tokens() {
		text.WriteString(s.request.token(i))
	}
	stop, answer := "stop", text.String()
	c := choice{FinishReason: &stop}
	if s.chat {
		c.Message = map[string]string{"role": "assistant", "content": answer}
	} else {
		c.Text = &answer
	}
	b := s.body(false)
	b.Choices = append(b.Choices, c)
	b.Usage = s.usage()
	return mustJSON(b)
}

func sse(v any) []byte {
	out := append([]byte("data: "), mustJSON(v)...)
	return append(out, "\n\n"...)
}

// mustJSON encodes a type of this package, which can't fail.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
