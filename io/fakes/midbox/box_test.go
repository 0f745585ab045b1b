package midbox

import (
	"bufio"
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// echo starts a server that returns each line, and a box in front of it. It returns the
// box and a connection through it.
func echo(t *testing.T) (*Box, net.Conn) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewScanner(c)
				for in.Scan() {
					if _, err := c.Write([]byte(in.Text() + "\n")); err != nil {
						return
					}
				}
			}()
		}
	}()
	l, err := New(netip.MustParseAddrPort(lis.Addr().String()))
	assert.NilError(t, err)
	t.Cleanup(l.Close)
	return l, dial(t, l)
}

func dial(t *testing.T, l *Box) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.At().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func writeLine(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := c.Write([]byte(text + "\n"))
	assert.NilError(t, err)
}

func readLine(t *testing.T, c net.Conn, want string) {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
	got, err := bufio.NewReader(c).ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, got, want+"\n")
}

// assertSilent checks that no data arrives for 50 milliseconds.
func assertSilent(t *testing.T, c net.Conn) {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err := c.Read(make([]byte, 1))
	assert.Assert(t, err != nil, "something came through")
}

func TestBox(t *testing.T) {
	t.Run("relays", func(t *testing.T) {
		_, c := echo(t)
		writeLine(t, c, "a")
		readLine(t, c, "a")
	})
	for dir, name := range []string{"forth", "back"} {
		t.Run("a cut "+name+" holds back what comes after it", func(t *testing.T) {
			l, c := echo(t)
			l.Cut(Direction(dir))
			writeLine(t, c, "a")
			assertSilent(t, c)
			l.Heal()
			readLine(t, c, "a")
		})
	}
	t.Run("a silenced connection carries nothing, a new one does", func(t *testing.T) {
		l, c := echo(t)
		writeLine(t, c, "a")
		readLine(t, c, "a")
		l.Silence()
		writeLine(t, c, "b")
		assertSilent(t, c)
		c = dial(t, l)
		writeLine(t, c, "c")
		readLine(t, c, "c")
	})
	t.Run("a reset breaks off", func(t *testing.T) {
		l, c := echo(t)
		writeLine(t, c, "a")
		readLine(t, c, "a")
		l.Reset()
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
		_, err := c.Read(make([]byte, 1))
		assert.Assert(t, err != nil)
	})
	t.Run("a delay ends with the next heal", func(t *testing.T) {
		l, c := echo(t)
		l.Delay(time.Millisecond)
		writeLine(t, c, "a")
		readLine(t, c, "a")
		l.Heal()
		writeLine(t, c, "b")
		readLine(t, c, "b")
	})
}
