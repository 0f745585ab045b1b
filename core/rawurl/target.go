package rawurl

import (
	"net/url"
	"strings"

	"radishwell/core"
)

// Target is a request's target as it was sent.
type Target string

// Read returns the target of a request. It refuses what can't be forwarded as it was sent.
func Read(target string) (Target, *core.Refusal) {
	t := Target(target)
	if t.URL("http", "").RequestURI() != target {
		return "", core.Refuse(core.CodeBadRequest, "the path has characters that have to be percent-encoded")
	}
	return t, nil
}

// URL returns a URL of a host. net/http writes t into the request line, unchanged if Read has
// returned t.
func (t Target) URL(scheme, host string) *url.URL {
	if !strings.HasPrefix(string(t), "//") {
		return &url.URL{Scheme: scheme, Host: host, Opaque: string(t)}
	}
	// url.URL takes an opaque part that begins with two slashes for a host and a path, and puts
	// the scheme before it.
	path, query, found := strings.Cut(string(t), "?")
	u := &url.URL{Scheme: scheme, Host: host, Path: path, RawPath: path, RawQuery: query, ForceQuery: found}
	if decoded, err := url.PathUnescape(path); err == nil {
		u.Path = decoded
	}
	return u
}
