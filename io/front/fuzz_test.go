package front

import (
	"net/http"
	"testing"

	"radishwell/core"
	"radishwell/core/rawurl"
)

func FuzzParseCompletion(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"x"}]}`, `{"model":"m","prompt":"x","stream":true}`,
		`{}`, `[]`, `{"model":1}`, `{"model":"m","messages":[null]}`, `{"model":"m","prompt":null}`,
	} {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	header := http.Header{"Content-Type": {"application/json"}}
	f.Fuzz(func(t *testing.T, raw []byte, chat bool) {
		b, refusal := parseCompletion(header, raw, chat)
		if refusal == nil && b.model == "" {
			t.Error("accepted without a model")
		}
		if refusal != nil && (refusal.Code != core.CodeBadRequest || refusal.Outcome != core.NotRun) {
			t.Errorf("refused with %v", refusal)
		}
	})
}

func FuzzSplitServiceTarget(f *testing.F) {
	for _, seed := range []string{"/services/a/b", "/services/", "/services//x", "/services/a", "/services/a//b", "/services/a?b/c", "/services/?a"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, target string) {
		name, below, ok := splitServiceTarget(rawurl.Target(target))
		if ok && (name == "" || below == "" || below[0] != '/') {
			t.Errorf("%q gives %q and %q", target, name, below)
		}
	})
}
