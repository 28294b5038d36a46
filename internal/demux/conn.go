package demux

import (
	"bufio"
	"errors"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/balsamvale/balsamvale/pkg/calls/reason"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// conn is a connection of a caller, split into virtual connections to the server; its loop method is a goroutine.
type conn struct {
	listener *Listener
	raw      net.Conn
	reader   *bufio.Reader
	// opened is when the connection was accepted.
	opened time.Time

	// mu guards the fields below, and busy and changes of seq of the virtual connections.
	mu sync.Mutex
	// changed is signaled when a response is complete, a virtual connection is closed, or the connection ends.
	changed      *sync.Cond
	virtualConns []*virtualConn
	// nextSeq is the sequence number of the next request to be accepted, that is, assigned to a virtual connection.
	nextSeq uint64
	// responseSeq is the sequence number of the request whose response may be written.
	responseSeq uint64
	// waiting is set while loop waits for the first byte of a request.
	waiting bool
	// idleFrom is when the last response was complete, or the connection was accepted.
	idleFrom time.Time
	// listenerClosed is set once the listener accepts no further virtual connections.
	listenerClosed bool
	// passthrough is set once the virtual connection of the latest request gets all bytes that are still to come.
	passthrough bool
	// serverIdle is set while the server waits for a request on a connection with passthrough.
	serverIdle bool
	// stopped is set once no further request is accepted.
	stopped bool
	// aborted is set once the server has closed the virtual connection of a request whose turn had not come. The connection
	// closes as soon as the turn of that request, abortedSeq, comes.
	aborted    bool
	abortedSeq uint64
	// closed is set once nothing more is written to the caller. loopEnded is set once nothing more is read from it. When both are
	// set, the connection is closed.
	closed    bool
	loopEnded bool
	// resets is set once the connection is to end with a reset.
	resets bool
	// closedAt is when closed was set.
	closedAt time.Time
}

// readBufferSize is the size of the read buffer of a connection in bytes.
const readBufferSize = 8 << 10

func newConn(l *Listener, raw net.Conn) *conn {
	c := &conn{listener: l, raw: raw, opened: l.clock.Now(), reader: bufio.NewReaderSize(raw, readBufferSize)}
	c.idleFrom = c.opened
	c.changed = sync.NewCond(&c.mu)
	return c
}

// newVirtualConn adds a virtual connection. The caller of the method must hold mu or the only reference to c.
func (c *conn) newVirtualConn() *virtualConn {
	server, feed := net.Pipe()
	vc := &virtualConn{Conn: server, conn: c, input: feed}
	c.virtualConns = append(c.virtualConns, vc)
	return vc
}

// removeVirtualConn removes a virtual connection and reports whether it was still present.
func (c *conn) removeVirtualConn(vc *virtualConn) bool {
	i := slices.Index(c.virtualConns, vc)
	if i < 0 {
		return false
	}
	c.virtualConns = slices.Delete(c.virtualConns, i, i+1)
	if len(c.virtualConns) > 0 {
		c.listener.pipelined.Release(tune.PipelinedMemory)
	}
	return true
}

// loop passes the requests to the server, one by one as they are read, until the caller closes the connection or it ends.
func (c *conn) loop() {
	if c.passRequests() {
		c.readOn()
	}
	c.closeInputs()
	c.endLoop()
}

// passRequests passes the requests to the server until no further one is accepted. It returns false if the connection has ended
// or been idle for too long.
func (c *conn) passRequests() (readOn bool) {
	for {
		h, err := c.nextHead()
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errNoMemory) {
			return c.stop()
		}
		if err != nil {
			return c.isClosed()
		}
		vc, last := c.acquire(h)
		failed := vc != nil && c.forward(vc, h) != nil
		h.memory.Close()
		if failed || last {
			return true
		}
	}
}

// hasNoRequest reports whether a virtual connection is idle and gets its next request from loop.
func (c *conn) hasNoRequest(vc *virtualConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !vc.busy && !c.passthrough
}

// nextHead reads the head of the next request. Before the first byte, the idle timeout applies while no request is
// pending; from the first byte on, the timeout for the head applies.
//
// During a shutdown of the listener, an idle connection only gets lastReadTime for another request.
func (c *conn) nextHead() (*head, error) {
	read, idle := c.timeouts()
	for empty := 0; ; {
		final, err := c.beginWait(idle)
		if err != nil {
			return nil, err
		}
		_, err = c.reader.Peek(1)
		if err := c.endWait(read); err != nil {
			return nil, err
		}
		if err == nil {
			break
		}
		if final {
			empty++
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || empty >= emptyAttempts {
			return nil, err
		}
		// The deadline was that of a connection that has been in use since, or a shutdown has interrupted the wait.
		if !c.hasPending() && !c.listener.isClosing() {
			return nil, err
		}
	}
	m := c.listener.Memory.Part(0)
	h, err := readHead(c.reader, m, c.listener.headLimit)
	if err == nil {
		err = c.endHead()
	}
	if err != nil {
		m.Close()
		c.reportLostHead(err)
		return nil, err
	}
	return h, nil
}

// reportLostHead reports that the connection closes because the head of a request is late or does not fit the memory. A caller that
// closes the connection itself is not reported.
func (c *conn) reportLostHead(err error) {
	switch {
	case errors.Is(err, errNoMemory):
		c.reportOwn(0, reason.NoMemory)
	case errors.Is(err, os.ErrDeadlineExceeded) && !c.isClosed():
		c.reportOwn(0, reason.HeaderLate)
	}
}

// reportOwn calls OnServerAnswer with the address of the caller.
func (c *conn) reportOwn(status int, why reason.Reason) {
	caller := netip.AddrPort{}
	if a, ok := c.raw.RemoteAddr().(*net.TCPAddr); ok {
		caller = a.AddrPort()
	}
	c.listener.OnServerAnswer(caller, status, why)
}

// setReadDeadline sets the deadline for reads, unless that of a close is set already. The caller of the method must hold mu.
func (c *conn) setReadDeadline(t time.Time) error {
	if c.closed {
		return nil
	}
	return c.raw.SetReadDeadline(t)
}

// lastReadTime is how long an idle connection is read during a shutdown, for a request that has arrived already.
const lastReadTime = 5 * time.Millisecond

// beginWait sets the deadline for the first byte of a request. With final, the connection closes unless one comes by then.
func (c *conn) beginWait(idle time.Duration) (final bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false, net.ErrClosed
	}
	c.waiting = true
	// A shutdown that begins after this check finds waiting set, and interrupts the wait.
	if final = c.listener.isClosing() && c.responseSeq == c.nextSeq; final {
		idle = lastReadTime
	}
	return final, c.setReadDeadline(c.deadlineAfter(idle))
}

// endWait sets the deadline for the rest of a head, which no shutdown interrupts.
func (c *conn) endWait(read time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	return c.setReadDeadline(c.deadlineAfter(read))
}

// closeIfIdle closes the connection if no request is pending and none has arrived.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interruptIdle()
}

// evict closes the connection to make room for another, if no request is pending and none has arrived. While it is not read yet, a
// request that has arrived is in the buffer of the socket only.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if socketBytes(c.raw, unix.SIOCINQ) == 0 {
		c.interruptIdle()
	}
}

// passesThrough reports whether the server reads all further requests by itself.
func (c *conn) passesThrough() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.passthrough
}

// idleSince returns since when the connection has been idle, and whether it is.
func (c *conn) idleSince() (since time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleFrom, c.waiting && c.responseSeq == c.nextSeq
}

// interruptIdle interrupts the wait for a request if none is pending. The caller of the method must hold mu.
func (c *conn) interruptIdle() {
	if c.waiting && c.responseSeq == c.nextSeq {
		// If this fails, the connection is closed, which ends the wait too.
		_ = c.setReadDeadline(c.listener.clock.Now())
	}
}

// endHead takes the deadline for a head off.
func (c *conn) endHead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.setReadDeadline(time.Time{})
}

// hasPending reports whether any accepted request is unanswered.
func (c *conn) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.responseSeq < c.nextSeq
}

// acquire assigns a virtual connection to a request, once the request may run. It returns nil if the connection accepts no
// further requests. With last, no request is accepted after this one.
func (c *conn) acquire(h *head) (vc *virtualConn, last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.ended() {
		if h.concurrent || c.responseSeq == c.nextSeq {
			if vc := c.idleVirtualConn(); vc != nil {
				c.assign(vc, h)
				return vc, c.stopped
			}
			if len(c.virtualConns) < tune.MaxPipelined && !c.listenerClosed && c.listener.pipelined.Reserve(tune.PipelinedMemory) {
				c.openVirtualConn()
				continue
			}
		}
		c.changed.Wait()
	}
	return nil, true
}

// openVirtualConn adds a virtual connection and passes it to the server. It releases mu while it waits for the server.
func (c *conn) openVirtualConn() {
	vc := c.newVirtualConn()
	c.mu.Unlock()
	ok := c.listener.offer(vc)
	c.mu.Lock()
	if !ok {
		c.listenerClosed = true
		c.removeVirtualConn(vc)
	}
}

// ended reports whether no further requests are accepted.
func (c *conn) ended() bool { return c.closed || c.stopped }

// idleVirtualConn returns a virtual connection without a request, or nil if there is none.
func (c *conn) idleVirtualConn() *virtualConn {
	for _, vc := range c.virtualConns {
		if !vc.busy {
			return vc
		}
	}
	return nil
}

// assign gives a request its sequence number and its virtual connection.
//
// During a shutdown, the request is the last one of the connection. A caller that pipelines may always have another request on the
// way when a response is due, so the connection would otherwise stay open until the process exits.
func (c *conn) assign(vc *virtualConn, h *head) {
	vc.busy, vc.seq, vc.due = true, c.nextSeq, 0
	vc.consumed.Store(0)
	if !h.passthrough {
		vc.due = int64(len(h.bytes)) + h.bodyLen
	}
	c.nextSeq++
	c.passthrough = h.passthrough
	if h.passthrough {
		vc.meter.Store(newHeadMeter(c.listener, h.http2))
	}
	c.stopped = h.last || c.listener.isClosing()
}

// forward writes the head and the body of a request to its virtual connection; with passthrough, all bytes until the
// connection ends. A request whose head exceeds the limit is refused instead.
func (c *conn) forward(vc *virtualConn, h *head) error {
	if h.limit > 0 {
		vc.refuseHead(h.limit)
		return nil
	}
	if _, err := vc.input.Write(h.bytes); err != nil {
		return err
	}
	h.bytes = nil
	h.memory.Close()
	for left := h.bodyLen; left > 0 || h.passthrough; {
		if _, err := c.reader.Peek(1); err != nil {
			c.reportLostHead(err)
			return err
		}
		n := c.reader.Buffered()
		if !h.passthrough {
			n = int(min(int64(n), left))
		}
		// Peek cannot fail here: n bytes are buffered.
		p, _ := c.reader.Peek(n)
		if _, err := vc.input.Write(p); err != nil {
			return err
		}
		_, _ = c.reader.Discard(n)
		left -= int64(n)
	}
	return nil
}

// responseDone lets the next response be written after the one on vc is complete. In passthrough mode, the virtual
// connection of the latest request keeps its turn, since the server reads all further requests from it.
//
// If the server has not read the whole request, it would read the rest as another request, so the connection closes.
func (c *conn) responseDone(vc *virtualConn) {
	now := c.listener.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !vc.busy {
		return
	}
	if c.passthrough && vc.seq+1 == c.nextSeq {
		c.serverIdle = true
		return
	}
	if vc.consumed.Load() < vc.due {
		c.closeCaller()
		return
	}
	vc.busy = false
	if len(c.virtualConns) > 1 && c.listener.pipelined.Scarce() {
		c.removeVirtualConn(vc)
		_ = vc.input.Close()
	}
	c.responseSeq++
	c.idleFrom = now
	if c.listener.isClosing() {
		c.interruptIdle()
	}
	if c.stopped && c.responseSeq == c.nextSeq {
		c.closeCaller()
	}
	if c.aborted && c.responseSeq == c.abortedSeq {
		c.closeCaller()
	}
	c.changed.Broadcast()
}

// markActive notes that the server has begun to read a request.
func (c *conn) markActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverIdle = false
}

// isLast reports whether no request is accepted after request seq. During a drain, the latest that was accepted is the last, and
// one that waits in acquire is dropped.
func (c *conn) isLast(seq uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if seq+1 != c.nextSeq {
		return false
	}
	c.stopped = c.stopped || c.listener.draining.Load()
	return c.stopped
}
