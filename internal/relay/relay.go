package relay

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/balsamvale/balsamvale/internal/resets"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// ErrListen is matched by the error of a relay that cannot listen.
var ErrListen = eris.New("cannot listen")

// Relay forwards the connections to its address to a target.
type Relay struct {
	clock    clock.Clock
	listener net.Listener
	target   netip.AddrPort

	// mu guards the fields below.
	mu    sync.Mutex
	links map[*link]struct{}
	// delay is added to each part of the data; dropReplies drops what the target sends.
	delay       time.Duration
	dropReplies bool
	// rate is the number of bytes a second that the connections carry together in each direction, 0 for no limit; requestsUntil and
	// repliesUntil are when the bytes forwarded so far have passed.
	rate          int
	requestsUntil time.Time
	repliesUntil  time.Time
}

// link is one connection from a client to the target.
type link struct {
	relay  *Relay
	client *resets.Conn
	server *resets.Conn
	// silent drops the data of both directions for good; closing ends the link.
	silent bool
	closed chan struct{}
	once   sync.Once
}

// dialTimeout bounds the opening of a connection to the target.
const dialTimeout = 5 * time.Second

// Sizes in bytes of the parts in which data is forwarded, and of those on a link with a rate, which connections use in turn.
const (
	partBytes     = 32 << 10
	ratePartBytes = 2 << 10
)

// New returns a relay to a target that listens on a loopback port; the error matches ErrListen.
func New(c clock.Clock, target netip.AddrPort) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(ErrListen, err.Error())
	}
	r := &Relay{clock: c, listener: ln, target: target, links: map[*link]struct{}{}}
	go r.loop()
	return r, nil
}

// Addr returns the address that clients connect to.
func (r *Relay) Addr() netip.AddrPort { return netip.MustParseAddrPort(r.listener.Addr().String()) }

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Reset(1)
}

// SetDelay delays all data by d in each direction.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// SetRate limits the bytes a second that all connections carry together, in each direction; 0 ends that.
func (r *Relay) SetRate(bytesPerSecond int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rate = bytesPerSecond
}

// SetDropReplies drops what the target sends, or ends that.
func (r *Relay) SetDropReplies(drop bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropReplies = drop
}

// Silence makes a share of the open connections carry no data for good, without closing them.
func (r *Relay) Silence(share float64) {
	for _, l := range r.pick(share) {
		r.mu.Lock()
		l.silent = true
		r.mu.Unlock()
	}
}

// Reset resets a share of the open connections.
func (r *Relay) Reset(share float64) {
	for _, l := range r.pick(share) {
		l.reset()
	}
}

// pick returns a share of the open connections.
func (r *Relay) pick(share float64) []*link {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := int(share*float64(len(r.links)) + 0.5)
	var out []*link
	for l := range r.links {
		if len(out) < n {
			out = append(out, l)
		}
	}
	return out
}

// loop accepts connections until the listener is closed; it is a goroutine.
func (r *Relay) loop() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go (&link{relay: r, client: resets.New(client), closed: make(chan struct{})}).run()
	}
}

// run connects to the target and forwards in both directions.
func (l *link) run() {
	server, err := net.DialTimeout("tcp", l.relay.target.String(), dialTimeout)
	if err != nil {
		reset(l.client)
		return
	}
	l.server = resets.New(server)
	l.relay.mu.Lock()
	l.relay.links[l] = struct{}{}
	l.relay.mu.Unlock()
	up := &pump{link: l, from: l.client, to: l.server, done: make(chan struct{})}
	go up.run()
	(&pump{link: l, from: l.server, to: l.client, replies: true, done: make(chan struct{})}).run()
	<-up.done
	l.close()
}

// reset closes both connections with a reset.
func (l *link) reset() {
	reset(l.client)
	reset(l.server)
	l.close()
}

// reset closes a connection with a reset.
func reset(c *resets.Conn) {
	if t, ok := c.NetConn().(*net.TCPConn); ok {
		// Without lingering, Close sends a reset.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.closed)
		_ = l.client.Close()
		_ = l.server.Close()
		l.relay.mu.Lock()
		delete(l.relay.links, l)
		l.relay.mu.Unlock()
	})
}

// pump forwards one direction of a link; its run method is a goroutine.
type pump struct {
	link    *link
	from    *resets.Conn
	to      *resets.Conn
	replies bool
	done    chan struct{}
}

// run forwards until the end of the stream, which it passes on. When the receiver is gone, it goes on reading: a close with unread
// data would reset the connection and take from the sender what it has not read yet.
func (p *pump) run() {
	defer close(p.done)
	part := make([]byte, partBytes)
	for gone := false; ; {
		n, err := p.from.Read(part[:p.partSize()])
		drop, delay := p.state()
		switch {
		case drop && err != nil:
			// A silent link shows neither data nor an end.
			<-p.link.closed
			return
		case drop:
			continue
		case delay > 0:
			p.wait(delay)
		}
		if n > 0 && !gone {
			p.wait(p.reserve(n))
			_, werr := p.to.Write(part[:n])
			gone = werr != nil
		}
		if err == io.EOF {
			if t, ok := p.to.NetConn().(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
		if err != nil {
			p.link.reset()
			return
		}
	}
}

// state returns the faults in effect for the direction.
func (p *pump) state() (drop bool, delay time.Duration) {
	r := p.link.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.link.silent || p.replies && r.dropReplies, r.delay
}

// partSize returns the size of the next part.
func (p *pump) partSize() int {
	r := p.link.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rate > 0 {
		return ratePartBytes
	}
	return partBytes
}

// reserve takes the time of some bytes on a link with a rate and returns how long it takes until they have passed.
func (p *pump) reserve(n int) time.Duration {
	r := p.link.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rate == 0 {
		return 0
	}
	until := &r.requestsUntil
	if p.replies {
		until = &r.repliesUntil
	}
	now := r.clock.Now()
	if until.Before(now) {
		*until = now
	}
	*until = until.Add(time.Duration(n) * time.Second / time.Duration(r.rate))
	return until.Sub(now)
}

func (p *pump) wait(d time.Duration) {
	if d <= 0 {
		return
	}
	t, stop := p.link.relay.clock.Timer(d)
	defer stop()
	select {
	case <-t:
	case <-p.link.closed:
	}
}
