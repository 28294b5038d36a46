package stall

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// Errors with which a call ends; they are the cause of the end of its context.
var (
	// ErrSilent means that nothing was transferred for too long.
	ErrSilent = eris.New("no progress")
	// ErrSlow means that the call made progress, but took too long as a whole.
	ErrSlow = eris.New("too slow as a whole")
)

// Call bounds one call of one or more HTTP requests by the time without progress. A transfer over a slow link may so take as
// long as it needs, and a silent connection is noticed soon.
//
// Each byte of a body that is sent or received is progress, and so is the complete head of a response. The requests have to be
// made with the context of Begin, through a transport of Wrap.
type Call struct {
	// Clock measures the limits.
	Clock clock.Clock
	// Silence is how long the call may go without progress.
	Silence time.Duration
	// Wait is how much longer the server may take until it responds.
	Wait time.Duration
	// Total bounds the call, without Wait, so that a byte now and then does not keep it going without end.
	Total time.Duration

	cancel context.CancelCauseFunc
	// moved tells loop that a limit is earlier than before.
	moved chan struct{}

	mu sync.Mutex
	// sentAt is when the bytes of the request so far have been transferred at minSendRate.
	sentAt time.Time
	// respondedAt is when the head of the last response was complete.
	respondedAt time.Time
	// silentAt is when the call ends unless there is progress, and endAt when it ends in any case.
	silentAt, endAt time.Time
}

// minSendRate is the rate in bytes per second at which a request is taken to be transferred at the least: 1 Mbit/s.
const minSendRate = 125_000

// callKey is the key of the call in a context.
type callKey struct{}

// Begin returns the context for the requests of the call. End has to be called when the responses have been read.
func (c *Call) Begin(ctx context.Context) context.Context {
	ctx, c.cancel = context.WithCancelCause(context.WithValue(ctx, callKey{}, c))
	c.moved = make(chan struct{}, 1)
	now := c.Clock.Now()
	c.silentAt, c.endAt = now.Add(c.Silence+c.Wait), now.Add(c.Total+c.Wait)
	go c.loop(ctx)
	return ctx
}

// End ends the call and releases what it holds.
func (c *Call) End() { c.cancel(context.Canceled) }

// loop ends the call when it exceeds a limit.
func (c *Call) loop(ctx context.Context) {
	for {
		rest, err := c.remaining()
		if rest <= 0 {
			c.cancel(err)
			return
		}
		t, stop := c.Clock.Timer(rest)
		select {
		case <-t:
		case <-c.moved:
		case <-ctx.Done():
			stop()
			return
		}
		stop()
	}
}

// remaining returns the time until the next limit, and the error with which the call ends there.
func (c *Call) remaining() (time.Duration, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	if c.endAt.Before(c.silentAt) {
		return c.endAt.Sub(now), eris.Wrapf(ErrSlow, "not complete after %v", c.Total)
	}
	return c.silentAt.Sub(now), eris.Wrapf(ErrSilent, "nothing was transferred for %v", c.Silence)
}

// RespondedAt returns when the head of the last response was complete, or zero before the first response.
func (c *Call) RespondedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.respondedAt
}

// responded records that the head of a response is complete.
func (c *Call) responded() {
	c.received(0)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.respondedAt = c.Clock.Now()
}

// sent records that n bytes of a request were passed to the connection. Its buffers may take all of them at once, so the time
// without progress starts when a link of minSendRate has transferred them.
func (c *Call) sent(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.Clock.Now(); c.sentAt.Before(now) {
		c.sentAt = now
	}
	c.sentAt = c.sentAt.Add(time.Duration(n) * time.Second / minSendRate)
	c.silentAt = c.sentAt.Add(c.Silence + c.Wait)
}

// received records progress in a response.
func (c *Call) received(int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.Clock.Now().Add(c.Silence)
	if at.Before(c.silentAt) {
		select {
		case c.moved <- struct{}{}:
		default:
		}
	}
	c.silentAt = at
}

// Wrap returns a transport that makes requests through base and reports their progress to the call in their context, if there
// is one; nil means http.DefaultTransport.
func Wrap(base http.RoundTripper) http.RoundTripper {
	if base == nil {
		base = http.DefaultTransport
	}
	return &transport{base: base}
}

type transport struct{ base http.RoundTripper }

// RoundTrip makes a request; errors are those of the base transport.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	c, ok := r.Context().Value(callKey{}).(*Call)
	if !ok {
		return t.base.RoundTrip(r)
	}
	res, err := t.base.RoundTrip(c.observe(r))
	if err != nil {
		return nil, err
	}
	c.responded()
	res.Body = &body{ReadCloser: res.Body, progress: c.received}
	return res, nil
}

// CloseIdleConnections closes the connections of the base transport that no request uses.
func (t *transport) CloseIdleConnections() {
	if b, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		b.CloseIdleConnections()
	}
}

// observe returns the request with a body that reports progress.
func (c *Call) observe(r *http.Request) *http.Request {
	if r.Body == nil || r.Body == http.NoBody {
		return r
	}
	out := *r
	out.Body = &body{ReadCloser: r.Body, progress: c.sent}
	if r.GetBody != nil {
		out.GetBody = func() (io.ReadCloser, error) {
			b, err := r.GetBody()
			if err != nil {
				return nil, err
			}
			return &body{ReadCloser: b, progress: c.sent}, nil
		}
	}
	return &out
}

// body is the body of a request or response that reports progress.
type body struct {
	io.ReadCloser
	progress func(n int)
}

// progressBytes bounds a read in bytes. net/http returns from a read within a chunk only when it has filled the buffer, which may take
// longer than the time without progress, while large messages are read into buffers of megabytes.
const progressBytes = 1 << 10

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), progressBytes)])
	if n > 0 {
		b.progress(n)
	}
	return n, err
}
