package bench

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Compare prints the differences between two reports.
func Compare(out io.Writer, a, b *Report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "what\t%s %s\t%s %s\tdifference\t\n", a.Name, a.Start.Format("15:04:05"), b.Name, b.Start.Format("15:04:05"))
	d := differ{w: w}
	d.count("sent", a.Sent, b.Sent)
	for f := range fateCount {
		d.count(f.String(), a.Fates[f.String()], b.Fates[f.String()])
	}
	for _, code := range union(a.Codes, b.Codes) {
		d.count("code "+code, a.Codes[code], b.Codes[code])
	}
	d.count("late", a.Late, b.Late)
	d.count("left out", a.Unsent, b.Unsent)
	d.count("breaches", a.Audit.Breaches(), b.Audit.Breaches())
	d.value("tool's lag p99, ms", a.Lag.P99, b.Lag.P99)
	d.value("idle model seconds", a.Held.IdleSeconds, b.Held.IdleSeconds)
	d.lines(a, b)
	if a.Pair != nil && b.Pair != nil {
		d.value("pair: added p50, ms", a.Pair.AddedP50, b.Pair.AddedP50)
		d.value("pair: added p99, ms", a.Pair.AddedP99, b.Pair.AddedP99)
	}
	return w.Flush()
}

type differ struct{ w io.Writer }

// count prints a row unless both are zero.
func (d differ) count(what string, a, b int) {
	if a != 0 || b != 0 {
		fmt.Fprintf(d.w, "%s\t%d\t%d\t%+d\t\n", what, a, b, b-a)
	}
}

func (d differ) value(what string, a, b float64) {
	if a == 0 && b == 0 {
		return
	}
	change := ""
	if a != 0 {
		change = fmt.Sprintf(" (%+.0f%%)", 100*(b-a)/a)
	}
	fmt.Fprintf(d.w, "%s\t%.3f\t%.3f\t%+.3f%s\t\n", what, a, b, b-a, change)
}

// lines compares the lines that occur in both reports.
func (d differ) lines(a, b *Report) {
	for _, x := range a.Lines {
		for _, y := range b.Lines {
			if x.Call != y.Call || x.Model != y.Model {
				continue
			}
			name := x.Call
			if x.Model != "" {
				name += " " + string(x.Model)
			}
			d.value(name+" first byte p50, ms", x.FirstByte.P50, y.FirstByte.P50)
			d.value(name+" first byte p99, ms", x.FirstByte.P99, y.FirstByte.P99)
			d.value(name+" cold p99, ms", x.ColdFirst.P99, y.ColdFirst.P99)
			d.value(name+" whole p99, ms", x.Whole.P99, y.Whole.P99)
		}
	}
}

func union(a, b map[string]int) []string {
	both := map[string]int{}
	for k := range a {
		both[k]++
	}
	for k := range b {
		both[k]++
	}
	return sortedKeys(both)
}
