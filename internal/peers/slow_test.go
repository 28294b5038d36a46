package peers_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/peers"
	"github.com/balsamvale/balsamvale/internal/redial"
	"github.com/balsamvale/balsamvale/internal/stall"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// slowWriter sends a response in pieces, with a pause after each.
type slowWriter struct {
	http.ResponseWriter
	request *http.Request
	piece   int
	pause   time.Duration
	// silentAt is the byte of the body from which on nothing is sent; -1 if all of it is.
	silentAt int
}

func (w *slowWriter) Write(p []byte) (int, error) {
	for sent := 0; sent < len(p); {
		if w.silentAt >= 0 && sent >= w.silentAt {
			_ = http.NewResponseController(w.ResponseWriter).Flush()
			<-w.request.Context().Done()
			return sent, w.request.Context().Err()
		}
		n, err := w.ResponseWriter.Write(p[sent:min(sent+w.piece, len(p))])
		if err != nil {
			return sent, err
		}
		_ = http.NewResponseController(w.ResponseWriter).Flush()
		sent += n
		time.Sleep(w.pause)
	}
	return len(p), nil
}

// slowListener accepts connections that read at a limited rate.
type slowListener struct {
	net.Listener
	// piece is what a read returns at most, and pause the time after each; 0 means no limit.
	piece int
	pause time.Duration
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil || l.piece == 0 {
		return c, err
	}
	return &slowConn{c, l}, nil
}

type slowConn struct {
	net.Conn
	listener *slowListener
}

func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), c.listener.piece)])
	time.Sleep(c.listener.pause)
	return n, err
}

// Guards against entries that have no configuration, or an old one, since an exchange over a slow link is cut after a fixed time
// and begins again from nothing.
var _ = Describe("An exchange over a slow link", func() {
	const (
		// link is the rate of a link of 1 Mbit/s, in bytes per second.
		link  = 125_000
		piece = link / 20
		pause = time.Second / 20
		// readPiece is below what a server of net/http reads at once.
		readPiece = 2 << 10
	)
	large := delta.Delta{Revision: 300, Full: true}
	// Answers are compressed, so only random values take their size on the link.
	random := rand.NewChaCha8([32]byte{})
	for i := range 300 {
		value := make([]byte, 900)
		_, _ = random.Read(value)
		large.Items = append(large.Items, item.Item{Key: fmt.Sprintf("c/rec/upstream/i-%03d", i), Value: value, Revision: revno.Revision(i + 1)})
	}
	for _, tc := range []struct {
		name         string
		sent, answer delta.Delta
		listener     slowListener
		writer       slowWriter
		// err is the text in the error; empty if the exchange succeeds.
		err         string
		least, most time.Duration
	}{
		{"succeeds while the answer comes slowly but steadily", delta.Delta{}, large, slowListener{}, slowWriter{piece: piece, pause: pause, silentAt: -1}, "", 2 * tune.PeerTimeout, tune.TransferTimeout},
		{"succeeds while the digest goes slowly but steadily", large, delta.Delta{}, slowListener{piece: readPiece, pause: time.Second * readPiece / link}, slowWriter{piece: piece, silentAt: -1}, "", 2 * tune.PeerTimeout, tune.TransferTimeout},
		{"fails when the answer is silent from the start", delta.Delta{}, large, slowListener{}, slowWriter{silentAt: 0}, stall.ErrSilent.Error(), tune.PeerTimeout, 2 * tune.PeerTimeout},
		{"fails when the answer is silent in the middle", delta.Delta{}, large, slowListener{}, slowWriter{piece: piece, pause: pause, silentAt: 4 * piece}, stall.ErrSilent.Error(), tune.PeerTimeout, 2 * tune.PeerTimeout},
		{"fails when a byte of the answer comes now and then", delta.Delta{}, large, slowListener{}, slowWriter{piece: 1, pause: pause, silentAt: -1}, stall.ErrSlow.Error(), tune.TransferTimeout, tune.TransferTimeout + tune.PeerTimeout},
	} {
		It(tc.name, func() {
			s := peers.New(clock.Wall(), &http.Client{Transport: redial.New(time.Minute)})
			var received atomic.Int64
			s.Submit = func(_ context.Context, ev event.Event) (effect.Effect, error) {
				received.Store(int64(len(ev.Digest.Delta.Items)))
				return effect.Effect{Digest: digest.Digest{From: "p", Revision: 300, Delta: tc.answer}}, nil
			}
			path, h := s.Handler()
			mux := http.NewServeMux()
			mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
				out := tc.writer
				out.ResponseWriter, out.request = w, r
				h.ServeHTTP(&out, r)
			})
			srv := httptest.NewUnstartedServer(mux)
			tc.listener.Listener = srv.Listener
			srv.Listener = &tc.listener
			srv.Start()
			DeferCleanup(srv.Close)
			addr := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))

			begin := time.Now()
			d, err := s.SendDigest(context.Background(), &effect.Effect{Addr: addr, Digest: digest.Digest{From: "e", Delta: tc.sent}})
			took := time.Since(begin)
			if tc.err == "" {
				Expect(err).NotTo(HaveOccurred())
				Expect(d.Delta.Items).To(HaveLen(len(tc.answer.Items)))
			} else {
				Expect(err).To(And(MatchError(peers.ErrPeer), MatchError(ContainSubstring(tc.err))))
			}
			Expect(received.Load()).To(BeEquivalentTo(len(tc.sent.Items)))
			Expect(took).To(And(BeNumerically(">=", tc.least), BeNumerically("<", tc.most)))
		})
	}
})
