package strict

import (
	"encoding"
	"reflect"
	"strings"
	"sync"
)

// member is a field of a struct as the decoder sees it.
type member struct {
	key      string
	index    int
	required bool
	// part tells that the field holds keys of its own.
	part bool
	// preset is the text of the default.
	preset string
	tag    reflect.StructTag
}

// shapes keeps the shape of each struct type once worked out. Reading the tags
// anew each time was about a seventh of the time in which a process that starts
// takes in thousands of entries.
var shapes sync.Map // reflect.Type to []member

// shapeOf lists the keys of a struct type, in the order of its fields.
func shapeOf(t reflect.Type) []member {
	if kept, ok := shapes.Load(t); ok {
		return kept.([]member)
	}
	shape := newShape(t)
	shapes.Store(t, shape)
	return shape
}

func newShape(t reflect.Type) []member {
	var shape []member
	for i := range t.NumField() {
		f := t.Field(i)
		key, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if key == "" || key == "-" {
			continue
		}
		shape = append(shape, member{
			key:      key,
			index:    i,
			required: f.Tag.Get("required") == "true",
			part:     isPart(f.Type),
			preset:   f.Tag.Get("default"),
			tag:      f.Tag,
		})
	}
	return shape
}

// SetDefaults fills the struct that to points to with the defaults of its tags.
// Anything that is no struct is left as it is.
func SetDefaults(to any) {
	v := reflect.ValueOf(to).Elem()
	if !isPart(v.Type()) {
		return
	}
	for _, f := range shapeOf(v.Type()) {
		field := v.Field(f.index)
		if f.part {
			SetDefaults(field.Addr().Interface())
			continue
		}
		if f.preset == "" {
			continue
		}
		if err := setPlain(field, f.preset); err != nil {
			panic(err)
		}
	}
}

// isPart tells whether a type is a mapping of keys of its own.
func isPart(t reflect.Type) bool {
	return t.Kind() == reflect.Struct && t != partType && !reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

// Field is one key of a document, for reference pages.
type Field struct {
	// Key is the full path; "[]" marks the items of a list.
	Key string
	// Type is the field's type.
	Type reflect.Type
	// Default, Min, Max and Doc are the tags' texts.
	Default, Min, Max, Doc string
	Required               bool
}

// Fields lists all keys of the struct type of v, in order. Parts that hold keys
// of their own are not listed themselves.
func Fields(v any) []Field {
	return fieldsOf(reflect.TypeOf(v), "")
}

func fieldsOf(t reflect.Type, above string) []Field {
	var all []Field
	for _, m := range shapeOf(t) {
		key, inner := join(above, m.key), t.Field(m.index).Type
		for inner.Kind() == reflect.Pointer || inner.Kind() == reflect.Slice && isPart(inner.Elem()) {
			if inner.Kind() == reflect.Slice {
				key += "[]"
			}
			inner = inner.Elem()
		}
		if isPart(inner) {
			all = append(all, fieldsOf(inner, key)...)
			continue
		}
		all = append(all, Field{
			Key:      key,
			Type:     inner,
			Default:  m.preset,
			Min:      m.tag.Get("min"),
			Max:      m.tag.Get("max"),
			Doc:      m.tag.Get("doc"),
			Required: m.required,
		})
	}
	return all
}
