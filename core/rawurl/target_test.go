package rawurl_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/rawurl"
)

// Guards against targets that net/http writes otherwise than they were sent.
func FuzzRead(f *testing.F) {
	for _, target := range []string{"/", "//a/b", "//a|b", "/a%zz", "//a%2Fb?", "/a/%2e%2e", "*", "http://a/", "/#", "/\xff"} {
		f.Add("GET", target)
	}
	f.Fuzz(func(t *testing.T, method, target string) {
		got, refusal := rawurl.Read(method, target)
		if refusal != nil {
			assert.Equal(t, refusal.Code, core.CodeBadRequest)
			assert.Equal(t, refusal.Outcome, core.NotRun)
			return
		}
		u := got.URL("http", "127.0.0.1:1")
		assert.Equal(t, u.RequestURI(), target)
		assert.Equal(t, u.Host, "127.0.0.1:1")
	})
}
