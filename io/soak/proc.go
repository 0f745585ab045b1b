package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// restartPause is how long after its end a process is started again, as platforms
// do.
const restartPause = 200 * time.Millisecond

// StartError reports a part of the soak that could not be started.
type StartError struct {
	What  string
	Cause error
}

// Error implements error.
func (e *StartError) Error() string { return "cannot start " + e.What + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// Proc is a program that is started again whenever it ends.
type Proc struct {
	Name string
	// Args are the program and its arguments, Dir where its log goes.
	Args []string
	Dir  string

	mu       sync.Mutex
	process  *os.Process
	stopping bool
	starts   int
	ended    chan struct{}
}

// Run starts the program and keeps it running until Close.
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
	go p.keep(cmd, log)
	return nil
}

// start starts the program, unless the soak has ended. Close and a start exclude
// each other: a process that began after Close had looked for one would never end.
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

func (p *Proc) keep(cmd *exec.Cmd, log *os.File) {
	defer close(p.ended)
	defer log.Close()
	for {
		_ = cmd.Wait() // how it ended is in its log
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
		// It may have ended in this moment, which is what signals are for.
		_ = p.process.Signal(s)
	}
}

// running tells whether the process runs now.
func (p *Proc) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.process != nil
}

// Starts counts the times it was started.
func (p *Proc) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// Close ends the process for good.
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
