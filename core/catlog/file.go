package catlog

import (
	"encoding/json"
	"slices"

	"radishwell/core"
	"radishwell/core/strict"
)

// Source is the name and content of a catalogue file: YAML documents, each with a
// kind, a name and a spec.
type Source struct {
	Name string
	Text []byte
}

// entryFile is one document of a catalogue file.
type entryFile struct {
	Kind core.Kind       `yaml:"kind" required:"true"`
	Name string          `yaml:"name" required:"true"`
	Spec strict.RawValue `yaml:"spec" required:"true"`
}

// fileEntry is an entry read from a file.
type fileEntry struct {
	object core.Object
	// doc is the spec. It is nil if the entry has problems.
	doc *strict.Document
	// head is the document that contains the spec.
	head *strict.Document
}

// Read parses and checks catalogue files together, so that entries of one file may
// refer to those of another. It returns the entries as objects with a kind, name
// and spec, in the order of the files, and all problems found. These include
// advice, since a file can still be corrected before it is put in force.
func Read(sources ...Source) ([]core.Object, strict.Problems) {
	var problems strict.Problems
	var entries []fileEntry
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
	entries, twice := dropDuplicates(entries)
	problems = append(problems, twice...)
	problems = append(problems, crossProblems(entries, faulty)...)
	problems.Sort()
	return objectsOf(entries), problems
}

// readEntry returns an entry, or one without a doc if there are problems.
func readEntry(doc *strict.Document) (fileEntry, strict.Problems) {
	var head entryFile
	problems := doc.Decode(&head)
	bad := fileEntry{object: core.Object{Kind: head.Kind, Name: head.Name}}
	if !head.Spec.IsSet() {
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
			problems = append(problems, problemOf(doc, part, f))
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
	return fileEntry{object: object, doc: part, head: doc}, nil
}

// problemOf converts a fault to a problem with its position in the file. A fault
// without a key is reported at the entry's name.
func problemOf(head, part *strict.Document, f Fault) strict.Problem {
	reason := string(f.Check) + " " + f.Reason
	if f.Key == "" {
		return head.Problem("name", reason)
	}
	return part.Problem(f.Key, reason)
}

// dropDuplicates removes all but the first entry of each kind and name, and reports
// the others.
func dropDuplicates(entries []fileEntry) ([]fileEntry, strict.Problems) {
	var problems strict.Problems
	seen := map[id]bool{}
	kept := slices.DeleteFunc(entries, func(e fileEntry) bool {
		at := id{e.object.Kind, e.object.Name}
		twice := seen[at]
		seen[at] = true
		if twice {
			problems = append(problems, problemOf(e.head, e.doc, fault(CheckEntryDuplicate, "", "the entry is given twice")))
		}
		return twice
	})
	return kept, problems
}

// crossProblems checks the valid entries against each other in a catalogue of their
// own. It leaves out faults about entries that are in the files but have problems
// themselves: these faults disappear once those problems are fixed.
func crossProblems(entries []fileEntry, faulty map[id]bool) strict.Problems {
	var v View
	objects := objectsOf(entries)
	for i := range objects {
		objects[i].Version, objects[i].UID = core.Version(i+1), "file"
	}
	v.Apply(objects...)
	var problems strict.Problems
	from := map[id]fileEntry{}
	for _, e := range entries {
		from[id{e.object.Kind, e.object.Name}] = e
	}
	for _, r := range v.sorted {
		for _, f := range r.crossFaults {
			if faulty[f.target] {
				faulty[r.id] = true
				continue
			}
			problems = append(problems, problemOf(from[r.id].head, from[r.id].doc, f))
		}
	}
	return problems
}

func objectsOf(entries []fileEntry) []core.Object {
	objects := make([]core.Object, len(entries))
	for i, e := range entries {
		objects[i] = e.object
	}
	return objects
}
