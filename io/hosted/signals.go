package hosted

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Signals are the signals of a process. The zero value has none.
type Signals struct {
	// Stop receives SIGINT and SIGTERM, Reload SIGHUP.
	Stop, Reload <-chan os.Signal
	// HangupIgnored is set if SIGHUP ends no command, as with nohup.
	HangupIgnored bool
}

// CatchSignals catches the signals of the process from now on. Programs that serve catch them from
// their start, by package trap.
func CatchSignals() Signals {
	ignored := signal.Ignored(syscall.SIGHUP)
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	signal.Notify(reload, syscall.SIGHUP)
	return Signals{Stop: stop, Reload: reload, HangupIgnored: ignored}
}

// context returns a context that ends on a signal to stop. It is for commands that reload on
// SIGHUP.
func (s Signals) context() (context.Context, context.CancelFunc) {
	return endOn(s.Stop, nil)
}

// contextOfAll returns a context that ends on any signal. It is for commands that have nothing to
// reload.
func (s Signals) contextOfAll() (context.Context, context.CancelFunc) {
	if s.HangupIgnored {
		return endOn(s.Stop, nil)
	}
	return endOn(s.Stop, s.Reload)
}

func endOn(first, second <-chan os.Signal) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		select {
		case <-first:
		case <-second:
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
