package cmds

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"

	"radishwell/io/bench"
	"radishwell/io/config"
	"radishwell/io/hosted"
)

// benchCommand sends load to a running system.
type benchCommand struct {
	Files   []string        `arg:"" help:"Experiment (YAML); with --compare two reports (JSON)." type:"existingfile"`
	At      []config.Origin `help:"Base addresses of the entries; several, with commas." placeholder:"URL"`
	Ready   []config.Origin `help:"Operators' addresses of the same entries; their /ready is polled as a load balancer does." placeholder:"URL"`
	Keys    []string        `name:"key" help:"Bearer key, as KEY or CALLER=KEY; once for each caller." placeholder:"[CALLER=]KEY"`
	CA      string          `name:"ca" help:"File with the certificates of the authorities that entries are verified against." type:"existingfile"`
	JSON    string          `name:"json" help:"File for the report as JSON." placeholder:"FILE"`
	HTML    string          `name:"html" help:"File for the report as HTML." placeholder:"FILE"`
	Kills   string          `help:"File in which a script records kills of entries, one per line: seconds since 1970 and IP:PORT. Connections that they break are counted separately." placeholder:"FILE"`
	For     time.Duration   `help:"Length of the load: the phases of the experiment are repeated or cut to fit it." placeholder:"TIME"`
	AllDone bool            `help:"Fail if any request is not done."`
	Compare bool            `help:"Print the differences between two reports."`
}

// Run sends the load and prints the report. It fails if the report lists faults,
// which must never occur.
func (c *benchCommand) Run(ctx context.Context, out io.Writer) error {
	if c.Compare {
		return c.compare(out)
	}
	b, err := c.bench()
	if err != nil {
		return err
	}
	report, err := b.Run(ctx)
	if err != nil {
		return err
	}
	if err := c.write(&report); err != nil {
		return err
	}
	if err := report.Print(out); err != nil {
		return err
	}
	if len(report.Faults()) > 0 || c.AllDone && !report.AllDone() {
		return &hosted.ReportedError{}
	}
	return nil
}

func (c *benchCommand) compare(out io.Writer) error {
	if len(c.Files) != 2 {
		return oops.Wrap(&usageError{"--compare takes two reports"})
	}
	a, err := bench.Read(c.Files[0])
	if err != nil {
		return err
	}
	b, err := bench.Read(c.Files[1])
	if err != nil {
		return err
	}
	return bench.Compare(out, a, b)
}

// usageError reports arguments that are missing, invalid or contradictory.
type usageError struct{ text string }

// Error implements error.
func (e *usageError) Error() string { return e.text }

func (c *benchCommand) bench() (*bench.Bench, error) {
	switch {
	case len(c.Files) != 1:
		return nil, oops.Wrap(&usageError{"name one experiment"})
	case len(c.At) == 0:
		return nil, oops.Wrap(&usageError{"name the entries with --at"})
	case len(c.Ready) > 0 && len(c.Ready) != len(c.At):
		return nil, oops.Wrap(&usageError{"--ready takes as many addresses as --at"})
	}
	plan, err := bench.Load(c.Files[0])
	if err != nil {
		return nil, err
	}
	if c.For > 0 {
		plan.Stretch(c.For)
	}
	b := &bench.Bench{Plan: plan, Keys: map[string]string{}}
	for i, at := range c.At {
		e := bench.Entry{At: at}
		if len(c.Ready) > 0 {
			e.Ready = c.Ready[i]
		}
		b.Entries = append(b.Entries, e)
	}
	for _, text := range c.Keys {
		caller, key, named := strings.Cut(text, "=")
		if !named {
			caller, key = "", text
		}
		b.Keys[caller] = key
	}
	if c.Kills != "" {
		b.Kills = c.readKills
	}
	b.TLS, err = c.tls()
	return b, err
}

func (c *benchCommand) tls() (*tls.Config, error) {
	if c.CA == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(c.CA)
	if err != nil {
		return nil, oops.Wrapf(err, "read certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, oops.Wrap(&usageError{c.CA + " holds no certificate"})
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}

func (c *benchCommand) readKills() ([]bench.Kill, error) {
	raw, err := os.ReadFile(c.Kills)
	if err != nil {
		return nil, oops.Wrapf(err, "read kills")
	}
	var kills []bench.Kill
	for lines := bufio.NewScanner(bytes.NewReader(raw)); lines.Scan(); {
		when, entry, ok := strings.Cut(lines.Text(), " ")
		seconds, err := strconv.ParseFloat(when, 64)
		if !ok || err != nil {
			return nil, oops.Wrap(&usageError{c.Kills + ": no time and address: " + lines.Text()})
		}
		kills = append(kills, bench.Kill{At: time.UnixMicro(int64(seconds * 1e6)), Entry: entry})
	}
	return kills, nil
}

func (c *benchCommand) write(r *bench.Report) error {
	if c.JSON != "" {
		if err := r.Write(c.JSON); err != nil {
			return err
		}
	}
	if c.HTML == "" {
		return nil
	}
	f, err := os.Create(c.HTML)
	if err != nil {
		return oops.Wrapf(err, "write report")
	}
	err = r.WriteHTML(f)
	if closed := f.Close(); err == nil && closed != nil {
		return oops.Wrapf(closed, "write report")
	}
	return err
}
