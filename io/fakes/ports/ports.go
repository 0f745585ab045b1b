// Package ports finds free addresses on the loopback interface, for fleets of stand-ins
// and test processes whose addresses have to be known before they listen.
package ports

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
)

// The range of ports is below the ephemeral range, from which systems take the local
// ports of outgoing connections. A connection could take a port of the ephemeral range
// after it was found to be free and before its process listens. The process would then
// fail to start, which happened in about one of a hundred fleets.
const (
	lowest  = 12_000
	highest = 31_000
)

// ExhaustedError reports that fewer ports are free than wanted.
type ExhaustedError struct{ Wanted int }

// Error implements error.
func (*ExhaustedError) Error() string { return "too few free ports on the loopback" }

// Host returns the nth address of a loopback network that depends on the id of this
// process, so that fleets of processes that run at the same time use different addresses.
// n is from 1 to 254.
func Host(n int) netip.Addr {
	const first, networks = 1, 126
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(first + pid/256%networks), byte(pid % 256), byte(n)})
}

// Free returns n addresses on 127.0.0.1 on which no process listens at present.
func Free(n int) ([]netip.AddrPort, error) {
	return FreeOn(netip.AddrFrom4([4]byte{127, 0, 0, 1}), n)
}

// FreeOn returns n addresses of a host on which no process listens at present. The search
// starts at a random port, so that fleets that start at the same time rarely find the
// same ports.
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
