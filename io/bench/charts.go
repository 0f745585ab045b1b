package bench

import (
	"bytes"
	"html/template"
	"image/color"
	"math"
	"regexp"
	"strconv"

	"github.com/samber/oops"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a chart.
const (
	chartWidth  = 24 * vg.Centimeter
	chartHeight = 8 * vg.Centimeter
	lineWidth   = vg.Length(1.2)
)

// palette holds colours that readers with red-green colour blindness can
// distinguish.
var palette = []color.RGBA{
	{0, 114, 178, 255},
	{213, 94, 0, 255},
	{0, 158, 115, 255},
	{204, 121, 167, 255},
	{230, 159, 0, 255},
	{86, 180, 233, 255},
	{90, 90, 90, 255},
	{160, 90, 20, 255},
	{0, 0, 0, 255},
}

// namedCurve is one line of a chart.
type namedCurve struct {
	name   string
	points plotter.XYs
}

// chart draws curves as an SVG element for an HTML page. If adapt is given, it may
// change the plot before it is drawn.
func chart(title, x, y string, curves []namedCurve, adapt func(*plot.Plot)) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, c := range curves {
		if len(c.points) == 0 {
			continue
		}
		line, err := plotter.NewLine(c.points)
		if err != nil {
			return "", oops.In("bench").Wrapf(err, "chart %s", title)
		}
		line.Color, line.Width = palette[i%len(palette)], lineWidth
		p.Add(line)
		p.Legend.Add(c.name, line)
	}
	if adapt != nil {
		adapt(p)
	}
	canvas := vgsvg.New(chartWidth, chartHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", oops.In("bench").Wrapf(err, "chart %s", title)
	}
	return inline(out.Bytes()), nil
}

var (
	beforeSVG = regexp.MustCompile(`(?s)^.*?<svg`)
	fontFace  = regexp.MustCompile(`font-family:[^;"]*`)
)

// inline turns an SVG document into an element of an HTML page. The text can be
// trusted: the plotting library, which wrote it, escapes its input.
func inline(svg []byte) template.HTML {
	svg = beforeSVG.ReplaceAll(svg, []byte("<svg"))
	svg = fontFace.ReplaceAll(svg, []byte("font-family:sans-serif"))
	return template.HTML(svg)
}

// charts draws the charts of a report.
func (r *Report) charts() ([]template.HTML, error) {
	var out []template.HTML
	for _, one := range []func() (template.HTML, error){r.outcomeChart, r.latencyChart, r.percentileChart} {
		svg, err := one()
		if err != nil {
			return nil, err
		}
		out = append(out, svg)
	}
	return out, nil
}

func (r *Report) outcomeChart() (template.HTML, error) {
	curves := []namedCurve{{name: "sent", points: r.series(func(p Point) float64 { return float64(p.Sent) / p.Width })}}
	for f := range fateCount {
		if r.Fates[f.String()] > 0 {
			curves = append(curves, namedCurve{f.String(), r.series(func(p Point) float64 { return float64(p.Fates[f.String()]) / p.Width })})
		}
	}
	return chart("Requests a second by outcome, at the time they were due", "seconds", "requests/s", curves, r.markFaults)
}

func (r *Report) latencyChart() (template.HTML, error) {
	curves := []namedCurve{
		{"p50", r.series(func(p Point) float64 { return p.P50 })},
		{"p99", r.series(func(p Point) float64 { return p.P99 })},
		{"max", r.series(func(p Point) float64 { return p.Max })},
	}
	return chart("First byte of requests that were done, from the time they were due", "seconds", "ms", curves, func(p *plot.Plot) {
		r.markFaults(p)
		logarithmic(&p.Y)
	})
}

func (r *Report) percentileChart() (template.HTML, error) {
	var curves []namedCurve
	most := 1.0
	for _, l := range r.Lines {
		c := namedCurve{name: l.Call}
		for _, p := range l.Curve {
			nines := -math.Log10(math.Max(1-p.Percentile/100, 1e-9))
			most = max(most, nines)
			c.points = append(c.points, plotter.XY{X: nines, Y: math.Max(p.Millis, minMillis)})
		}
		if l.Model == "" {
			curves = append(curves, c)
		}
	}
	return chart("First byte by percentile", "percentile", "ms", curves, func(p *plot.Plot) {
		logarithmic(&p.Y)
		p.X.Tick.Marker = percentileTicks(int(math.Ceil(most)))
	})
}

func percentileTicks(most int) plot.ConstantTicks {
	ticks := plot.ConstantTicks{{Value: 0, Label: "0"}}
	for i := 1; i <= most; i++ {
		label := strconv.FormatFloat(100*(1-math.Pow(10, -float64(i))), 'f', max(i-2, 0), 64)
		ticks = append(ticks, plot.Tick{Value: float64(i), Label: label})
	}
	return ticks
}

// minMillis replaces smaller values, because a logarithmic axis has no zero.
const minMillis = 0.01

// logarithmic makes an axis logarithmic. An axis without data gets a default range,
// without which it can't be drawn.
func logarithmic(a *plot.Axis) {
	if a.Min > a.Max {
		a.Min, a.Max = minMillis, 1
	}
	a.Min = max(a.Min, minMillis)
	a.Max = max(a.Max, a.Min*10)
	a.Scale = plot.LogScale{}
	a.Tick.Marker = plot.LogTicks{Prec: -1}
}

func (r *Report) series(value func(Point) float64) plotter.XYs {
	var out plotter.XYs
	for _, p := range r.Points {
		out = append(out, plotter.XY{X: p.Second, Y: math.Max(value(p), minMillis)})
	}
	return out
}

// markFaults draws a dashed line at each time at which faults were set.
func (r *Report) markFaults(p *plot.Plot) {
	for _, s := range r.Switched {
		x := s.At.Sub(r.Start).Seconds()
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: max(p.Y.Min, minMillis)}, {X: x, Y: max(p.Y.Max, 1)}})
		if err != nil {
			continue // the table of faults in the page still lists this one
		}
		line.Color, line.Dashes = color.Gray{120}, []vg.Length{2, 2}
		p.Add(line)
	}
}
