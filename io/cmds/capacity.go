package cmds

import (
	"bytes"
	"io"
	"os"
	"strings"

	"github.com/samber/oops"
)

// capacityCommand makes the tables of the page on capacity from raw figures.
type capacityCommand struct {
	Figures string `default:"docs/capacity" help:"Directory with the raw figures (CSV)." type:"existingdir"`
	Page    string `default:"docs/CAPACITY.md" help:"Page whose tables are made anew." type:"existingfile"`
}

// Run writes the page.
func (c *capacityCommand) Run(_ io.Writer) error {
	old, err := os.ReadFile(c.Page)
	if err != nil {
		return oops.Wrapf(err, "read page")
	}
	page, err := capacityPage(string(old), c.Figures)
	if err != nil {
		return err
	}
	return oops.Wrapf(os.WriteFile(c.Page, []byte(page), 0o644), "write page")
}

// Marks round a table of the page.
const (
	tableBegin = "<!-- table "
	tableClose = " -->\n"
	tableEnd   = "<!-- end -->\n"
)

// MarkError reports a page whose marks are not those of a known table.
type MarkError struct{ Table string }

// Error implements error.
func (e *MarkError) Error() string {
	return "no table " + e.Table + " can be made, or its mark has no end"
}

// capacityPage returns the page with each table between its marks made anew.
func capacityPage(old, dir string) (string, error) {
	var b strings.Builder
	for {
		before, rest, found := strings.Cut(old, tableBegin)
		b.WriteString(before)
		if !found {
			return b.String(), nil
		}
		name, rest, _ := strings.Cut(rest, tableClose)
		_, after, ended := strings.Cut(rest, tableEnd)
		build := capacityTables[name]
		if build == nil || !ended {
			return "", oops.Wrap(&MarkError{Table: name})
		}
		table, err := build(dir)
		if err != nil {
			return "", err
		}
		b.WriteString(tableBegin + name + tableClose + table.String() + tableEnd)
		old = after
	}
}

// grid is a table in Markdown.
type grid struct{ bytes.Buffer }

func newGrid(heads ...string) *grid {
	g := &grid{}
	g.row(heads...)
	rule := make([]string, len(heads))
	for i := range rule {
		rule[i] = "---:"
	}
	rule[0] = "---"
	g.row(rule...)
	return g
}

func (g *grid) row(cells ...string) { g.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
