package store_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	rpc "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1/balsamvalev1connect"
	"github.com/balsamvale/balsamvale/internal/relay"
	"github.com/balsamvale/balsamvale/internal/store"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/kvop"
	"github.com/balsamvale/balsamvale/pkg/stored/kvreq"
)

// largeStore answers lists and watches with the same items; a watch does so after its wait.
type largeStore struct {
	rpc.UnimplementedStoreHandler
	items []*pb.Item
}

func (s *largeStore) List(context.Context, *connect.Request[pb.ListRequest]) (*connect.Response[pb.ListResponse], error) {
	return connect.NewResponse(&pb.ListResponse{Item: s.items, Revision: 300}), nil
}

func (s *largeStore) Watch(_ context.Context, r *connect.Request[pb.WatchRequest]) (*connect.Response[pb.WatchResponse], error) {
	time.Sleep(r.Msg.GetWait().AsDuration())
	return connect.NewResponse(&pb.WatchResponse{Item: s.items, Revision: 300}), nil
}

// Guards against an entry that stays behind: a watch whose response is too large would fail again.
var _ = Describe("A watch of a store with a long history", func() {
	for _, tc := range []struct {
		name     string
		req      kvreq.Request
		versions int
		tooLarge bool
	}{
		{"succeeds when the response fits", kvreq.Request{Op: kvop.Watch}, 15, false},
		{"reports that the response is too large", kvreq.Request{Op: kvop.Watch}, 17, true},
		{"does not report it for a list", kvreq.Request{Op: kvop.List}, 17, false},
	} {
		It(tc.name, func() {
			s := &largeStore{}
			for range tc.versions {
				s.items = append(s.items, &pb.Item{Key: "c/rec/set/", Value: make([]byte, 1<<20)})
			}
			_, h := rpc.NewStoreHandler(s)
			srv := httptest.NewServer(h)
			DeferCleanup(srv.Close)
			c := store.New(clock.Wall(), &http.Client{Transport: &http.Transport{}}, []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))})
			resp := c.Do(context.Background(), tc.req)
			Expect(resp.OutcomeUnknown).To(Equal(tc.versions == 17))
			Expect(resp.TooLarge).To(Equal(tc.tooLarge))
		})
	}
})

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

// Guards against a store over a slow link that is taken for silent: a large response is one chunk, of which net/http passes on nothing
// until it has filled the buffer of the reader.
var _ = Describe("A large response of the store", func() {
	// rate is that of a link of 2 Mbit/s, in bytes per second.
	const rate = 250_000
	for _, op := range []kvop.Op{kvop.List, kvop.Watch} {
		It(fmt.Sprintf("comes over a slow link: to a %v", op), func() {
			s := &largeStore{items: []*pb.Item{{Key: "c/a", Value: make([]byte, 3*rate)}}}
			_, h := rpc.NewStoreHandler(s)
			srv := httptest.NewServer(h)
			DeferCleanup(srv.Close)
			link, err := relay.New(clock.Wall(), netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")))
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(link.Close)
			link.SetRate(rate)
			c := store.New(clock.Wall(), &http.Client{Transport: &http.Transport{}}, []netip.AddrPort{link.Addr()})
			begin := time.Now()
			resp := c.Do(context.Background(), kvreq.Request{Op: op})
			Expect(resp.OutcomeUnknown).To(BeFalse())
			Expect(resp.Items).To(HaveLen(1))
			Expect(time.Since(begin)).To(And(BeNumerically(">=", 2*tune.StoreTimeout), BeNumerically("<", tune.TransferTimeout)))
		})
	}
})

// Guards against entries that have no configuration, or an old one, since a list or watch over a slow link is cut after a fixed
// time and begins again from nothing.
var _ = Describe("A store behind a slow link", func() {
	const (
		// link is the rate of a link of 1 Mbit/s, in bytes per second.
		link  = 125_000
		piece = link / 20
		pause = time.Second / 20
		wait  = 500 * time.Millisecond
	)
	s := &largeStore{}
	for i := range 300 {
		s.items = append(s.items, &pb.Item{Key: fmt.Sprintf("c/rec/upstream/i-%03d", i), Value: []byte(strings.Repeat("v", 900)), Revision: int64(i + 1)})
	}
	list, watch := kvreq.Request{Op: kvop.List}, kvreq.Request{Op: kvop.Watch, Wait: wait}
	for _, tc := range []struct {
		name        string
		req         kvreq.Request
		writer      slowWriter
		ok          bool
		least, most time.Duration
	}{
		{"answers a list slowly but steadily", list, slowWriter{piece: piece, pause: pause, silentAt: -1}, true, 2 * tune.StoreTimeout, tune.TransferTimeout},
		{"answers a watch slowly but steadily, after the wait", watch, slowWriter{piece: piece, pause: pause, silentAt: -1}, true, 2*tune.StoreTimeout + wait, tune.TransferTimeout},
		{"is silent after the head of a list", list, slowWriter{silentAt: 0}, false, tune.StoreTimeout, 2 * tune.StoreTimeout},
		{"is silent after the head of a watch", watch, slowWriter{silentAt: 0}, false, tune.StoreTimeout + wait, 2*tune.StoreTimeout + wait},
		{"is silent in the middle of a list", list, slowWriter{piece: piece, pause: pause, silentAt: 4 * piece}, false, tune.StoreTimeout, 2 * tune.StoreTimeout},
		{"answers a list with a byte now and then", list, slowWriter{piece: 1, pause: pause, silentAt: -1}, false, tune.TransferTimeout, tune.TransferTimeout + tune.StoreTimeout},
	} {
		It(tc.name, func() {
			_, h := rpc.NewStoreHandler(s)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				out := tc.writer
				out.ResponseWriter, out.request = w, r
				h.ServeHTTP(&out, r)
			}))
			DeferCleanup(srv.Close)
			c := store.New(clock.Wall(), &http.Client{Transport: &http.Transport{}}, []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))})
			begin := time.Now()
			resp := c.Do(context.Background(), tc.req)
			took := time.Since(begin)
			Expect(resp.OutcomeUnknown).To(Equal(!tc.ok))
			if tc.ok {
				Expect(resp.Items).To(HaveLen(len(s.items)))
				if tc.req.Op == kvop.Watch {
					Expect(resp.RespondedAt).To(BeTemporally("~", begin.Add(wait), tune.StoreTimeout/2))
				}
			}
			Expect(took).To(And(BeNumerically(">=", tc.least), BeNumerically("<", tc.most)))
		})
	}
})
