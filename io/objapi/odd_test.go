package objapi

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/io/fakes/rawtcp"
)

// Guards against a malformed response that is read as a list: it may be another than the platform's.
func TestMalformedResponseIsNoList(t *testing.T) {
	list := `{"metadata":{"resourceVersion":"9"},"items":[]}`
	for _, head := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/9.9 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n", "HTTP/1.1 200 OK\r\nX Y: z\r\n"} {
		var s rawtcp.Server
		defer s.Close()
		at, err := s.Listen()
		assert.NilError(t, err)
		s.SetAnswers(rawtcp.Answer{Bytes: head + "\r\n" + list})
		c := &Client{Address: at}
		_, err = c.List(t.Context(), core.KindModel)
		assert.Assert(t, err != nil, "%q", head)
	}
}

// Guards against one object that is nested too deeply and keeps all others of its kind from being read.
func TestOddObjectHidesNoOthers(t *testing.T) {
	sound := func(name string) string {
		return `{"metadata":{"name":"` + name + `","resourceVersion":"2"},"spec":{}}`
	}
	for _, odd := range []string{
		`{"metadata":{"name":"odd","resourceVersion":"2"},"spec":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + `}`,
		`{"metadata":{"name":7,"resourceVersion":"2"},"spec":{}}`, `{"metadata":{"name":"odd"},"spec":{}}`, `[]`,
	} {
		web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"metadata":{"resourceVersion":"9"},"items":[`+sound("a")+","+odd+","+sound("z")+`]}`)
		}))
		defer web.Close()
		c := &Client{Address: web.Listener.Addr().(*net.TCPAddr).AddrPort()}
		list, err := c.List(t.Context(), core.KindModel)
		assert.NilError(t, err)
		assert.Equal(t, list.Version, core.Version(9))
		assert.Equal(t, len(list.Objects), 2)
	}
}
