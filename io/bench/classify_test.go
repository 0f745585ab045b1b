package bench

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
)

func testRequest(stream bool) *request {
	return &request{call: &Call{Name: "chat"}, model: "m", prompt: []string{"r-1", "a"}, tokens: 3, stream: stream}
}

func streamOf(words ...string) string {
	var b strings.Builder
	for _, w := range words {
		b.WriteString(`data: {"choices":[{"delta":{"content":"` + w + ` "}}]}` + "\n\n")
	}
	return b.String() + "data: [DONE]\n\n"
}

func wholeOf(text string) string { return `{"choices":[{"message":{"content":"` + text + `"}}]}` }

func TestClassify(t *testing.T) {
	post := &request{call: &Call{Name: "post", Service: "ledger"}, body: []byte("mine")}
	refusal := `{"error":{"code":"no-host"}}`
	for _, c := range []struct {
		name    string
		request *request
		status  int
		outcome string
		raw     string
		want    fate
		code    core.Code
	}{
		{"stream", testRequest(true), 200, "done", streamOf("r-1", "a", "r-1"), done, ""},
		{"whole", testRequest(false), 200, "done", wholeOf("r-1 a r-1"), done, ""},
		{"echo", post, 200, "done", `{"body":"mine"}`, done, ""},
		{"another caller's stream", testRequest(true), 200, "done", streamOf("r-2", "a", "r-2"), wrong, ""},
		{"another caller's answer", testRequest(false), 200, "done", wholeOf("r-2 a r-2"), wrong, ""},
		{"another caller's echo", post, 200, "done", `{"body":"yours"}`, wrong, ""},
		{"a token lost", testRequest(true), 200, "done", streamOf("r-1", "a"), wrong, ""},
		{"a token doubled", testRequest(true), 200, "done", streamOf("r-1", "a", "a"), wrong, ""},
		{"no end", testRequest(true), 200, "done", strings.TrimSuffix(streamOf("r-1", "a", "r-1"), "data: [DONE]\n\n"), wrong, ""},
		{"two answers", testRequest(true), 200, "done", streamOf("r-1", "a", "r-1") + streamOf("r-1"), wrong, ""},
		{"done with an error", testRequest(false), 502, "done", refusal, wrong, ""},
		{"refused", testRequest(true), 503, "not-run", refusal, refused, core.CodeNoHost},
		{"failed midway", testRequest(true), 200, "may-have-run", "data: {}\n\ndata: " + refusal + "\n\n", mayHaveRun, core.CodeNoHost},
		{"no outcome", testRequest(true), 200, "", streamOf("r-1", "a", "r-1"), unmarked, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := result{request: c.request}
			classify(&r, c.status, c.outcome, []byte(c.raw))
			assert.Equal(t, r.fate, c.want, "%s", r.note)
			assert.Equal(t, r.code, c.code)
			assert.Equal(t, r.fate.silent(), c.want == unmarked)
		})
	}
}

func TestFatesAddUp(t *testing.T) {
	r := &Report{Sent: 3, Fates: map[string]int{done.String(): 2}}
	assert.Equal(t, len(r.Faults()), 1)
	r.Fates[refused.String()] = 1
	assert.Equal(t, len(r.Faults()), 0)
	assert.Equal(t, r.AllDone(), false)
}
