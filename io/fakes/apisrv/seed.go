package apisrv

import (
	"encoding/json"
	"errors"
	"io"

	"github.com/goccy/go-yaml"
	"github.com/samber/oops"

	"radishwell/core"
)

type seedYAML struct {
	Kind core.Kind      `yaml:"kind"`
	Name string         `yaml:"name"`
	Spec map[string]any `yaml:"spec"`
}

// ReadSeed reads objects from a stream of YAML documents, each with the keys
// kind, name and spec. Unknown keys are errors.
func ReadSeed(r io.Reader) ([]core.Object, error) {
	dec := yaml.NewDecoder(r, yaml.Strict())
	var objects []core.Object
	for {
		var doc seedYAML
		err := dec.Decode(&doc)
		if errors.Is(err, io.EOF) {
			return objects, nil
		}
		if err != nil {
			return nil, oops.Wrapf(err, "seed document %d", len(objects)+1)
		}
		spec, err := json.Marshal(doc.Spec)
		if err != nil {
			return nil, oops.Wrapf(err, "seed %s/%s", doc.Kind, doc.Name)
		}
		objects = append(objects, core.Object{Kind: doc.Kind, Name: doc.Name, Spec: spec})
	}
}
