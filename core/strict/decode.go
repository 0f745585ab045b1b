package strict

import (
	"encoding"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// Decode fills the struct that to points to: first with the defaults of its tags,
// then from the document. A field whose value has a problem keeps its default.
func (d *Document) Decode(to any) Problems {
	v := reflect.ValueOf(to).Elem()
	SetDefaults(to)
	dec := decoder{doc: d}
	dec.value(v, d.root, "", reflect.StructTag(""))
	dec.problems.Sort()
	return dec.problems
}

// DecodeObject decodes a single JSON or YAML document, such as the spec of an object
// of the platform. A text without content is reported as a problem.
func DecodeObject(name string, text []byte, to any) (*Document, Problems) {
	docs, problems := Parse(name, text)
	if len(problems) > 0 {
		return nil, problems
	}
	if len(docs) != 1 {
		return nil, Problems{{File: name, Reason: "has to hold one document, holds " + strconv.Itoa(len(docs))}}
	}
	return docs[0], docs[0].Decode(to)
}

// Has reports whether a key is in the document. It must be called after Decode.
func (d *Document) Has(key string) bool {
	_, ok := d.positions[key]
	return ok
}

// Problem returns a problem with a key that was found after decoding. Its position is
// that of the key or, if the key is absent, that of the nearest enclosing key.
func (d *Document) Problem(key, reason string) Problem {
	for at := key; at != ""; at = parentKey(at) {
		if pos, ok := d.positions[at]; ok {
			return Problem{File: d.File, Line: pos.Line, Column: pos.Column, Key: truncate(join(d.prefix, key)), Reason: truncate(reason)}
		}
	}
	return d.problem(d.root, key, reason)
}

// parentKey returns the key that contains a key; empty for a top-level key.
func parentKey(key string) string {
	i := strings.LastIndexAny(key, ".[")
	if i < 0 {
		return ""
	}
	return key[:i]
}

func (d *Document) problem(n ast.Node, key, reason string) Problem {
	return d.problemAt(positionOf(n), key, reason)
}

// problemAt returns a problem at a position that counts from the document's first
// line.
func (d *Document) problemAt(at Position, key, reason string) Problem {
	if at.Line > 0 {
		at.Line += d.offset
	}
	return Problem{File: d.File, Line: at.Line, Column: at.Column, Key: truncate(join(d.prefix, key)), Reason: truncate(reason)}
}

// maxTextBytes bounds a key or reason, since both may quote the faulty text.
const maxTextBytes = 300

func truncate(s string) string {
	if len(s) <= maxTextBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxTextBytes], "") + "..."
}

func positionOf(n ast.Node) Position {
	if n == nil {
		return Position{}
	}
	// The token of a mapping is its first colon; the first key is the better position.
	switch m := n.(type) {
	case *ast.MappingNode:
		if !m.IsFlowStyle && len(m.Values) > 0 {
			return positionOf(m.Values[0])
		}
	case *ast.MappingValueNode:
		return positionOf(m.Key)
	}
	tk := n.GetToken()
	if tk == nil || tk.Position == nil {
		return Position{}
	}
	return Position{Line: tk.Position.Line, Column: tk.Position.Column}
}

// decoder fills a value from a document and collects the problems.
type decoder struct {
	doc      *Document
	problems Problems
}

// maxProblems bounds the problems reported for one document. Nobody fixes more at
// once, and the report on a text full of faults would be larger than the text.
const maxProblems = 100

func (dec *decoder) addProblem(n ast.Node, key, reason string) {
	if len(dec.problems) >= maxProblems {
		return
	}
	dec.problems = append(dec.problems, dec.doc.problem(n, key, reason))
}

func (dec *decoder) value(v reflect.Value, n ast.Node, key string, tag reflect.StructTag) {
	switch n.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		dec.addProblem(n, key, "anchors, aliases and tags are not accepted")
		return
	case *ast.NullNode, nil:
		if _, ok := nameText(n, tag); !ok {
			dec.null(v, n, key)
			return
		}
	}
	if v.Type() == rawValueType {
		v.Set(reflect.ValueOf(RawValue{doc: dec.doc, root: n, key: join(dec.doc.prefix, key)}))
		return
	}
	if v.Kind() == reflect.Pointer {
		fresh := reflect.New(v.Type().Elem())
		SetDefaults(fresh.Interface())
		dec.value(fresh.Elem(), n, key, tag)
		v.Set(fresh)
		return
	}
	_, isText := v.Addr().Interface().(encoding.TextUnmarshaler)
	switch {
	case v.Kind() == reflect.Struct && !isText:
		dec.mapping(v, n, key)
	case v.Kind() == reflect.Slice && !isText:
		dec.sequence(v, n, key, tag)
	default:
		dec.scalar(v, n, key, tag)
	}
}

// null decodes an empty value. It is valid for a list or an optional field only: for
// anything else, a key without a value is taken for a mistake.
func (dec *decoder) null(v reflect.Value, n ast.Node, key string) {
	if v.Kind() == reflect.Pointer || v.Kind() == reflect.Slice {
		v.SetZero()
		return
	}
	dec.addProblem(n, key, "has no value")
}

func (dec *decoder) sequence(v reflect.Value, n ast.Node, key string, tag reflect.StructTag) {
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		dec.addProblem(n, key, "has to be a list, is "+kindOf(n))
		return
	}
	out := reflect.MakeSlice(v.Type(), len(list.Values), len(list.Values))
	for i, item := range list.Values {
		at := key + "[" + strconv.Itoa(i) + "]"
		dec.recordPosition(at, item)
		SetDefaults(out.Index(i).Addr().Interface())
		dec.value(out.Index(i), item, at, tag)
	}
	v.Set(out)
}

func (dec *decoder) mapping(v reflect.Value, n ast.Node, key string) {
	pairs, ok := pairsOf(n)
	if !ok {
		dec.addProblem(n, key, "has to be a mapping of keys to values, is "+kindOf(n))
		return
	}
	fields := structFields(v.Type())
	seen := map[string]bool{}
	for _, pair := range pairs {
		name, ok := keyText(pair.Key)
		if !ok {
			dec.addProblem(pair.Key, key, "a key has to be plain text")
			continue
		}
		dec.pair(v, fields, seen, name, pair, key)
	}
	for _, f := range fields {
		if !seen[f.key] {
			dec.missing(n, v.Type().Field(f.index).Type, join(key, f.key), f.required)
		}
	}
}

// missing reports an absent key if it is required, or the required keys within an
// absent mapping.
func (dec *decoder) missing(n ast.Node, t reflect.Type, key string, required bool) {
	if required {
		dec.addProblem(n, key, "is missing")
		return
	}
	if !isMapping(t) {
		return
	}
	for _, f := range structFields(t) {
		dec.missing(n, t.Field(f.index).Type, join(key, f.key), f.required)
	}
}

func (dec *decoder) pair(v reflect.Value, fields []structField, seen map[string]bool, name string, pair *ast.MappingValueNode, key string) {
	full := join(key, name)
	i := slices.IndexFunc(fields, func(f structField) bool { return f.key == name })
	if i < 0 {
		dec.addProblem(pair.Key, full, "unknown key; known here are "+knownKeys(fields))
		return
	}
	if seen[name] {
		dec.addProblem(pair.Key, full, "is given twice")
		return
	}
	seen[name] = true
	dec.recordPosition(full, pair.Key)
	dec.value(v.Field(fields[i].index), pair.Value, full, fields[i].tag)
}

// recordPosition stores the position of a key for Has and Problem.
func (dec *decoder) recordPosition(key string, n ast.Node) {
	at := positionOf(n)
	at.Line += dec.doc.offset
	dec.doc.positions[key] = at
}

func join(key, name string) string {
	switch {
	case key == "":
		return name
	case name == "":
		return key
	}
	return key + "." + name
}

func pairsOf(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}, true
	}
	return nil, false
}

func keyText(n ast.MapKeyNode) (string, bool) {
	s, ok := n.(*ast.StringNode)
	if !ok {
		return "", false
	}
	return s.Value, true
}

func knownKeys(fields []structField) string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.key
	}
	return strings.Join(names, ", ")
}

var kindNames = map[ast.NodeType]string{
	ast.NullType:          "empty",
	ast.BoolType:          "true or false",
	ast.IntegerType:       "a whole number",
	ast.FloatType:         "a number",
	ast.InfinityType:      "infinity",
	ast.NanType:           "not a number",
	ast.StringType:        "text",
	ast.LiteralType:       "text",
	ast.MappingType:       "a mapping",
	ast.MappingValueType:  "a mapping",
	ast.SequenceType:      "a list",
	ast.SequenceEntryType: "a list",
}

func kindOf(n ast.Node) string {
	if name, ok := kindNames[n.Type()]; ok {
		return name
	}
	return "something else"
}

// Keys lists the top-level keys of a document in the order of the text. It is empty if
// the document is not a mapping.
func (d *Document) Keys() []string {
	pairs, _ := pairsOf(d.root)
	var keys []string
	for _, pair := range pairs {
		if name, ok := keyText(pair.Key); ok {
			keys = append(keys, name)
		}
	}
	return keys
}
