package cmds

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCapacityPage checks that the tables of the page match the raw figures. To
// regenerate them, run go run ./cmd/standin capacity.
func TestCapacityPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	assert.NilError(t, err)
	fresh, err := capacityPage(string(page), "../../docs/capacity")
	assert.NilError(t, err)
	assert.Equal(t, fresh, string(page))
}

func TestCapacityMarks(t *testing.T) {
	for name, page := range map[string]string{
		"an unknown table":    tableBegin + "other" + tableClose + tableEnd,
		"a mark without end":  tableBegin + "rest" + tableClose + "| a |\n",
		"an end before it":    tableEnd + tableBegin + "rest" + tableClose,
		"a mark never closed": tableBegin + "rest\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := capacityPage(page, "../../docs/capacity")
			assert.ErrorContains(t, err, "can be made")
		})
	}
	t.Run("text without marks stays", func(t *testing.T) {
		page, err := capacityPage("plain\n", "../../docs/capacity")
		assert.NilError(t, err)
		assert.Equal(t, page, "plain\n")
	})
}

func TestFigures(t *testing.T) {
	dir := t.TempDir()
	text := "role,seconds\nentry,1\nentry,none\nagent,3\nentry,5\n"
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "some.csv"), []byte(text), 0o644))
	f, err := readFigures(dir, "some.csv")
	assert.NilError(t, err)
	t.Run("rows by value, what is no number left out", func(t *testing.T) {
		assert.DeepEqual(t, f.where("role", "entry").numbers("seconds"), []float64{1, 5})
		assert.DeepEqual(t, f.distinct("role"), [][]string{{"entry"}, {"agent"}})
		assert.Equal(t, len(f.numbers("unknown")), 0)
	})
	t.Run("statistics worked out by hand", func(t *testing.T) {
		list := []float64{4, 2, 8, 6}
		assert.Equal(t, mean(list), 5.0)
		assert.Equal(t, formatNumber(standardDeviation(list), 3), "2.582")
		assert.Equal(t, percentile(list, 50), 4.0)
		assert.Equal(t, percentile(list, 99), 8.0)
		l := fitLine([]float64{0, 1, 2}, []float64{1, 2, 6})
		assert.Equal(t, l.slope, 2.5)
		assert.Equal(t, formatNumber(l.intercept, 3), "0.500")
		assert.Equal(t, formatNumber(l.slopeError, 3), "0.866")
	})
}
