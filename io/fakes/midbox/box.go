// Package midbox is a stand-in for a middlebox between two hosts: it relays TCP
// connections and can make those that are open go silent, as when something on
// the way has lost track of them, while new ones work.
package midbox

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// Box relays connections made to At on to an address.
type Box struct {
	listener net.Listener
	to       netip.AddrPort
	// age counts the calls of Hush; a connection that is older carries nothing.
	age  atomic.Int64
	mu   sync.Mutex
	open map[net.Conn]bool
	ends sync.WaitGroup
}

// New starts a box on the loopback.
func New(to netip.AddrPort) (*Box, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Box{listener: lis, to: to, open: map[net.Conn]bool{}}
	b.ends.Add(1)
	go b.accept()
	return b, nil
}

// At is where the box takes connections.
func (b *Box) At() netip.AddrPort { return b.listener.Addr().(*net.TCPAddr).AddrPort() }

// Hush makes the connections that are open now carry nothing more, in either
// direction, without closing them.
func (b *Box) Hush() { b.age.Add(1) }

// Close ends the box and all its connections.
func (b *Box) Close() {
	b.listener.Close()
	b.mu.Lock()
	for c := range b.open {
		c.Close()
	}
	b.mu.Unlock()
	b.ends.Wait()
}

func (b *Box) accept() {
	defer b.ends.Done()
	for {
		in, err := b.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", b.to.String())
		if err != nil {
			in.Close()
			continue
		}
		b.keep(in, out)
		born := b.age.Load()
		b.ends.Add(2)
		go b.pump(in, out, born)
		go b.pump(out, in, born)
	}
}

func (b *Box) keep(conns ...net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range conns {
		b.open[c] = true
	}
}

func (b *Box) pump(from, to net.Conn, born int64) {
	defer b.ends.Done()
	defer from.Close()
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if b.age.Load() > born {
			// Swallow what still comes until the end closes the connection.
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
