package hosted

import (
	"bufio"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"
)

const (
	// logStamp is how klog writes the time of a line, without the year.
	logStamp = "0102 15:04:05.000000"
	// logBefore is how far before a request's last line the lines about its host
	// and model are shown: a load from the weight store takes some seconds.
	logBefore = 15 * time.Second
	// mostLine bounds a line of a log, in bytes.
	mostLine = 1 << 20
)

// logLine is one line of a process's log.
type logLine struct {
	file string
	at   time.Time
	text string
}

// klogLine finds severity and time of a line, whatever stands before them.
var klogLine = regexp.MustCompile(`(?:^|\s)[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d{6})\s`)

// readLogs reads the lines of log files that klog wrote.
func readLogs(files []string) ([]logLine, error) {
	var lines []logLine
	for _, file := range files {
		f, err := os.Open(file)
		if err != nil {
			return nil, oops.Wrapf(err, "read logs")
		}
		in := bufio.NewScanner(f)
		in.Buffer(nil, mostLine)
		for in.Scan() {
			found := klogLine.FindStringSubmatch(in.Text())
			if found == nil {
				continue // a line of another writer
			}
			if at, err := time.Parse(logStamp, found[1]); err == nil {
				lines = append(lines, logLine{file: filepath.Base(file), at: at, text: in.Text()})
			}
		}
		err = in.Err()
		f.Close()
		if err != nil {
			return nil, oops.Wrapf(err, "read %s", file)
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	return lines, nil
}

// value returns the value of a key in a line.
func (l logLine) value(key string) string {
	_, text, ok := strings.Cut(l.text, " "+key+`="`)
	if !ok {
		return ""
	}
	text, _, _ = strings.Cut(text, `"`)
	return text
}

// number returns the value of a key that is written without quotes.
func (l logLine) number(key string) string {
	_, text, ok := strings.Cut(l.text, " "+key+"=")
	if !ok {
		return ""
	}
	text, _, _ = strings.Cut(text, " ")
	return text
}

func (l logLine) names(value string) bool { return strings.Contains(l.text, `"`+value+`"`) }

// explainLogs returns the lines about a request, and those about the host and the
// model that it met in the time before; for a model or host, all lines that name
// it.
func explainLogs(lines []logLine, subject, name string) []string {
	var own []logLine
	for _, l := range lines {
		if l.names(name) {
			own = append(own, l)
		}
	}
	if subject != "request" || len(own) == 0 {
		return texts(own)
	}
	last := own[len(own)-1]
	var around []logLine
	for _, l := range lines {
		near := !l.at.After(last.at) && last.at.Sub(l.at) <= logBefore
		if near && l.value("request") == "" && l.about(last.value("host"), last.value("model")) {
			around = append(around, l)
		}
	}
	out := append([]string{"the request:"}, texts(own)...)
	if len(around) > 0 {
		out = append(out, "its host and model in the time before:")
	}
	return append(out, texts(around)...)
}

func (l logLine) about(names ...string) bool {
	return slices.ContainsFunc(names, func(n string) bool { return n != "" && l.names(n) })
}

func texts(lines []logLine) []string {
	out := make([]string, len(lines))
	for i, l := range lines {
		out[i] = l.file + ": " + l.text
	}
	return out
}
