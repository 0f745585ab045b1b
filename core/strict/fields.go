package strict

import (
	"encoding"
	"reflect"
	"strings"
	"sync"
)

// structField is a struct field with its parsed tags.
type structField struct {
	key      string
	index    int
	required bool
	// mapping is set if the value is a mapping with keys of its own.
	mapping bool
	// defaultText is the text of the default tag.
	defaultText string
	tag         reflect.StructTag
}

// fieldCache caches the fields of struct types. Parsing the tags each time took about
// a seventh of the time in which a starting process decodes thousands of entries.
var fieldCache sync.Map // reflect.Type to []structField

// structFields lists the fields of a struct type that have a key, in their order.
func structFields(t reflect.Type) []structField {
	if cached, ok := fieldCache.Load(t); ok {
		return cached.([]structField)
	}
	fields := parseFields(t)
	fieldCache.Store(t, fields)
	return fields
}

func parseFields(t reflect.Type) []structField {
	var fields []structField
	for i := range t.NumField() {
		f := t.Field(i)
		key, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if key == "" || key == "-" {
			continue
		}
		fields = append(fields, structField{
			key:         key,
			index:       i,
			required:    f.Tag.Get("required") == "true",
			mapping:     isMapping(f.Type),
			defaultText: f.Tag.Get("default"),
			tag:         f.Tag,
		})
	}
	return fields
}

// SetDefaults fills the struct that to points to with the defaults of its tags. A
// value of another type stays unchanged.
func SetDefaults(to any) {
	v := reflect.ValueOf(to).Elem()
	if !isMapping(v.Type()) {
		return
	}
	for _, f := range structFields(v.Type()) {
		field := v.Field(f.index)
		if f.mapping {
			SetDefaults(field.Addr().Interface())
			continue
		}
		if f.defaultText == "" {
			continue
		}
		if err := setFromTag(field, f.defaultText); err != nil {
			panic(err)
		}
	}
}

// isMapping reports whether values of a type are mappings with keys of their own.
func isMapping(t reflect.Type) bool {
	return t.Kind() == reflect.Struct && t != rawValueType && !reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

// Field describes one key of a document, for reference pages.
type Field struct {
	// Key is the full path; "[]" marks the items of a list.
	Key  string
	Type reflect.Type
	// Default, Min, Max and Doc are the texts of the tags of these names.
	Default, Min, Max, Doc string
	Required               bool
}

// Fields lists all keys of the struct type of v, in the order of its fields. Mappings
// are represented by their keys and not listed themselves.
func Fields(v any) []Field {
	return fieldsOf(reflect.TypeOf(v), "")
}

func fieldsOf(t reflect.Type, parent string) []Field {
	var all []Field
	for _, m := range structFields(t) {
		key, inner := join(parent, m.key), t.Field(m.index).Type
		for inner.Kind() == reflect.Pointer || inner.Kind() == reflect.Slice && isMapping(inner.Elem()) {
			if inner.Kind() == reflect.Slice {
				key += "[]"
			}
			inner = inner.Elem()
		}
		if isMapping(inner) {
			all = append(all, fieldsOf(inner, key)...)
			continue
		}
		all = append(all, Field{
			Key:      key,
			Type:     inner,
			Default:  m.defaultText,
			Min:      m.tag.Get("min"),
			Max:      m.tag.Get("max"),
			Doc:      m.tag.Get("doc"),
			Required: m.required,
		})
	}
	return all
}
