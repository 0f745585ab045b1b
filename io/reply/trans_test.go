package reply_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/io/reply"
)

// Guards against a malformed response that one of the readers of responses takes for one.
func TestMalformedHeadIsAnError(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	texts := make(chan string, 1)
	go func() { // it ends with the listener
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4<<10))
			_, _ = io.WriteString(conn, <-texts)
			_ = conn.Close()
		}
	}()
	defer lis.Close()
	client := reply.NewClient(&http.Transport{DisableKeepAlives: true})
	for text, sound := range map[string]bool{
		"HTTP/1.1 200 OK\r\nX-Y: a\tb \xe9\r\nx.y: z\r\nContent-Length: 0\r\n\r\n": true,
		"HTTP/1.0 599 Odd\r\n\r\n":                        true,
		"HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n":   false,
		"HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n":   false,
		"HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n":    false,
		"HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n":   false,
		"HTTP/1.1 200 OK\r\nX Y: 0\r\n\r\n":               false,
		"HTTP/1.1 200 OK\r\nX-Y: a\x00\r\n\r\n":           false,
		"HTTP/1.1 200 OK\r\nX/Y: a\r\n\r\n":               false,
		"HTTP/1.1 200 OK\r\nX-Y: a\r\nX-Y: a\x7f\r\n\r\n": false,
	} {
		t.Run(fmt.Sprintf("%q", text), func(t *testing.T) {
			texts <- text
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+lis.Addr().String()+"/", nil)
			assert.NilError(t, err)
			resp, err := client.Do(req)
			if err == nil {
				defer resp.Body.Close()
				_, err = io.Copy(io.Discard, resp.Body)
			}
			assert.Equal(t, err == nil, sound, "%v", err)
		})
	}
}
