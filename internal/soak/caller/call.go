package caller

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/balsamvale/balsamvale/internal/soak/trail"
	"github.com/balsamvale/balsamvale/internal/upsim"
	"github.com/balsamvale/balsamvale/internal/wire"
)

// TryHeader holds the number of the request for a call; upstreams record it.
const TryHeader = "Soak-Try"

// call is a call with the request that is to be sent for it next.
type call struct {
	request *trail.Request
	method  string
	// uri is the path and query without the name of the service.
	uri     string
	headers http.Header
	body    []byte
	chunked bool
	// chunkGap is the time between two parts of the body, 0 to send it as a whole.
	chunkGap time.Duration
}

// Sizes of bodies in bytes, and the parts that an upload is sent in.
const (
	smallBody  = 2000
	uploadBody = 400_000
	largeBody  = 150_000
	slowBody   = 1_500_000
	chunkBytes = 16 << 10
)

// ordinaryHeaders are headers that callers send, which must not change what becomes of a call.
var ordinaryHeaders = [][2]string{
	{"Cookie", "session=4f2a; theme=dark"},
	{"Accept-Encoding", "gzip, br"},
	{"Cache-Control", "no-cache"},
	{"If-None-Match", `"33a64df5"`},
	{"Authorization", "Bearer c29hay10b2tlbg=="},
	{"X-Request-Id", "8d2f6c1e"},
	{"X-Forwarded-For", "192.0.2.7"},
	{"Traceparent", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"},
	{"Te", "trailers"},
	{"Range", "bytes=0-"},
	{"Connection", "keep-alive"},
	{"Expect", "100-continue"},
}

// headerShare is the share of the requests that carry each of the ordinary headers.
const headerShare = 0.1

// newCall draws a call.
func (c *caller) newCall() *call {
	n := c.crowd.lastCall.Add(1)
	r := &trail.Request{Call: fmt.Sprintf("%s.%d", c.name, n), Service: c.drawService(), Kind: c.service.Kind, Habit: c.habit.String(), Deadline: c.crowd.Timeout}
	k := &call{request: r, method: http.MethodGet, headers: http.Header{}}
	size := 0
	switch {
	case c.habit == Slow:
		size = slowBody
	case c.intN(5) == 0:
		size = largeBody
	}
	k.uri = fmt.Sprintf("/p%d?call=%s&size=%d", c.intN(100), r.Call, size)
	switch c.service.Kind {
	case trail.Once:
		k.method = []string{http.MethodPost, http.MethodPost, http.MethodDelete, http.MethodPut, http.MethodPatch}[c.intN(5)]
		if c.intN(2) == 0 {
			k.body = bytes.Repeat([]byte(r.Call+";"), 1+c.intN(smallBody)/(len(r.Call)+1))
		}
	case trail.Upload:
		r.Deadline = 0
		k.method = http.MethodPut
		k.body = bytes.Repeat([]byte(r.Call+";"), uploadBody/(len(r.Call)+1))
		k.chunked = c.intN(2) == 0
		k.chunkGap = time.Duration(c.intN(60)) * time.Millisecond
	}
	c.drawHeaders(k)
	r.Method, r.URI, r.Digest = k.method, k.uri, k.digest()
	return k
}

// drawService draws the service to call: the caller's own, or one that was added.
func (c *caller) drawService() string {
	added := c.crowd.added.Load()
	if c.service.Kind != trail.Idempotent || added == nil || c.float() >= addedShare {
		return c.service.Name
	}
	return (*added)[c.intN(len(*added))].Name
}

// drawHeaders draws the headers of a call: an idempotency key, a deadline, and ordinary ones.
func (c *caller) drawHeaders(k *call) {
	r := k.request
	set := func(name, value string) {
		k.headers.Set(name, value)
		r.Headers = append(r.Headers, name+": "+value)
	}
	if r.Kind == trail.Once {
		switch {
		case c.crowd.SharedKeys.Load() && c.intN(4) == 0:
			set(wire.IdempotencyKey, fmt.Sprintf("order-%d", c.crowd.lastCall.Load()/40))
		case c.habit == Repeating || c.intN(3) == 0:
			set(wire.IdempotencyKey, "key-"+r.Call)
		case c.intN(2) == 0:
			set("X-Idempotency-Key", "key-"+r.Call)
		}
	}
	if r.Deadline > 0 && c.intN(2) == 0 {
		r.Deadline = time.Duration(800+c.intN(1000)) * time.Millisecond
		set(wire.Deadline, r.Deadline.String())
	}
	for _, h := range ordinaryHeaders {
		if h[0] == "Expect" && k.body == nil {
			continue
		}
		if c.float() < headerShare {
			set(h[0], h[1])
		}
	}
}

// digest returns the digest of the request as the upstream is to see it.
func (k *call) digest() string {
	h := upsim.NewDigest(k.method, k.uri)
	_, _ = h.Write(k.body)
	return hex.EncodeToString(h.Sum(nil))
}

// again returns the same call with a new request.
func (k *call) again(c *caller) *call {
	next, r := *k, *k.request
	next.request = &trail.Request{Call: r.Call, Try: r.Try + 1, Service: r.Service, Kind: r.Kind, Method: r.Method, URI: r.URI, Habit: r.Habit, Headers: r.Headers, Deadline: r.Deadline, Digest: r.Digest}
	if c.service.Kind == trail.Once && k.headers.Get(wire.IdempotencyKey) == "" && r.Outcome != "notrun" {
		return c.newCall()
	}
	return &next
}

// http returns the request in the form of net/http.
func (k *call) http(target Target) (*http.Request, error) {
	url := "http://" + target.Addr.String() + "/" + k.request.Service + k.uri
	var body io.Reader
	if k.body != nil {
		body = &pacedBody{rest: k.body, gap: k.chunkGap}
	}
	req, err := http.NewRequest(k.method, url, body)
	if err != nil {
		return nil, err
	}
	req.Header = k.headers.Clone()
	req.Header.Set(TryHeader, strconv.Itoa(k.request.Try))
	if k.body != nil && !k.chunked {
		req.ContentLength = int64(len(k.body))
	}
	return req, nil
}

// record adds the request to the trail when it is about to be sent.
func (c *Crowd) record(r *trail.Request, target Target, opened time.Time, behind int) {
	c.Trail.Update(func() {
		r.Entry, r.Opened, r.Sent, r.Behind = target.Entry, opened, c.Clock.Now(), behind
		c.Trail.Requests = append(c.Trail.Requests, r)
	})
}

// finish records the response to a request, or why there is none; it reports whether the response is whole.
func (c *Crowd) finish(r *trail.Request, res *http.Response, body []byte, head time.Time, err error) bool {
	now := c.Clock.Now()
	c.Trail.Update(func() {
		r.Head, r.Ended = head, now
		if err != nil {
			r.Error = err.Error()
		}
		if res == nil {
			return
		}
		r.Status, r.Outcome, r.Reason = res.StatusCode, res.Header.Get(wire.Outcome), res.Header.Get(wire.Reason)
		r.Complete = err == nil
		r.AnswerCall, r.AnswerDigest, r.AnswerSound = upsim.ReadAnswer(body)
	})
	return err == nil
}
