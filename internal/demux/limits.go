package demux

import (
	"bytes"
	"cmp"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

// headLimit returns the limit for the head of a request in bytes.
func (l *Listener) headLimit() int {
	limit := l.MaxHeaderBytes
	if b := l.Bounds(); b != nil && b.MaxHeaderBytes > 0 {
		limit = b.MaxHeaderBytes
	}
	return min(cmp.Or(limit, tune.MaxHeadBytes), tune.MaxHeadBytes)
}

// timeouts returns how long the head of a request may take and how long the connection may be idle: those of Bounds, or else of
// the server. 0 means no limit.
func (c *conn) timeouts() (read, idle time.Duration) {
	s := c.listener.server
	if b := c.listener.Bounds(); b != nil {
		read, idle = b.ReadHeaderTimeout, b.IdleTimeout
	}
	return cmp.Or(read, s.ReadHeaderTimeout), cmp.Or(idle, s.IdleTimeout)
}

// deadlineAfter returns the time d from now, or the zero time, which means no deadline, if d is 0.
func (c *conn) deadlineAfter(d time.Duration) time.Time {
	if d <= 0 {
		return time.Time{}
	}
	return c.listener.clock.Now().Add(d)
}

// limitHead sets the deadline for the rest of a head that the server reads by itself, or takes it off.
func (c *conn) limitHead(open bool) {
	read, _ := c.timeouts()
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Time{}
	if open {
		deadline = c.deadlineAfter(read)
	}
	// If this fails, the connection has ended.
	_ = c.setReadDeadline(deadline)
}

// refuseHead answers the request on vc, whose head exceeds the limit, and ends the connection.
func (vc *virtualConn) refuseHead(limit int) {
	c := vc.conn
	status, why, header := c.listener.RefuseHead(limit)
	text := strconv.Itoa(status) + " " + http.StatusText(status)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	res := http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: header, Close: true,
		ContentLength: int64(len(text)), Body: io.NopCloser(strings.NewReader(text)),
	}
	var b bytes.Buffer
	// Writes to a buffer never fail.
	_ = res.Write(&b)
	vc.setAnswered()
	c.reportOwn(status, why)
	// If the write fails, the caller has left.
	_, _ = vc.Write(b.Bytes())
	c.mu.Lock()
	defer c.mu.Unlock()
	// The caller may still send the rest of the head, although the server has not noted the request.
	c.serverIdle = false
	c.closeCaller()
}
