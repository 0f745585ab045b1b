package cmds

import (
	"fmt"
	"strconv"
)

// The size of the deployment for which the capacity page extrapolates.
const (
	targetEntries   = 400
	targetAgents    = 640
	targetProcesses = targetEntries + targetAgents
	targetAdapters  = 3400
	targetRequests  = 5400
	targetTokens    = 1_800_000
)

// capacityTables maps the name of each table of the page to the function that
// generates it from a directory of raw figures.
var capacityTables = map[string]func(dir string) (*markdownTable, error){
	"rest":      restTable,
	"slopes":    slopesTable,
	"adapters":  adaptersTable,
	"quiet":     quietTable,
	"listed":    listedTable,
	"data":      dataTable,
	"converge":  convergeTable,
	"failover":  failoverTable,
	"wake":      wakeTable,
	"agentkill": agentKillTable,
}

// Columns of the files with figures of idle processes.
const (
	colProcesses = "processes"
	colModels    = "models"
	colAdapters  = "adapters"
	colRole      = "role"
	colBytes     = "control-bytes-per-second"
	colCPU       = "cpu-percent"
	colMemory    = "memory-mib"
	colCalls     = "platform-calls-per-second"
	colSettle    = "settle-seconds"
)

func formatNumber(v float64, digits int) string { return strconv.FormatFloat(v, 'f', digits, 64) }

// formatSpread formats the mean, the standard deviation and the maximum of a sample.
func formatSpread(list []float64, digits int) string {
	return fmt.Sprintf("%s ± %s, %s", formatNumber(mean(list), digits), formatNumber(standardDeviation(list), digits), formatNumber(percentile(list, 100), digits))
}

func restTable(dir string) (*markdownTable, error) { return idleTable(dir, "rest.csv") }

func quietTable(dir string) (*markdownTable, error) { return idleTable(dir, "quiet.csv") }

func listedTable(dir string) (*markdownTable, error) { return idleTable(dir, "listed.csv") }

// idleTable returns a table of what an idle process costs, by size of the fleet and
// role.
func idleTable(dir, name string) (*markdownTable, error) {
	f, err := readFigures(dir, name)
	if err != nil {
		return nil, err
	}
	g := newTable("processes, models, adapters, role", "n", "control B/s", "% of a core", "MiB", "platform calls/s of all", "s to all grants")
	for _, v := range f.distinct(colProcesses, colModels, colAdapters, colRole) {
		rows := f.where(colProcesses, v[0], colModels, v[1], colAdapters, v[2], colRole, v[3])
		g.row(v[0]+", "+v[1]+", "+v[2]+", "+v[3], strconv.Itoa(len(rows.rows)), formatSpread(rows.numbers(colBytes), 0),
			formatSpread(rows.numbers(colCPU), 2), formatSpread(rows.numbers(colMemory), 1),
			formatNumber(mean(rows.numbers(colCalls)), 2), formatNumber(mean(rows.numbers(colSettle)), 0))
	}
	return g, nil
}

// slopesTable fits the cost of a process to the number of processes at 70 models.
func slopesTable(dir string) (*markdownTable, error) {
	f, err := readFigures(dir, "rest.csv")
	if err != nil {
		return nil, err
	}
	g := newTable("per role, against processes", "base", "per 100 processes, ± standard error", "line's value at "+strconv.Itoa(targetProcesses))
	for _, role := range []string{"entry", "agent"} {
		rows := f.where(colModels, "70", colAdapters, "0", colRole, role)
		for _, column := range []string{colBytes, colCPU, colMemory} {
			l := fitLine(rows.numbers(colProcesses), rows.numbers(column))
			g.row(role+", "+column, formatNumber(l.intercept, 2), formatNumber(100*l.slope, 3)+" ± "+formatNumber(100*l.slopeError, 3), formatNumber(l.at(targetProcesses), 2))
		}
	}
	return g, nil
}

// adaptersTable fits memory to the number of adapters at 40 processes.
func adaptersTable(dir string) (*markdownTable, error) {
	f, err := readFigures(dir, "rest.csv")
	if err != nil {
		return nil, err
	}
	g := newTable("per role, against adapters", "base MiB", "KiB an adapter, ± standard error", "MiB at "+strconv.Itoa(targetAdapters))
	for _, role := range []string{"entry", "agent"} {
		rows := f.where(colProcesses, "40", colModels, "70", colRole, role)
		l := fitLine(rows.numbers(colAdapters), rows.numbers(colMemory))
		g.row(role, formatNumber(l.intercept, 1), formatNumber(1024*l.slope, 2)+" ± "+formatNumber(1024*l.slopeError, 2), formatNumber(l.at(targetAdapters), 1))
	}
	return g, nil
}

// dataTable fits processor time to the number of tokens of a request.
func dataTable(dir string) (*markdownTable, error) {
	f, err := readFigures(dir, "datapath.csv")
	if err != nil {
		return nil, err
	}
	g := newTable("role", "ms a request", "µs a token, ± standard error", "requests and tokens a second each at the size", "% of a core each")
	for _, one := range []struct {
		role, column string
		processes    float64
	}{
		{"entry", "entry-cpu-ms-per-request", targetEntries},
		{"agent", "agents-cpu-ms-per-request", targetAgents},
	} {
		l := fitLine(f.numbers("tokens"), f.numbers(one.column))
		requests, tokens := targetRequests/one.processes, targetTokens/one.processes
		g.row(one.role, formatNumber(l.intercept, 2), formatNumber(1000*l.slope, 1)+" ± "+formatNumber(1000*l.slopeError, 1),
			formatNumber(requests, 1)+", "+formatNumber(tokens, 0), formatNumber((l.intercept*requests+l.slope*tokens)/10, 1))
	}
	return g, nil
}

func convergeTable(dir string) (*markdownTable, error) {
	f, err := readFigures(dir, "converge.csv")
	if err != nil {
		return nil, err
	}
	g := newTable("scenario", "edits or starts", "measured", "never", "p50 s", "p99 s", "max s")
	for _, v := range f.distinct("scenario") {
		rows := f.where("scenario", v[0])
		list := rows.numbers("seconds")
		g.row(v[0], strconv.Itoa(len(rows.distinct("edit"))), strconv.Itoa(len(list)), strconv.Itoa(len(rows.rows)-len(list)),
			formatNumber(percentile(list, 50), 3), formatNumber(percentile(list, 99), 3), formatNumber(percentile(list, 100), 3))
	}
	return g, nil
}

func failoverTable(dir string) (*markdownTable, error) {
	f, err := readFigures(dir, "failover.csv")
	if err != nil {
		return nil, err
	}
	g := newTable("from the kill until", "rounds", "min s", "mean s", "max s")
	for _, one := range []struct{ column, what string }{
		{"lease-seconds", "another entry has the lease"},
		{"grant-seconds", "a new model has its grant"},
	} {
		list := f.numbers(one.column)
		g.row(one.what, strconv.Itoa(len(list)), formatNumber(percentile(list, 0), 2), formatNumber(mean(list), 2), formatNumber(percentile(list, 100), 2))
	}
	return g, nil
}

func wakeTable(dir string) (*markdownTable, error) {
	f, err := readFigures(dir, "wake.csv")
	if err != nil {
		return nil, err
	}
	requests, err := readFigures(dir, "wake-requests.csv")
	if err != nil {
		return nil, err
	}
	g := newTable("figure", "value")
	for _, column := range []string{
		"entries", "agents", "models", "adapters", "woken", "at-once", "done", "wave-seconds", "platform-reads", "platform-writes",
		"platform-watches", "platform-calls-per-second-at-rest", "control-bytes", "entries-cpu-seconds", "agents-cpu-seconds",
	} {
		g.row(column, formatNumber(mean(f.numbers(column)), 2))
	}
	list := requests.numbers("seconds")
	for _, p := range []float64{50, 99, 100} {
		g.row("request-seconds-p"+formatNumber(p, 0), formatNumber(percentile(list, p), 3))
	}
	return g, nil
}

func agentKillTable(dir string) (*markdownTable, error) {
	f, err := readFigures(dir, "agentkill.csv")
	if err != nil {
		return nil, err
	}
	g := newTable("caller", "status, outcome", "rounds", "min s", "mean s", "max s")
	for _, v := range f.distinct("caller", "status", "outcome") {
		list := f.where("caller", v[0], "status", v[1], "outcome", v[2]).numbers("seconds")
		g.row(v[0], v[1]+", "+v[2], strconv.Itoa(len(list)), formatNumber(percentile(list, 0), 2), formatNumber(mean(list), 2), formatNumber(percentile(list, 100), 2))
	}
	return g, nil
}
