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
)

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
