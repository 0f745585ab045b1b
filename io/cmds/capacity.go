package cmds

import (
	"bytes"
	"io"
	"os"
	"strings"

	"github.com/samber/oops"
)

// capacityCommand generates the tables of the capacity page from raw figures.
type capacityCommand struct {
	Figures string `default:"docs/capacity" help:"Directory with the raw figures (CSV)." type:"existingdir"`
	Page    string `default:"docs/CAPACITY.md" help:"Page whose tables are regenerated." type:"existingfile"`
}

// Run rewrites the page in place.
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

// Marks that enclose a table of the page.
const (
	tableBegin = "<!-- table "
	tableClose = " -->\n"
	tableEnd   = "<!-- end -->\n"
)

// MarkError reports a mark that names an unknown table or has no end mark.
type MarkError struct{ Table string }

// Error implements error.
func (e *MarkError) Error() string {
	return "no table " + e.Table + " can be made, or its mark has no end"
}

// capacityPage returns the page old with the table between each pair of marks
// regenerated from the figures in dir.
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

// markdownTable builds a table in Markdown.
type markdownTable struct{ bytes.Buffer }

func newTable(heads ...string) *markdownTable {
	g := &markdownTable{}
	g.row(heads...)
	rule := make([]string, len(heads))
	for i := range rule {
		rule[i] = "---:"
	}
	rule[0] = "---"
	g.row(rule...)
	return g
}

func (g *markdownTable) row(cells ...string) {
	g.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}
