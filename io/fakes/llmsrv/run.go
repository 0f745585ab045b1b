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

// run is one request in the engine. Its answer grows in a buffer, from which
// any number of connections read at their own offsets.
type run struct {
	id     core.RequestID
	model  core.ModelName
	class  core.Class
	cancel context.CancelFunc

	mu     sync.Mutex
	buffer []byte
	ended  bool
	// failed is set when the engine crashed under the run.
	failed bool
	// grown is closed and replaced whenever the buffer grows or the run ends.
	grown chan struct{}
}

func newRun(id core.RequestID, model core.ModelName, class core.Class, cancel context.CancelFunc) *run {
	return &run{id: id, model: model, class: class, cancel: cancel, grown: make(chan struct{})}
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
	close(r.grown)
	r.grown = make(chan struct{})
}

// after returns what the buffer holds past offset, whether the run has ended
// and failed, and a channel that is closed at the next change.
func (r *run) after(offset int64) (data []byte, ended, failed bool, grown <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if offset < int64(len(r.buffer)) {
		data = r.buffer[offset:]
	}
	return data, r.ended, r.failed, r.grown
}

// over tells whether the run has ended; its answer is kept for a while.
func (r *run) over() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

func (r *run) emitted() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int64(len(r.buffer))
}

// ask is the part of an OpenAI request that the stand-in reads.
type ask struct {
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

const defaultTokens = 16

func (a ask) tokens() int {
	switch {
	case a.MaxTokens > 0:
		return a.MaxTokens
	case a.MaxCompletionTokens > 0:
		return a.MaxCompletionTokens
	default:
		return defaultTokens
	}
}

func (a ask) text() string {
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

// token is the answer's i-th token: the prompt's words over and over.
func (a ask) token(i int) string {
	words := strings.Fields(a.text())
	if len(words) == 0 {
		return fmt.Sprintf("token-%d ", i)
	}
	return words[i%len(words)] + " "
}

// script writes a request's whole answer, a token each tick.
type script struct {
	ask  ask
	chat bool
	id   core.RequestID
	made time.Time
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

func (s script) object(streamed bool) string {
	switch {
	case s.chat && streamed:
		return "chat.completion.chunk"
	case s.chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

func (s script) body(streamed bool) completion {
	return completion{
		ID: "cmpl-" + string(s.id), Object: s.object(streamed),
		Created: s.made.Unix(), Model: s.ask.Model, Choices: []choice{},
	}
}

func (s script) usage() *usage {
	prompt, answer := len(strings.Fields(s.ask.text())), s.ask.tokens()
	return &usage{PromptTokens: prompt, CompletionTokens: answer, TotalTokens: prompt + answer}
}

// event is the i-th token as a server-sent event.
func (s script) event(i int) []byte {
	c := choice{}
	token := s.ask.token(i)
	if s.chat {
		c.Delta = map[string]string{"content": token}
	} else {
		c.Text = &token
	}
	if i == s.ask.tokens()-1 {
		stop := "stop"
		c.FinishReason = &stop
	}
	b := s.body(true)
	b.Choices = append(b.Choices, c)
	return sse(b)
}

// tail is what follows the last token of a stream.
func (s script) tail() []byte {
	var out []byte
	if s.ask.StreamOptions.IncludeUsage {
		b := s.body(true)
		b.Usage = s.usage()
		out = sse(b)
	}
	return append(out, "data: [DONE]\n\n"...)
}

// whole is the answer to a request that is not streamed.
func (s script) whole() []byte {
	var text strings.Builder
	for i := range s.ask.tokens() {
		text.WriteString(s.ask.token(i))
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

// mustJSON encodes one of the package's own types, which cannot fail.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
