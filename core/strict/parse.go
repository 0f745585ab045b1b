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

// MaxSize is the largest text that Parse reads: the platform holds values up to
// a megabyte, and settings are smaller still.
const MaxSize = 1 << 20

// maxDepth bounds the nesting of a document. The parser recurses once a level,
// and running out of stack cannot be recovered from: a text of a million opening
// brackets would end the process. Our deepest document has five levels.
const maxDepth = 32

// maxIndent bounds the spaces at the start of a line, at eight a level.
const maxIndent = 8 * maxDepth

// The parser's time grows with the square of the keys in a mapping, and of the
// tags in a row: a megabyte of either would hold a process up for a minute, with
// all other catalogue changes behind it. Within these bounds the worst text takes
// under a second; an owner may still have thousands of bearer keys.
const (
	maxColons  = 16384
	maxSpecial = 1024
)

// byteOrderMark is what some editors put at the start of a file.
const byteOrderMark = "\ufeff"

// Place is a position in a file; both parts count from one.
type Place struct{ Line, Column int }

// Document is one parsed YAML or JSON document.
type Document struct {
	// File is the name given to Parse.
	File string

	root   ast.Node
	offset int    // lines of the file above the document
	prefix string // the key under which a Part stands in its document
	places map[string]Place
}

// Parse splits a text into its documents and parses each, so that a fault of
// syntax in one of them hides no faults in the others. Documents without content
// are left out. Parse never panics, whatever the text.
func Parse(file string, text []byte) ([]*Document, Problems) {
	if len(text) > MaxSize {
		return nil, Problems{{File: file, Reason: "larger than " + strconv.Itoa(MaxSize) + " bytes"}}
	}
	if !utf8.Valid(text) {
		return nil, Problems{{File: file, Reason: "not UTF-8"}}
	}
	text = bytes.TrimPrefix(text, []byte(byteOrderMark))
	if tooMany(text) {
		return nil, Problems{{File: file, Reason: "more than " + strconv.Itoa(maxColons) + " keys"}}
	}
	var docs []*Document
	var all Problems
	for _, p := range split(text) {
		doc, problems := parsePart(file, p)
		all = append(all, problems...)
		if doc != nil {
			docs = append(docs, doc)
		}
	}
	return docs, all
}

// tooMany tells whether a text holds more keys or tags than the parser can take in
// a reasonable time.
func tooMany(text []byte) bool {
	special := 0
	for _, mark := range []string{"!", "&", "*"} {
		special += bytes.Count(text, []byte(mark))
	}
	return special > maxSpecial || bytes.Count(text, []byte(":")) > maxColons
}

// part is the text of one document and how many lines are above it.
type part struct {
	text   []byte
	offset int
}

// split cuts a text at document markers. A marker stands at the start of a line,
// where no multi-line text can reach, since its lines are indented.
func split(text []byte) []part {
	var parts []part
	var start, line, first int
	for at := 0; at < len(text); line++ {
		next := len(text)
		if i := bytes.IndexByte(text[at:], '\n'); i >= 0 {
			next = at + i + 1
		}
		if isMarker(text[at:next]) {
			parts = append(parts, part{text: text[start:at], offset: first})
			start, first = next, line+1
		}
		at = next
	}
	return append(parts, part{text: text[start:], offset: first})
}

func isMarker(line []byte) bool {
	rest, ok := bytes.CutPrefix(line, []byte("---"))
	if !ok {
		return false
	}
	rest = bytes.TrimSpace(rest)
	return len(rest) == 0 || rest[0] == '#'
}

func parsePart(file string, p part) (doc *Document, problems Problems) {
	doc = &Document{File: file, offset: p.offset, places: map[string]Place{}}
	if line := tooDeep(p.text); line > 0 {
		return nil, Problems{doc.problemAt(Place{line, 1}, "", "nested more than "+strconv.Itoa(maxDepth)+" levels deep")}
	}
	// The parser is a library's, fed with text from outside. Should it panic on
	// some text, that text is refused like any other fault of syntax, and the
	// process goes on with the version it has.
	defer func() {
		if recover() != nil {
			doc, problems = nil, Problems{{File: file, Line: p.offset + 1, Column: 1, Reason: "no readable YAML"}}
		}
	}()
	tree, err := parser.ParseBytes(p.text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, Problems{doc.syntaxProblem(err)}
	}
	return doc.settle(tree)
}

// settle takes the one document out of a parsed part.
func (d *Document) settle(tree *ast.File) (*Document, Problems) {
	for _, one := range tree.Docs {
		body := one.Body
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
	var at Place
	reason := err.Error()
	var detail yaml.Error
	if errors.As(err, &detail) {
		at, reason = d.placeOfToken(detail), detail.GetMessage()
	}
	reason, _, _ = strings.Cut(reason, "\n")
	return d.problemAt(at, "", reason)
}

func (d *Document) placeOfToken(err yaml.Error) Place {
	tk := err.GetToken()
	if tk == nil || tk.Position == nil {
		return Place{Line: 1, Column: 1}
	}
	return Place{Line: tk.Position.Line, Column: tk.Position.Column}
}

// tooDeep returns the line at which a text opens more levels than maxDepth, or
// zero. It counts brackets, in quoted text too, which errs on the safe side; the
// marks at the start of a line that open a level each; and indentation.
func tooDeep(text []byte) int {
	open := 0
	for i, line := range bytes.Split(text, []byte("\n")) {
		rest := bytes.TrimLeft(line, " ")
		if len(rest) > 0 && len(line)-len(rest) > maxIndent || leadingMarks(rest) > maxDepth {
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

// leadingMarks counts the "- " and "? " at the start of a line, each of which
// opens a level.
func leadingMarks(line []byte) int {
	n := 0
	for len(line) > 1 && (line[0] == '-' || line[0] == '?') && isBlank(line[1]) {
		line = bytes.TrimLeft(line[1:], " \t")
		n++
	}
	return n
}

func isBlank(c byte) bool { return c == ' ' || c == '\t' }
