package peers_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/peers"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/proof"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
)

// Guards against an entry that ends calls with 404 since it takes its configuration for newer than it is: an exchange may take
// seconds, and the configuration grows old on the way.
var _ = Describe("The age in a digest", func() {
	const (
		age  = 100 * time.Millisecond
		took = 600 * time.Millisecond
	)
	large := delta.Delta{Revision: 9, Full: true, Items: []item.Item{{Key: "k", Value: []byte(strings.Repeat("v", 6<<10)), Revision: 9}}}
	for _, tc := range []struct {
		name         string
		sent, answer delta.Delta
		listener     slowListener
		writer       slowWriter
		// answered is set if the age is that of the answer.
		answered bool
	}{
		{"counts the time that the answer takes", delta.Delta{}, large, slowListener{}, slowWriter{piece: 1 << 10, pause: took / 6, silentAt: -1}, true},
		{"counts the time that the digest takes", large, delta.Delta{}, slowListener{piece: 1 << 10, pause: took / 5}, slowWriter{piece: 1 << 10, silentAt: -1}, false},
	} {
		It(tc.name, func() {
			s := peers.New(clock.Wall(), &http.Client{})
			var received digest.Digest
			s.Submit = func(_ context.Context, ev event.Event) (effect.Effect, error) {
				received = ev.Digest
				return effect.Effect{Digest: digest.Digest{From: "p", Revision: 9, Matched: proof.FromAge(time.Now(), age), Delta: tc.answer}}, nil
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
			got, err := s.SendDigest(context.Background(), &effect.Effect{Addr: addr, Digest: digest.Digest{From: "e", Matched: proof.FromAge(time.Now(), age), Delta: tc.sent}})
			Expect(err).NotTo(HaveOccurred())
			if !tc.answered {
				got = received
			}
			gotAge, known := got.Matched.Age(time.Now())
			Expect(known).To(BeTrue())
			Expect(gotAge).To(And(BeNumerically(">=", age+took/2), BeNumerically("<", age+4*took)))
		})
	}
})
