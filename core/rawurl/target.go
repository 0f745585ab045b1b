package rawurl

import (
	"net/url"
	"strings"
	"unicode/utf8"

	"radishwell/core"
)

// Target is a request's target in origin form (RFC 9112, section 3.2.1), as it was sent: a path
// that begins with a slash, and what follows it from the first question mark on.
type Target string

// Read returns the target of a request. It refuses the other forms of a target, and what can't be
// forwarded as it was sent or is read in different ways by servers.
func Read(method, target string) (Target, *core.Refusal) {
	t := Target(target)
	switch {
	case method == "CONNECT" || !strings.HasPrefix(target, "/"):
		// net/http drops the Host header for an absolute target, so the two can't be compared.
		return "", core.Refuse(core.CodeBadRequest, "the target has to be a path, without scheme and host")
	case strings.Contains(target, "#"):
		return "", core.Refuse(core.CodeBadRequest, "the target has a fragment")
	case !utf8.ValidString(target):
		return "", core.Refuse(core.CodeBadRequest, "the target is not in UTF-8")
	case t.URL("http", "").RequestURI() != target:
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
