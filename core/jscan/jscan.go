package jscan

import (
	"bytes"
	"encoding/json"
)

// Scanner moves over the values of a JSON text without looking into them.
type Scanner struct {
	Text []byte
	// At is the index of the next character.
	At int
}

// Space moves over white space.
func (s *Scanner) Space() {
	for s.At < len(s.Text) && (s.Text[s.At] == ' ' || s.Text[s.At] == '\n' || s.Text[s.At] == '\t' || s.Text[s.At] == '\r') {
		s.At++
	}
}

// Take moves over white space and a character, and reports whether it was next.
func (s *Scanner) Take(c byte) bool {
	s.Space()
	if s.At >= len(s.Text) || s.Text[s.At] != c {
		return false
	}
	s.At++
	return true
}

// Value moves over white space and the next value, and reports whether there was one.
func (s *Scanner) Value() bool {
	s.Space()
	depth, begin := 0, s.At
	for s.At < len(s.Text) {
		switch c := s.Text[s.At]; c {
		case '"':
			if !s.quoted() {
				return false
			}
			if depth == 0 {
				return true
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return s.At > begin
			}
			if depth--; depth == 0 {
				s.At++
				return true
			}
		case ',', ':', ' ', '\n', '\t', '\r':
			if depth == 0 {
				return s.At > begin
			}
		}
		s.At++
	}
	return false
}

// quoted moves over a string.
func (s *Scanner) quoted() bool {
	s.At++
	for {
		i := bytes.IndexByte(s.Text[s.At:], '"')
		if i < 0 {
			return false
		}
		s.At += i + 1
		slashes := 0
		for s.Text[s.At-2-slashes] == '\\' {
			slashes++
		}
		if slashes%2 == 0 {
			return true
		}
	}
}

// Fields returns the texts of the values of an object by their names. It reports false if the text is no
// object.
func Fields(text []byte) (map[string][]byte, bool) {
	s := Scanner{Text: text}
	if !s.Take('{') {
		return nil, false
	}
	out := map[string][]byte{}
	for first := true; !s.Take('}'); first = false {
		if !first && !s.Take(',') {
			return nil, false
		}
		key, ok := s.next()
		if !ok || !s.Take(':') {
			return nil, false
		}
		value, ok := s.next()
		if !ok {
			return nil, false
		}
		var name string
		if json.Unmarshal(key, &name) != nil {
			return nil, false
		}
		out[name] = value
	}
	return out, s.atEnd()
}

// Items returns the texts of the values of an array. It reports false if the text is no array.
func Items(text []byte) ([][]byte, bool) {
	s := Scanner{Text: text}
	if !s.Take('[') {
		return nil, false
	}
	var out [][]byte
	for !s.Take(']') {
		if len(out) > 0 && !s.Take(',') {
			return nil, false
		}
		item, ok := s.next()
		if !ok {
			return nil, false
		}
		out = append(out, item)
	}
	return out, s.atEnd()
}

// next moves over the next value and returns its text.
func (s *Scanner) next() ([]byte, bool) {
	s.Space()
	from := s.At
	if !s.Value() {
		return nil, false
	}
	return s.Text[from:s.At], true
}

func (s *Scanner) atEnd() bool {
	s.Space()
	return s.At == len(s.Text)
}
