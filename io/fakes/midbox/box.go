// Package midbox is a stand-in for the network between two processes. It relays TCP
// connections and can delay them, limit their rate, cut them in one or both directions,
// or reset them. It can also make open connections silent while new ones work, as a
// middlebox does that has lost the state of its connections.
package midbox

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Direction is the direction of data through a Box.
type Direction uint8

// Directions of data.
const (
	// ToServer is the direction from the client, which connects to the box, to the server.
	ToServer Direction = iota
	// ToClient is the direction from the server to the client.
	ToClient
	directionCount
)

// Box relays connections from the address At to another address and injects faults. Data
// that a cut holds back arrives after the cut, like retransmitted packets. No data is lost
// unless the connection is.
type Box struct {
	listener net.Listener
	to       netip.AddrPort

	mu    sync.Mutex
	open  map[net.Conn]bool
	delay time.Duration
	// links holds the link of each direction, or nil if its rate isn't limited.
	links [directionCount]*Link
	// pass holds a channel for each direction, which is closed unless the direction is cut.
	pass [directionCount]chan struct{}
	// silenced counts the calls of Silence. Connections that were opened before the last one
	// carry no data.
	silenced int
	closed   bool
	wg       sync.WaitGroup
}

// New starts a box on a free port of the loopback interface.
func New(to netip.AddrPort) (*Box, error) {
	return NewOn(netip.MustParseAddrPort("127.0.0.1:0"), to)
}

// NewOn starts a box that accepts connections on an address.
func NewOn(on, to netip.AddrPort) (*Box, error) {
	lis, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(on))
	if err != nil {
		return nil, err
	}
	b := &Box{listener: lis, to: to, open: map[net.Conn]bool{}}
	for dir := range b.pass {
		b.pass[dir] = make(chan struct{})
		close(b.pass[dir])
	}
	b.wg.Add(1)
	go b.accept()
	return b, nil
}

// At returns the address on which the box accepts connections.
func (b *Box) At() netip.AddrPort { return b.listener.Addr().(*net.TCPAddr).AddrPort() }

// Cut holds back the data in a direction until Heal.
func (b *Box) Cut(dir Direction) {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.pass[dir]:
		b.pass[dir] = make(chan struct{})
	default: // already cut
	}
}

// Delay delays each piece of data until Heal.
func (b *Box) Delay(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delay = d
}

// Link limits the rate of data. The connections of several boxes may share it.
type Link struct {
	// Rate is in bytes per second.
	Rate float64

	mu   sync.Mutex
	free time.Time
}

// carry waits until the link has carried the given number of further bytes.
func (l *Link) carry(bytes int) {
	l.mu.Lock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(bytes) / l.Rate * float64(time.Second)))
	wait := time.Until(l.free)
	l.mu.Unlock()
	time.Sleep(wait)
}

// Limit makes the data in a direction pass through a link. A nil link removes the limit.
func (b *Box) Limit(dir Direction, l *Link) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.links[dir] = l
}

// Heal ends cuts and delays.
func (b *Box) Heal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delay = 0
	for _, pass := range b.pass {
		select {
		case <-pass:
		default:
			close(pass)
		}
	}
}

// Silence makes all open connections silent permanently, without closing them.
func (b *Box) Silence() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silenced++
}

// Reset resets all open connections.
func (b *Box) Reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // sends a reset instead of an orderly end
		}
		_ = c.Close()
	}
}

// Close stops the box, resets its connections and waits until they have ended.
func (b *Box) Close() {
	b.Heal()
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	_ = b.listener.Close()
	b.Reset()
	b.wg.Wait()
}

func (b *Box) accept() {
	defer b.wg.Done()
	for {
		in, err := b.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.DialTimeout("tcp", b.to.String(), time.Second)
		if err != nil {
			// The target is down. A reset shows that to the client.
			if tcp, ok := in.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = in.Close()
			continue
		}
		silencedAtOpen, ok := b.register(in, out)
		if !ok {
			continue
		}
		b.wg.Add(2)
		go b.relay(in, out, ToServer, silencedAtOpen)
		go b.relay(out, in, ToClient, silencedAtOpen)
	}
}

// register adds connections to those that are open, or closes them if the box is closed.
// It returns the number of calls of Silence so far.
func (b *Box) register(conns ...net.Conn) (silencedAtOpen int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range conns {
		if b.closed {
			_ = c.Close()
			continue
		}
		b.open[c] = true
	}
	return b.silenced, !b.closed
}

// relay copies data from one connection to the other until either ends.
func (b *Box) relay(from, to net.Conn, dir Direction, silencedAtOpen int) {
	defer b.wg.Done()
	defer func() {
		b.mu.Lock()
		delete(b.open, from)
		b.mu.Unlock()
		_ = from.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		b.carry(dir, n)
		if !b.awaitPass(dir, silencedAtOpen) {
			_, _ = io.Copy(io.Discard, from) // until an end closes the connection
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = to.Close()
			return
		}
	}
}

// carry waits until the link of a direction, if there is one, has carried a number of
// bytes.
func (b *Box) carry(dir Direction, bytes int) {
	b.mu.Lock()
	link := b.links[dir]
	b.mu.Unlock()
	if link != nil && bytes > 0 {
		link.carry(bytes)
	}
}

// awaitPass waits while a direction is cut and then for the delay. It returns false if the
// connection has become silent.
func (b *Box) awaitPass(dir Direction, silencedAtOpen int) bool {
	b.mu.Lock()
	pass, delay := b.pass[dir], b.delay
	b.mu.Unlock()
	<-pass
	if delay > 0 {
		time.Sleep(delay)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return silencedAtOpen == b.silenced
}
