package stream

// Position is a place in a stream of server-sent events. The zero value is its beginning.
type Position struct {
	// open is set if fields of an event have been read and the blank line that ends it has
	// not.
	open bool
	// inLine is set after the first byte of a line, and comment if that is a colon.
	inLine, comment bool
	// afterCR is set after a carriage return, which ends a line with the line feed that may
	// follow it.
	afterCR bool
}

// Add advances the position over bytes of the stream.
func (p *Position) Add(data []byte) {
	for _, b := range data {
		if b == '\n' && p.afterCR {
			p.afterCR = false
			continue
		}
		p.afterCR = b == '\r'
		switch {
		case b == '\n' || b == '\r':
			p.endLine()
		case !p.inLine:
			p.inLine, p.comment = true, b == ':'
		}
	}
}

func (p *Position) endLine() {
	switch {
	case !p.inLine:
		p.open = false
	case !p.comment:
		p.open = true
	}
	p.inLine, p.comment = false, false
}

// InsideEvent reports whether the position is inside an event or a line.
func (p *Position) InsideEvent() bool { return p.open || p.inLine }
