package caller

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/balsamvale/balsamvale/internal/intact"
	"github.com/balsamvale/balsamvale/internal/resets"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// Time limits of callers.
const (
	dialTimeout = time.Second
	// patience is how long after its deadline a caller goes on waiting.
	patience = 2 * time.Second
	// uploadPatience is how long a caller waits for an upload, which has no deadline.
	uploadPatience = 20 * time.Second
	// slowReadGap is the pause of a slow reader between two reads.
	slowReadGap = 10 * time.Millisecond
)

// connection is a connection of a caller to an entry.
type connection struct {
	net.Conn
	caller *caller
	target Target
	opened time.Time
	reader *bufio.Reader
	// pending counts the requests without a response.
	pending atomic.Int64
}

// open opens a connection to the target that the balancer picks; nil if that fails.
func (c *caller) open() *connection {
	target, ok := c.crowd.Pick()
	if !ok {
		return nil
	}
	opened := c.crowd.Clock.Now()
	dialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := resets.DialContext(dialer)(context.Background(), "tcp", target.Addr.String())
	if err != nil {
		return nil
	}
	return &connection{Conn: conn, caller: c, target: target, opened: opened, reader: bufio.NewReader(conn)}
}

func (n *connection) close() { _ = n.Conn.Close() }

// limit returns until when the caller waits for the response to a request.
func (n *connection) limit(k *call) time.Time {
	if k.request.Deadline == 0 {
		return k.request.Sent.Add(uploadPatience)
	}
	return k.request.Sent.Add(k.request.Deadline + patience)
}

// begin records a request that is about to be sent.
func (n *connection) begin(k *call) {
	behind := n.pending.Add(1) - 1
	n.caller.crowd.record(k.request, n.target, n.opened, int(behind))
}

// send writes a request that was recorded.
func (n *connection) send(k *call) error {
	req, err := k.http(n.target)
	if err != nil {
		return err
	}
	_ = n.SetWriteDeadline(n.limit(k))
	if p, ok := req.Body.(*pacedBody); ok {
		p.clock = n.caller.crowd.Clock
	}
	return req.Write(n.Conn)
}

// receive reads the response to a request and reports whether the connection can be used again.
func (n *connection) receive(k *call, sendErr error) bool {
	defer n.pending.Add(-1)
	crowd, r := n.caller.crowd, k.request
	_ = n.SetReadDeadline(n.limit(k))
	res, err := n.readResponse(k)
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			crowd.Trail.Update(func() { r.GaveUp = true })
		}
		crowd.finish(r, nil, nil, time.Time{}, errors.Join(err, sendErr))
		return false
	}
	head := crowd.Clock.Now()
	body, err := n.readBody(res)
	return crowd.finish(r, res, body, head, err) && !res.Close && sendErr == nil
}

// readResponse reads the head of the final response.
func (n *connection) readResponse(k *call) (*http.Response, error) {
	for {
		res, err := http.ReadResponse(n.reader, &http.Request{Method: k.method})
		switch {
		case err != nil:
			return nil, err
		case res.StatusCode >= http.StatusContinue && res.StatusCode < http.StatusOK:
			if err := intact.CheckFields(res.Header); err != nil {
				return nil, err
			}
			continue
		}
		if err := intact.Check(res); err != nil {
			return nil, err
		}
		res.Body = intact.NewBody(res, n.close)
		return res, nil
	}
}

// readBody reads the body of a response, slowly if that is the caller's habit.
func (n *connection) readBody(res *http.Response) ([]byte, error) {
	defer func() { _ = res.Body.Close() }()
	if n.caller.habit != Slow {
		return io.ReadAll(res.Body)
	}
	var body []byte
	chunk := make([]byte, chunkBytes)
	for {
		m, err := res.Body.Read(chunk)
		body = append(body, chunk[:m]...)
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, err
		}
		sleep(n.caller.crowd.Clock, slowReadGap)
	}
}

// exchange sends a request and reads its response; it reports whether the connection can be used again.
//
// The response may come before the end of an upload.
func (n *connection) exchange(k *call) bool {
	n.begin(k)
	w := &writer{conn: n, call: k, done: make(chan struct{})}
	if k.chunkGap == 0 {
		w.run()
		return n.receive(k, w.err)
	}
	go w.run()
	reusable := n.receive(k, nil)
	if !reusable {
		n.close()
	}
	<-w.done
	return reusable && w.err == nil
}

// writer writes one request; its run method may be a goroutine.
type writer struct {
	conn *connection
	call *call
	done chan struct{}
	err  error
}

func (w *writer) run() {
	defer close(w.done)
	w.err = w.conn.send(w.call)
}

// pacedBody is a body that arrives in parts, with a pause after each.
type pacedBody struct {
	clock clock.Clock
	rest  []byte
	gap   time.Duration
}

// Read returns the next part.
func (p *pacedBody) Read(b []byte) (int, error) {
	if len(p.rest) == 0 {
		return 0, io.EOF
	}
	if p.gap > 0 && p.clock != nil {
		sleep(p.clock, p.gap)
	}
	m := copy(b, p.rest[:min(len(p.rest), chunkBytes)])
	p.rest = p.rest[m:]
	return m, nil
}

// Close does nothing.
func (p *pacedBody) Close() error { return nil }

func sleep(c clock.Clock, d time.Duration) {
	t, stop := c.Timer(d)
	defer stop()
	<-t
}
