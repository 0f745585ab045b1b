package stream

import "bytes"

// Position is a place in a stream of server-sent events that is read in parts of any size. Lines end
// with a line feed, a carriage return, or both. The zero value is its beginning.
type Position struct {
	// open is set if fields of an event have been read and the blank line that ends it has
	// not. isEvent is set if one of them makes it an event.
	open, isEvent bool
	// inLine is set after the first byte of a line. line is its beginning, or all of an id.
	inLine bool
	line   []byte
	// id is the last id since the end of an event, and endedID that of the event that ended last.
	id, endedID string
	// afterCR is set after a carriage return, which ends a line with the line feed that may
	// follow it. pairs is set if the last line whose end is known ended with both.
	afterCR, pairs bool
	// awaitsLF is set after the carriage return of a blank line that ends an event, if a line feed
	// should follow.
	awaitsLF bool
}

// keptBytes is how much of a line tells which field it is.
const keptBytes = len("event:")

var idField = []byte("id:")

// Next advances the position over bytes of the stream, to the end of the first event that ends in
// them. It returns the number of bytes that it has read, and whether an event has ended.
//
// A blank line ends an event only if one of the fields data, id and event was there: what is no event
// goes with the next one.
func (p *Position) Next(data []byte) (n int, ended bool) {
	for i, b := range data {
		if p.afterCR {
			p.afterCR, p.pairs = false, b == '\n'
			awaited := p.awaitsLF
			p.awaitsLF = false
			switch {
			case awaited && !p.pairs:
				return i, true
			case awaited:
				return i + 1, true
			case p.pairs:
				continue
			}
		}
		switch b {
		case '\n':
			p.pairs = false
			if p.endLine() {
				return i + 1, true
			}
		case '\r':
			p.afterCR = true
			if !p.endLine() {
				continue
			}
			if !p.pairs {
				return i + 1, true
			}
			p.awaitsLF = true
		default:
			p.inLine = true
			if len(p.line) < keptBytes || bytes.HasPrefix(p.line, idField) {
				p.line = append(p.line, b)
			}
		}
	}
	return len(data), false
}

// endLine ends a line, and reports whether an event ends with it.
func (p *Position) endLine() (ended bool) {
	switch {
	case !p.inLine:
		ended, p.open = p.isEvent, false
	case p.line[0] != ':':
		p.open = true
		p.isEvent = p.isEvent || IsEventField(p.line)
		if id, ok := bytes.CutPrefix(p.line, idField); ok {
			p.id = string(bytes.TrimSpace(id))
		}
	}
	p.inLine, p.line = false, p.line[:0]
	if ended {
		p.endedID, p.id, p.isEvent = p.id, "", false
	}
	return ended
}

// Add advances the position over bytes of the stream.
func (p *Position) Add(data []byte) {
	for len(data) > 0 {
		n, _ := p.Next(data)
		data = data[n:]
	}
}

// ID returns the id of the event that ended last, empty if it has none.
func (p *Position) ID() string { return p.endedID }

// InsideEvent reports whether the position is inside an event or a line.
func (p *Position) InsideEvent() bool { return p.open || p.inLine }
