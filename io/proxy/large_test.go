package proxy_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
)

// numberedLines returns a text of a size whose parts all differ.
func numberedLines(size int) string {
	var out strings.Builder
	for i := 0; out.Len() < size; i++ {
		fmt.Fprintf(&out, "line %d\n", i)
	}
	return out.String()[:size]
}

// Guards against answers that are larger than what is read ahead of them and come with their beginning twice, or
// without a part.
func TestLargeAnswerComesOnce(t *testing.T) {
	for _, size := range []int{1000, 1<<20 - 1, 1 << 20, 1<<20 + 1, 3 << 20} {
		for _, bound := range []core.Bytes{0, 64 << 10, 1 << 20} {
			for path, method := range map[string]string{"/again/x": http.MethodGet, "/once/x": http.MethodPost} {
				for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
					t.Run(fmt.Sprintf("%d bytes, bound %d, %s, status %d", size, bound, path, status), func(t *testing.T) {
						text := numberedLines(size)
						r := newBufferRig(t, bound, func(w http.ResponseWriter, req *http.Request) {
							sign(w, req)
							w.WriteHeader(status)
							_, _ = w.Write([]byte(text))
						})
						a := do(t, r.ask(t, method, path, "q"))
						wantStatus(t, a, status)
						assert.Assert(t, !a.cut && a.body == text, "%d bytes, cut %t", len(a.body), a.cut)
					})
				}
			}
		}
	}
}
