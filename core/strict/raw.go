package strict

import (
	"reflect"

	"github.com/goccy/go-yaml/ast"
)

// RawValue is a part of a document that is decoded later, because another key
// determines its type, as the kind of an entry does for its spec. A struct field of
// this type accepts any value.
type RawValue struct {
	doc  *Document
	root ast.Node
	key  string
}

var rawValueType = reflect.TypeFor[RawValue]()

// Document returns the value as a document of its own. Keys passed to Has and Problem
// are relative to the value; keys in problems are relative to the whole document.
func (p RawValue) Document() *Document {
	return &Document{
		File:      p.doc.File,
		root:      p.root,
		offset:    p.doc.offset,
		prefix:    p.key,
		positions: map[string]Position{},
	}
}

// IsSet reports whether the document contains the value.
func (p RawValue) IsSet() bool { return p.doc != nil }
