package strict_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core/strict"
)

type named struct {
	Zone string   `yaml:"zone" name:"true"`
	Tags []string `yaml:"tags" name:"true"`
	Text string   `yaml:"text"`
}

func decodeNamed(t *testing.T, text string) (named, strict.Problems) {
	t.Helper()
	var to named
	_, problems := strict.DecodeObject("f", []byte(text), &to)
	return to, problems
}

// Guards against a name that is refused, or read as another one, since YAML takes its plain text for
// a number, a boolean or null.
func TestNamesAreText(t *testing.T) {
	for _, name := range []string{
		"1", "0", "-1", "+1", "007", "0x10", "0o17", "0b1", "1_000", "1.50", "1e3", "1E+3", ".5", "1.", "9999999999999999999999",
		"true", "False", "yes", "no", "on", "off", "null", "Null", "NULL", "~", ".inf", "-.INF", ".nan", "2026-12-05", "1.2.3", "a",
	} {
		t.Run(name, func(t *testing.T) {
			for _, written := range []string{name, `"` + name + `"`, "'" + name + "'", name + " # comment"} {
				got, problems := decodeNamed(t, "zone: "+written+"\ntags:\n- "+written+"\n")
				assert.NilError(t, problems.Err(), written)
				assert.Equal(t, got.Zone, name, written)
				assert.DeepEqual(t, got.Tags, []string{name})
			}
			got, problems := decodeNamed(t, "{zone: "+name+", tags: ["+name+"]}")
			assert.NilError(t, problems.Err())
			assert.DeepEqual(t, got, named{Zone: name, Tags: []string{name}})
		})
	}
}

// Guards against a name that is taken from what is no single word, or from other text fields.
func TestOtherTextStaysStrict(t *testing.T) {
	for _, text := range []string{
		"zone:", "zone: [a]", "zone: {a: b}", "zone: !!str 1", "zone: &a 1", "tags:\n-\n", "tags: 1", "text: 1", "text: null", "text: true",
	} {
		t.Run(text, func(t *testing.T) {
			_, problems := decodeNamed(t, text)
			assert.Equal(t, len(problems), 1, "%v", problems)
		})
	}
}
