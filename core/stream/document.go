package stream

// Document is a place in a JSON document that is read in parts. The zero value is its beginning.
type Document struct {
	// depth is the number of objects and arrays that are open.
	depth int
	// inString is set inside a string, and escaped after a backslash there.
	inString, escaped bool
	// last is the last byte that is no white space.
	last byte
}

// Add advances the place over bytes of the document.
func (d *Document) Add(data []byte) {
	for _, b := range data {
		switch {
		case d.escaped:
			d.escaped = false
		case d.inString:
			d.escaped, d.inString = b == '\\', b != '"'
		case b == '"':
			d.inString = true
		case b == '{' || b == '[':
			d.depth++
		case b == '}' || b == ']':
			d.depth--
		}
		if b != ' ' && b != '\t' && b != '\r' && b != '\n' {
			d.last = b
		}
	}
}

// ObjectEnds reports whether the place is behind a whole object that is in no other value.
func (d *Document) ObjectEnds() bool { return d.depth == 0 && !d.inString && d.last == '}' }
