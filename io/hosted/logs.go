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
	// timeLayout is the layout of klog's timestamps, which have no year.
	timeLayout = "0102 15:04:05.000000"
	// contextSpan is the time before a request's last line for which lines about its host and
	// model are included. It covers a load from the weight store, which takes a few seconds.
	contextSpan = 15 * time.Second
	// maxLine is the maximum length of a log line, in bytes.
	maxLine = 1 << 20
)

// logLine is one line of a process's log.
type logLine struct {
	file string
	at   time.Time
	text string
}

// klogHeader matches the severity and timestamp of a klog line, after any prefix.
var klogHeader = regexp.MustCompile(`(?:^|\s)[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d{6})\s`)

// readLogs returns the klog lines of log files, sorted by time.
func readLogs(files []string) ([]logLine, error) {
	var lines []logLine
	for _, file := range files {
		f, err := os.Open(file)
		if err != nil {
			return nil, oops.Wrapf(err, "read logs")
		}
		in := bufio.NewScanner(f)
		in.Buffer(nil, maxLine)
		for in.Scan() {
			found := klogHeader.FindStringSubmatch(in.Text())
			if found == nil {
				continue // not written by klog
			}
			if at, err := time.Parse(timeLayout, found[1]); err == nil {
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

// value returns the quoted value of a key, empty if the line does not have the key.
func (l logLine) value(key string) string {
	_, text, ok := strings.Cut(l.text, " "+key+`="`)
	if !ok {
		return ""
	}
	text, _, _ = strings.Cut(text, `"`)
	return text
}

// number returns the unquoted value of a key, empty if the line does not have the key.
func (l logLine) number(key string) string {
	_, text, ok := strings.Cut(l.text, " "+key+"=")
	if !ok {
		return ""
	}
	text, _, _ = strings.Cut(text, " ")
	return text
}

// mentions reports whether a quoted value occurs in the line.
func (l logLine) mentions(value string) bool { return strings.Contains(l.text, `"`+value+`"`) }

// explainLogs returns the lines that name a model or host. For a request, it returns the
// lines that name the request, and the preceding lines about the host and model of its last
// line.
func explainLogs(lines []logLine, subject, name string) []string {
	var own []logLine
	for _, l := range lines {
		if l.mentions(name) {
			own = append(own, l)
		}
	}
	if subject != "request" || len(own) == 0 {
		return texts(own)
	}
	last := own[len(own)-1]
	var around []logLine
	for _, l := range lines {
		near := !l.at.After(last.at) && last.at.Sub(l.at) <= contextSpan
		if near && l.value("request") == "" && l.mentionsAny(last.value("host"), last.value("model")) {
			around = append(around, l)
		}
	}
	out := append([]string{"the request:"}, texts(own)...)
	if len(around) > 0 {
		out = append(out, "its host and model in the time before:")
	}
	return append(out, texts(around)...)
}

// mentionsAny reports whether any of the names that are not empty occurs in the line.
func (l logLine) mentionsAny(names ...string) bool {
	return slices.ContainsFunc(names, func(n string) bool { return n != "" && l.mentions(n) })
}

// texts returns the lines, each prefixed with the name of its file.
func texts(lines []logLine) []string {
	out := make([]string, len(lines))
	for i, l := range lines {
		out[i] = l.file + ": " + l.text
	}
	return out
}
