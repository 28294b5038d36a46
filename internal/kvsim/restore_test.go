package kvsim_test

import (
	"context"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/balsamvale/balsamvale/internal/eras"
	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/internal/kvsim"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// The store of the tests has to lose what the store of a drill loses, or they show nothing.
var _ = Describe("a store that is restored from an older copy", func() {
	ctx := context.Background()
	var s *kvsim.Server
	swap := func(key string, lease int64) *pb.SwapResponse {
		res, err := s.Swap(ctx, connect.NewRequest(&pb.SwapRequest{Key: key, Value: []byte(key), Lease: lease}))
		Expect(err).NotTo(HaveOccurred())
		return res.Msg
	}
	list := func() (keys []string, era string) {
		res, err := s.List(ctx, connect.NewRequest(&pb.ListRequest{}))
		Expect(err).NotTo(HaveOccurred())
		for _, it := range res.Msg.GetItem() {
			keys = append(keys, it.GetKey())
		}
		return keys, res.Header().Get(eras.Header)
	}
	watch := func(after int64) *pb.WatchResponse {
		res, err := s.Watch(ctx, connect.NewRequest(&pb.WatchRequest{Prefix: []string{""}, After: after, Wait: durationpb.New(time.Millisecond)}))
		Expect(err).NotTo(HaveOccurred())
		return res.Msg
	}
	lease := func(id int64) (int64, error) {
		res, err := s.Lease(ctx, connect.NewRequest(&pb.LeaseRequest{Id: id, Ttl: durationpb.New(time.Minute)}))
		if err != nil {
			return 0, err
		}
		return res.Msg.GetId(), nil
	}

	It("loses what was written since, gives out numbers again and has no leases, until its keys are written again", func() {
		s = kvsim.New(clock.Wall(), 1)
		kept, err := lease(0)
		Expect(err).NotTo(HaveOccurred())
		swap("a", kept)
		copied := s.Copy()
		lost, err := lease(0)
		Expect(err).NotTo(HaveOccurred())
		Expect(swap("b", 0).GetItem().GetRevision()).To(Equal(int64(2)))
		swap("c", 0)
		s.Restore(copied, time.Hour)
		keys, era := list()
		Expect(keys).To(Equal([]string{"a"}))
		Expect(era).To(Equal("1"))
		Expect(watch(3).GetLost()).To(BeTrue(), "after a revision that is not known")
		Expect(watch(0).GetLost()).To(BeTrue(), "after a revision before the copy")
		Expect(watch(1).GetLost()).To(BeFalse())
		_, err = lease(kept)
		Expect(err).To(HaveOccurred())
		Expect(lease(0)).To(Equal(lost))
		Expect(swap("d", kept).GetDone()).To(BeFalse())
		Expect(swap("d", lost).GetItem().GetRevision()).To(Equal(int64(2)))
		s.WriteAgain("b")
		keys, _ = list()
		Expect(keys).To(Equal([]string{"a", "b", "d"}))
		s.Restore(copied, 0)
		keys, era = list()
		Expect(keys).To(BeEmpty(), "the keys of lapsed leases")
		Expect(era).To(Equal("2"))
	})
})
