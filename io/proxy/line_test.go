package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/io/fakes/rawtcp"
)

// lineEnds are the line ends of event streams, by name.
var lineEnds = map[string]string{"LF": "\n", "CR LF": "\r\n", "CR": "\r"}

// longEvent returns an event whose first line of data has a length without its end. The text that begins every 4,096
// bytes of it looks like an id.
func longEvent(id, length int, end string) string {
	line := make([]byte, 0, length)
	for len(line) < length {
		line = append(line, "id: 99 "[len(line)%4096%7])
	}
	copy(line, "data: ")
	return fmt.Sprintf("id: %d%s%s%sdata: more%sdata: of %d%s%s", id, end, line, end, end, id, end, end)
}

// Guards against events that are joined or lost at a continuation, since a piece of a long line was taken for a
// line: its end for a blank line, or its middle for a field.
func TestLongLineJoinsNoEvents(t *testing.T) {
	for name, end := range lineEnds {
		for _, length := range []int{100, 4089, 4095, 4096, 4097, 5000, 8191, 8192, 12288} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, length), func(t *testing.T) {
				t.Parallel()
				r := newRawRig(t)
				first, second := longEvent(1, length, end), longEvent(2, length, end)
				rest := second + longEvent(3, length, end)
				whole, goesOn := answersOf(first + rest)[0], answersOf(rest)[0]
				idLine := len("id: 2" + end)
				for _, cut := range []int{1, idLine, idLine + 4096, idLine + length, idLine + length + len(end), len(second) - len(end) - 1} {
					if cut >= len(second)-len(end) {
						continue
					}
					r.answer(rawtcp.Answer{Bytes: whole.head + first + second[:cut]}, rawtcp.Answer{Bytes: goesOn.text()})
					wantWhole(t, r.askRaw(t, rawRequest("/resumed/x", "1.1", ""))[0], first+rest, core.FramedByChunks, "1.1")
					assert.Equal(t, r.upstream.Requests(), 2, "cut after %d bytes", cut)
				}
			})
		}
	}
}

// Guards against an event that waits for the next one since more has arrived than itself.
func TestEventIsFlushedBeforeLinesOfNone(t *testing.T) {
	for name, end := range lineEnds {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			event := strings.ReplaceAll(eventsOf(1), "\n", end)
			text := event + end + end + ": comment" + end + end
			r.addEndless(t, "llm", "e-1", &endless{beginning: fmt.Sprintf("%s%x\r\n%s\r\n", chunkedHead, len(text), text), piece: "1\r\n:\r\n", pause: 20 * time.Millisecond})
			began := time.Now()
			resp, err := http.DefaultClient.Do(r.askStream(t, "/stream/x", "q"))
			assert.NilError(t, err)
			defer resp.Body.Close()
			got := make([]byte, len(event))
			_, err = io.ReadFull(resp.Body, got)
			assert.NilError(t, err)
			assert.Equal(t, string(got), event)
			wantSoon(t, began)
		})
	}
}
