package stall_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/stall"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// pacedServer reads the body of a request and then sends a response in pieces, with pauses.
type pacedServer struct {
	// readPause is the pause after each KB of the request that is read.
	readPause time.Duration
	// think is the time before the head. Each of pieces follows after a pause; forever repeats the last one without end.
	think   time.Duration
	pieces  []string
	pause   time.Duration
	forever bool
	// silentFrom is the number of the first request without a response; 0 if all have one.
	silentFrom int64
	// oneChunk sends all pieces as one chunk, as net/http does with a large response.
	oneChunk bool

	requests atomic.Int64
}

func (s *pacedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	for {
		_, err := io.CopyN(io.Discard, r.Body, 1<<10)
		if err != nil {
			break
		}
		time.Sleep(s.readPause)
	}
	think := s.think
	if s.requests.Add(1) >= s.silentFrom && s.silentFrom > 0 {
		think = time.Minute
	}
	if !sleep(r, think) {
		return
	}
	if s.oneChunk {
		s.sendChunk(w, r)
		return
	}
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	for i := 0; i < len(s.pieces); i++ {
		if !sleep(r, s.pause) {
			return
		}
		_, _ = io.WriteString(w, s.pieces[i])
		_ = http.NewResponseController(w).Flush()
		if s.forever && i == len(s.pieces)-1 {
			i--
		}
	}
}

// sendChunk sends the pieces as one chunk, with pauses.
func (s *pacedServer) sendChunk(w http.ResponseWriter, r *http.Request) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", len(strings.Join(s.pieces, "")))
	for _, p := range s.pieces {
		if !sleep(r, s.pause) {
			return
		}
		_, _ = io.WriteString(c, p)
	}
	_, _ = io.WriteString(c, "\r\n0\r\n\r\n")
}

// sleep waits, and reports whether the request was not canceled meanwhile.
func sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// pacedBody is a request body of n pieces with a pause before each.
type pacedBody struct {
	n     int
	piece string
	pause time.Duration
}

func (b *pacedBody) Read(p []byte) (int, error) {
	if b.n == 0 {
		return 0, io.EOF
	}
	b.n--
	time.Sleep(b.pause)
	return copy(p, b.piece), nil
}

// Guards against transfers over a slow link that are cut after a fixed time and begin again from nothing, and against calls that
// a connection without progress, or almost without, keeps busy.
var _ = Describe("Call", func() {
	const (
		silence = 200 * time.Millisecond
		total   = time.Second
		step    = 50 * time.Millisecond
	)
	steady := strings.Split(strings.Repeat("x", 10), "")
	kilobyte := strings.Repeat("x", 1<<10)
	kilobytes := slices.Repeat([]string{kilobyte}, 10)
	none := &pacedBody{}
	for _, tc := range []struct {
		name   string
		server *pacedServer
		upload *pacedBody
		// requests is the number of requests of the call, one after the other.
		requests int
		wait     time.Duration
		// err is nil if the call succeeds. The call takes between least and most.
		err         error
		least, most time.Duration
	}{
		{"succeeds while the response comes slowly but steadily", &pacedServer{pieces: steady, pause: step}, none, 1, 0, nil, 10 * step, total},
		{"succeeds while a response of one chunk comes slowly but steadily", &pacedServer{pieces: kilobytes, pause: step, oneChunk: true}, none, 1, 0, nil, 10 * step, total},
		{"succeeds while the request is written slowly but steadily", &pacedServer{}, &pacedBody{10, "x", step}, 1, 0, nil, 10 * step, total},
		{"succeeds when a large request is in the buffers of the connection at once and goes slowly from there", &pacedServer{readPause: 10 * time.Millisecond}, &pacedBody{50, kilobyte, 0}, 1, 0, nil, 2 * silence, total},
		{"succeeds with several requests that make progress", &pacedServer{think: 2 * step, pieces: steady[:1]}, none, 4, 0, nil, 8 * step, total},
		{"succeeds when the server responds after the wait", &pacedServer{think: 2 * silence}, none, 1, 2 * silence, nil, 2 * silence, 3 * silence},
		{"succeeds when the server responds after the wait, which follows a request body", &pacedServer{think: 2 * silence}, &pacedBody{1, "x", 0}, 1, 2 * silence, nil, 2 * silence, 3*silence + step},
		{"ends when there is no response", &pacedServer{silentFrom: 1}, none, 1, 0, stall.ErrSilent, silence, 2 * silence},
		{"ends when there is no response to a large request", &pacedServer{silentFrom: 1}, &pacedBody{50, kilobyte, 0}, 1, 0, stall.ErrSilent, 3 * silence, 4 * silence},
		{"ends when there is no response after the wait", &pacedServer{silentFrom: 1}, none, 1, silence, stall.ErrSilent, 2 * silence, 3 * silence},
		{"ends when a response is silent after the head", &pacedServer{pieces: steady, pause: time.Minute}, none, 1, 0, stall.ErrSilent, silence, 2 * silence},
		{"ends when a response with a wait is silent after the head", &pacedServer{pieces: steady, pause: time.Minute}, none, 1, 4 * silence, stall.ErrSilent, silence, 2 * silence},
		{"ends when a second request has no response", &pacedServer{silentFrom: 2}, none, 2, 0, stall.ErrSilent, silence, 2 * silence},
		{"ends when a byte comes now and then without end", &pacedServer{pieces: steady[:1], pause: step, forever: true}, none, 1, 0, stall.ErrSlow, total, total + silence},
		{"ends when a byte is sent now and then without end", &pacedServer{}, &pacedBody{1 << 20, "x", step}, 1, 0, stall.ErrSlow, total, total + silence},
	} {
		It(tc.name, func() {
			srv := httptest.NewServer(tc.server)
			DeferCleanup(srv.Close)
			client := &http.Client{Transport: stall.Wrap(&http.Transport{})}
			DeferCleanup(client.CloseIdleConnections)
			begin := time.Now()
			call := &stall.Call{Clock: clock.Wall(), Silence: silence, Wait: tc.wait, Total: total}
			ctx := call.Begin(context.Background())
			defer call.End()
			var err error
			for range tc.requests {
				if err = post(ctx, client, srv.URL, tc.upload); err != nil {
					break
				}
			}
			took := time.Since(begin)
			if tc.err == nil {
				Expect(err).NotTo(HaveOccurred())
			} else {
				Expect(err).To(HaveOccurred())
				Expect(context.Cause(ctx)).To(MatchError(tc.err))
			}
			Expect(took).To(And(BeNumerically(">=", tc.least), BeNumerically("<", tc.most)))
		})
	}
})

// post makes one request and reads the response to its end.
func post(ctx context.Context, client *http.Client, url string, body io.Reader) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return err
	}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return err
}
