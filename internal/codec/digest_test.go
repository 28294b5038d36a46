package codec_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/balsamvale/balsamvale/internal/codec"
	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/pkg/events/digest"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
	"github.com/balsamvale/balsamvale/pkg/stored/delta"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

// FuzzDigest checks that no message of a peer makes decoding panic or yields counts that are negative.
func FuzzDigest(f *testing.F) {
	for _, d := range []*pb.Digest{
		{From: "e", Revision: 3, Age: durationpb.New(time.Second), Fact: []*pb.Fact{{Topic: 1, Subject: "u", Left: durationpb.New(time.Hour)}}},
		{Fact: []*pb.Fact{{Tally: []*pb.Tally{{Upstream: "u", Calls: 1 << 31, Fails: 1 << 31}}}}, Item: []*pb.Item{{Key: "k", Revision: -1}}},
	} {
		data, err := proto.Marshal(d)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	// The extreme values of each time.
	for _, extreme := range []*durationpb.Duration{
		durationpb.New(math.MaxInt64), durationpb.New(math.MinInt64), durationpb.New(-1), durationpb.New(tune.MaxProofAge), durationpb.New(tune.MaxProofAge - 1),
		{Seconds: math.MaxInt64, Nanos: math.MaxInt32}, {Seconds: math.MinInt64, Nanos: math.MinInt32}, {Seconds: -1, Nanos: 1},
	} {
		data, err := proto.Marshal(&pb.Digest{
			From: "e", Revision: 3, Eras: true, Age: extreme, Kept: []*pb.Item{{Key: "k"}}, KeptFor: extreme, KeptLeft: []*durationpb.Duration{extreme},
			Fact: []*pb.Fact{
				{Topic: 1, Subject: "u", Left: extreme, Tally: []*pb.Tally{{Upstream: "u", Calls: 1, Total: extreme}}},
				{Topic: 4, Subject: "r", Tally: []*pb.Tally{{Upstream: "u", Calls: 2, Times: []*durationpb.Duration{extreme}}}},
			},
		})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m pb.Digest
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		now := time.Unix(1000, 0)
		d := codec.DigestFromProto(now, &m)
		if age, known := d.Matched.Age(now); known && (age < 0 || age >= tune.MaxProofAge) {
			t.Errorf("proof of age %v", age)
		}
		for _, left := range append(d.KeptLeft, d.KeptFor) {
			if left < 0 || left > tune.RestoreMemory {
				t.Errorf("kept for %v", left)
			}
		}
		if d.KeptLeft != nil && len(d.KeptLeft) != len(d.Kept) {
			t.Errorf("%d times for %d kept items", len(d.KeptLeft), len(d.Kept))
		}
		for _, fact := range d.Facts {
			if left := fact.Until.Sub(now); left < 0 || left > tune.RollbackTTL {
				t.Errorf("time left of a fact: %v", left)
			}
			for _, tl := range fact.Tallies {
				if tl.Calls < 0 || tl.Failures < 0 || tl.SlowCalls < 0 {
					t.Errorf("negative count in %+v", tl)
				}
				// The canary analysis takes a step for each call.
				if tl.Calls > 1e6 || tl.Failures+tl.SlowCalls > tl.Calls || tl.TotalTime < 0 {
					t.Errorf("outcomes that no entry sends: %+v", tl)
				}
				for _, took := range append(tl.UnjudgedTimes, tl.TotalTime/time.Duration(max(1, tl.Calls))) {
					if took < 0 || took > 24*time.Hour {
						t.Errorf("response time %v in %+v", took, tl)
					}
				}
			}
		}
		_ = codec.DigestToProto(time.Unix(1000, 0), d)
	})
}

// During an upgrade, entries of an older build do not know all fields: they ignore those that they are sent, and leave them out.
var _ = Describe("A digest", func() {
	now := time.Unix(1000, 0)
	for _, tc := range []struct {
		name string
		d    digest.Digest
	}{
		{"without large changes", digest.Digest{From: "e", Revision: 3, Brief: true}},
		{"with numbered facts", digest.Digest{From: "e", Revision: 3, FactsSince: 1 << 60, FactsUpto: 1<<60 + 4, FactsAck: 1 << 59}},
		{"with what is kept", digest.Digest{From: "e", Revision: revno.New(2, 3), Kept: []item.Item{{Key: "k", Value: []byte("v"), Revision: 7}}, KeptFor: time.Minute, KeptLeft: []time.Duration{time.Second}}},
		{"with a transition in which nothing is kept", digest.Digest{From: "e", Revision: revno.New(2, 3), KeptFor: time.Minute}},
		{"that offers large changes", digest.Digest{From: "e", Revision: 3, Brief: true, Offer: true}},
		{"of a store that was restored", digest.Digest{From: "e", Revision: revno.New(2, 3), Delta: delta.Delta{BaseRevision: revno.New(1, 9), Revision: revno.New(2, 3)}}},
		{"that asks for all changes, as those of older builds do", digest.Digest{From: "e", Revision: 3}},
	} {
		It("is the same after decoding: "+tc.name, func() {
			data, err := proto.Marshal(codec.DigestToProto(now, tc.d))
			Expect(err).NotTo(HaveOccurred())
			var m pb.Digest
			Expect(proto.Unmarshal(data, &m)).To(Succeed())
			got := codec.DigestFromProto(now, &m)
			got.Delta.Items = nil
			Expect(got).To(Equal(tc.d))
		})
	}
})
