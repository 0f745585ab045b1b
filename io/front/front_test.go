package front_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/catlog"
	"radishwell/io/accept"
	"radishwell/io/front"
)

const testKey = "front-key"

const testCatalogue = `
kind: owners
name: guild
spec:
  keys: [{caller: clerk, digest: %s}]
---
kind: owners
name: other
spec:
  keys: [{caller: x, digest: "%064d"}]
---
kind: services
name: pool
spec: {type: engine, class: interactive}
---
kind: services
name: parts
spec: {type: plain, owner: guild, class: interactive}
---
kind: models
name: alpha
spec: {owner: guild, service: pool, class: interactive, memory: 1GiB}
---
kind: models
name: secret
spec: {owner: other, service: pool, class: interactive, memory: 1GiB}
`

type fixedClock struct{}

// Now returns a fixed time, from which the tests compute deadlines.
func (fixedClock) Now() time.Time { return time.Date(2026, 12, 1, 20, 0, 0, 0, time.UTC) }

// serveWith starts a Handler that answers requests with serve and returns its URL.
func serveWith(t *testing.T, serve func(*front.Call)) string {
	t.Helper()
	return startServer(t, serve).URL
}

func startServer(t *testing.T, serve func(*front.Call)) *httptest.Server {
	t.Helper()
	var view catlog.View
	digest := sha256.Sum256([]byte(testKey))
	objects, problems := catlog.Read(catlog.Source{Name: "test", Text: fmt.Appendf(nil, testCatalogue, hex.EncodeToString(digest[:]), 1)})
	assert.NilError(t, problems.Err())
	for i := range objects {
		objects[i].Version, objects[i].UID = core.Version(i+1), strconv.Itoa(i)
	}
	view.Apply(objects...)
	srv := httptest.NewUnstartedServer(&front.Handler{
		Clock: fixedClock{}, Snapshot: view.Snapshot, MaxBody: core.KiB,
		Serve:    func(_ context.Context, c *front.Call) { serve(c) },
		Refused:  func(core.RequestID, *core.Refusal) {},
		Deadline: func(_ core.Class, at time.Time) time.Time { return at.Add(time.Minute) },
		NewID:    func() core.RequestID { return "id-1" },
	})
	srv.Listener = &accept.Listener{Listener: srv.Listener}
	srv.Config.ConnContext = accept.WithConn
	srv.Start()
	t.Cleanup(srv.Close)
	return srv
}

func neverServe(t *testing.T) func(*front.Call) {
	return func(c *front.Call) {
		t.Errorf("a bad request was run: %s", c.Target)
		c.Answer.Fail(core.Refuse(core.CodeInternal, "unexpected"))
	}
}

const goodBody = `{"model":"alpha","messages":[{"role":"user","content":"hello"}]}`

func TestBadInput(t *testing.T) {
	url := serveWith(t, neverServe(t))
	cases := []struct {
		name   string
		method string
		path   string
		body   string
		header []string
		want   core.Code
	}{
		{"unknown path", "POST", "/v2/chat", goodBody, nil, core.CodeUnknownPath},
		{"method", "GET", "/v1/chat/completions", "", nil, core.CodeMethod},
		{"no key", "POST", "/v1/chat/completions", goodBody, []string{"Authorization", ""}, core.CodeBadKey},
		{"unknown key", "POST", "/v1/chat/completions", goodBody, []string{"Authorization", "Bearer nobody"}, core.CodeBadKey},
		{"no JSON", "POST", "/v1/chat/completions", `{"model":`, nil, core.CodeBadRequest},
		{"two values", "POST", "/v1/chat/completions", goodBody + "{}", nil, core.CodeBadRequest},
		{"wrong type", "POST", "/v1/chat/completions", `{"model":"alpha","messages":"hello"}`, nil, core.CodeBadRequest},
		{"no model", "POST", "/v1/chat/completions", `{"messages":[{"role":"user","content":"x"}]}`, nil, core.CodeBadRequest},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"alpha","messages":[]}`, nil, core.CodeBadRequest},
		{"no prompt", "POST", "/v1/completions", `{"model":"alpha"}`, nil, core.CodeBadRequest},
		{"negative tokens", "POST", "/v1/completions", `{"model":"alpha","prompt":"x","max_tokens":-1}`, nil, core.CodeBadRequest},
		{"content type", "POST", "/v1/chat/completions", goodBody, []string{"Content-Type", "text/plain"}, core.CodeBadRequest},
		{"unknown model", "POST", "/v1/chat/completions", strings.Replace(goodBody, "alpha", "beta", 1), nil, core.CodeUnknownModel},
		{"another owner's model", "POST", "/v1/chat/completions", strings.Replace(goodBody, "alpha", "secret", 1), nil, core.CodeForbidden},
		{"body too large", "POST", "/v1/chat/completions", goodBody + strings.Repeat(" ", 2048), nil, core.CodeTooLarge},
		{"deadline passed", "POST", "/v1/chat/completions", goodBody, []string{front.HeaderDeadline, "2026-12-01T19:59:59Z"}, core.CodeDeadline},
		{"deadline malformed", "POST", "/v1/chat/completions", goodBody, []string{front.HeaderDeadline, "soon"}, core.CodeBadRequest},
		{"deadline twice", "POST", "/v1/chat/completions", goodBody, []string{front.HeaderDeadline, "2026-12-01T20:01:00Z", front.HeaderDeadline, "2026-12-01T20:02:00Z"}, core.CodeBadRequest},
		{"key too long", "POST", "/services/parts/x", "", []string{front.HeaderKey, strings.Repeat("k", 256)}, core.CodeBadRequest},
		{"unknown service", "POST", "/services/nothing/x", "", nil, core.CodeUnknownModel},
		{"upgrade", "GET", "/services/parts/x", "", []string{"Upgrade", "websocket"}, core.CodeMethod},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resp := call(t, url, c.method, c.path, c.body, c.header...)
			assertProblem(t, resp, c.want, core.NotRun)
		})
	}
}

func call(t *testing.T, url, method, path, body string, header ...string) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Content-Type", "application/json")
	seen := map[string]bool{}
	for i := 0; i+1 < len(header); i += 2 {
		if !seen[header[i]] {
			req.Header.Del(header[i])
			seen[header[i]] = true
		}
		req.Header.Add(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func assertProblem(t *testing.T, resp *http.Response, want core.Code, outcome core.Outcome) {
	t.Helper()
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	var doc struct {
		Error struct {
			Code    core.Code `json:"code"`
			Message string    `json:"message"`
			Type    string    `json:"type"`
		} `json:"error"`
	}
	assert.NilError(t, json.Unmarshal(raw, &doc), string(raw))
	assert.Equal(t, doc.Error.Code, want, string(raw))
	assert.Equal(t, resp.StatusCode, want.Info().Status)
	assert.Equal(t, doc.Error.Type, want.Info().Type)
	assert.Assert(t, doc.Error.Message != "")
	assert.Equal(t, resp.Header.Get(front.HeaderOutcome), outcome.String())
	assert.Equal(t, resp.Header.Get(front.HeaderRequestID), "id-1")
}

func TestRetryAfter(t *testing.T) {
	at := fixedClock{}.Now().Add(2500 * time.Millisecond)
	url := serveWith(t, func(c *front.Call) {
		c.Answer.Fail(core.RefuseUntil(core.CodeOverload, "busy", at))
	})
	resp := call(t, url, "POST", "/v1/chat/completions", goodBody)
	assertProblem(t, resp, core.CodeOverload, core.NotRun)
	assert.Equal(t, resp.Header.Get("Retry-After"), "3")
	assert.Equal(t, resp.Header.Get("X-Should-Retry"), "true")
}

func TestModels(t *testing.T) {
	url := serveWith(t, neverServe(t))
	t.Run("list", func(t *testing.T) {
		raw, err := io.ReadAll(call(t, url, "GET", "/v1/models", "").Body)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(raw), `"alpha"`))
		assert.Assert(t, !strings.Contains(string(raw), `"secret"`), "another owner's model is listed")
	})
	t.Run("one", func(t *testing.T) {
		assert.Equal(t, call(t, url, "GET", "/v1/models/alpha", "").StatusCode, http.StatusOK)
		assertProblem(t, call(t, url, "GET", "/v1/models/secret", ""), core.CodeUnknownModel, core.NotRun)
	})
}

// TestStreamFailsMidway guards against callers that take the part of a stream that broke
// off midway for the whole answer: the last event must report the failure, and the trailer
// must carry the outcome.
func TestStreamFailsMidway(t *testing.T) {
	url := serveWith(t, func(c *front.Call) {
		c.Answer.Head(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}}, false)
		_ = c.Answer.Data([]byte("data: {\"choices\":[]}\n\n"))
		c.Answer.Fail(&core.Refusal{Code: core.CodeUpstreamLost, Outcome: core.MayHaveRun, Reason: "the host is gone"})
	})
	resp := call(t, url, "POST", "/v1/chat/completions", strings.Replace(goodBody, "{", `{"stream":true,`, 1))
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(raw), `"code":"upstream-lost"`), string(raw))
	assert.Equal(t, resp.Trailer.Get(front.HeaderOutcome), "may-have-run")
}

func TestHopByHopFields(t *testing.T) {
	var got http.Header
	url := serveWith(t, func(c *front.Call) {
		got = c.Header
		c.Answer.Head(http.StatusOK, http.Header{"Connection": {"X-Inner"}, "X-Inner": {"1"}, "X-Outer": {"2"}}, false)
		c.Answer.Done()
	})
	resp := call(t, url, "POST", "/services/parts/x", "body", "Connection", "X-Mine", "X-Mine", "1", "X-Kept", "2", "Te", "trailers")
	assert.Equal(t, got.Get("X-Mine"), "")
	assert.Equal(t, got.Get("Te"), "")
	assert.Equal(t, got.Get("Authorization"), "", "the caller's key went upstream")
	assert.Equal(t, got.Get("X-Kept"), "2")
	assert.Equal(t, resp.Header.Get("X-Inner"), "")
	assert.Equal(t, resp.Header.Get("X-Outer"), "2")
}

// answerChat answers as an engine does, in the format that the client library
// expects.
func answerChat(c *front.Call) {
	if !c.Request.Stream {
		c.Answer.Head(http.StatusOK, http.Header{"Content-Type": {"application/json"}}, false)
		_ = c.Answer.Data([]byte(`{"id":"1","object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":"hi there"},"finish_reason":"stop"}]}`))
		c.Answer.Done()
		return
	}
	c.Answer.Head(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}}, false)
	for _, word := range []string{"hi ", "there"} {
		_ = c.Answer.Data(fmt.Appendf(nil, "data: {\"id\":\"1\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", word))
	}
	_ = c.Answer.Data([]byte("data: [DONE]\n\n"))
	c.Answer.Done()
}

func TestClientLibrary(t *testing.T) {
	calls := 0
	url := serveWith(t, func(c *front.Call) {
		calls++
		answerChat(c)
	})
	client := openai.NewClient(option.WithBaseURL(url+"/v1"), option.WithAPIKey(testKey))
	ask := openai.ChatCompletionNewParams{Model: "alpha", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")}}
	t.Run("whole", func(t *testing.T) {
		got, err := client.Chat.Completions.New(t.Context(), ask)
		assert.NilError(t, err)
		assert.Equal(t, got.Choices[0].Message.Content, "hi there")
	})
	t.Run("streamed", func(t *testing.T) {
		var text strings.Builder
		stream := client.Chat.Completions.NewStreaming(t.Context(), ask)
		for stream.Next() {
			text.WriteString(stream.Current().Choices[0].Delta.Content)
		}
		assert.NilError(t, stream.Err())
		assert.Equal(t, text.String(), "hi there")
	})
	t.Run("models", func(t *testing.T) {
		page, err := client.Models.List(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, page.Data[0].ID, "alpha")
	})
	t.Run("typed error", func(t *testing.T) {
		wrong := ask
		wrong.Model = "nothing"
		_, err := client.Chat.Completions.New(t.Context(), wrong)
		var problem *openai.Error
		assert.Assert(t, errors.As(err, &problem))
		assert.Equal(t, problem.StatusCode, http.StatusNotFound)
		assert.Equal(t, problem.Code, string(core.CodeUnknownModel))
	})
}

// TestClientLibraryDoesNotRepeat guards against requests that run twice. The client
// library retries any 5xx on its own unless X-Should-Retry forbids it. A request that
// may have run must not be repeated unless its caller decides so.
func TestClientLibraryDoesNotRepeat(t *testing.T) {
	calls := 0
	url := serveWith(t, func(c *front.Call) {
		calls++
		c.Answer.Fail(&core.Refusal{Code: core.CodeUpstreamLost, Outcome: core.MayHaveRun, Reason: "lost"})
	})
	client := openai.NewClient(option.WithBaseURL(url+"/v1"), option.WithAPIKey(testKey))
	_, err := client.Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{
		Model: "alpha", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	})
	assert.Assert(t, err != nil)
	assert.Equal(t, calls, 1)
}

// Guards against an answer without framing that looks complete to its caller since the entry's
// connection was closed before the answer ended.
func TestClosedConnectionDoesNotEndAnswer(t *testing.T) {
	const event = "data: first\n\n"
	for _, version := range []string{"1.0", "1.1"} {
		t.Run("HTTP/"+version, func(t *testing.T) {
			begun, closed := make(chan struct{}), make(chan struct{})
			srv := startServer(t, func(c *front.Call) {
				c.Answer.Head(http.StatusOK, http.Header{}, version == "1.1")
				assert.Check(t, c.Answer.Data([]byte(event)))
				close(begun)
				<-closed
				c.Answer.Done()
			})
			conn, err := net.Dial("tcp", srv.Listener.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			body := strings.Replace(goodBody, "{", `{"stream":true,`, 1)
			_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/%s\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
				version, testKey, len(body), body)
			assert.NilError(t, err)
			<-begun
			srv.CloseClientConnections()
			close(closed)
			text, err := io.ReadAll(conn)
			assert.ErrorIs(t, err, syscall.ECONNRESET)
			assert.Assert(t, strings.HasSuffix(string(text), event), "%q", text)
		})
	}
	t.Run("a whole answer ends in order", func(t *testing.T) {
		url := serveWith(t, func(c *front.Call) {
			c.Answer.Head(http.StatusOK, http.Header{}, true)
			assert.Check(t, c.Answer.Data([]byte(event)))
			c.Answer.Done()
		})
		raw, err := io.ReadAll(call(t, url, "POST", "/v1/chat/completions", strings.Replace(goodBody, "{", `{"stream":true,`, 1)).Body)
		assert.NilError(t, err)
		assert.Equal(t, string(raw), event)
	})
}
