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

// Read returns the target of a request. It refuses what cannot be matched and forwarded as sent:
// the other forms of a target, and those that servers read in different ways.
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
	case hasDotSegment(t.Path()):
		return "", core.Refuse(core.CodeBadRequest, "the path has a segment of dots")
	case t.URL("http", "").RequestURI() != target:
		return "", core.Refuse(core.CodeBadRequest, "the path has characters that have to be percent-encoded")
	}
	return t, nil
}

// hasDotSegment reports whether a path has a segment that is "." or "..", which servers resolve
// before or after they decode the path, or not at all.
func hasDotSegment(path string) bool {
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return false // no server decodes it
	}
	for segment := range strings.SplitSeq(decoded, "/") {
		segment, _, _ = strings.Cut(segment, ";") // some servers read parameters of segments
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// Path returns the part of the target before the first question mark.
func (t Target) Path() string {
	path, _, _ := strings.Cut(string(t), "?")
	return path
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

// Normal returns a path as servers read it that decode it and merge slashes.
func Normal(path string) string {
	if decoded, err := url.PathUnescape(path); err == nil {
		path = decoded
	}
	for strings.Contains(path, "//") {
		path = strings.ReplaceAll(path, "//", "/")
	}
	return path
}
