package events

import (
	"bytes"
	"context"
	"flag"
	"io"
	"strconv"
	"sync"
	"time"

	"radishwell/io/loop"

	"github.com/samber/oops"
	"k8s.io/klog/v2"
)

const (
	// outletBytes is what an Outlet holds back: some two thousand lines, half a
	// minute of a busy entry's.
	outletBytes = 512 << 10
	// outletStop is how long a process that ends waits for its last lines to be
	// read.
	outletStop = 200 * time.Millisecond
)

// Outlet passes lines on to a writer without ever holding up who logs. A reader of
// the process's output that stops reading blocks the writes to it; requests that
// log would stand still with it. Lines beyond what is held back are left out and
// counted. Set the exported fields before Run.
type Outlet struct {
	Out io.Writer
	// LeftOut is the event that tells how many lines were left out.
	LeftOut Event

	mu      sync.Mutex
	pending bytes.Buffer
	left    int
	news    chan struct{}
	once    sync.Once
}

func (o *Outlet) init() { o.once.Do(func() { o.news = make(chan struct{}, 1) }) }

// Write implements io.Writer. It never blocks and never fails.
func (o *Outlet) Write(line []byte) (int, error) {
	o.init()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pending.Len()+len(line) > outletBytes {
		o.left++
		return len(line), nil
	}
	o.pending.Write(line)
	loop.Wake(o.news)
	return len(line), nil
}

// Run passes lines on until the context ends, then the last ones, and returns the
// writer's error.
func (o *Outlet) Run(ctx context.Context) error {
	o.init()
	for {
		select {
		case <-ctx.Done():
			return o.drain()
		case <-o.news:
		}
		if err := o.drain(); err != nil {
			return err
		}
	}
}

func (o *Outlet) drain() error {
	for {
		text := o.take()
		if len(text) == 0 {
			return nil
		}
		if _, err := o.Out.Write(text); err != nil {
			return err
		}
	}
}

func (o *Outlet) take() []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	text := bytes.Clone(o.pending.Bytes())
	o.pending.Reset()
	if o.left > 0 {
		row := o.LeftOut.Info()
		text = append(text, `"`+row.Text+`" event="`+row.ID+`" left-out=`+strconv.Itoa(o.left)+"\n"...)
		o.left = 0
	}
	return text
}

// Start has all events of the process written through the outlet. The returned
// stop has the last ones written, as far as they are read soon.
func (o *Outlet) Start() (stop func(), err error) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	// One line for an event, in one place: klog writes errors to the outputs of the
	// lower severities and to standard error too.
	for name, value := range map[string]string{"logtostderr": "false", "one_output": "true", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			return nil, oops.In("events").Wrapf(err, "set klog's %s", name)
		}
	}
	klog.SetOutput(o)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- o.Run(ctx) }()
	return func() {
		klog.Flush()
		cancel()
		timer := time.NewTimer(outletStop)
		defer timer.Stop()
		select {
		case <-ended: // its error is the reader's going away
		case <-timer.C:
		}
	}, nil
}
