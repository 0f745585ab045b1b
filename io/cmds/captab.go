package cmds

import (
	"fmt"
	"strconv"
)

// The size that the page on capacity is for.
const (
	sizeEntries   = 400
	sizeAgents    = 640
	sizeProcesses = sizeEntries + sizeAgents
	sizeAdapters  = 3400
	sizeRequests  = 5400
	sizeTokens    = 1_800_000
)

// capacityTables make the page's tables from a directory of raw figures.
var capacityTables = map[string]func(dir string) (*grid, error){
	"rest":      restTable,
	"slopes":    slopesTable,
	"adapters":  adaptersTable,
	"listed":    listedTable,
	"data":      dataTable,
	"converge":  convergeTable,
	"failover":  failoverTable,
	"wake":      wakeTable,
	"agentkill": agentKillTable,
}

// Columns of the figures of processes at rest.
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
	colQuiet     = "quiet-seconds"
)

func number(v float64, digits int) string { return strconv.FormatFloat(v, 'f', digits, 64) }

// spreadOf writes a mean, its sample's standard deviation, and the maximum.
func spreadOf(list []float64, digits int) string {
	return fmt.Sprintf("%s ± %s, %s", number(mean(list), digits), number(deviation(list), digits), number(percentile(list, 100), digits))
}

func restTable(dir string) (*grid, error) { return atRest(dir, "rest.csv") }

func listedTable(dir string) (*grid, error) { return atRest(dir, "listed.csv") }

// atRest tells what processes of each size of fleet and each role cost.
func atRest(dir, name string) (*grid, error) {
	f, err := readFigures(dir, name)
	if err != nil {
		return nil, err
	}
	g := newGrid("processes, models, adapters, role", "n", "control B/s", "% of a core", "MiB", "platform calls/s of all", "s to all grants")
	for _, v := range f.distinct(colProcesses, colModels, colAdapters, colRole) {
		rows := f.where(colProcesses, v[0], colModels, v[1], colAdapters, v[2], colRole, v[3])
		g.row(v[0]+", "+v[1]+", "+v[2]+", "+v[3], strconv.Itoa(len(rows.rows)), spreadOf(rows.numbers(colBytes), 0),
			spreadOf(rows.numbers(colCPU), 2), spreadOf(rows.numbers(colMemory), 1),
			number(mean(rows.numbers(colCalls)), 2), number(mean(rows.numbers(colSettle)), 0))
	}
	return g, nil
}

// slopesTable fits lines over the number of processes at 70 models.
func slopesTable(dir string) (*grid, error) {
	f, err := readFigures(dir, "rest.csv")
	if err != nil {
		return nil, err
	}
	g := newGrid("per role, against processes", "base", "per 100 processes, ± standard error", "line's value at "+strconv.Itoa(sizeProcesses))
	for _, role := range []string{"entry", "agent"} {
		rows := f.where(colModels, "70", colAdapters, "0", colRole, role)
		for _, column := range []string{colBytes, colCPU, colMemory} {
			l := fit(rows.numbers(colProcesses), rows.numbers(column))
			g.row(role+", "+column, number(l.base, 2), number(100*l.slope, 3)+" ± "+number(100*l.spread, 3), number(l.at(sizeProcesses), 2))
		}
	}
	return g, nil
}

// adaptersTable fits memory over the number of adapters at 40 processes.
func adaptersTable(dir string) (*grid, error) {
	f, err := readFigures(dir, "rest.csv")
	if err != nil {
		return nil, err
	}
	g := newGrid("per role, against adapters", "base MiB", "KiB an adapter, ± standard error", "MiB at "+strconv.Itoa(sizeAdapters))
	for _, role := range []string{"entry", "agent"} {
		rows := f.where(colProcesses, "40", colModels, "70", colRole, role)
		l := fit(rows.numbers(colAdapters), rows.numbers(colMemory))
		g.row(role, number(l.base, 1), number(1024*l.slope, 2)+" ± "+number(1024*l.spread, 2), number(l.at(sizeAdapters), 1))
	}
	return g, nil
}

// dataTable fits processor time over the tokens of a request.
func dataTable(dir string) (*grid, error) {
	f, err := readFigures(dir, "datapath.csv")
	if err != nil {
		return nil, err
	}
	g := newGrid("role", "ms a request", "µs a token, ± standard error", "requests and tokens a second each at the size", "% of a core each")
	for _, one := range []struct {
		role, column string
		processes    float64
	}{
		{"entry", "entry-cpu-ms-per-request", sizeEntries},
		{"agent", "agents-cpu-ms-per-request", sizeAgents},
	} {
		l := fit(f.numbers("tokens"), f.numbers(one.column))
		requests, tokens := sizeRequests/one.processes, sizeTokens/one.processes
		g.row(one.role, number(l.base, 2), number(1000*l.slope, 1)+" ± "+number(1000*l.spread, 1),
			number(requests, 1)+", "+number(tokens, 0), number((l.base*requests+l.slope*tokens)/10, 1))
	}
	return g, nil
}

func convergeTable(dir string) (*grid, error) {
	f, err := readFigures(dir, "converge.csv")
	if err != nil {
		return nil, err
	}
	g := newGrid("scenario", "edits or starts", "measured", "never", "p50 s", "p99 s", "max s")
	for _, v := range f.distinct("scenario") {
		rows := f.where("scenario", v[0])
		list := rows.numbers("seconds")
		g.row(v[0], strconv.Itoa(len(rows.distinct("edit"))), strconv.Itoa(len(list)), strconv.Itoa(len(rows.rows)-len(list)),
			number(percentile(list, 50), 3), number(percentile(list, 99), 3), number(percentile(list, 100), 3))
	}
	return g, nil
}

func failoverTable(dir string) (*grid, error) {
	f, err := readFigures(dir, "failover.csv")
	if err != nil {
		return nil, err
	}
	g := newGrid("from the kill until", "rounds", "min s", "mean s", "max s")
	for _, one := range []struct{ column, what string }{
		{"lease-seconds", "another entry has the lease"},
		{"grant-seconds", "a new model has its grant"},
	} {
		list := f.numbers(one.column)
		g.row(one.what, strconv.Itoa(len(list)), number(percentile(list, 0), 2), number(mean(list), 2), number(percentile(list, 100), 2))
	}
	return g, nil
}

func wakeTable(dir string) (*grid, error) {
	f, err := readFigures(dir, "wake.csv")
	if err != nil {
		return nil, err
	}
	requests, err := readFigures(dir, "wake-requests.csv")
	if err != nil {
		return nil, err
	}
	g := newGrid("figure", "value")
	for _, column := range []string{
		"entries", "agents", "models", "adapters", "woken", "at-once", "done", "wave-seconds", "platform-reads", "platform-writes",
		"platform-watches", "platform-calls-per-second-at-rest", "control-bytes", "entries-cpu-seconds", "agents-cpu-seconds",
	} {
		g.row(column, number(mean(f.numbers(column)), 2))
	}
	list := requests.numbers("seconds")
	for _, p := range []float64{50, 99, 100} {
		g.row("request-seconds-p"+number(p, 0), number(percentile(list, p), 3))
	}
	return g, nil
}

func agentKillTable(dir string) (*grid, error) {
	f, err := readFigures(dir, "agentkill.csv")
	if err != nil {
		return nil, err
	}
	g := newGrid("caller", "status, outcome", "rounds", "min s", "mean s", "max s")
	for _, v := range f.distinct("caller", "status", "outcome") {
		list := f.where("caller", v[0], "status", v[1], "outcome", v[2]).numbers("seconds")
		g.row(v[0], v[1]+", "+v[2], strconv.Itoa(len(list)), number(percentile(list, 0), 2), number(mean(list), 2), number(percentile(list, 100), 2))
	}
	return g, nil
}
