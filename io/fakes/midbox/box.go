// Package midbox is a stand-in for what lies between two processes: it relays TCP
// connections, and can delay them, limit their rate, cut them in one way or both, break
// them off, or make those that are open go silent, as when something on the way has lost
// track of them, while new ones work.
package midbox

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Way is a direction of a Box.
type Way uint8

// Ways of a Box.
const (
	// Forth is from the side that connects.
	Forth Way = iota
	// Back is to the side that connects.
	Back
	wayCount
)

// Box relays connections made to At on to an address, and has faults that can be
// switched on. What is held back by a cut arrives after it, as with packets
// that are sent again; nothing is lost unless the connection is.
type Box struct {
	listener net.Listener
	to       netip.AddrPort

	mu    sync.Mutex
	open  map[net.Conn]bool
	delay time.Duration
	// links limit the rate in each direction; nil is no limit.
	links [wayCount]*Link
	// pass is closed, for each direction, while bytes may pass in it.
	pass [wayCount]chan struct{}
	// hushed counts the calls of Hush; connections from before carry nothing.
	hushed int
	closed bool
	ends   sync.WaitGroup
}

// New starts a box on the loopback.
func New(to netip.AddrPort) (*Box, error) {
	return NewOn(netip.MustParseAddrPort("127.0.0.1:0"), to)
}

// NewOn starts a box that takes connections on an address.
func NewOn(on, to netip.AddrPort) (*Box, error) {
	lis, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(on))
	if err != nil {
		return nil, err
	}
	b := &Box{listener: lis, to: to, open: map[net.Conn]bool{}}
	for way := range b.pass {
		b.pass[way] = make(chan struct{})
		close(b.pass[way])
	}
	b.ends.Add(1)
	go b.accept()
	return b, nil
}

// At is where the box takes connections.
func (b *Box) At() netip.AddrPort { return b.listener.Addr().(*net.TCPAddr).AddrPort() }

// Cut holds back what is sent in a direction until Heal.
func (b *Box) Cut(way Way) {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.pass[way]:
		b.pass[way] = make(chan struct{})
	default: // it is cut already
	}
}

// Delay has each piece wait before it is passed on.
func (b *Box) Delay(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delay = d
}

// Link is a link of a limited rate, which the connections of several boxes may share.
type Link struct {
	// Rate is in bytes a second.
	Rate float64

	mu   sync.Mutex
	free time.Time
}

// carry waits until the link has carried so many bytes more.
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

// Limit has a direction pass through a link.
func (b *Box) Limit(way Way, l *Link) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.links[way] = l
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

// Hush has the connections that are open now carry nothing more, without closing
// them.
func (b *Box) Hush() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hushed++
}

// Reset breaks off the connections that are open now.
func (b *Box) Reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // else it would end in good order
		}
		_ = c.Close()
	}
}

// Close ends the box and its connections.
func (b *Box) Close() {
	b.Heal()
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	_ = b.listener.Close()
	b.Reset()
	b.ends.Wait()
}

func (b *Box) accept() {
	defer b.ends.Done()
	for {
		in, err := b.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.DialTimeout("tcp", b.to.String(), time.Second)
		if err != nil {
			// The process behind is down; the caller is to see that.
			if tcp, ok := in.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = in.Close()
			continue
		}
		born, ok := b.keep(in, out)
		if !ok {
			continue
		}
		b.ends.Add(2)
		go b.pump(in, out, Forth, born)
		go b.pump(out, in, Back, born)
	}
}

func (b *Box) keep(conns ...net.Conn) (born int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range conns {
		if b.closed {
			_ = c.Close()
			continue
		}
		b.open[c] = true
	}
	return b.hushed, !b.closed
}

func (b *Box) pump(from, to net.Conn, way Way, born int) {
	defer b.ends.Done()
	defer func() {
		b.mu.Lock()
		delete(b.open, from)
		b.mu.Unlock()
		_ = from.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		b.carry(way, n)
		if !b.mayPass(way, born) {
			_, _ = io.Copy(io.Discard, from) // swallowed until somebody closes
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

// mayPass waits out a cut and a delay, and tells whether the connection carries
// anything.
// carry waits for the direction's link to carry some bytes.
func (b *Box) carry(way Way, bytes int) {
	b.mu.Lock()
	link := b.links[way]
	b.mu.Unlock()
	if link != nil && bytes > 0 {
		link.carry(bytes)
	}
}

func (b *Box) mayPass(way Way, born int) bool {
	b.mu.Lock()
	pass, delay := b.pass[way], b.delay
	b.mu.Unlock()
	<-pass
	if delay > 0 {
		time.Sleep(delay)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return born == b.hushed
}
