package ports

import (
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
)

// ErrNone is matched by the error of a search that found no free port.
var ErrNone = eris.New("no free port")

// Range of ports, below the range that the system uses for outgoing connections; lastPort is excluded.
const (
	firstPort = 20000
	lastPort  = 30000
)

// Finder finds free loopback ports, and returns each at most once.
type Finder struct {
	// Host is the loopback address of the ports; 127.0.0.1 if it is not set.
	Host netip.Addr
	// port is the last port that Next tried.
	port uint16
}

// Next returns an address with a free port; the error matches ErrNone.
func (f *Finder) Next() (netip.AddrPort, error) {
	if !f.Host.IsValid() {
		f.Host = netip.AddrFrom4([4]byte{127, 0, 0, 1})
	}
	for f.port = max(f.port+1, firstPort); f.port < lastPort; f.port++ {
		ap := netip.AddrPortFrom(f.Host, f.port)
		if ln, err := net.Listen("tcp", ap.String()); err == nil {
			_ = ln.Close()
			return ap, nil
		}
	}
	return netip.AddrPort{}, eris.Wrapf(ErrNone, "from %d to %d", firstPort, lastPort-1)
}
