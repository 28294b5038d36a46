package ports

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
)

// ErrNone is matched by the error of a search that found no free port.
var ErrNone = eris.New("no free port")

// Range of ports, below the range that the system uses for outgoing connections, which could take a port before it is bound;
// lastPort is excluded.
const (
	firstPort = 12000
	lastPort  = 30000
)

// Finder finds free loopback ports. It starts anywhere in the range, so that several programs seldom try the same ports.
type Finder struct {
	// Host is the loopback address of the ports; 127.0.0.1 if it is not set.
	Host netip.Addr
	// port is the last port that Next tried; 0 before the first.
	port int
}

// Next returns an address with a free port; the error matches ErrNone.
func (f *Finder) Next() (netip.AddrPort, error) {
	if !f.Host.IsValid() {
		f.Host = netip.AddrFrom4([4]byte{127, 0, 0, 1})
	}
	if f.port == 0 {
		f.port = firstPort + rand.IntN(lastPort-firstPort)
	}
	for range lastPort - firstPort {
		if f.port++; f.port >= lastPort {
			f.port = firstPort
		}
		ap := netip.AddrPortFrom(f.Host, uint16(f.port))
		if ln, err := net.Listen("tcp", ap.String()); err == nil {
			_ = ln.Close()
			return ap, nil
		}
	}
	return netip.AddrPort{}, eris.Wrapf(ErrNone, "from %d to %d", firstPort, lastPort-1)
}
