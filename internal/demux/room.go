package demux

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

const (
	// roomPoll is the interval at which the listener looks again whether it can accept connections.
	roomPoll = 5 * time.Millisecond
	// roomFraction is the inverse of the fraction of the open connections that close at once to make room, minRoom the least number.
	// A process with few descriptors otherwise makes room too slowly for the connections in its queue.
	roomFraction = 64
	minRoom      = 8
)

// isTemporary reports whether an error of Accept passes: the process or the host is out of descriptors or memory, or the
// caller has left before it was accepted. Any other error ends the listener.
func isTemporary(err error) bool {
	for _, e := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR, syscall.EPROTO,
	} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// awaitRoom returns once there are fewer than MaxConns connections, or a shutdown has begun. It closes idle connections.
func (l *Listener) awaitRoom() {
	for l.MaxConns > 0 && l.Conns() >= l.MaxConns && !l.isClosing() {
		l.makeRoom(nil)
		l.wait(roomPoll)
	}
}

// Conns returns the number of open connections of callers.
func (l *Listener) Conns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// makeRoom closes the connections that have been idle longest. A connection on which a request arrives meanwhile stays open.
func (l *Listener) makeRoom(err error) {
	open := l.open()
	l.OnPressure(len(open), err)
	type idleConn struct {
		conn  *conn
		since time.Time
	}
	var idle []idleConn
	for _, c := range open {
		if since, ok := c.idleSince(); ok {
			idle = append(idle, idleConn{c, since})
		}
	}
	slices.SortFunc(idle, func(a, b idleConn) int { return a.since.Compare(b.since) })
	for _, i := range idle[:min(len(idle), max(minRoom, len(open)/roomFraction))] {
		i.conn.evict()
	}
}

// wait blocks for d.
func (l *Listener) wait(d time.Duration) {
	fired, stop := l.clock.Timer(d)
	defer stop()
	<-fired
}
