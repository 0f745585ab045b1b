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

// Run prints how many requests in the logs were served in time, late or lost, by route and
// cause.
func (c *lossesCommand) Run(out io.Writer) error {
	lines, err := readLogs(c.Logs)
	if err != nil {
		return err
	}
	a := summarize(lines)
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
	_, err = fmt.Fprintf(out, "requests without a route %d, lines that could not be read %d, lines that the processes left out %d\n", a.noRoute, a.invalid, a.suppressed)
	return err
}

// summary counts the requests in logs.
type summary struct {
	table losses.Table
	// noRoute counts requests that match no route, invalid the lines about requests that do
	// not parse, and suppressed the lines that processes report to have left out.
	noRoute, invalid, suppressed int
}

// endEvents are the events that end a request. Each request logs one of them.
var endEvents = map[string]bool{
	events.RequestServed.Info().ID: true, events.RequestRefused.Info().ID: true, events.RequestMayHaveRun.Info().ID: true,
}

// summarize summarises the lines about ended requests.
func summarize(lines []logLine) summary {
	var a summary
	for _, l := range lines {
		if !endEvents[l.value("event")] {
			continue
		}
		if n, err := strconv.Atoi(l.number("left-out")); err == nil {
			a.suppressed += n
		}
		r, ok := parseRequest(l)
		switch {
		case !ok:
			a.invalid++
		case r.Route == "":
			a.noRoute++
		default:
			a.table.Add(r)
		}
	}
	return a
}

// parseRequest parses a request from its log line. It returns false if the line is truncated or
// damaged.
func parseRequest(l logLine) (*losses.Request, bool) {
	r := &losses.Request{
		Route: l.value("route"), Answered: l.value("event") == events.RequestServed.Info().ID,
		Spoilt: strings.Contains(l.value("cause"), "spoilt"),
	}
	code, _, _ := strings.Cut(l.value("err"), " ")
	r.Code = core.Code(code)
	r.Sends, _ = strconv.Atoi(l.number("sends"))  // a line truncated before took is rejected below
	status, _ := strconv.Atoi(l.number("status")) // refused requests have none
	r.Failed = status >= http.StatusInternalServerError
	if l.value("request") == "" || l.value("took") == "" || !r.Answered && code == "" {
		return nil, false
	}
	for key, at := range map[string]*time.Duration{
		"took": &r.Duration, "target": &r.Target, "waited": &r.NoCopyWait, "fetched": &r.AdapterWait, "held": &r.HeldWait, "first": &r.FirstEvent,
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
