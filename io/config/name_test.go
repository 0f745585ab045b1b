package config_test

import (
	"encoding"
	"encoding/json"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/strict"
	"radishwell/io/config"
)

// oddNames are names that YAML reads as a number, a boolean or null.
var oddNames = []string{"1", "007", "0x10", "1e3", "1_000", "-1", ".5", ".inf", "null", "true", "no", "off", "2026-12-05"}

// nameFields are the fields of settings that hold a name, by key.
func nameFields(t reflect.Type, prefix string) map[string]reflect.StructField {
	found := map[string]reflect.StructField{}
	for i := range t.NumField() {
		f := t.Field(i)
		key := prefix + f.Tag.Get("yaml")
		_, parsed := reflect.New(f.Type).Interface().(encoding.TextUnmarshaler)
		switch {
		case f.Type.Kind() == reflect.Struct && !parsed:
			for k, sub := range nameFields(f.Type, key+".") {
				found[k] = sub
			}
		case f.Type == reflect.TypeFor[core.ServiceType](): // one of two words
		case f.Type.Kind() == reflect.String && !parsed && f.Type != reflect.TypeFor[string]():
			found[key] = f
		}
	}
	return found
}

// Guards against a field for a name that does not take all names as text.
func TestNameFields(t *testing.T) {
	fields := nameFields(reflect.TypeFor[config.Settings](), "")
	for _, key := range []string{"name", "data-centre", "region", "engine.service"} {
		assert.Assert(t, fields[key].Name != "", key)
	}
	for key, f := range fields {
		assert.Equal(t, f.Tag.Get("name"), "true", key)
	}
}

const namedSettings = `role: agent
name: NAME
data-centre: NAME
region: NAME
listen: {work: "10.0.0.1:80", control: "10.0.0.1:9001", operators: "10.0.0.1:9002"}
platform: {urls: ["http://10.0.0.9:8001"]}
engine: {address: "http://127.0.0.1:9000", service: NAME}
tls: {ca: ca.crt, cert: a.crt, key: a.key}
`

// Guards against settings that are refused since a name in them looks like another type.
func TestNamesAreText(t *testing.T) {
	for _, name := range oddNames {
		t.Run(name, func(t *testing.T) {
			for _, written := range []string{name, `"` + name + `"`} {
				s, problems := config.Parse("f", []byte(strings.ReplaceAll(namedSettings, "NAME", written)))
				assert.NilError(t, problems.Err())
				assert.Equal(t, s.Name, core.HostName(name))
				assert.Equal(t, s.DataCentre, core.DataCentre(name))
				assert.Equal(t, s.Region, core.Region(name))
				assert.Equal(t, s.Engine.Service, core.ServiceName(name))
			}
		})
	}
}

// Guards against a template from which the platform writes names that YAML reads as another type,
// or as more than one value.
func TestTemplateQuotesNames(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/settings.yaml")
	assert.NilError(t, err)
	head, _, found := strings.Cut(string(raw), "listen:\n")
	assert.Assert(t, found)
	placeholder := regexp.MustCompile(`\{\{(\w+)(\|json)?\}\}`)
	for _, name := range append(oddNames, "a: b", "a #b", `"a'`, "- a", "é\n") {
		t.Run(name, func(t *testing.T) {
			text := placeholder.ReplaceAllStringFunc(head, func(p string) string {
				if !strings.Contains(p, "|json") {
					return name
				}
				quoted, err := json.Marshal(name)
				assert.NilError(t, err)
				return string(quoted)
			})
			var got struct {
				Role       string `yaml:"role"`
				Name       string `yaml:"name"`
				DataCentre string `yaml:"data-centre"`
				Region     string `yaml:"region"`
			}
			_, problems := strict.DecodeObject("f", []byte(text), &got)
			assert.NilError(t, problems.Err())
			assert.Equal(t, got.Role, name)
			assert.Equal(t, got.Name, name)
			assert.Equal(t, got.DataCentre, name)
			assert.Equal(t, got.Region, name)
		})
	}
}
