package soak

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Way is a direction of a Link.
type Way uint8

// Ways of a Link.
const (
	// Forth is from the side that connects.
	Forth Way = iota
	// Back is to the side that connects.
	Back
	wayCount
)

// Link relays the TCP connections from one process to another and has faults that
// can be switched on. What is held back by a cut arrives after it, as with packets
// that are sent again; nothing is lost unless the connection is.
type Link struct {
	listener net.Listener
	to       netip.AddrPort

	mu    sync.Mutex
	open  map[net.Conn]bool
	delay time.Duration
	// pass is closed, for each direction, while bytes may pass in it.
	pass [wayCount]chan struct{}
	// hushed counts the calls of Hush; connections from before carry nothing.
	hushed int
	closed bool
	ends   sync.WaitGroup
}

// NewLink starts a relay that takes connections on an address.
func NewLink(on string, to netip.AddrPort) (*Link, error) {
	lis, err := net.Listen("tcp", on)
	if err != nil {
		return nil, &StartError{What: "a link on " + on, Cause: err}
	}
	l := &Link{listener: lis, to: to, open: map[net.Conn]bool{}}
	for way := range l.pass {
		l.pass[way] = make(chan struct{})
		close(l.pass[way])
	}
	l.ends.Add(1)
	go l.accept()
	return l, nil
}

// At is where the link takes connections.
func (l *Link) At() netip.AddrPort { return l.listener.Addr().(*net.TCPAddr).AddrPort() }

// Cut holds back what is sent in a direction until Heal.
func (l *Link) Cut(way Way) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.pass[way]:
		l.pass[way] = make(chan struct{})
	default: // it is cut already
	}
}

// Delay has each piece wait before it is passed on.
func (l *Link) Delay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// Heal ends cuts and delays.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = 0
	for _, pass := range l.pass {
		select {
		case <-pass:
		default:
			close(pass)
		}
	}
}

// Hush has the connections that are open now carry nothing more, without closing
// them.
func (l *Link) Hush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hushed++
}

// Reset breaks off the connections that are open now.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // else it would end in good order
		}
		_ = c.Close()
	}
}

// Close ends the link and its connections.
func (l *Link) Close() {
	l.Heal()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	_ = l.listener.Close()
	l.Reset()
	l.ends.Wait()
}

func (l *Link) accept() {
	defer l.ends.Done()
	for {
		in, err := l.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.DialTimeout("tcp", l.to.String(), time.Second)
		if err != nil {
			// The process behind is down; the caller is to see that.
			if tcp, ok := in.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = in.Close()
			continue
		}
		born, ok := l.keep(in, out)
		if !ok {
			continue
		}
		l.ends.Add(2)
		go l.pump(in, out, Forth, born)
		go l.pump(out, in, Back, born)
	}
}

func (l *Link) keep(conns ...net.Conn) (born int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		if l.closed {
			_ = c.Close()
			continue
		}
		l.open[c] = true
	}
	return l.hushed, !l.closed
}

func (l *Link) pump(from, to net.Conn, way Way, born int) {
	defer l.ends.Done()
	defer func() {
		l.mu.Lock()
		delete(l.open, from)
		l.mu.Unlock()
		_ = from.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !l.mayPass(way, born) {
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
func (l *Link) mayPass(way Way, born int) bool {
	l.mu.Lock()
	pass, delay := l.pass[way], l.delay
	l.mu.Unlock()
	<-pass
	if delay > 0 {
		time.Sleep(delay)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return born == l.hushed
}
