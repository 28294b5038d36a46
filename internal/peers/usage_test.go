package peers_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/peers"
	"github.com/balsamvale/balsamvale/pkg/duties/ack"
	"github.com/balsamvale/balsamvale/pkg/duties/handov"
	"github.com/balsamvale/balsamvale/pkg/duties/usage"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// Guards against counts that change on the way to the holder, and against a peer without duties that seems to have kept them.
var _ = Describe("A handover of counts", func() {
	sent := handov.Handover{From: "e.7", Leaving: true, DecidedTo: 5, Usages: []usage.Usage{
		{Window: 6, Counts: map[string]int64{"a": 3, "b": 1 << 40}}, {Window: 7, Counts: map[string]int64{}},
	}}
	for _, tc := range []struct {
		name string
		take func(context.Context, handov.Handover) (ack.Ack, error)
		want ack.Ack
		fail bool
	}{
		{"to the holder", func(_ context.Context, h handov.Handover) (ack.Ack, error) {
			Expect(h).To(Equal(sent))
			return ack.Ack{Holder: true, DecidedTo: 6, Kept: true}, nil
		}, ack.Ack{Holder: true, DecidedTo: 6, Kept: true}, false},
		{"to another entry", func(context.Context, handov.Handover) (ack.Ack, error) { return ack.Ack{}, nil }, ack.Ack{}, false},
		{"to an entry that stops", func(context.Context, handov.Handover) (ack.Ack, error) { return ack.Ack{}, context.Canceled }, ack.Ack{}, true},
		{"to an entry without duties", nil, ack.Ack{}, true},
	} {
		It("arrives as it is: "+tc.name, func() {
			to := peers.New(clock.Wall(), &http.Client{})
			to.TakeUsage = tc.take
			mux := http.NewServeMux()
			mux.Handle(to.Handler())
			srv := httptest.NewServer(mux)
			DeferCleanup(srv.Close)
			got, err := peers.New(clock.Wall(), &http.Client{Transport: &http.Transport{}}).SendUsage(context.Background(), netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")), sent)
			if tc.fail {
				Expect(err).To(MatchError(peers.ErrPeer))
				return
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(tc.want))
		})
	}
})
