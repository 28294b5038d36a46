package peers_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/peers"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peers")
}

// maxRead bounds what may be read of one message without end, with what the sockets buffer.
const maxRead = 40 << 20

// endless is a body without end that counts what was read of it.
type endless struct{ read atomic.Int64 }

func (e *endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	e.read.Add(int64(len(p)))
	return len(p), nil
}

// A peer in trouble may send bytes without end. Neither side may keep them all.
var _ = Describe("A message without end", func() {
	for _, contentType := range []string{"application/json", "application/proto"} {
		It("from a peer that calls is cut off: "+contentType, func() {
			s := peers.New(clock.Wall(), &http.Client{})
			submitted := false
			s.Submit = func(context.Context, event.Event) (effect.Effect, error) {
				submitted = true
				return effect.Effect{}, nil
			}
			path, h := s.Handler()
			mux := http.NewServeMux()
			mux.Handle(path, h)
			srv := httptest.NewServer(mux)
			DeferCleanup(srv.Close)
			body := &endless{}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL+path+"Exchange", body)
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Content-Type", contentType)
			res, err := http.DefaultClient.Do(req)
			if err == nil {
				_ = res.Body.Close()
				Expect(res.StatusCode).NotTo(Equal(http.StatusOK))
			}
			Expect(ctx.Err()).NotTo(HaveOccurred())
			Expect(submitted).To(BeFalse())
			Expect(body.read.Load()).To(BeNumerically("<", maxRead))
		})
	}

	It("from a peer that is called fails the call in bounded memory", func() {
		var written atomic.Int64
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/proto")
			chunk := strings.Repeat("x", 64<<10)
			for {
				n, err := io.WriteString(w, chunk)
				written.Add(int64(n))
				if err != nil {
					return
				}
			}
		}))
		DeferCleanup(srv.Close)
		s := peers.New(clock.Wall(), &http.Client{})
		addr := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
		_, err := s.SendDigest(context.Background(), &effect.Effect{Addr: addr, Digest: digest.Digest{From: "e"}})
		Expect(err).To(MatchError(peers.ErrPeer))
		_, err = s.RequestCredits(context.Background(), &effect.Effect{Addr: addr})
		Expect(err).To(MatchError(peers.ErrPeer))
		Expect(written.Load()).To(BeNumerically("<", 2*maxRead))
	})
})
