package strict

import (
	"encoding"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// Decode fills the struct that to points to: first with the defaults of its
// tags, then from the document. What has a problem keeps its default.
func (d *Document) Decode(to any) Problems {
	v := reflect.ValueOf(to).Elem()
	SetDefaults(to)
	r := reader{doc: d}
	r.value(v, d.root, "", reflect.StructTag(""))
	r.problems.Sort()
	return r.problems
}

// DecodeObject decodes a single JSON or YAML document, such as the spec of an
// object of the platform. A text without content is a problem.
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

// Has tells whether a key was in the document. It is of use after Decode.
func (d *Document) Has(key string) bool {
	_, ok := d.places[key]
	return ok
}

// Problem returns a problem of a key that was found after decoding, at the place
// of the key or, where the key is absent, of the nearest one above it.
func (d *Document) Problem(key, reason string) Problem {
	for at := key; at != ""; at = above(at) {
		if place, ok := d.places[at]; ok {
			return Problem{File: d.File, Line: place.Line, Column: place.Column, Key: clip(join(d.prefix, key)), Reason: clip(reason)}
		}
	}
	return d.problem(d.root, key, reason)
}

func above(key string) string {
	i := strings.LastIndexAny(key, ".[")
	if i < 0 {
		return ""
	}
	return key[:i]
}

func (d *Document) problem(n ast.Node, key, reason string) Problem {
	return d.problemAt(placeOf(n), key, reason)
}

// problemAt takes a place that counts from the document's first line.
func (d *Document) problemAt(at Place, key, reason string) Problem {
	if at.Line > 0 {
		at.Line += d.offset
	}
	return Problem{File: d.File, Line: at.Line, Column: at.Column, Key: clip(join(d.prefix, key)), Reason: clip(reason)}
}

// maxText bounds a key or reason: both may quote the text at fault.
const maxText = 300

func clip(s string) string {
	if len(s) <= maxText {
		return s
	}
	return strings.ToValidUTF8(s[:maxText], "") + "..."
}

func placeOf(n ast.Node) Place {
	if n == nil {
		return Place{}
	}
	// A mapping's own token is its first colon; its first key says more.
	switch m := n.(type) {
	case *ast.MappingNode:
		if !m.IsFlowStyle && len(m.Values) > 0 {
			return placeOf(m.Values[0])
		}
	case *ast.MappingValueNode:
		return placeOf(m.Key)
	}
	tk := n.GetToken()
	if tk == nil || tk.Position == nil {
		return Place{}
	}
	return Place{Line: tk.Position.Line, Column: tk.Position.Column}
}

// reader walks a document and a value side by side.
type reader struct {
	doc      *Document
	problems Problems
}

// maxProblems bounds what is reported of one document. Nobody mends more in one
// go, and a text of nothing but faults would yield a report larger than itself.
const maxProblems = 100

func (r *reader) fault(n ast.Node, key, reason string) {
	if len(r.problems) >= maxProblems {
		return
	}
	r.problems = append(r.problems, r.doc.problem(n, key, reason))
}

func (r *reader) value(v reflect.Value, n ast.Node, key string, tag reflect.StructTag) {
	switch n.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		r.fault(n, key, "anchors, aliases and tags are not accepted")
		return
	case *ast.NullNode, nil:
		r.null(v, n, key)
		return
	}
	if v.Type() == partType {
		v.Set(reflect.ValueOf(Part{doc: r.doc, root: n, key: join(r.doc.prefix, key)}))
		return
	}
	if v.Kind() == reflect.Pointer {
		fresh := reflect.New(v.Type().Elem())
		SetDefaults(fresh.Interface())
		r.value(fresh.Elem(), n, key, tag)
		v.Set(fresh)
		return
	}
	_, isText := v.Addr().Interface().(encoding.TextUnmarshaler)
	switch {
	case v.Kind() == reflect.Struct && !isText:
		r.mapping(v, n, key)
	case v.Kind() == reflect.Slice && !isText:
		r.sequence(v, n, key, tag)
	default:
		r.scalar(v, n, key, tag)
	}
}

// null takes an empty value: none of a list or of an optional part; a fault for
// anything else, since a key without a value is a slip of the pen.
func (r *reader) null(v reflect.Value, n ast.Node, key string) {
	if v.Kind() == reflect.Pointer || v.Kind() == reflect.Slice {
		v.SetZero()
		return
	}
	r.fault(n, key, "has no value")
}

func (r *reader) sequence(v reflect.Value, n ast.Node, key string, tag reflect.StructTag) {
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		r.fault(n, key, "has to be a list, is "+kindOf(n))
		return
	}
	out := reflect.MakeSlice(v.Type(), len(list.Values), len(list.Values))
	for i, item := range list.Values {
		at := key + "[" + strconv.Itoa(i) + "]"
		r.note(at, item)
		SetDefaults(out.Index(i).Addr().Interface())
		r.value(out.Index(i), item, at, tag)
	}
	v.Set(out)
}

func (r *reader) mapping(v reflect.Value, n ast.Node, key string) {
	pairs, ok := pairsOf(n)
	if !ok {
		r.fault(n, key, "has to be a mapping of keys to values, is "+kindOf(n))
		return
	}
	shape := shapeOf(v.Type())
	seen := map[string]bool{}
	for _, pair := range pairs {
		name, ok := keyText(pair.Key)
		if !ok {
			r.fault(pair.Key, key, "a key has to be plain text")
			continue
		}
		r.pair(v, shape, seen, name, pair, key)
	}
	for _, f := range shape {
		if !seen[f.key] {
			r.absent(n, v.Type().Field(f.index).Type, join(key, f.key), f.required)
		}
	}
}

// absent reports a key that is not there though it has to be, or the keys of a
// part that is not there though some of them have to be.
func (r *reader) absent(n ast.Node, t reflect.Type, key string, required bool) {
	if required {
		r.fault(n, key, "is missing")
		return
	}
	if !isPart(t) {
		return
	}
	for _, f := range shapeOf(t) {
		r.absent(n, t.Field(f.index).Type, join(key, f.key), f.required)
	}
}

func (r *reader) pair(v reflect.Value, shape []member, seen map[string]bool, name string, pair *ast.MappingValueNode, key string) {
	full := join(key, name)
	i := slices.IndexFunc(shape, func(f member) bool { return f.key == name })
	if i < 0 {
		r.fault(pair.Key, full, "unknown key; known here are "+knownKeys(shape))
		return
	}
	if seen[name] {
		r.fault(pair.Key, full, "is given twice")
		return
	}
	seen[name] = true
	r.note(full, pair.Key)
	r.value(v.Field(shape[i].index), pair.Value, full, shape[i].tag)
}

// note remembers where a key stands, for problems found later.
func (r *reader) note(key string, n ast.Node) {
	at := placeOf(n)
	at.Line += r.doc.offset
	r.doc.places[key] = at
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

func knownKeys(shape []member) string {
	names := make([]string, len(shape))
	for i, f := range shape {
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

// Keys lists the top-level keys of a mapping, in the order of the text; none
// where the document is no mapping.
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
