package bench

import (
	"html/template"
	"io"
	"strconv"

	"github.com/samber/oops"
)

// page is the template of the HTML report. It refers to no other files, because
// reports are also read without a network.
var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"balance": balance, "listing": listing,
	"ms": func(v float64) string { return strconv.FormatFloat(v, 'f', 1, 64) },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Report.Name}}</title>
<style>
body { font-family: sans-serif; margin: 2em auto; max-width: 75em; color: #222 }
table { border-collapse: collapse; margin: 1em 0 }
th, td { padding: .2em .6em; border-bottom: 1px solid #ddd; text-align: right; font-variant-numeric: tabular-nums }
th:first-child, td:first-child, td.text, th.text { text-align: left }
.good { color: #00704f } .bad { color: #b00020; font-weight: bold }
svg { max-width: 100%; height: auto }
</style></head><body>
<h1>{{.Report.Name}}</h1>
<p>{{.Report.Start.Format "2006-01-02 15:04:05 MST"}}, {{printf "%.0f" .Report.Seconds}} s, seed {{.Report.Seed}}, {{.Report.Processors}} processors, entries {{range .Report.Entries}}{{.}} {{end}}</p>
{{with .Report.Faults}}<ul class="bad">{{range .}}<li>{{.}}</li>{{end}}</ul>{{else}}<p class="good">Every request had its outcome, and nothing ran that must not.</p>{{end}}
{{if .Report.Sent}}
<p>sent {{.Report.Sent}} = {{balance .Report.Fates}}; silent {{.Report.Silent}}, late {{.Report.Late}}, left out by the tool {{.Report.Unsent}}, connections refused and made elsewhere {{.Report.Redials}}</p>
{{with .Report.Codes}}<p>codes: {{listing .}}</p>{{end}}
<p{{if .Report.LagHigh}} class="bad"{{end}}>The tool's own lag: p50 {{.Report.Lag.P50}} ms, p99 {{.Report.Lag.P99}} ms, max {{.Report.Lag.Max}} ms.
Latencies count from the time at which a request was due to be sent.</p>
{{range .Charts}}<figure>{{.}}</figure>{{end}}
<h2>Latencies, ms</h2>
<table><tr><th>call</th><th class="text">model</th><th class="text">class</th><th>sent</th><th>outcomes</th><th>cold</th><th>first byte p50</th><th>p90</th><th>p99</th><th>p99.9</th><th>max</th><th>cold p50</th><th>cold p99</th><th>cold max</th><th>whole p50</th><th>p99</th></tr>
{{range .Report.Lines}}<tr><td>{{.Call}}</td><td class="text">{{.Model}}</td><td class="text">{{.Class}}</td><td>{{.Sent}}</td><td>{{listing .Fates}}</td><td>{{.Cold}}</td>
<td>{{ms .FirstByte.P50}}</td><td>{{ms .FirstByte.P90}}</td><td>{{ms .FirstByte.P99}}</td><td>{{ms .FirstByte.P999}}</td><td>{{ms .FirstByte.Max}}</td>
<td>{{ms .ColdFirst.P50}}</td><td>{{ms .ColdFirst.P99}}</td><td>{{ms .ColdFirst.Max}}</td><td>{{ms .Whole.P50}}</td><td>{{ms .Whole.P99}}</td></tr>
{{end}}</table>
<p>Cold: no engine had the model loaded when the request was due, as seen five times a second.</p>
<h2>What ran</h2>
<p>{{with .Report.Audit}}calls of services {{.Calls}}, ran {{.Ran}}, ran twice {{.RanTwice}}, ran though refused {{.RanThoughRefused}}, done without a run {{.DoneWithoutRun}}; model requests that one engine started again {{.Reruns}}. Services asked: {{.Services}}; engines asked: {{.Engines}}.{{range .Examples}}<br>{{.}}{{end}}{{end}}</p>
{{if .Report.Held.Polls}}<p>Models were loaded for {{printf "%.0f" .Report.Held.LoadedSeconds}} s in all, of that idle for {{printf "%.0f" .Report.Held.IdleSeconds}} s ({{printf "%.0f" .Report.Held.LoadedGiBSeconds}} and {{printf "%.0f" .Report.Held.IdleGiBSeconds}} GiB s).</p>{{end}}
{{end}}
{{with .Report.Pair}}<h2>Warm first byte of {{.Model}}, {{.Requests}} pairs, ms</h2>
<table><tr><th></th><th>p50</th><th>p90</th><th>p99</th><th>p99.9</th><th>max</th></tr>
<tr><td>through entry and agent</td><td>{{.Through.P50}}</td><td>{{.Through.P90}}</td><td>{{.Through.P99}}</td><td>{{.Through.P999}}</td><td>{{.Through.Max}}</td></tr>
<tr><td>at the engine {{.Direct}}</td><td>{{.At.P50}}</td><td>{{.At.P90}}</td><td>{{.At.P99}}</td><td>{{.At.P999}}</td><td>{{.At.Max}}</td></tr>
<tr><td>added in pairs</td><td>{{.Added.P50}}</td><td>{{.Added.P90}}</td><td>{{.Added.P99}}</td><td>{{.Added.P999}}</td><td>{{.Added.Max}}</td></tr></table>
<p>Difference of the percentiles: p50 {{.AddedP50}} ms, p99 {{.AddedP99}} ms.</p>{{end}}
{{with .Report.Switched}}<h2>Faults</h2><table><tr><th>at</th><th class="text">stand-in</th><th class="text">set</th><th class="text">problem</th></tr>
{{range .}}<tr><td>{{.At.Format "15:04:05.000"}}</td><td class="text">{{.To}}</td><td class="text">{{.Set}}</td><td class="text">{{.Problem}}</td></tr>{{end}}</table>{{end}}
{{with .Report.Incidents}}<h2>Requests to trace</h2><table><tr><th>due</th><th>after</th><th class="text">what</th><th class="text">call</th><th class="text">model</th><th class="text">entry</th><th class="text">id</th><th class="text">note</th></tr>
{{range .}}<tr><td>{{.At.Format "15:04:05.000"}}</td><td>{{.After}}</td><td class="text">{{.Fate}}</td><td class="text">{{.Call}}</td><td class="text">{{.Model}}</td><td class="text">{{.Entry}}</td><td class="text">{{.ID}}</td><td class="text">{{.Note}}</td></tr>{{end}}</table>{{end}}
</body></html>
`))

// WriteHTML writes the report as a page.
func (r *Report) WriteHTML(w io.Writer) error {
	data := struct {
		Report *Report
		Charts []template.HTML
	}{Report: r}
	if r.Sent > 0 {
		charts, err := r.charts()
		if err != nil {
			return err
		}
		data.Charts = charts
	}
	return oops.In("bench").Wrapf(page.Execute(w, data), "write page")
}
