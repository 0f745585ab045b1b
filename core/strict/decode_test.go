package strict_test

import (
	"encoding/json"
	"flag"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"radishwell/core"
	"radishwell/core/strict"
)

// A fixed seed makes runs reproducible; -rapid.seed on the command line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
}

// example has a field of each type that documents use.
type example struct {
	Name  string        `yaml:"name" required:"true"`
	Count int           `yaml:"count" default:"3" min:"1" max:"9"`
	Wait  time.Duration `yaml:"wait" default:"30s" min:"1s"`
	Size  core.Bytes    `yaml:"size"`
	Ratio float64       `yaml:"ratio"`
	On    *bool         `yaml:"on"`
	Tags  []string      `yaml:"tags"`
	Parts []examplePart `yaml:"parts"`
}

type examplePart struct {
	ID     string `yaml:"id" required:"true"`
	Weight int    `yaml:"weight" default:"1" min:"1"`
}

// decodeAll decodes each document of a text into an example of its own.
func decodeAll(text []byte) ([]example, strict.Problems) {
	docs, problems := strict.Parse("f", text)
	all := make([]example, len(docs))
	for i, doc := range docs {
		problems = append(problems, doc.Decode(&all[i])...)
	}
	problems.Sort()
	return all, problems
}

func TestProblems(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/problems.txtar")
	assert.NilError(t, err)
	for i := 0; i+1 < len(archive.Files); i += 2 {
		in, want := archive.Files[i], archive.Files[i+1]
		name := strings.TrimSuffix(in.Name, ".yaml")
		assert.Equal(t, want.Name, name+".want")
		t.Run(name, func(t *testing.T) {
			_, problems := decodeAll(in.Data)
			assert.Equal(t, problems.Error(), strings.TrimSuffix(string(want.Data), "\n"))
		})
	}
}

func TestValues(t *testing.T) {
	all, problems := decodeAll([]byte("name: x\nsize: 2MiB\non: false\nparts: [{id: y}]\n"))
	assert.Equal(t, len(problems), 0)
	off := false
	assert.DeepEqual(t, all[0], example{
		Name:  "x",
		Count: 3,
		Wait:  30 * time.Second,
		Size:  2 * core.MiB,
		On:    &off,
		Parts: []examplePart{{ID: "y", Weight: 1}},
	})
}

func TestFaultyValueKeepsDefault(t *testing.T) {
	all, problems := decodeAll([]byte("name: x\ncount: 50\nwait: 1ms\n"))
	assert.Equal(t, len(problems), 2)
	assert.Equal(t, all[0].Count, 3)
	assert.Equal(t, all[0].Wait, 30*time.Second)
}

func TestBounds(t *testing.T) {
	for name, text := range map[string]string{
		"size":    strings.Repeat("#", strict.MaxSize+1),
		"keys":    strings.Repeat("a: x\n", 20000),
		"tags":    strings.Repeat("!!map ", 20000),
		"depth":   strings.Repeat("[", 500000),
		"marks":   strings.Repeat("- ", 500000),
		"indent":  "a:\n" + strings.Repeat(" ", 5000) + "b: 1",
		"invalid": "a: \xff",
	} {
		t.Run(name, func(t *testing.T) {
			docs, problems := strict.Parse("f", []byte(text))
			assert.Equal(t, len(docs), 0)
			assert.Equal(t, len(problems), 1)
		})
	}
}

func TestReportIsBounded(t *testing.T) {
	_, problems := decodeAll([]byte(strings.Repeat("x: 1\n", 5000)))
	assert.Equal(t, len(problems), 100)
	_, problems = decodeAll([]byte("name: x\nwait: " + strings.Repeat("y", 100000)))
	assert.Assert(t, len(problems.Error()) < 1000)
}

func TestByteOrderMark(t *testing.T) {
	all, problems := decodeAll([]byte("\ufeffname: x\r\ncount: 4\r\n"))
	assert.NilError(t, problems.Err())
	assert.Equal(t, all[0].Name+strconv.Itoa(all[0].Count), "x4")
}

// TestAgainstJSON guards against JSON that is decoded to other values than the JSON
// library encoded: specs come from the platform as JSON and from files as YAML.
func TestAgainstJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := jsonExample{
			Name:  rapid.String().Draw(t, "name"),
			Count: rapid.Int().Draw(t, "count"),
			Ratio: rapid.Float64().Draw(t, "ratio"),
			On:    rapid.Bool().Draw(t, "on"),
			Tags:  rapid.SliceOfN(rapid.String(), 1, 5).Draw(t, "tags"),
		}
		text, err := json.Marshal(want)
		assert.NilError(t, err)
		var got jsonExample
		_, problems := strict.DecodeObject("f", text, &got)
		assert.NilError(t, problems.Err(), "%s", text)
		assert.DeepEqual(t, got, want)
	})
}

type jsonExample struct {
	Name  string   `yaml:"name" json:"name"`
	Count int      `yaml:"count" json:"count"`
	Ratio float64  `yaml:"ratio" json:"ratio"`
	On    bool     `yaml:"on" json:"on"`
	Tags  []string `yaml:"tags" json:"tags"`
}

func TestFields(t *testing.T) {
	var keys []string
	for _, f := range strict.Fields(example{}) {
		keys = append(keys, f.Key)
	}
	assert.DeepEqual(t, keys, []string{"name", "count", "wait", "size", "ratio", "on", "tags", "parts[].id", "parts[].weight"})
}

// FuzzDecode decodes arbitrary texts. There must be no panic, and decoding a text twice
// must report the same problems.
func FuzzDecode(f *testing.F) {
	archive, err := txtar.ParseFile("testdata/problems.txtar")
	assert.NilError(f, err)
	for _, file := range archive.Files {
		f.Add(file.Data)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		_, first := decodeAll(text)
		_, second := decodeAll(text)
		assert.Equal(t, first.Error(), second.Error())
		for _, p := range first {
			assert.Assert(t, p.Reason != "")
		}
	})
}
