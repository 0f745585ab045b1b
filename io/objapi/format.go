package objapi

import (
	"encoding/json"
	"strconv"

	"radishwell/core"
	"radishwell/core/jscan"
)

const apiVersion = "radishwell.example/v1"

// The field names below are those of the Kubernetes conventions, which the platform
// uses. They are not a format of this project.

type metaJSON struct {
	Name            string `json:"name,omitempty"`
	UID             string `json:"uid,omitempty"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
	Generation      int64  `json:"generation,omitempty"`
}

type objectJSON struct {
	APIVersion string          `json:"apiVersion"`
	Kind       core.Kind       `json:"kind"`
	Metadata   metaJSON        `json:"metadata"`
	Spec       json.RawMessage `json:"spec,omitempty"`
	Status     json.RawMessage `json:"status,omitempty"`
}

type listJSON struct {
	Metadata metaJSON
	Items    []objectJSON
}

// decode decodes a list. Objects that cannot be decoded, as they are nested too deeply, or that state no
// version, are left out: they do not keep the others from being read.
func (l *listJSON) decode(data []byte) error {
	fields, ok := jscan.Fields(data)
	if !ok {
		return &FormatError{Detail: "list is no object"}
	}
	if err := json.Unmarshal(fields["metadata"], &l.Metadata); err != nil {
		return err
	}
	if text := fields["items"]; len(text) > 0 && string(text) != "null" {
		items, ok := jscan.Items(text)
		if !ok {
			return &FormatError{Detail: "items are no array"}
		}
		for _, text := range items {
			var o objectJSON
			if json.Unmarshal(text, &o) == nil && o.Metadata.ResourceVersion != "" {
				l.Items = append(l.Items, o)
			}
		}
	}
	return nil
}

type statusJSON struct {
	Kind    string `json:"kind"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
	Code    int    `json:"code"`
}

type eventJSON struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

type preconditionsJSON struct {
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

type deleteJSON struct {
	Preconditions preconditionsJSON `json:"preconditions"`
}

func fromObject(o core.Object) objectJSON {
	return objectJSON{
		APIVersion: apiVersion,
		Kind:       o.Kind,
		Metadata:   metaJSON{Name: o.Name, UID: o.UID, ResourceVersion: versionText(o.Version)},
		Spec:       o.Spec,
		Status:     o.Status,
	}
}

// object validates an object of the API and converts it. Its error is a
// core.PlatformError.
func (o objectJSON) object(kind core.Kind) (core.Object, error) {
	version, err := strconv.ParseUint(o.Metadata.ResourceVersion, 10, 64)
	if err != nil {
		return core.Object{}, malformed(kind, o.Metadata.Name, "resource version is no number")
	}
	return core.Object{
		Kind:       kind,
		Name:       o.Metadata.Name,
		UID:        o.Metadata.UID,
		Version:    core.Version(version),
		Generation: o.Metadata.Generation,
		Spec:       o.Spec,
		Status:     o.Status,
	}, nil
}

func (l listJSON) listing(kind core.Kind) (core.Listing, error) {
	version, err := strconv.ParseUint(l.Metadata.ResourceVersion, 10, 64)
	if err != nil {
		return core.Listing{}, malformed(kind, "", "list without a resource version")
	}
	listing := core.Listing{Version: core.Version(version), Objects: make([]core.Object, 0, len(l.Items))}
	for _, item := range l.Items {
		o, err := item.object(kind)
		if err != nil {
			return core.Listing{}, err
		}
		listing.Objects = append(listing.Objects, o)
	}
	return listing, nil
}

func malformed(kind core.Kind, name, detail string) *core.PlatformError {
	return &core.PlatformError{Fault: core.Unknown, Kind: kind, Name: name, Cause: &FormatError{Detail: detail}}
}

// versionText formats a version. Zero, which means no precondition, is empty.
func versionText(v core.Version) string {
	if v == 0 {
		return ""
	}
	return strconv.FormatUint(uint64(v), 10)
}
