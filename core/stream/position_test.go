package stream_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core/stream"
)

func TestInsideEvent(t *testing.T) {
	for _, c := range []struct {
		text string
		want bool
	}{
		{"", false},
		{"id: 1\ndata: a\n\n", false},
		{"id: 1\r\ndata: a\r\n\r\n", false},
		{"data: a\r\r", false},
		{"data: a\n\n\n", false},
		{"data: a\n\n: waiting\n", false},
		{"i", true},
		{"id: 1\n", true},
		{"id: 1\r\n", true},
		{"id: 1\ndata: a", true},
		{"id: 1\ndata: a\n", true},
		{"id: 1\ndata: a\n: waiting\n", true},
		{"data: a\n\n: wait", true},
		{"data: a\n\nid: 2\n", true},
	} {
		t.Run(c.text, func(t *testing.T) {
			var whole, parts stream.Position
			whole.Add([]byte(c.text))
			for i := range c.text {
				parts.Add([]byte(c.text[i : i+1]))
			}
			assert.Equal(t, whole.InsideEvent(), c.want)
			assert.Equal(t, parts.InsideEvent(), c.want, "read byte by byte")
		})
	}
}

// split returns the events in a text that is read in pieces of a size, each behind its id and a bar, and the rest.
func split(text string, size int) (events []string, rest string) {
	var p stream.Position
	pending := ""
	for len(text) > 0 {
		piece := text[:min(size, len(text))]
		text = text[len(piece):]
		for len(piece) > 0 {
			n, ended := p.Next([]byte(piece))
			pending, piece = pending+piece[:n], piece[n:]
			if ended {
				events, pending = append(events, p.ID()+"|"+pending), ""
			}
		}
	}
	return events, pending
}

// Guards against events that depend on the pieces in which a stream is read: a piece of a line was taken for a line.
func TestEventsInPieces(t *testing.T) {
	for _, c := range []struct {
		name, text string
		events     []string
		rest       string
	}{
		{"line feeds", "id: 1\ndata: a\n\ndata: b\n\n", []string{"1|id: 1\ndata: a\n\n", "|data: b\n\n"}, ""},
		{"both", "id: 1\r\ndata: a\r\n\r\nid:2\r\n\r\n", []string{"1|id: 1\r\ndata: a\r\n\r\n", "2|id:2\r\n\r\n"}, ""},
		{"carriage returns", "id: 1\rdata: a\r\rid: 2\r\r", []string{"1|id: 1\rdata: a\r\r", "2|id: 2\r\r"}, ""},
		{"a blank line that ends otherwise than the lines before", "id: 1\r\n\rid: 2\n\r\nid: 3\r\r\n", []string{"1|id: 1\r\n\r", "2|id: 2\n\r", "3|\nid: 3\r\r"}, "\n"},
		{"what is no event", ": c\n\n\nversions: 2\n\ndata: a\n\n\n", []string{"|: c\n\n\nversions: 2\n\ndata: a\n\n"}, "\n"},
		{"fields in the middle of lines", "data: xxxid: 7\ndatax: data: y\n\n", []string{"|data: xxxid: 7\ndatax: data: y\n\n"}, ""},
		{"the last id", "id: 1\nid: " + longID + "\n\n", []string{longID + "|id: 1\nid: " + longID + "\n\n"}, ""},
		{"unfinished", "id: 1\n\nid: 2\ndata: a\n", []string{"1|id: 1\n\n"}, "id: 2\ndata: a\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for size := 1; size <= len(c.text); size++ {
				events, rest := split(c.text, size)
				assert.DeepEqual(t, events, c.events)
				assert.Equal(t, rest, c.rest)
			}
		})
	}
}

var longID = strings.Repeat("x7", 3000)

// Guards against the same for texts that nobody thought of.
func FuzzEventsInPieces(f *testing.F) {
	f.Add("id: 1\r\ndata: a\r\n\r\nid: 2\r\r", 3)
	f.Fuzz(func(t *testing.T, text string, size int) {
		if size < 1 || strings.Contains(text, "|") {
			return // a bar divides ids from events here
		}
		events, rest := split(text, size)
		whole, wholeRest := split(text, len(text))
		assert.DeepEqual(t, events, whole)
		assert.Equal(t, rest, wholeRest)
		joined := ""
		for _, e := range events {
			_, event, _ := strings.Cut(e, "|")
			joined += event
		}
		assert.Equal(t, joined+rest, text)
	})
}
