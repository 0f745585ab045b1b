package apisrv

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"radishwell/core"
	"radishwell/io/fakes/httpd"
)

const apiVersion = "radishwell.example/v1"

// The names of the fields below follow the conventions of Kubernetes, not those of this
// project, because the platform uses them.

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
	APIVersion string       `json:"apiVersion"`
	Kind       string       `json:"kind"`
	Metadata   metaJSON     `json:"metadata"`
	Items      []objectJSON `json:"items"`
}

type statusJSON struct {
	APIVersion string `json:"apiVersion"`
	Kind       string `json:"kind"`
	Status     string `json:"status"`
	Reason     string `json:"reason"`
	Message    string `json:"message"`
	Code       int    `json:"code"`
}

type eventJSON struct {
	Type   string `json:"type"`
	Object any    `json:"object"`
}

type deleteJSON struct {
	Preconditions struct {
		UID             string `json:"uid"`
		ResourceVersion string `json:"resourceVersion"`
	} `json:"preconditions"`
}

func toJSON(o core.Object) objectJSON {
	return objectJSON{
		APIVersion: apiVersion,
		Kind:       o.Kind,
		Metadata: metaJSON{
			Name:            o.Name,
			UID:             o.UID,
			ResourceVersion: versionText(o.Version),
			Generation:      o.Generation,
		},
		Spec:   o.Spec,
		Status: o.Status,
	}
}

func versionText(v core.Version) string { return strconv.FormatUint(uint64(v), 10) }

// parseVersion parses a resource version. The empty text stands for zero.
func parseVersion(text string) (core.Version, error) {
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return core.Version(n), err
}

func newStatus(code int, reason, message string) statusJSON {
	return statusJSON{
		APIVersion: "v1",
		Kind:       "Status",
		Status:     "Failure",
		Reason:     reason,
		Message:    message,
		Code:       code,
	}
}

func writeStatus(w http.ResponseWriter, code int, reason, message string) {
	httpd.WriteJSON(w, code, newStatus(code, reason, message))
}

// sorted returns the objects in the order of their names.
func sorted(byName map[string]core.Object) []core.Object {
	objects := make([]core.Object, 0, len(byName))
	for _, o := range byName {
		objects = append(objects, o)
	}
	slices.SortFunc(objects, func(a, b core.Object) int { return strings.Compare(a.Name, b.Name) })
	return objects
}
