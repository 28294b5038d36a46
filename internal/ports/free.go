package ports

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
)

// ErrNone is matched by the error of Free: all ports that it tried are in use.
var ErrNone = eris.New("no free port")

const (
	// lowest and count bound the range of ports. It lies below those that the system gives to outgoing connections, which could
	// take a port before it is bound.
	lowest = 12000
	count  = 18000
	// attempts is the number of ports that are tried.
	attempts = 100
)

// Free returns a loopback address with a port that was free a moment ago; errors match ErrNone.
func Free() (netip.AddrPort, error) {
	for range attempts {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(lowest+rand.IntN(count)))
		ln, err := net.Listen("tcp", addr.String())
		if err != nil {
			continue
		}
		if err := ln.Close(); err == nil {
			return addr, nil
		}
	}
	return netip.AddrPort{}, ErrNone
}
