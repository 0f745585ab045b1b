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
	// bufferBytes bounds the lines that an AsyncWriter buffers: about two thousand, which a
	// busy entry writes in half a minute.
	bufferBytes = 512 << 10
	// stopTimeout bounds the time that an ending process waits until its last lines are
	// read.
	stopTimeout = 200 * time.Millisecond
)

// AsyncWriter is a buffered writer for log lines that never blocks the goroutine that
// logs. If the reader of the process's output stops reading, writes to the output block,
// and all requests that log would be blocked too. Lines that exceed the buffer are dropped
// and counted. The exported fields must be set before Run.
type AsyncWriter struct {
	Out io.Writer
	// DroppedEvent is the event that is written with the number of dropped lines.
	DroppedEvent Event

	mu      sync.Mutex
	pending bytes.Buffer
	// dropped is the number of lines dropped since pending was last written.
	dropped int
	// wake wakes Run after a write.
	wake chan struct{}
	once sync.Once
}

func (w *AsyncWriter) init() { w.once.Do(func() { w.wake = make(chan struct{}, 1) }) }

// Write implements io.Writer. It never blocks and never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending.Len()+len(line) > bufferBytes {
		w.dropped++
		return len(line), nil
	}
	w.pending.Write(line)
	loop.Wake(w.wake)
	return len(line), nil
}

// Run writes the buffered lines to Out until ctx ends, and then the last ones. It returns
// early with the error if Out fails.
func (w *AsyncWriter) Run(ctx context.Context) error {
	w.init()
	for {
		select {
		case <-ctx.Done():
			return w.drain()
		case <-w.wake:
		}
		if err := w.drain(); err != nil {
			return err
		}
	}
}

// drain writes to Out until the buffer is empty.
func (w *AsyncWriter) drain() error {
	for {
		text := w.take()
		if len(text) == 0 {
			return nil
		}
		if _, err := w.Out.Write(text); err != nil {
			return err
		}
	}
}

// take empties the buffer and returns its lines, followed by one with the number of
// dropped lines if there are any.
func (w *AsyncWriter) take() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	text := bytes.Clone(w.pending.Bytes())
	w.pending.Reset()
	if w.dropped > 0 {
		row := w.DroppedEvent.Info()
		text = append(text, `"`+row.Text+`" event="`+row.ID+`" left-out=`+strconv.Itoa(w.dropped)+"\n"...)
		w.dropped = 0
	}
	return text
}

// Start directs all events of the process to the writer and starts its Run. The returned
// stop writes the last lines, and waits for at most stopTimeout until they are read.
func (w *AsyncWriter) Start() (stop func(), err error) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	// Each event is to be written once. By default, klog also writes errors to the outputs
	// of the lower severities and to standard error.
	for name, value := range map[string]string{"logtostderr": "false", "one_output": "true", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			return nil, oops.In("events").Wrapf(err, "set klog's %s", name)
		}
	}
	klog.SetOutput(w)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(ctx) }()
	return func() {
		klog.Flush()
		cancel()
		timer := time.NewTimer(stopTimeout)
		defer timer.Stop()
		select {
		case <-ended: // An error can only mean that the reader is gone.
		case <-timer.C:
		}
	}, nil
}
