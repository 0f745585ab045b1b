package config

import (
	"os"
	"path/filepath"
	"strconv"

	"github.com/samber/oops"

	"radishwell/core/strict"
)

// Defaults returns settings with all defaults, for processes that are configured by a
// program instead of a file.
func Defaults() Settings {
	var s Settings
	strict.SetDefaults(&s)
	return s
}

// Load reads and checks a settings file. Its error wraps the file's problems, as
// strict.Problems, or the failure to read it.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, oops.In("config").Wrapf(err, "read settings")
	}
	s, problems := Parse(path, text)
	if err := problems.Err(); err != nil {
		return Settings{}, oops.In("config").With("file", path).Wrap(err)
	}
	s.resolve(filepath.Dir(path))
	return s, nil
}

// Parse decodes and checks the text of a settings file. The file name is used in
// problems only.
func Parse(file string, text []byte) (Settings, strict.Problems) {
	docs, problems := strict.Parse(file, text)
	if len(problems) > 0 {
		return Settings{}, problems
	}
	if len(docs) != 1 {
		return Settings{}, strict.Problems{{File: file, Reason: "a settings file holds one document, this one " + strconv.Itoa(len(docs))}}
	}
	return decode(docs[0])
}

func decode(doc *strict.Document) (Settings, strict.Problems) {
	var s Settings
	problems := doc.Decode(&s)
	c := checker{doc: doc, s: s, problems: problems}
	c.check()
	c.problems.Sort()
	return s, c.problems
}

// resolve resolves relative paths against the directory of the settings file.
func (s *Settings) resolve(dir string) {
	files := []*string{
		&s.Platform.TokenFile,
		&s.Platform.CA,
		&s.TLS.CA,
		&s.TLS.Cert,
		&s.TLS.Key,
		&s.TLS.Callers.Cert,
		&s.TLS.Callers.Key,
	}
	for _, f := range files {
		if *f != "" && !filepath.IsAbs(*f) {
			*f = filepath.Join(dir, *f)
		}
	}
}
