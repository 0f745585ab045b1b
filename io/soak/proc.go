package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartPause is the time after which a process that has ended is restarted, as
// platforms do.
const restartPause = 200 * time.Millisecond

// StartError reports a part of the soak test that couldn't be started, or logs that
// couldn't be read.
type StartError struct {
	What  string
	Cause error
}

// Error implements error.
func (e *StartError) Error() string { return "cannot start " + e.What + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// Proc is a process that is restarted whenever it ends.
type Proc struct {
	Name string
	// Args holds the program and its arguments.
	Args []string
	// Dir is the directory of the log.
	Dir string

	mu       sync.Mutex
	process  *os.Process
	stopping bool
	starts   int
	ended    chan struct{}
}

// Run starts the program and restarts it whenever it ends, until Close.
func (p *Proc) Run() error {
	log, err := os.OpenFile(filepath.Join(p.Dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return &StartError{What: p.Name, Cause: err}
	}
	cmd, err := p.start(log)
	if err != nil {
		_ = log.Close()
		return err
	}
	p.ended = make(chan struct{})
	go p.supervise(cmd, log)
	return nil
}

// start starts the program. It returns nil after Close. The lock excludes a start
// during Close: a process that started after Close had sent its signal would never end.
func (p *Proc) start(log *os.File) (*exec.Cmd, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopping {
		return nil, nil
	}
	cmd := exec.Command(p.Args[0], p.Args[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, &StartError{What: p.Name, Cause: err}
	}
	p.process = cmd.Process
	p.starts++
	return cmd, nil
}

func (p *Proc) supervise(cmd *exec.Cmd, log *os.File) {
	defer close(p.ended)
	defer log.Close()
	for {
		_ = cmd.Wait() // the log shows how it ended
		p.mu.Lock()
		p.process = nil
		p.mu.Unlock()
		time.Sleep(restartPause)
		next, err := p.start(log)
		if err != nil || next == nil {
			return
		}
		cmd = next
	}
}

// Signal sends a signal to the process, if it runs.
func (p *Proc) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process != nil {
		// The process may just have ended; the error can be ignored.
		_ = p.process.Signal(s)
	}
}

// running reports whether the process is running.
func (p *Proc) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.process != nil
}

// Starts returns the number of times that the process was started.
func (p *Proc) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// peakMemory returns the most memory in bytes that the process has had, zero if it does not run or the system does not
// state it.
func (p *Proc) peakMemory() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process == nil {
		return 0
	}
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.process.Pid))
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	var kib int64
	_, _ = fmt.Sscan(after, &kib)
	return kib << 10
}

// Close kills the process and waits until it has ended. It isn't restarted.
func (p *Proc) Close() {
	p.mu.Lock()
	p.stopping = true
	p.mu.Unlock()
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	if p.ended != nil {
		<-p.ended
	}
}
