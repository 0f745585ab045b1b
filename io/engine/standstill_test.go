package engine_test

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/io/engine"
)

// standStill stops this process for 1.3 s, which is longer than the limit of a connection.
func standStill(t *testing.T) {
	t.Helper()
	pid := os.Getpid()
	script := fmt.Sprintf("kill -STOP %d; sleep 1.3; kill -CONT %d", pid, pid)
	assert.NilError(t, exec.CommandContext(t.Context(), "sh", "-c", script).Run())
}

// Guards against an engine that counts as silent because this process stood still: connections
// that were being made had timed out when it ran again, although the engine had accepted them.
func TestStandstillIsNoSilence(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer lis.Close()
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			conn.Close()
		}
	}()
	c := engine.New(address(t, lis.Addr()), nil)
	c.Plain = true // State then makes a connection and nothing else
	defer c.Close()
	var all sync.WaitGroup
	var stop atomic.Bool
	for range 200 {
		all.Go(func() {
			for !stop.Load() {
				if _, err := c.State(t.Context()); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	standStill(t)
	stop.Store(true)
	all.Wait()
}
