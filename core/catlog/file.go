package catlog

import (
	"encoding/json"
	"slices"

	"radishwell/core"
	"radishwell/core/strict"
)

// Source is a catalogue file as operators write it: YAML documents, each with a
// kind, a name and a spec.
type Source struct {
	Name string
	Text []byte
}

// entryFile is the shape of one document of a catalogue file.
type entryFile struct {
	Kind core.Kind   `yaml:"kind" required:"true"`
	Name string      `yaml:"name" required:"true"`
	Spec strict.Part `yaml:"spec" required:"true"`
}

// located is an entry with the place it came from.
type located struct {
	object core.Object
	doc    *strict.Document
	// head is the document around the spec.
	head *strict.Document
}

// Read parses and checks catalogue files together, so that entries of one may
// refer to those of another. It returns the entries as objects with a kind, name
// and spec, in the order of the files, and all problems found. Advice is among
// them: a file can still be mended before it is put in force.
func Read(sources ...Source) ([]core.Object, strict.Problems) {
	var problems strict.Problems
	var entries []located
	faulty := map[id]bool{}
	for _, src := range sources {
		docs, faults := strict.Parse(src.Name, src.Text)
		problems = append(problems, faults...)
		for _, doc := range docs {
			entry, faults := readEntry(doc)
			problems = append(problems, faults...)
			switch {
			case entry.doc != nil:
				entries = append(entries, entry)
			case entry.object.Name != "":
				faulty[id{entry.object.Kind, entry.object.Name}] = true
			}
		}
	}
	entries, twice := dropTwice(entries)
	problems = append(problems, twice...)
	problems = append(problems, crossProblems(entries, faulty)...)
	problems.Sort()
	return objectsOf(entries), problems
}

// readEntry returns an entry, or one without a doc if there are problems.
func readEntry(doc *strict.Document) (located, strict.Problems) {
	var head entryFile
	problems := doc.Decode(&head)
	bad := located{object: core.Object{Kind: head.Kind, Name: head.Name}}
	if !head.Spec.Given() {
		return bad, problems
	}
	s, ok := newSpec(head.Kind, head.Name)
	if !ok {
		if doc.Has("kind") {
			problems = append(problems, doc.Problem("kind", "has to be one of models, adapters, owners, services"))
		}
		return bad, problems
	}
	part := head.Spec.Document()
	faults := part.Decode(s.target())
	problems = append(problems, faults...)
	if len(faults) == 0 {
		for _, f := range checkSpec(s, part) {
			problems = append(problems, placed(doc, part, f))
		}
	}
	if len(problems) > 0 {
		return bad, problems
	}
	text, err := json.Marshal(s.target())
	if err != nil {
		return bad, strict.Problems{doc.Problem("spec", err.Error())}
	}
	object := core.Object{Kind: head.Kind, Name: head.Name, Spec: text}
	return located{object: object, doc: part, head: doc}, nil
}

// placed turns a fault into a problem at its place; one without a key is about
// the entry's name.
func placed(head, part *strict.Document, f Fault) strict.Problem {
	reason := string(f.Check) + " " + f.Reason
	if f.Key == "" {
		return head.Problem("name", reason)
	}
	return part.Problem(f.Key, reason)
}

func dropTwice(entries []located) ([]located, strict.Problems) {
	var problems strict.Problems
	seen := map[id]bool{}
	kept := slices.DeleteFunc(entries, func(e located) bool {
		at := id{e.object.Kind, e.object.Name}
		twice := seen[at]
		seen[at] = true
		if twice {
			problems = append(problems, placed(e.head, e.doc, fault(CheckEntryTwice, "", "the entry is given twice")))
		}
		return twice
	})
	return kept, problems
}

// crossProblems holds the good entries against each other in a catalogue of their
// own. Faults about entries that are in the files but have problems themselves
// are left out: they go away with those problems.
func crossProblems(entries []located, faulty map[id]bool) strict.Problems {
	var v View
	objects := objectsOf(entries)
	for i := range objects {
		objects[i].Version, objects[i].UID = core.Version(i+1), "file"
	}
	v.Apply(objects...)
	var problems strict.Problems
	from := map[id]located{}
	for _, e := range entries {
		from[id{e.object.Kind, e.object.Name}] = e
	}
	for _, r := range v.sorted {
		for _, f := range r.cross {
			if faulty[f.about] {
				faulty[r.at] = true
				continue
			}
			problems = append(problems, placed(from[r.at].head, from[r.at].doc, f))
		}
	}
	return problems
}

func objectsOf(entries []located) []core.Object {
	objects := make([]core.Object, len(entries))
	for i, e := range entries {
		objects[i] = e.object
	}
	return objects
}
