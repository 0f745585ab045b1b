package strict

import (
	"reflect"

	"github.com/goccy/go-yaml/ast"
)

// Part is a value of a document whose shape another key decides, such as the
// spec of an entry by its kind. A struct field of this type takes any value.
type Part struct {
	doc  *Document
	root ast.Node
	key  string
}

var partType = reflect.TypeFor[Part]()

// Document returns the part as a document of its own: keys given to Has and
// Problem start at the part, those in problems at the whole document.
func (p Part) Document() *Document {
	return &Document{
		File:   p.doc.File,
		root:   p.root,
		offset: p.doc.offset,
		prefix: p.key,
		places: map[string]Place{},
	}
}

// Given tells whether the part was in the document.
func (p Part) Given() bool { return p.doc != nil }
