package bench

import (
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// plural returns a number of requests, followed by a space.
func plural(n int) string {
	if n == 1 {
		return "1 request "
	}
	return strconv.Itoa(n) + " requests "
}

// Print writes the report as text.
func (r *Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s, seed %d, %s, %.0f s\n", r.Name, r.Seed, r.Start.Format(time.RFC3339), r.Seconds)
	if r.Sent > 0 {
		r.printLoad(w)
	}
	if r.Pair != nil {
		r.Pair.print(w)
	}
	for _, f := range r.Faults() {
		fmt.Fprintln(w, "FAULT:", f)
	}
	for _, e := range r.Audit.Examples {
		fmt.Fprintln(w, "  ", e)
	}
	return w.Flush()
}

func (r *Report) printLoad(w io.Writer) {
	fmt.Fprintf(w, "sent %d = %s; silent %d, late %d, left out %d, redials %d\n", r.Sent, balance(r.Fates), r.Silent, r.Late, r.Unsent, r.Redials)
	if len(r.Codes) > 0 {
		fmt.Fprintf(w, "codes: %s\n", listing(r.Codes))
	}
	fmt.Fprintf(w, "the tool's own lag in ms: p50 %.3f, p99 %.3f, max %.3f\n", r.Lag.P50, r.Lag.P99, r.Lag.Max)
	if r.LagHigh() {
		fmt.Fprintln(w, "the tool could not keep its times: latencies include its own delays")
	}
	fmt.Fprintln(w, "\ncall\tmodel\tclass\tsent\tdone\tcold\tfirst byte p50\tp99\tmax\tcold p50\tp99\tmax\twhole p50\tp99\tms\t")
	for _, l := range r.Lines {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\t\n", l.Call, l.Model, l.Class, l.Sent, l.Fates[done.String()],
			l.Cold, l.FirstByte.P50, l.FirstByte.P99, l.FirstByte.Max, l.ColdFirst.P50, l.ColdFirst.P99, l.ColdFirst.Max, l.Whole.P50, l.Whole.P99)
	}
	r.printAudit(w)
}

func (r *Report) printAudit(w io.Writer) {
	a := r.Audit
	if r.Held.Polls > 0 {
		fmt.Fprintf(w, "\nmodels loaded %.0f s, of that idle %.0f s (%.0f and %.0f GiB s)\n", r.Held.LoadedSeconds, r.Held.IdleSeconds, r.Held.LoadedGiBSeconds, r.Held.IdleGiBSeconds)
	}
	if a.Services {
		fmt.Fprintf(w, "calls of services %d, ran %d, ran twice %d, ran though refused %d, done without a run %d\n", a.Calls, a.Ran, a.RanTwice, a.RanThoughRefused, a.DoneWithoutRun)
	}
	if a.Engines {
		fmt.Fprintf(w, "model requests started again by the same engine %d\n", a.Reruns)
	}
}

// balance lists the fates with their counts. It leaves out zero counts, except for
// the three outcomes that the system reports.
func balance(fates map[string]int) string {
	var parts []string
	for f := range fateCount {
		if n := fates[f.String()]; n > 0 || f <= mayHaveRun {
			parts = append(parts, strconv.Itoa(n)+" "+f.String())
		}
	}
	return strings.Join(parts, " + ")
}

// listing lists counts, largest first.
func listing(counts map[string]int) string {
	keys := sortedKeys(counts)
	sort.SliceStable(keys, func(i, j int) bool { return counts[keys[i]] > counts[keys[j]] })
	for i, k := range keys {
		keys[i] = k + " " + strconv.Itoa(counts[k])
	}
	return strings.Join(keys, ", ")
}
