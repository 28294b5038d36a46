package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/balsamvale/balsamvale/internal/intact"
	"github.com/balsamvale/balsamvale/internal/resets"
)

// maxPipelined bounds the requests of one connection that wait for a response.
const maxPipelined = 64

// pipeline reads the responses of one connection; its loop method is a goroutine.
type pipeline struct {
	conn   *connection
	calls  chan *call
	broken atomic.Bool
	done   chan struct{}
}

// loop reads the responses in order. Once one is missing, the requests behind it have none either.
func (p *pipeline) loop() {
	defer close(p.done)
	for k := range p.calls {
		if p.broken.Load() {
			p.conn.caller.crowd.finish(k.request, nil, nil, time.Time{}, io.ErrUnexpectedEOF)
			continue
		}
		p.conn.receive(k, nil)
		if !k.request.Complete {
			p.broken.Store(true)
			p.conn.close()
		}
	}
}

// loopPipelined sends a request every gap, whether responses come or not, on one connection until that ends.
func (c *caller) loopPipelined() {
	for c.ctx.Err() == nil {
		conn := c.open()
		if conn == nil {
			c.pause()
			continue
		}
		p := &pipeline{conn: conn, calls: make(chan *call, maxPipelined), done: make(chan struct{})}
		go p.loop()
		for c.ctx.Err() == nil && !p.broken.Load() {
			k := c.newCall()
			conn.begin(k)
			err := conn.send(k)
			p.calls <- k
			if err != nil {
				break
			}
			c.pause()
		}
		close(p.calls)
		<-p.done
		conn.close()
	}
}

// loopMultiplexed sends requests on an HTTP/2 connection, several at a time, until one fails; it then opens a new connection.
func (c *caller) loopMultiplexed() {
	var s *streams
	for c.ctx.Err() == nil {
		if s == nil || s.failed.Load() {
			s.close()
			s = c.openStreams()
		}
		if s != nil {
			c.crowd.wg.Add(1)
			go (&stream{streams: s, call: c.newCall()}).run()
		}
		c.pause()
	}
	s.close()
}

// streams are the requests of one caller over one HTTP/2 connection.
type streams struct {
	caller    *caller
	transport *intact.Transport
	target    Target
	opened    time.Time
	// failed is set when a request failed.
	failed atomic.Bool
}

// openStreams returns streams to the target that the balancer picks; nil if there is none.
func (c *caller) openStreams() *streams {
	t, ok := c.crowd.Pick()
	if !ok {
		return nil
	}
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	base := &http.Transport{DialContext: resets.DialContext(&net.Dialer{}), Protocols: protocols}
	return &streams{caller: c, transport: &intact.Transport{Base: base}, target: t, opened: c.crowd.Clock.Now()}
}

// close closes the connection once its requests have ended.
func (s *streams) close() {
	if s != nil {
		s.transport.CloseIdleConnections()
	}
}

// stream is one request over HTTP/2; its run method is a goroutine.
type stream struct {
	streams *streams
	call    *call
}

func (s *stream) run() {
	crowd, r := s.streams.caller.crowd, s.call.request
	defer crowd.wg.Done()
	req, err := s.call.http(s.streams.target)
	if err != nil {
		return
	}
	req.Header.Del("Connection")
	ctx, cancel := context.WithTimeout(context.Background(), r.Deadline+patience)
	defer cancel()
	crowd.record(r, s.streams.target, s.streams.opened, 0)
	res, err := (&http.Client{Transport: s.streams.transport}).Do(req.WithContext(ctx))
	if err != nil {
		s.streams.failed.Store(true)
		crowd.Trail.Update(func() { r.GaveUp = ctx.Err() != nil })
		crowd.finish(r, nil, nil, time.Time{}, err)
		return
	}
	head := crowd.Clock.Now()
	body, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	crowd.finish(r, res, body, head, err)
	if s.streams.failed.Load() {
		s.streams.close()
	}
}
