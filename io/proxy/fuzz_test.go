package proxy_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"radishwell/core"
	"radishwell/io/fakes/rawtcp"
)

// strictAnswer is what a strict reader takes from an upstream's bytes.
type strictAnswer struct {
	// minor is that of the HTTP version.
	minor   int
	status  int
	fields  map[string][]string
	body    string
	framing core.Framing
	// whole is set if the bytes hold the answer to its end, as far as the framing tells.
	whole bool
}

// cutLine returns the first line of a text without its end, and what follows.
func cutLine(text string) (line, rest string, ok bool) {
	line, rest, ok = strings.Cut(text, "\n")
	return strings.TrimSuffix(line, "\r"), rest, ok
}

// readHead reads a status line and fields to the blank line.
func readHead(text string) (a strictAnswer, rest string, ok bool) {
	line, rest, ok := cutLine(text)
	if !ok || len(line) < len("HTTP/1.1 200") || !strings.HasPrefix(line, "HTTP/1.") || line[8] != ' ' {
		return a, "", false
	}
	var err error
	if a.status, err = strconv.Atoi(strings.TrimSpace(line[9:12])); err != nil {
		return a, "", false
	}
	a.minor = int(line[7] - '0')
	a.fields = map[string][]string{}
	last := ""
	for {
		if line, rest, ok = cutLine(rest); !ok {
			return a, "", false
		}
		name, value, isField := strings.Cut(line, ":")
		switch {
		case line == "":
			return a, rest, true
		case line[0] == ' ' || line[0] == '\t':
			if values := a.fields[last]; len(values) > 0 {
				values[len(values)-1] = strings.Trim(values[len(values)-1]+" "+strings.Trim(line, " \t"), " \t")
			}
		case isField:
			last = http.CanonicalHeaderKey(name)
			a.fields[last] = append(a.fields[last], strings.Trim(value, " \t"))
		default:
			return a, "", false
		}
	}
}

// readStrictly reads the final answer to a POST. ok is set if its head ends with a blank line.
func readStrictly(text string) (a strictAnswer, ok bool) {
	for {
		if a, text, ok = readHead(text); !ok {
			return a, false
		}
		if a.status >= 200 || a.status == http.StatusSwitchingProtocols {
			break
		}
	}
	lengths := a.fields["Content-Length"]
	switch {
	case a.status == http.StatusNoContent || a.status == http.StatusNotModified:
		a.framing, a.whole = core.FramedByLength, true
	case len(a.fields["Transfer-Encoding"]) > 0 && a.minor > 0: // HTTP/1.0 has no chunks
		a.framing = core.FramedByChunks
		a.body, a.whole = readChunks(text)
	case len(lengths) > 0:
		n, err := strconv.ParseInt(lengths[0], 10, 63)
		a.framing, a.whole = core.FramedByLength, err == nil && int64(len(text)) >= n
		a.body = text
		if a.whole {
			a.body = text[:n]
		}
	default:
		a.framing, a.body, a.whole = core.Unframed, text, true
	}
	return a, true
}

// readChunks reads chunks to the blank line behind the last one and its trailer.
func readChunks(text string) (body string, whole bool) {
	for {
		line, rest, ok := cutLine(text)
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseInt(strings.TrimRight(size, " \t"), 16, 63)
		switch {
		case !ok || err != nil:
			return body, false
		case n == 0:
			for ok {
				if line, rest, ok = cutLine(rest); ok && line == "" {
					return body, true
				}
			}
			return body, false
		case int64(len(rest)) < n:
			return body + rest, false
		}
		body += rest[:n]
		if line, text, ok = cutLine(rest[n:]); !ok || line != "" {
			return body, false
		}
	}
}

// FuzzUpstreamAnswer has an upstream write any bytes around the fields that sign an answer, up to a
// cut, and checks that a caller gets no complete answer that a strict reader does not find in them.
func FuzzUpstreamAnswer(f *testing.F) {
	add := func(text string, cut int, variant uint8) {
		if at := strings.LastIndex(text, signedFields); at >= 0 {
			f.Add(text[:at], text[at+len(signedFields):], uint16(cut), variant)
		}
	}
	for i, a := range answersOf(eventsOf(2)) {
		for j, n := range []int{len(a.text()), len(a.text()) - 1, len(a.head), len(a.head) - 1} {
			add(a.text(), n, uint8(i+j))
		}
	}
	for _, head := range []string{
		"HTTP/2.0 200 OK\r\n", "HTTP/1.1 101 Switching\r\n", "HTTP/1.1 000 None\r\n", "HTTP/1.1 204 None\r\nContent-Length: 5\r\n",
		"HTTP/1.1 304 Same\r\nContent-Length: 5\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 2\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n 5\r\n", "HTTP/1.1 500 Failed\r\nContent-Length: 5\r\n",
	} {
		text := head + signedFields + "\r\nhello"
		add(text, len(text), 0)
	}
	r := newRawRig(f) // one for all inputs, since it takes longer than a request
	f.Fuzz(func(t *testing.T, before, after string, cut uint16, variant uint8) {
		text := before + signedFields + after
		text = text[:min(len(text), int(cut))]
		path := cutRoutes[variant%4]
		version := []string{"1.1", "1.0"}[variant/4%2]
		r.answer(rawtcp.Answer{Bytes: text, Reset: variant/8%2 == 1})
		a := r.askRaw(t, rawRequest(path, version, ""))[0]
		if a.Status == 0 || a.Header.Get("X-Radishwell-Server-Signature") == "" || !a.Whole {
			return
		}
		want, ok := readStrictly(strings.ReplaceAll(text, "{id}", "q"))
		switch {
		case !ok:
			t.Fatalf("an answer came from a head without end: %+v", a)
		case a.Status != want.status || want.status < http.StatusOK:
			t.Fatalf("status %d is passed on as %d", want.status, a.Status)
		case !want.whole:
			t.Fatalf("an answer that broke off is passed on as whole: %+v", a)
		case want.framing == core.Unframed && a.Framing != core.Unframed:
			t.Fatalf("an unframed answer is passed on with framing: %+v", a)
		case a.Body != want.body && !(want.framing == core.Unframed && strings.HasPrefix(want.body, a.Body)):
			t.Fatalf("the body %q is passed on as %q", want.body, a.Body)
		}
	})
}
