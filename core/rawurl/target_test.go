package rawurl_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/rawurl"
)

func TestPath(t *testing.T) {
	for target, want := range map[string]string{
		"/": "/", "/a/b?c": "/a/b", "/a?": "/a", "/a?b?c/": "/a", "//a%3Fb?c": "//a%3Fb", "/?": "/",
	} {
		t.Run(target, func(t *testing.T) {
			got, refusal := rawurl.Read("GET", target)
			assert.Assert(t, refusal == nil)
			assert.Equal(t, got.Path(), want)
		})
	}
}

func TestNormal(t *testing.T) {
	for path, want := range map[string]string{
		"/a/b": "/a/b", "//a///b//": "/a/b/", "/%61%2Fb": "/a/b", "/%2F%2f/": "/", "/%2561": "/%61", "/%c3%A9": "/é", "/%zz//": "/%zz/",
	} {
		t.Run(path, func(t *testing.T) { assert.Equal(t, rawurl.Normal(path), want) })
	}
}

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
