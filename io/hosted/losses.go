package hosted

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"radishwell/core"
	"radishwell/core/losses"
	"radishwell/io/events"
)

type lossesCommand struct {
	Logs []string `arg:"" type:"path" help:"Log files of entries."`
}

// Run prints, by route and cause, what became of the requests in the logs.
func (c *lossesCommand) Run(out io.Writer) error {
	lines, err := readLogs(c.Logs)
	if err != nil {
		return err
	}
	a := account(lines)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "route\tcause\trequests\tof the route's")
	for _, route := range a.table.Routes() {
		all, lost := a.table.Total(route)
		for _, row := range a.table.Rows(route) {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%.1f%%\n", route, row.Cause, row.Count, 100*float64(row.Count)/float64(all))
		}
		_, _ = fmt.Fprintf(w, "%s\tlost or late in all\t%d\t%.1f%%\n", route, lost, 100*float64(lost)/float64(all))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "requests without a route %d, lines that could not be read %d, lines that the processes left out %d\n", a.noRoute, a.bad, a.leftOut)
	return err
}

// accounted is what the lines of logs add up to.
type accounted struct {
	table losses.Table
	// noRoute counts requests that no route has, bad the lines about requests that
	// could not be read, and leftOut the lines that processes say they left out.
	noRoute, bad, leftOut int
}

// requestEvents are the events of which each request has one.
var requestEvents = map[string]bool{
	events.RequestServed.Info().ID: true, events.RequestRefused.Info().ID: true, events.RequestMayHaveRun.Info().ID: true,
}

func account(lines []logLine) accounted {
	var a accounted
	for _, l := range lines {
		if !requestEvents[l.value("event")] {
			continue
		}
		if n, err := strconv.Atoi(l.number("left-out")); err == nil {
			a.leftOut += n
		}
		r, ok := requestIn(l)
		switch {
		case !ok:
			a.bad++
		case r.Route == "":
			a.noRoute++
		default:
			a.table.Add(r)
		}
	}
	return a
}

// requestIn reads a request from its line; false where the line is cut or damaged.
func requestIn(l logLine) (*losses.Request, bool) {
	r := &losses.Request{
		Route: l.value("route"), Answered: l.value("event") == events.RequestServed.Info().ID,
		Spoilt: strings.Contains(l.value("cause"), "spoilt"),
	}
	code, _, _ := strings.Cut(l.value("err"), " ")
	r.Code = core.Code(code)
	r.Sends, _ = strconv.Atoi(l.number("sends"))  // a cut line fails below, by its time
	status, _ := strconv.Atoi(l.number("status")) // plain refusals have none
	r.Failed = status >= http.StatusInternalServerError
	if l.value("request") == "" || l.value("took") == "" || !r.Answered && code == "" {
		return nil, false
	}
	for key, at := range map[string]*time.Duration{
		"took": &r.Duration, "target": &r.Target, "waited": &r.NoCopyWait, "fetched": &r.AdapterWait, "first": &r.FirstEvent,
		"longest-pause": &r.LongestPause, "pause-target": &r.PauseTarget,
	} {
		text := l.value(key)
		if text == "" {
			continue
		}
		d, err := time.ParseDuration(text)
		if err != nil {
			return nil, false
		}
		*at = d
	}
	return r, true
}
