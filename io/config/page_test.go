package config_test

import (
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"radishwell/core"
	"radishwell/core/strict"
	"radishwell/io/config"
)

const pageHead = `# Settings

A process reads one settings file in YAML. Unknown and repeated keys, wrong units,
values out of range and keys of the other role are errors, all reported in one run
with file, line, key and reason. ` + "`radishwell check FILE...`" + ` reports the same without
starting a process. What operators change at run time is in the catalogue.

Durations are written with a unit (` + "`100ms`, `30s`, `5m`, `8h`" + `), sizes with a binary
unit (` + "`512KiB`, `8MiB`, `2GiB`" + `), addresses as IP number and port, never as a name.
Relative paths are resolved against the directory of the settings file.

This page is generated from the table in io/config/settings.go, and a test compares it
with that table; ` + "`go test ./io/config -run TestPage -update`" + ` regenerates it.

| key | value | default | range | meaning |
| --- | --- | --- | --- | --- |
`

var typeNames = map[reflect.Type]string{
	reflect.TypeFor[config.Role]():      "`entry` or `agent`",
	reflect.TypeFor[core.ServiceType](): "`engine` or `plain`",
	reflect.TypeFor[core.HostName]():    "name",
	reflect.TypeFor[core.DataCentre]():  "name",
	reflect.TypeFor[core.Region]():      "name",
	reflect.TypeFor[core.ServiceName](): "name",
	reflect.TypeFor[netip.AddrPort]():   "IP:port",
	reflect.TypeFor[config.Origin]():    "URL by IP",
	reflect.TypeFor[core.Bytes]():       "size",
	reflect.TypeFor[time.Duration]():    "duration",
	reflect.TypeFor[string]():           "file",
	reflect.TypeFor[int]():              "whole number",
	reflect.TypeFor[float64]():          "number",
	reflect.TypeFor[bool]():             "`true` or `false`",
}

func page(t *testing.T) string {
	t.Helper()
	var b strings.Builder
	b.WriteString(pageHead)
	for _, f := range strict.Fields(config.Settings{}) {
		assert.Assert(t, f.Doc != "", "%s has no text", f.Key)
		kind, list := f.Type, ""
		if kind.Kind() == reflect.Slice {
			kind, list = kind.Elem(), "list of "
		}
		name, ok := typeNames[kind]
		assert.Assert(t, ok, "no name for type %s", kind)
		value := f.Default
		switch {
		case f.Required:
			value = "required"
		case value == "":
			value = "none"
		}
		limits := ""
		if f.Min != "" {
			limits = f.Min + " to " + f.Max
		}
		b.WriteString("| `" + strings.Join([]string{f.Key + "`", list + name, value, limits, f.Doc}, " | ") + " |\n")
	}
	return b.String()
}

func TestPage(t *testing.T) {
	golden.Assert(t, page(t), "../../../docs/SETTINGS.md")
}
