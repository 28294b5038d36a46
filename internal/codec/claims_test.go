package codec_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/balsamvale/balsamvale/internal/codec"
	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	"github.com/balsamvale/balsamvale/pkg/calls/answer"
	"github.com/balsamvale/balsamvale/pkg/calls/bind"
	"github.com/balsamvale/balsamvale/pkg/calls/claim"
	"github.com/balsamvale/balsamvale/pkg/calls/ledger"
	"github.com/balsamvale/balsamvale/pkg/calls/state"
)

// firstFields returns the fields of the only claim in a bucket that the version before bindings knows, by number.
func firstFields(bucket []byte) map[protowire.Number][]byte {
	_, _, n := protowire.ConsumeTag(bucket)
	rest, _ := protowire.ConsumeBytes(bucket[n:])
	fields := map[protowire.Number][]byte{}
	for len(rest) > 0 {
		number, kind, n := protowire.ConsumeTag(rest)
		size := protowire.ConsumeFieldValue(number, kind, rest[n:])
		if number <= 8 {
			fields[number] = rest[n : n+size]
		}
		rest = rest[n+size:]
	}
	return fields
}

var _ = Describe("A bucket of claims", func() {
	until := time.Unix(2000, 0).UTC()
	current := claim.Claim{
		Key: 5, Owner: "e", Attempt: 6, State: state.Answered, Until: until,
		Binding: bind.Binding{Account: 1, Method: 2, URI: 3, Body: 4},
		Answer:  answer.Answer{Status: 201, Type: "text/plain", Body: []byte("x")},
	}
	older := &pb.Claim{Key: 5, Owner: "e", Attempt: 6, State: pb.Claim_ANSWERED, Until: timestamppb.New(until), Status: 201, Type: "text/plain", Body: []byte("x")}

	It("of the version before bindings is read as bound to nothing", func() {
		data, err := proto.Marshal(&pb.Claims{Claim: []*pb.Claim{older}})
		Expect(err).NotTo(HaveOccurred())
		got, err := codec.DecodeClaims(data)
		Expect(err).NotTo(HaveOccurred())
		want := current
		want.Binding = bind.Binding{}
		Expect(got.Claims).To(Equal([]claim.Claim{want}))
		Expect(got.Claims[0].Binding.Bound()).To(BeFalse())
		header, trailer, err := codec.DecodeHead(&got.Claims[0].Answer)
		Expect(err).NotTo(HaveOccurred())
		Expect(header).To(Equal(http.Header{"Content-Type": {"text/plain"}}))
		Expect(trailer).To(BeEmpty())
	})

	It("is the same for the version before bindings, apart from what it does not know", func() {
		data, err := codec.EncodeClaims(ledger.Ledger{Claims: []claim.Claim{current}})
		Expect(err).NotTo(HaveOccurred())
		before, err := proto.Marshal(&pb.Claims{Claim: []*pb.Claim{older}})
		Expect(err).NotTo(HaveOccurred())
		Expect(firstFields(data)).To(Equal(firstFields(before)))
	})

	It("is read as it was written, also with values that are not valid UTF-8", func() {
		c := current
		header := http.Header{"Content-Type": {"text/plain; name=caf\xe9"}, "Set-Cookie": {"a=1", "b=2"}, "X-Empty": {""}}
		trailer := http.Header{"X-Sum": {"\xff"}}
		head, err := codec.EncodeHead(header, trailer)
		Expect(err).NotTo(HaveOccurred())
		c.Answer.Head, c.Answer.Type = head, "text/plain; name=caf\xe9"
		data, err := codec.EncodeClaims(ledger.Ledger{Claims: []claim.Claim{c}, Era: 3, DoubtUntil: until})
		Expect(err).NotTo(HaveOccurred())
		got, err := codec.DecodeClaims(data)
		Expect(err).NotTo(HaveOccurred())
		c.Answer.Type = "text/plain; name=caf"
		Expect(got).To(Equal(ledger.Ledger{Claims: []claim.Claim{c}, Era: 3, DoubtUntil: until}))
		gotHeader, gotTrailer, err := codec.DecodeHead(&got.Claims[0].Answer)
		Expect(err).NotTo(HaveOccurred())
		Expect(gotHeader).To(Equal(header))
		Expect(gotTrailer).To(Equal(trailer))
	})
})
