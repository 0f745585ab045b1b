package proxy_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/io/fakes/rawtcp"
)

// answerBytes is a complete answer of an upstream, as it writes it.
type answerBytes struct {
	name string
	// head ends with the blank line of the final head. body is what follows.
	head, body string
	// content is what the body stands for.
	content string
	framing core.Framing
}

func (a *answerBytes) text() string { return a.head + a.body }

// chunked returns a text in chunks of two events each, without what follows the last one.
func chunked(text string) string {
	var out strings.Builder
	for len(text) > 0 {
		n := min(len(text), 2*len(eventsOf(1)))
		fmt.Fprintf(&out, "%x\r\n%s\r\n", n, text[:n])
		text = text[n:]
	}
	return out.String() + "0\r\n"
}

const signedFields = "X-Radishwell-Request-Id: {id}\r\nX-Radishwell-Server-Signature: s\r\n"

// answersOf returns complete answers with a content, one for each form of heads and framings.
func answersOf(content string) []answerBytes {
	fields := "Content-Type: text/event-stream\r\n" + signedFields
	length := fmt.Sprintf("Content-Length: %d\r\n", len(content))
	const chunks = "Transfer-Encoding: chunked\r\n"
	early := "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n" + signedFields + "Content-Length: 0\r\n\r\n"
	byLength := func(name, head string) answerBytes {
		return answerBytes{name: name, head: head + "\r\n", body: content, content: content, framing: core.FramedByLength}
	}
	byChunks := func(name, head, trailer string) answerBytes {
		return answerBytes{name: name, head: head + "\r\n", body: chunked(content) + trailer + "\r\n", content: content, framing: core.FramedByChunks}
	}
	unframed := func(name, head string) answerBytes {
		return answerBytes{name: name, head: head + "\r\n", body: content, content: content, framing: core.Unframed}
	}
	status, old := "HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n"
	return []answerBytes{
		byLength("length", status+length+fields),
		byLength("length at the end, HTTP/1.0", old+fields+length),
		byLength("length twice", status+length+fields+length),
		byLength("length, folded lines", status+"X-Folded: a\r\n b\r\n\tc\r\n"+fields+"X-Folded: d\r\n  \r\n"+length),
		byLength("length, bare LF", strings.ReplaceAll(status+length+fields, "\r\n", "\n")),
		byLength("length, after 100", "HTTP/1.1 100 Continue\r\n\r\n"+status+length+fields),
		byLength("length, after 102 and 103", "HTTP/1.1 102 Processing\r\n\r\n"+early+early+status+fields+length),
		byChunks("chunks", status+chunks+fields, ""),
		byChunks("chunks after a length", status+length+fields+chunks, ""),
		byChunks("chunks, after 103", early+status+fields+chunks, ""),
		byChunks("chunks with a trailer", status+chunks+fields, "X-Sum: 1\r\nX-More: 2\r\n"),
		byChunks("chunks with a trailer that is announced", status+"Trailer: X-Sum\r\n"+chunks+fields, "X-Sum: 1\r\n"),
		unframed("none", status+fields),
		unframed("none, HTTP/1.0", old+fields),
		unframed("none, bare LF", strings.ReplaceAll(old+fields, "\r\n", "\n")),
		unframed("none, after 103", early+status+fields),
	}
}

// rawRig is a proxy in front of one upstream that writes given bytes and stands for all hosts.
type rawRig struct {
	*rig
	upstream *rawtcp.Server
	// hosts are two of each service.
	hosts []fleet.Entry
	born  int64
}

func newRawRig(t testing.TB) *rawRig {
	t.Helper()
	r := &rawRig{rig: newRigWith(t, 1e6), upstream: &rawtcp.Server{IDField: "X-Radishwell-Request-Id"}}
	t.Cleanup(r.upstream.Close)
	for _, service := range []core.ServiceName{"plain", "plain", "llm", "llm"} {
		at, err := r.upstream.Listen()
		assert.NilError(t, err)
		e := fleet.Entry{
			ID: core.HostName(fmt.Sprint(service, at.Port())), Service: service, Address: at, Usable: true, DataCentre: "dc-1", Slots: 6,
		}
		if service == "llm" {
			e.Models = []core.HeldModel{{Model: "m"}}
		}
		r.hosts = append(r.hosts, e)
	}
	return r
}

// answer sets the answers to the next requests, to whichever host they go. The hosts start anew,
// so that no earlier failure counts.
func (r *rawRig) answer(answers ...rawtcp.Answer) {
	r.upstream.SetAnswers(answers...)
	r.born++
	r.Update(func(v *fleet.View, _ time.Time) {
		for _, e := range r.hosts {
			e.Born = r.born
			v.Apply(e)
		}
	})
}

// requestCount makes requests differ, so that none is taken for the cause of what befell another.
var requestCount atomic.Int64

// rawRequest returns the bytes of a caller's request.
func rawRequest(path, version, more string) string {
	return "POST " + path + strconv.FormatInt(requestCount.Add(1), 10) + " HTTP/" + version + "\r\nHost: a.example\r\nContent-Length: 2\r\n" +
		"X-Radishwell-Request-Id: q\r\nX-Radishwell-Model: m\r\n" + more + "\r\nhi"
}

// askRaw sends requests over one connection of a caller, and returns the replies.
func (r *rig) askRaw(t testing.TB, requests ...string) (out []rawtcp.Reply) {
	t.Helper()
	c, err := rawtcp.Dial(strings.TrimPrefix(r.url, "http://"))
	assert.NilError(t, err)
	defer c.Close()
	for _, request := range requests {
		a, err := c.Ask(http.MethodPost, request)
		assert.NilError(t, err)
		out = append(out, a)
	}
	return out
}

// wantNoSuccess checks that a reply does not look like an upstream's complete answer.
func wantNoSuccess(t testing.TB, a rawtcp.Reply, content string) {
	t.Helper()
	if a.Status == 0 {
		return
	}
	if a.Header.Get("X-Radishwell-Server-Signature") == "" {
		assert.Equal(t, a.Status, http.StatusBadGateway, "%+v", a)
		return
	}
	assert.Assert(t, !a.Whole, "%+v", a)
	assert.Assert(t, strings.HasPrefix(content, a.Body), "%+v", a)
}

// wantWhole checks that a reply is an upstream's complete answer.
func wantWhole(t testing.TB, a rawtcp.Reply, content string, framing core.Framing, version string) {
	t.Helper()
	assert.Assert(t, a.Whole, "%+v", a)
	assert.Equal(t, a.Status, http.StatusOK)
	assert.Equal(t, a.Body, content)
	assert.Equal(t, a.Header.Get("X-Radishwell-Server-Signature"), "s")
	assert.Assert(t, a.Framing != core.Unframed || framing == core.Unframed || version == "1.0")
	assert.Assert(t, a.Framing == core.Unframed || framing != core.Unframed)
}

// wantCutAnswer checks the reply to a request whose upstream wrote the first bytes of an answer.
func wantCutAnswer(t testing.TB, a rawtcp.Reply, whole *answerBytes, bytes int, reset bool, version string) {
	t.Helper()
	headless := bytes < len(whole.head)
	switch {
	case bytes == len(whole.text()) && !reset:
		wantWhole(t, a, whole.content, whole.framing, version)
	case bytes == len(whole.text()) && whole.framing != core.Unframed && a.Whole && a.Status == http.StatusOK:
		wantWhole(t, a, whole.content, whole.framing, version)
	case !headless && !reset && whole.framing == core.Unframed && a.Whole && a.Status == http.StatusOK:
		wantWhole(t, a, a.Body, core.Unframed, version)
		assert.Assert(t, strings.HasPrefix(whole.body[:bytes-len(whole.head)], a.Body), "%+v", a)
	default:
		wantNoSuccess(t, a, whole.content)
		assert.Assert(t, !headless || a.Header.Get("X-Radishwell-Server-Signature") == "", "%+v", a)
	}
}

// cutRoutes are routes of each kind.
var cutRoutes = []string{"/once/x", "/again/x", "/stream/x", "/resumed/x"}

// eachCut calls check with every step-th number of bytes after which an answer may be cut, and with
// routes, versions and ends in turn.
func eachCut(t *testing.T, step int, check func(t *testing.T, r *rawRig, whole *answerBytes, bytes int, path, version string, reset bool)) {
	for i, whole := range answersOf(eventsOf(4)) {
		t.Run(whole.name, func(t *testing.T) {
			t.Parallel()
			r := newRawRig(t)
			for n := i % step; n <= len(whole.text()); n += step {
				k := n/step + i
				path, version, reset := cutRoutes[k%4], []string{"1.1", "1.0"}[k/4%2], k/8%2 == 1
				t.Run(fmt.Sprintf("%d bytes%s HTTP %s reset %t", n, path, version, reset), func(t *testing.T) {
					check(t, r, &whole, n, path, version, reset)
				})
			}
		})
	}
}

// Guards against a success that looks whole although the upstream's answer broke off in its head or
// body, at the first host and at the second.
func TestCutAnswerIsNoSuccess(t *testing.T) {
	eachCut(t, 1, func(t *testing.T, r *rawRig, whole *answerBytes, bytes int, path, version string, reset bool) {
		r.answer(rawtcp.Answer{Bytes: whole.text()[:bytes], Reset: reset})
		wantCutAnswer(t, r.askRaw(t, rawRequest(path, version, ""))[0], whole, bytes, reset, version)
	})
}

// Guards against a retry, or the second request on a connection, that passes on a cut answer or
// loses a whole one.
func TestCutAnswerBesideWholeOne(t *testing.T) {
	eachCut(t, 3, func(t *testing.T, r *rawRig, whole *answerBytes, bytes int, path, version string, reset bool) {
		if bytes >= len(whole.head) {
			return // the caller may have a part of the answer, which no other host replaces
		}
		cut := rawtcp.Answer{Bytes: whole.text()[:bytes], Reset: reset}
		full := rawtcp.Answer{Bytes: whole.text(), Keep: whole.framing != core.Unframed}
		switch {
		case path == "/again/x" || path == "/resumed/x":
			r.answer(cut, full) // at another host
			wantWhole(t, r.askRaw(t, rawRequest(path, version, ""))[0], whole.content, whole.framing, version)
		case bytes/48%2 == 0 || whole.framing == core.Unframed:
			r.answer(full, cut) // on the caller's connection
			replies := r.askRaw(t, rawRequest(path, "1.1", ""), rawRequest(path, "1.1", ""))
			wantWhole(t, replies[0], whole.content, whole.framing, "1.1")
			wantNoSuccess(t, replies[1], "")
		default:
			r.answer(rawtcp.Answer{Bytes: whole.text() + whole.text()[:bytes], Reset: reset}) // on the upstream's connection
			if a := r.askRaw(t, rawRequest(path, version, ""))[0]; !reset || a.Status == http.StatusOK && a.Whole {
				wantWhole(t, a, whole.content, whole.framing, version)
			}
		}
	})
}

// Guards against a stream that looks whole although the host that went on with it broke off in its
// head.
func TestCutHeadOfContinuedStream(t *testing.T) {
	const begun = 2
	events := eventsOf(4)[len(eventsOf(begun)):]
	broken := rawtcp.Answer{Bytes: answersOf(eventsOf(4))[0].head + eventsOf(begun) + "id: 3\nda"}
	for i, second := range answersOf(events) {
		t.Run(second.name, func(t *testing.T) {
			t.Parallel()
			r := newRawRig(t)
			for n := i % 3; n < len(second.head); n += 3 {
				t.Run(fmt.Sprint(n, " bytes"), func(t *testing.T) {
					cut := rawtcp.Answer{Bytes: second.head[:n], Reset: n%2 == 1}
					r.answer(broken, cut)
					wantNoSuccess(t, r.askRaw(t, rawRequest("/resumed/x", "1.1", ""))[0], eventsOf(begun))
					assert.Equal(t, r.upstream.Requests(), 2)
					r.answer(cut)
					wantNoSuccess(t, r.askRaw(t, rawRequest("/stream/x", "1.1", fmt.Sprintf("Last-Event-Id: %d\r\n", begun)))[0], "")
				})
			}
			t.Run("whole", func(t *testing.T) {
				r.answer(broken, rawtcp.Answer{Bytes: second.text()})
				a := r.askRaw(t, rawRequest("/resumed/x", "1.1", ""))[0]
				assert.Equal(t, a.Body, eventsOf(4))
				assert.Equal(t, a.Whole, second.framing != core.Unframed)
			})
		})
	}
}

// wantSpoilt checks that answers are not passed on.
func wantSpoilt(t *testing.T, answers ...string) {
	t.Helper()
	r := newRawRig(t)
	for _, text := range answers {
		for _, path := range cutRoutes {
			t.Run(fmt.Sprintf("%.20q%s", text, path), func(t *testing.T) {
				r.answer(rawtcp.Answer{Bytes: text})
				a := r.askRaw(t, rawRequest(path, "1.1", ""))[0]
				assert.Equal(t, a.Status, http.StatusBadGateway, "%+v", a)
				wantNoSuccess(t, a, "")
			})
		}
	}
}

// Guards against an answer that ends with its connection and reaches its caller as whole: its status
// line names HTTP/2, whose frames would tell the end.
func TestAnswerOfOtherMajorVersionIsSpoilt(t *testing.T) {
	for _, version := range []string{"HTTP/2.0", "HTTP/3.0", "HTTP/0.9"} {
		wantSpoilt(t, version+" 200 OK\r\n"+signedFields+"\r\n"+eventsOf(2))
	}
}

// Guards against a status that is none of a final answer: 101 leaves the caller without an end, and
// net/http panics on one below 100.
func TestAnswerWithoutFinalStatusIsSpoilt(t *testing.T) {
	for _, status := range []string{"101", "000", "099", "+20", "600", "999"} {
		wantSpoilt(t, "HTTP/1.1 "+status+" Status\r\n"+signedFields+"Content-Length: 0\r\n\r\n")
	}
}

// malformedHeads are answers that net/http accepts and whose heads are none of HTTP/1.
func malformedHeads(fields string) (out []string) {
	for _, status := range []string{"HTTP/1.1 000 Trouble", "HTTP/1.1 099 Trouble", "HTTP/1.1 600 Trouble", "HTTP/1.1 999 Trouble", "HTTP/9.9 200 OK", "HTTP/9.9 503 Trouble"} {
		out = append(out, status+"\r\n"+fields+"\r\n")
	}
	for _, field := range []string{
		"X Y: z", "Content-Length : 0", "Content-Length : 3", "Transfer-Encoding : chunked", "X(Y): z", "X\xc3\xa9: z", "X-Y: a\x00b", "X-Y: a\x01b", "X-Y: a\x7fb", "X-Y: a\rb",
	} {
		for _, status := range []string{"200 OK", "503 Trouble"} {
			out = append(out, "HTTP/1.1 "+status+"\r\n"+fields+field+"\r\n\r\n")
		}
	}
	return out
}

// Guards against an answer with a field that is none of HTTP, which is passed on with that field, or
// with another body than the upstream's.
func TestAnswerWithMalformedHeadIsSpoilt(t *testing.T) {
	for _, text := range malformedHeads(signedFields) {
		wantSpoilt(t, text+eventsOf(2))
	}
}

// Guards against a trailer that is none of HTTP, of an answer that is passed on as whole.
func TestAnswerWithMalformedTrailerIsCut(t *testing.T) {
	r := newRawRig(t)
	for _, trailer := range []string{"X Y: z", "X-Y : z", "X-Y: a\x01b"} {
		for _, path := range cutRoutes {
			t.Run(fmt.Sprintf("%q%s", trailer, path), func(t *testing.T) {
				content := eventsOf(2)
				r.answer(rawtcp.Answer{Bytes: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + signedFields + "\r\n" + chunked(content) + trailer + "\r\n\r\n"})
				wantNoSuccess(t, r.askRaw(t, rawRequest(path, "1.1", ""))[0], content)
			})
		}
	}
}

// Guards against an unsafe request that is sent again and again, since heads that are none of HTTP are
// believed when they state that it did not run.
func TestMalformedHeadStatesNothing(t *testing.T) {
	r := newRawRig(t)
	for _, text := range malformedHeads(signedFields + "X-Radishwell-Not-Executed: 1\r\nServer-Leaving: 1\r\n") {
		t.Run(fmt.Sprintf("%.50q", text), func(t *testing.T) {
			r.answer(rawtcp.Answer{Bytes: text})
			a := r.askRaw(t, rawRequest("/once/x", "1.1", ""))[0]
			assert.Equal(t, a.Status, http.StatusBadGateway, "%+v", a)
			assert.Equal(t, r.upstream.Requests(), 1)
		})
	}
}

// Guards against an answer to HEAD that states an empty body: the length of what was read of it, which
// is nothing, was put over the upstream's.
func TestAnswerToHeadKeepsLength(t *testing.T) {
	r := newRawRig(t)
	for _, status := range []string{"200 OK", "500 Failed"} {
		for field, want := range map[string]string{"Content-Length: 14\r\n": "14", "Content-Length: 0\r\n": "0", "Transfer-Encoding: chunked\r\n": "", "": ""} {
			for _, path := range cutRoutes[:2] {
				t.Run(fmt.Sprintf("%s %.14q%s", status, field, path), func(t *testing.T) {
					r.answer(rawtcp.Answer{Bytes: "HTTP/1.1 " + status + "\r\n" + signedFields + field + "\r\n"})
					a := do(t, r.ask(t, http.MethodHead, path+strconv.FormatInt(requestCount.Add(1), 10), "q"))
					assert.Assert(t, !a.cut)
					assert.Equal(t, strconv.Itoa(a.status), status[:3])
					assert.Equal(t, a.header.Get("Content-Length"), want)
				})
			}
		}
	}
}
