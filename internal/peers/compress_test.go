package peers_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/codec"
	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	rpc "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1/balsamvalev1connect"
	"github.com/balsamvale/balsamvale/internal/peers"
	"github.com/balsamvale/balsamvale/pkg/events/action"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
)

// configuration returns an operators' configuration with a number of routes.
func configuration(routes int) []byte {
	rnd := rand.New(rand.NewPCG(1, 1))
	var b strings.Builder
	b.WriteString(`{"version":7,"routes":[`)
	for i := range routes {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"route-%d-%04x","host":"%04x.example","path_prefix":"/%06x/","kind":"safe","timeout_ms":%d,"target_latency_ms":%d,"priority":%d,"service":"service-%d","max_attempts":2}`,
			i, rnd.IntN(1<<16), rnd.IntN(1<<16), rnd.IntN(1<<24), 100+rnd.IntN(1900), 10+rnd.IntN(190), rnd.IntN(4), rnd.IntN(30))
	}
	b.WriteString(`]}`)
	return []byte(b.String())
}

// answering returns a service whose control answers each digest with d.
func answering(d digest.Digest) *peers.Service {
	s := peers.New(clock.Wall(), &http.Client{})
	s.Submit = func(context.Context, event.Event) (effect.Effect, error) {
		return effect.Effect{Action: action.AnswerDigest, Digest: d}, nil
	}
	return s
}

// serve serves a handler until the test ends, and returns its URL.
func serve(path string, h http.Handler) string {
	mux := http.NewServeMux()
	mux.Handle(path, h)
	srv := httptest.NewServer(mux)
	DeferCleanup(srv.Close)
	return srv.URL
}

// countingTransport counts the bytes of the response bodies that pass through it, as they are on the wire.
type countingTransport struct {
	base  http.RoundTripper
	bytes atomic.Int64
}

func (t *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.base.RoundTrip(r)
	if err == nil {
		res.Body = &countingBody{res.Body, &t.bytes}
	}
	return res, err
}

// countingBody adds the bytes that are read to a counter.
type countingBody struct {
	io.ReadCloser
	bytes *atomic.Int64
}

func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes.Add(int64(n))
	return n, err
}

// uncompressedHandler serves the peer protocol as entries did before they compressed answers for each other.
type uncompressedHandler struct {
	rpc.UnimplementedPeerHandler
	answer digest.Digest
}

func (h *uncompressedHandler) Exchange(context.Context, *connect.Request[pb.Digest]) (*connect.Response[pb.Digest], error) {
	return connect.NewResponse(codec.DigestToProto(time.Now(), h.answer)), nil
}

// Guards against a configuration that is in force late, or not at all, because the answers that carry it fill the links of
// small hosts. During an upgrade, entries that compress answers and others that do not understand each other.
var _ = Describe("The answer to a digest", func() {
	answer := func(value []byte) digest.Digest {
		return digest.Digest{From: "e", Revision: 9, Delta: delta.Delta{Revision: 9, Full: true, Items: []item.Item{{Key: "c/r/routes", Value: value, Revision: 9}}}}
	}
	for _, tc := range []struct {
		name   string
		routes int
		// maxShare is the largest size of the answer on the wire, as a share of that of the configuration.
		maxShare float64
	}{
		{"with a large configuration is compressed", 1400, 0.2},
		{"with a small configuration takes no processor time for it", 10, 1.2},
	} {
		It(tc.name, func() {
			value := configuration(tc.routes)
			path, h := answering(answer(value)).Handler()
			url := serve(path, h)
			wire := &countingTransport{base: http.DefaultTransport}
			s := peers.New(clock.Wall(), &http.Client{Transport: wire})
			got, err := s.SendDigest(context.Background(), &effect.Effect{Addr: netip.MustParseAddrPort(strings.TrimPrefix(url, "http://")), Digest: digest.Digest{From: "me"}})
			Expect(err).NotTo(HaveOccurred())
			Expect(got.Delta.Items).To(Equal(answer(value).Delta.Items))
			share := float64(wire.bytes.Load()) / float64(len(value))
			Expect(share).To(BeNumerically("<=", tc.maxShare))
			if tc.maxShare > 1 {
				Expect(share).To(BeNumerically(">=", 1))
			}
		})
	}

	It("reaches a build that takes no compressed answers", func() {
		value := configuration(1400)
		path, h := answering(answer(value)).Handler()
		c := rpc.NewPeerClient(http.DefaultClient, serve(path, h), connect.WithAcceptCompression("gzip", nil, nil))
		res, err := c.Exchange(context.Background(), connect.NewRequest(&pb.Digest{From: "old"}))
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Header().Get("Content-Encoding")).To(BeEmpty())
		Expect(res.Msg.GetItem()[0].GetValue()).To(Equal(value))
	})

	for _, tc := range []struct {
		name    string
		options []connect.HandlerOption
	}{
		{"is taken from a build that compresses every answer", nil},
		{"is taken from a build that compresses none", []connect.HandlerOption{connect.WithCompression("gzip", nil, nil)}},
	} {
		It(tc.name, func() {
			value := configuration(1400)
			url := serve(rpc.NewPeerHandler(&uncompressedHandler{answer: answer(value)}, tc.options...))
			s := peers.New(clock.Wall(), &http.Client{})
			got, err := s.SendDigest(context.Background(), &effect.Effect{Addr: netip.MustParseAddrPort(strings.TrimPrefix(url, "http://")), Digest: digest.Digest{From: "me"}})
			Expect(err).NotTo(HaveOccurred())
			Expect(got.Delta.Items).To(Equal(answer(value).Delta.Items))
		})
	}
})

// BenchmarkAnswer measures the processor time of an answer with a configuration, at both sides together.
func BenchmarkAnswer(b *testing.B) {
	for _, routes := range []int{20, 1400, 4000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			value := configuration(routes)
			path, h := answering(digest.Digest{From: "e", Delta: delta.Delta{Items: []item.Item{{Key: "k", Value: value}}}}).Handler()
			mux := http.NewServeMux()
			mux.Handle(path, h)
			srv := httptest.NewServer(mux)
			defer srv.Close()
			wire := &countingTransport{base: http.DefaultTransport}
			s := peers.New(clock.Wall(), &http.Client{Transport: wire})
			addr := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
			calls := 0
			for b.Loop() {
				if _, err := s.SendDigest(context.Background(), &effect.Effect{Addr: addr, Digest: digest.Digest{From: "me"}}); err != nil {
					b.Fatal(err)
				}
				calls++
			}
			b.ReportMetric(float64(len(value)), "value-bytes")
			b.ReportMetric(float64(wire.bytes.Load())/float64(calls), "wire-bytes/op")
		})
	}
}
