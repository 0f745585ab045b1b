package catlog_test

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"radishwell/core"
	"radishwell/core/catlog"
	"radishwell/core/strict"
)

const pageHead = `# Catalogue

Operators drive radishwell by editing catalogue entries: objects of the platform of
the kinds below. In files, they are YAML documents with a kind, a name and a spec:

    kind: models
    name: ledger
    spec: {owner: nadi, service: qalam, class: evening, memory: 8GiB}

` + "`radishwell check FILE...`" + ` checks files together, as one catalogue, before they go to
the platform. In the platform, each entry has a status with one of these states:

| state | meaning |
| --- | --- |
| ` + "`accepted`" + ` | The newest edit is in force. Faults, if any, are advice. |
| ` + "`pending`" + ` | An entry that the newest edit refers to is not in force. The version served before stays in force if its own references allow it; otherwise the entry is not served until the reference exists. |
| ` + "`rejected`" + ` | The newest edit is invalid. The version served before stays in force. |

The status lists in ` + "`faults`" + ` which of the checks below the entry fails, and in ` + "`in-force`" + `
the version that was served last. A deleted entry is unknown as soon as the deletion is
in force. If it is created again, nothing of its earlier versions remains.

This page is generated from the tables in core/spec.go and core/catlog/check.go, and a
test compares it with them; ` + "`go test ./core/catlog -run TestPage -update`" + ` regenerates it.
`

// meanings describes the keys of specs. A description under "kind/key" applies to
// that kind only.
var meanings = map[string]string{
	"owner":           "Owner that is charged and whose callers may use the entry.",
	"service":         "Engine service whose hosts can hold the model.",
	"class":           "Service class of requests that do not name one: `interactive`, `evening` or `overnight`.",
	"memory":          "Memory on each accelerator, including working space.",
	"adapters/memory": "Memory in addition to the base's, on each of the base's accelerators.",
	"accelerators":    "Number of accelerators that one replica takes; one if absent.",
	"base":            "Model that the adapter is loaded on.",
	"shared-with":     "Other owners whose callers may use the entry; `\"*\"` stands for all.",
	"repeatable":      "Whether a request may safely run twice; true if absent.",
	"type":            "`engine` (loads models when ordered to) or `plain` (a service without models).",
	"checks-fence":    "Whether the engines refuse orders with an old fencing number. Engine services only.",
	"keys[].caller":   "Name of the caller, unique within its owner.",
	"keys[].digest":   "SHA-256 of the caller's bearer key, 64 lower-case hexadecimal digits. The key itself is never stored.",
	"replicas":        "Maximum number of hosts that may hold it at the same time.",
	"concurrency":     "Maximum number of requests in progress.",
	"rate":            "Maximum number of requests accepted per second.",
	"burst":           "Maximum number of requests accepted at once after a pause.",
	"queue":           "Maximum number of waiting requests.",
	"queue-bytes":     "Maximum size of all waiting requests together.",
	"owners/memory":   "Maximum accelerator memory that the owner's models may hold together.",
	"services/owner":  "Owner whose callers may use the service. Plain services only.",
	"services/class":  "Service class of requests that do not name one. Plain services only.",
	"services/repeatable": "Which requests may safely run twice: `safe-methods` (GET, HEAD, OPTIONS; " +
		"the default), `all` or `none`. Plain services only.",
}

// limitKeys are the limits that each kind may set; RC1015 refuses the others.
var limitKeys = map[core.Kind]string{
	core.KindModel:   "replicas concurrency rate burst queue queue-bytes",
	core.KindAdapter: "replicas concurrency rate burst queue queue-bytes",
	core.KindOwner:   "concurrency rate burst queue queue-bytes memory",
	core.KindService: "concurrency rate burst queue queue-bytes",
}

func TestPage(t *testing.T) {
	var b strings.Builder
	b.WriteString(pageHead)
	specs := []any{core.OwnerSpec{}, core.ServiceSpec{}, core.ModelSpec{}, core.AdapterSpec{}}
	for i, kind := range core.CatalogueKinds() {
		fmt.Fprintf(&b, "\n## Kind `%s`\n\n| key | value | meaning |\n| --- | --- | --- |\n", kind)
		for _, f := range strict.Fields(specs[i]) {
			if line := keyLine(t, kind, f); line != "" {
				b.WriteString(line)
			}
		}
	}
	b.WriteString("\n## Checks\n\n| number | condition | result if it fails |\n| --- | --- | --- |\n")
	for _, c := range catlog.Checks() {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", c.ID, c.Text, consequence(c))
	}
	golden.Assert(t, b.String(), "../../../docs/CATALOGUE.md")
}

func consequence(c catlog.Check) string {
	switch {
	case c.Advice:
		return "advice"
	case c.ID == catlog.CheckEntryDuplicate:
		return "`check` fails"
	case c.ID >= catlog.CheckOwnerExists:
		return "pending"
	default:
		return "rejected"
	}
}

// keyLine returns the table row of a key. It is empty for limits that the kind does
// not have.
func keyLine(t *testing.T, kind core.Kind, f strict.Field) string {
	t.Helper()
	last := f.Key[strings.LastIndex(f.Key, ".")+1:]
	if strings.HasPrefix(f.Key, "keys") {
		last = f.Key
	}
	limit := strings.Contains(f.Key, "limits.")
	if limit && !strings.Contains(" "+limitKeys[kind]+" ", " "+last+" ") {
		return ""
	}
	if f.Key == "caller-limits.memory" {
		return ""
	}
	text, ok := meanings[string(kind)+"/"+last]
	if !ok {
		text, ok = meanings[last]
	}
	assert.Assert(t, ok, "no meaning for %s of %s", f.Key, kind)
	if strings.HasPrefix(f.Key, "caller-limits.") {
		text = "Limit of the same kind for each single caller of the owner."
	}
	return fmt.Sprintf("| `%s` | %s | %s |\n", f.Key, valueName(f.Type), text)
}

func valueName(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[core.Bytes]():
		return "size"
	case t == reflect.TypeFor[core.Class]():
		return "class"
	case t.Kind() == reflect.Slice:
		return "list of names"
	case t.Kind() == reflect.String:
		return "text"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Float64:
		return "number"
	default:
		return "whole number"
	}
}

// TestPageListsLimitsInForce guards against a page that lists limits that check RC1015
// refuses, or omits limits that it accepts.
func TestPageListsLimitsInForce(t *testing.T) {
	specs := map[core.Kind]string{
		core.KindModel:   `"owner":"o","service":"s","class":"evening","memory":"1GiB"`,
		core.KindAdapter: `"owner":"o","base":"b","class":"evening","memory":"1GiB"`,
		core.KindOwner:   `"keys":[]`,
		core.KindService: `"type":"engine"`,
	}
	for _, kind := range core.CatalogueKinds() {
		for key, value := range map[string]string{
			"replicas": "1", "concurrency": "1", "rate": "2", "queue": "1", "queue-bytes": `"1B"`, "memory": `"1B"`,
		} {
			v := applied(object(kind, "x", 1, `{`+specs[kind]+`,"limits":{"`+key+`":`+value+`}}`))
			s, _ := v.Status(kind, "x")
			listed := strings.Contains(" "+limitKeys[kind]+" ", " "+key+" ")
			assert.Equal(t, s.State != catlog.Rejected, listed, "%s of %s: %v", key, kind, s.Faults)
		}
	}
}
