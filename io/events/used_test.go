package events_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEventsAreLogged guards against events that are documented but never written.
// There were once eleven of them, one for an outage of the platform. Each event must be
// used in the code of another package.
func TestEventsAreLogged(t *testing.T) {
	var code strings.Builder
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		raw, err := os.ReadFile(path)
		code.Write(raw)
		return err
	})
	assert.NilError(t, err)
	file, err := parser.ParseFile(token.NewFileSet(), "table.go", nil, 0)
	assert.NilError(t, err)
	found := 0
	ast.Inspect(file, func(n ast.Node) bool {
		entry, ok := n.(*ast.KeyValueExpr)
		if !ok {
			return true
		}
		key, isName := entry.Key.(*ast.Ident)
		event, named := entry.Value.(*ast.Ident)
		if !isName || key.Name != "Event" || !named || !event.IsExported() {
			return true
		}
		found++
		assert.Check(t, strings.Contains(code.String(), "events."+event.Name), "nothing writes %s", event.Name)
		return true
	})
	assert.Assert(t, found > 30, found)
}
