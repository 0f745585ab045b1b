package cmds

import (
	"encoding/csv"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/samber/oops"
)

// figures holds the rows of a CSV file with raw figures.
type figures struct {
	file    string
	columns map[string]int
	rows    [][]string
}

func readFigures(dir, name string) (figures, error) {
	f, err := os.Open(filepath.Join(dir, name))
	if err != nil {
		return figures{}, oops.Wrapf(err, "open figures")
	}
	defer f.Close()
	rows, err := csv.NewReader(f).ReadAll()
	if err != nil {
		return figures{}, oops.Wrapf(err, "read %s", name)
	}
	out := figures{file: name, columns: map[string]int{}}
	for i, row := range rows {
		if i > 0 {
			out.rows = append(out.rows, row)
			continue
		}
		for n, column := range row {
			out.columns[column] = n
		}
	}
	return out, nil
}

// where returns the rows that match all pairs, which alternate between the name
// of a column and its value.
func (f figures) where(pairs ...string) figures {
	out := figures{file: f.file, columns: f.columns}
	for _, row := range f.rows {
		fits := true
		for i := 0; i+1 < len(pairs); i += 2 {
			fits = fits && row[f.columns[pairs[i]]] == pairs[i+1]
		}
		if fits {
			out.rows = append(out.rows, row)
		}
	}
	return out
}

// distinct returns the distinct combinations of values of columns, in the order
// of their first rows.
func (f figures) distinct(columns ...string) [][]string {
	var list [][]string
	for _, row := range f.rows {
		values := make([]string, len(columns))
		for i, column := range columns {
			values[i] = row[f.columns[column]]
		}
		if !slices.ContainsFunc(list, func(v []string) bool { return slices.Equal(v, values) }) {
			list = append(list, values)
		}
	}
	return list
}

// numbers returns the numbers in a column. It skips values that aren't numbers,
// such as "none", and returns nil if there is no such column.
func (f figures) numbers(column string) []float64 {
	n, ok := f.columns[column]
	if !ok {
		return nil
	}
	var list []float64
	for _, row := range f.rows {
		if v, err := strconv.ParseFloat(row[n], 64); err == nil {
			list = append(list, v)
		}
	}
	return list
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(len(list))
}

// standardDeviation returns the standard deviation of a sample.
func standardDeviation(list []float64) float64 {
	if len(list) < 2 {
		return 0
	}
	m, sum := mean(list), 0.0
	for _, v := range list {
		sum += (v - m) * (v - m)
	}
	return math.Sqrt(sum / float64(len(list)-1))
}

// percentile returns the smallest value v such that at least p percent of the
// values are at most v.
func percentile(list []float64, p float64) float64 {
	if len(list) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(list))
	i := int(math.Ceil(p/100*float64(len(sorted)))) - 1
	return sorted[max(0, i)]
}

// fittedLine is a straight line fitted by least squares.
type fittedLine struct {
	intercept, slope float64
	// slopeError is the standard error of slope.
	slopeError float64
}

// fitLine returns the line through the points (x[i], y[i]). It needs at least two
// different values of x.
func fitLine(x, y []float64) fittedLine {
	mx, my := mean(x), mean(y)
	var xx, xy float64
	for i := range x {
		xx += (x[i] - mx) * (x[i] - mx)
		xy += (x[i] - mx) * (y[i] - my)
	}
	l := fittedLine{slope: xy / xx}
	l.intercept = my - l.slope*mx
	if len(x) > 2 {
		residuals := 0.0
		for i := range x {
			d := y[i] - l.at(x[i])
			residuals += d * d
		}
		l.slopeError = math.Sqrt(residuals / float64(len(x)-2) / xx)
	}
	return l
}

func (l fittedLine) at(x float64) float64 { return l.intercept + l.slope*x }
