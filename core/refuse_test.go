package core_test

import (
	"fmt"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"radishwell/core"
)

const errorsHead = `# Errors

An error's body is JSON in the form of the OpenAI API:

    {"error": {"message": "...", "type": "...", "code": "...", "param": null}}

` + "`code`" + ` is one of those below and never changes its meaning. The field
` + "`Radishwell-Outcome`" + ` says what became of the request:

| outcome | meaning |
| --- | --- |
| ` + "`done`" + ` | The whole answer was relayed. |
| ` + "`not-run`" + ` | The request did not run and will not run; sending it again runs it once. |
| ` + "`may-have-run`" + ` | An upstream may have run all or part of it. With status 200 it has run, and nothing shows whether all of its answer came. |

Where "again" is yes, a later try can pass, and ` + "`Retry-After`" + ` says when.

This page is made from the table in core/refuse.go; a test holds it to that:
` + "`go test ./core -run TestErrorsPage -update`" + ` writes it anew.

| code | HTTP status | type | again | meaning |
| --- | --- | --- | --- | --- |
`

func TestErrorsPage(t *testing.T) {
	var b strings.Builder
	b.WriteString(errorsHead)
	for _, c := range core.Codes() {
		again := "no"
		if c.Retryable {
			again = "yes"
		}
		fmt.Fprintf(&b, "| `%s` | %d | `%s` | %s | %s |\n", c.Code, c.Status, c.Type, again, c.Text)
	}
	golden.Assert(t, b.String(), "../../docs/ERRORS.md")
}

func TestCodes(t *testing.T) {
	seen := map[core.Code]bool{}
	for _, c := range core.Codes() {
		assert.Assert(t, regexp.MustCompile(`^[a-z]+(-[a-z]+)*$`).MatchString(string(c.Code)))
		assert.Assert(t, !seen[c.Code], "%s is listed twice", c.Code)
		assert.Equal(t, c.Code.Info(), c)
		seen[c.Code] = true
	}
	assert.Equal(t, core.Code("made-up").Info().Code, core.CodeInternal)
}
