package strict

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxSize is the size in bytes of the largest text that Parse accepts: the platform
// stores values of up to a megabyte, and settings files are smaller.
const MaxSize = 1 << 20

// maxDepth bounds the nesting of a document. The parser recurses once per level, and a
// stack overflow cannot be recovered from: a text of a million opening brackets would
// end the process. The deepest documents in use have five levels.
const maxDepth = 32

// maxIndent bounds the spaces at the start of a line, at eight per level.
const maxIndent = 8 * maxDepth

// The time that the parser takes grows with the square of the number of keys in a
// mapping, and with that of consecutive tags: a megabyte of either would block the
// process, and all other catalogue changes, for a minute. Within these bounds the worst
// text takes less than a second, and an owner may still have thousands of bearer keys.
const (
	// maxColons bounds the colons of a text and thereby its keys.
	maxColons = 16384
	// maxSpecial bounds the characters that mark tags, anchors and aliases.
	maxSpecial = 1024
)

// byteOrderMark is written to the start of files by some editors.
const byteOrderMark = "\ufeff"

// Position is a position in a file. Line and column count from one.
type Position struct{ Line, Column int }

// Document is one parsed YAML or JSON document.
type Document struct {
	// File is the name given to Parse.
	File string

	root      ast.Node
	offset    int    // number of lines of the file before the document
	prefix    string // key of a RawValue in the document that contains it
	positions map[string]Position
}

// Parse splits a text into its documents and parses each, so that a syntax error in
// one of them does not hide problems in the others. Documents without content are left
// out. Parse does not panic on any text.
func Parse(file string, text []byte) ([]*Document, Problems) {
	if len(text) > MaxSize {
		return nil, Problems{{File: file, Reason: "larger than " + strconv.Itoa(MaxSize) + " bytes"}}
	}
	if !utf8.Valid(text) {
		return nil, Problems{{File: file, Reason: "not UTF-8"}}
	}
	text = bytes.TrimPrefix(text, []byte(byteOrderMark))
	if tooManyKeys(text) {
		return nil, Problems{{File: file, Reason: "more than " + strconv.Itoa(maxColons) + " keys"}}
	}
	var docs []*Document
	var all Problems
	for _, p := range split(text) {
		doc, problems := parseSection(file, p)
		all = append(all, problems...)
		if doc != nil {
			docs = append(docs, doc)
		}
	}
	return docs, all
}

// tooManyKeys reports whether a text has more keys, tags, anchors or aliases than the
// parser can process in a reasonable time.
func tooManyKeys(text []byte) bool {
	special := 0
	for _, mark := range []string{"!", "&", "*"} {
		special += bytes.Count(text, []byte(mark))
	}
	return special > maxSpecial || bytes.Count(text, []byte(":")) > maxColons
}

// section is the text of one document of a file.
type section struct {
	text []byte
	// offset is the number of lines before the document.
	offset int
}

// split cuts a text at document markers. A marker is at the start of a line and cannot
// be part of a multi-line text, whose lines are indented.
func split(text []byte) []section {
	var parts []section
	var start, line, first int
	for at := 0; at < len(text); line++ {
		next := len(text)
		if i := bytes.IndexByte(text[at:], '\n'); i >= 0 {
			next = at + i + 1
		}
		if isMarker(text[at:next]) {
			parts = append(parts, section{text: text[start:at], offset: first})
			start, first = next, line+1
		}
		at = next
	}
	return append(parts, section{text: text[start:], offset: first})
}

func isMarker(line []byte) bool {
	rest, ok := bytes.CutPrefix(line, []byte("---"))
	if !ok {
		return false
	}
	rest = bytes.TrimSpace(rest)
	return len(rest) == 0 || rest[0] == '#'
}

func parseSection(file string, p section) (doc *Document, problems Problems) {
	doc = &Document{File: file, offset: p.offset, positions: map[string]Position{}}
	if line := tooDeep(p.text); line > 0 {
		return nil, Problems{doc.problemAt(Position{line, 1}, "", "nested more than "+strconv.Itoa(maxDepth)+" levels deep")}
	}
	// The YAML library parses untrusted text. If it panics, the text is refused like
	// any other syntax error, and the process continues with the version it has.
	defer func() {
		if recover() != nil {
			doc, problems = nil, Problems{{File: file, Line: p.offset + 1, Column: 1, Reason: "no readable YAML"}}
		}
	}()
	tree, err := parser.ParseBytes(p.text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, Problems{doc.syntaxProblem(err)}
	}
	return doc.setRoot(tree)
}

// setRoot sets the root to the only document of a parsed section. It returns nil if
// there is none.
func (d *Document) setRoot(tree *ast.File) (*Document, Problems) {
	for _, parsed := range tree.Docs {
		body := parsed.Body
		if body == nil || body.Type() == ast.CommentType {
			continue
		}
		if body.Type() == ast.DirectiveType {
			return nil, Problems{d.problem(body, "", "directives are not accepted")}
		}
		if d.root != nil {
			return nil, Problems{d.problem(body, "", "a second document without a line of three dashes above it")}
		}
		d.root = body
	}
	if d.root == nil {
		return nil, nil
	}
	return d, nil
}

func (d *Document) syntaxProblem(err error) Problem {
	var at Position
	reason := err.Error()
	var detail yaml.Error
	if errors.As(err, &detail) {
		at, reason = d.positionOfToken(detail), detail.GetMessage()
	}
	reason, _, _ = strings.Cut(reason, "\n")
	return d.problemAt(at, "", reason)
}

func (d *Document) positionOfToken(err yaml.Error) Position {
	tk := err.GetToken()
	if tk == nil || tk.Position == nil {
		return Position{Line: 1, Column: 1}
	}
	return Position{Line: tk.Position.Line, Column: tk.Position.Column}
}

// tooDeep returns the line at which a text exceeds maxDepth levels, or zero. It counts
// three things: open brackets, including those in quoted text, which errs on the safe
// side; the markers at the start of a line that open a level each; and indentation.
func tooDeep(text []byte) int {
	open := 0
	for i, line := range bytes.Split(text, []byte("\n")) {
		rest := bytes.TrimLeft(line, " ")
		if len(rest) > 0 && len(line)-len(rest) > maxIndent || leadingMarkers(rest) > maxDepth {
			return i + 1
		}
		for _, c := range line {
			switch {
			case c == '[' || c == '{':
				open++
			case (c == ']' || c == '}') && open > 0:
				open--
			}
			if open > maxDepth {
				return i + 1
			}
		}
	}
	return 0
}

// leadingMarkers counts the "- " and "? " at the start of a line, each of which opens a
// level.
func leadingMarkers(line []byte) int {
	n := 0
	for len(line) > 1 && (line[0] == '-' || line[0] == '?') && isBlank(line[1]) {
		line = bytes.TrimLeft(line[1:], " \t")
		n++
	}
	return n
}

func isBlank(c byte) bool { return c == ' ' || c == '\t' }
