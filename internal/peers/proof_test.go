package peers_test

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	rpc "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1/balsamvalev1connect"
	"github.com/balsamvale/balsamvale/internal/peers"
	"github.com/balsamvale/balsamvale/pkg/control/contrl"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/events/action"
	"github.com/balsamvale/balsamvale/pkg/events/effect"
	"github.com/balsamvale/balsamvale/pkg/events/event"
	"github.com/balsamvale/balsamvale/pkg/events/evkind"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/member"
	"github.com/balsamvale/balsamvale/pkg/stored/value"
)

// agedHandler serves the peer protocol with the same answer each time, and keeps the last digest.
type agedHandler struct {
	rpc.UnimplementedPeerHandler
	answer *pb.Digest
	got    *pb.Digest
}

func (h *agedHandler) Exchange(_ context.Context, req *connect.Request[pb.Digest]) (*connect.Response[pb.Digest], error) {
	h.got = req.Msg
	return connect.NewResponse(h.answer), nil
}

// startAged starts an entry, and a peer that answers a digest with an age and one key of the configuration.
func startAged(age *durationpb.Duration) (*contrl.Control, *agedHandler, netip.AddrPort) {
	rejectAll := func(item.Item) (value.Value, error) { return value.Value{}, nil }
	c := contrl.New(member.Member{Name: "e", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)), rejectAll)
	h := &agedHandler{answer: &pb.Digest{From: "p", Revision: 9, Eras: true, Age: age, Upto: 9, Full: true, Item: []*pb.Item{{Key: keys.Record("service", "s"), Revision: 9}}}}
	mux := http.NewServeMux()
	mux.Handle(rpc.NewPeerHandler(h))
	srv := httptest.NewServer(mux)
	DeferCleanup(srv.Close)
	return c, h, netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
}

// Guards against an entry that believes for good that it is up to date, because a peer gave it an age to which nothing can be added, or
// one that no replica can have; entries of older builds give both.
var _ = Describe("The age in a peer's answer", func() {
	for _, tc := range []struct {
		name string
		age  *durationpb.Duration
		// proof is set if the age proves that the state is fresh, and refused if it is counted as one that no replica can have.
		proof, refused bool
	}{
		{"of a fresh replica", durationpb.New(100 * time.Millisecond), true, false},
		{"of an old replica", durationpb.New(time.Minute), false, false},
		{"of a replica of which nothing is known, as older builds give it", durationpb.New(math.MaxInt64), false, false},
		{"of a replica of which nothing is known", durationpb.New(48 * time.Hour), false, false},
		{"that is missing", nil, false, false},
		{"that is too large for a duration", &durationpb.Duration{Seconds: math.MaxInt64, Nanos: math.MaxInt32}, false, false},
		{"that has overflowed in an older build", durationpb.New(math.MinInt64 + time.Second), false, true},
		{"that is negative", durationpb.New(-time.Second), false, true},
		{"that is too small for a duration", &durationpb.Duration{Seconds: math.MinInt64, Nanos: math.MinInt32}, false, true},
	} {
		It("counts for what it proves: "+tc.name, func() {
			c, _, addr := startAged(tc.age)
			s := peers.New(clock.Wall(), &http.Client{})
			d, err := s.SendDigest(context.Background(), &effect.Effect{Addr: addr})
			Expect(err).NotTo(HaveOccurred())
			now := time.Now()
			c.Step(now, event.Event{Kind: evkind.DigestAnswered, Digest: d})
			Expect(s.InvalidAges.Load() == 1).To(Equal(tc.refused))
			age, known := c.Matched().Age(now)
			Expect(age).To(BeNumerically(">=", 0))
			Expect(known && age < time.Second).To(Equal(tc.proof))
		})
	}
})

// Guards against an entry that gives an age which overflows at a peer: it has the state of a peer, and does not know its age yet.
var _ = Describe("The age that an entry gives without a proof", func() {
	for _, tc := range []struct {
		name string
		// asks is set if the entry asks the peer, instead of answering it.
		asks bool
		// state is set if a peer has sent the entry its state.
		state bool
	}{
		{"in its first digest", true, false},
		{"in a digest", true, true},
		{"in its first answer", false, false},
		{"in an answer", false, true},
	} {
		It("can be added to, and is long enough to count as out of date: "+tc.name, func() {
			c, h, addr := startAged(durationpb.New(math.MaxInt64))
			s := peers.New(clock.Wall(), &http.Client{})
			answer := func(_ context.Context, ev event.Event) (effect.Effect, error) {
				for _, e := range c.Step(time.Now(), ev) {
					if e.Action == action.AnswerDigest {
						return e, nil
					}
				}
				return effect.Effect{}, context.Canceled
			}
			s.Submit = answer
			if tc.state {
				d, err := s.SendDigest(context.Background(), &effect.Effect{Addr: addr})
				Expect(err).NotTo(HaveOccurred())
				_, err = answer(context.Background(), event.Event{Kind: evkind.DigestReceived, Digest: d})
				Expect(err).NotTo(HaveOccurred())
			}
			got := h
			if tc.asks {
				e, err := answer(context.Background(), event.Event{Kind: evkind.DigestReceived})
				Expect(err).NotTo(HaveOccurred())
				_, err = s.SendDigest(context.Background(), &effect.Effect{Addr: addr, Digest: e.Digest})
				Expect(err).NotTo(HaveOccurred())
			} else {
				mux := http.NewServeMux()
				mux.Handle(s.Handler())
				srv := httptest.NewServer(mux)
				DeferCleanup(srv.Close)
				res, err := rpc.NewPeerClient(srv.Client(), srv.URL).Exchange(context.Background(), connect.NewRequest(&pb.Digest{From: "p"}))
				Expect(err).NotTo(HaveOccurred())
				got.got = res.Msg
			}
			age := got.got.GetAge().AsDuration()
			Expect(age).To(BeNumerically(">=", 24*time.Hour))
			Expect(age + 24*time.Hour).To(BeNumerically(">", age))
		})
	}
})
