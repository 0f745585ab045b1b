// Package ports finds addresses on the loopback for fleets of stand-ins and
// trial processes, whose addresses have to be known before they listen.
package ports

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
)

// The range lies below that from which systems take the local ports of outgoing
// connections. A port out of that one can be taken by a connection between the
// time it is found and the time its process listens; the process then fails to
// start, once in a hundred fleets or so.
const (
	lowest  = 12_000
	highest = 31_000
)

// ExhaustedError reports that too few ports are free.
type ExhaustedError struct{ Wanted int }

// Error implements error.
func (*ExhaustedError) Error() string { return "too few free ports on the loopback" }

// Host returns an address of a loopback network that no other process uses: two fleets
// that run side by side cannot meet there. N is from 1 to 254.
func Host(n int) netip.Addr {
	const first, networks = 1, 126
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(first + pid/256%networks), byte(pid % 256), byte(n)})
}

// Free returns n addresses on 127.0.0.1 that nothing listens on now.
func Free(n int) ([]netip.AddrPort, error) {
	return FreeOn(netip.AddrFrom4([4]byte{127, 0, 0, 1}), n)
}

// FreeOn returns n addresses of a host that nothing listens on now. It begins at a random
// port, so that fleets that start at the same time seldom meet.
func FreeOn(host netip.Addr, n int) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	first := rand.IntN(highest - lowest)
	for i := range highest - lowest {
		if len(list) == n {
			return list, nil
		}
		port := uint16(lowest + (first+i)%(highest-lowest))
		at := netip.AddrPortFrom(host, port)
		if free(at) {
			list = append(list, at)
		}
	}
	return nil, &ExhaustedError{Wanted: n}
}

func free(at netip.AddrPort) bool {
	lis, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(at))
	if err != nil {
		return false
	}
	lis.Close()
	return true
}
