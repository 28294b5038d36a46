package codec_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/balsamvale/balsamvale/internal/codec"
	pb "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v1"
	pb2 "github.com/balsamvale/balsamvale/internal/gen/balsamvale/v2"
	"github.com/balsamvale/balsamvale/internal/tomlpb"
	"github.com/balsamvale/balsamvale/pkg/stored/item"
)

const validRecords = `[[domain]]
schema = 1
name = "zone-1"
[[service]]
schema = 2
name = "lookup"
slots = 4
conns = 260
[[service.route]]
path = "/issue"
repeat = "never"
[[service]]
schema = 1
name = "archive"
slots = 6
conns = 220
bulk = true
once = ["/month"]
[[upstream]]
schema = 1
name = "up-1"
service = "lookup"
domain = "zone-1"
addr = "10.0.0.1:80"
version = "v1"
[[move]]
schema = 1
name = "m"
service = "lookup"
from = "v1"
to = "v2"
start = 2026-12-04T08:00:00+01:00
deadline = 2026-12-04T09:00:00+01:00
`

// readAndCheck parses records and checks them without stored records.
func readAndCheck(text string) ([]*pb.Record, error) {
	recs, err := codec.ReadRecords("r.toml", []byte(text))
	if err != nil {
		return nil, err
	}
	return recs, codec.CheckRecords("r.toml", recs, nil)
}

var _ = Describe("ReadRecords", func() {
	It("reads records of both schema versions, and the same records from their formatted text", func() {
		recs, err := readAndCheck(validRecords)
		Expect(err).NotTo(HaveOccurred())
		Expect(recs).To(HaveLen(5))
		text := ""
		for _, r := range recs {
			m, err := codec.UnwrapRecord(r)
			Expect(err).NotTo(HaveOccurred())
			text += tomlpb.Format(r.GetKind(), m)
		}
		again, err := readAndCheck(text)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(HaveLen(5))
		for i := range recs {
			Expect(proto.Equal(again[i], recs[i])).To(BeTrue(), recs[i].GetName())
		}
	})

	for _, tc := range []struct{ name, old, replacement, want string }{
		{"an unknown schema version", "schema = 2", "schema = 3", "r.toml:5: service[0].schema: schema version 3 is not known"},
		{"an unknown kind", "[[domain]]", "[[zone]]", "zone: unknown key"},
		{"an unknown key", "slots = 4", "slot = 4", "r.toml:7: service[0].slot: unknown key"},
		{"too many slots", "slots = 4", "slots = 400000", "r.toml:7: service[0].slots: 400000 is out of range; allowed: 1 to 10000"},
		{"a cold limit above the slots", "slots = 4", "slots = 4\ncold = 5", "cold is 5 and slots is 4"},
		{"a path without a slash", `"/issue"`, `"issue"`, `r.toml:10: service[0].route[0].path: "issue" is not a path`},
		{"an unknown enum value", `"never"`, `"maybe"`, "allowed: method, always, never"},
		{"a service that does not exist", `service = "lookup"`, `service = "other"`, `service "other" does not exist`},
		{"a domain that does not exist", `domain = "zone-1"`, `domain = "zone-2"`, `domain "zone-2" does not exist`},
		{"a deadline before the start", "T09:00", "T07:00", "the deadline must be after the start"},
		{"a time without an offset", "T09:00:00+01:00", "T09:00:00", "must be a date and time with an offset"},
		{"a move to the same version", `to = "v2"`, `to = "v1"`, "from and to must differ"},
		{"a duplicate name", `name = "archive"`, `name = "lookup"`, `service "lookup" is defined twice`},
		{"overlapping moves", "[[move]]", "[[move]]\nschema = 1\nname = \"n\"\nservice = \"lookup\"\nfrom = \"v0\"\nto = \"v2\"\nstart = 2026-12-04T08:30:00+01:00\ndeadline = 2026-12-04T09:30:00+01:00\n[[move]]", "overlaps with move"},
	} {
		It("rejects "+tc.name, func() {
			_, err := readAndCheck(strings.Replace(validRecords, tc.old, tc.replacement, 1))
			Expect(err).To(MatchError(tomlpb.ErrInvalid))
			Expect(err.Error()).To(ContainSubstring(tc.want))
		})
	}
})

var _ = Describe("UpgradeService and DowngradeService", func() {
	for _, tc := range []struct {
		name string
		v1   *pb.Service
	}{
		{"plain", &pb.Service{Schema: 1, Name: "a", Slots: 4, Conns: 260, Cold: 1, Budget: 2}},
		{"bulk", &pb.Service{Schema: 1, Name: "a", Slots: 4, Conns: 260, Bulk: true}},
		{"with paths that are not idempotent", &pb.Service{Schema: 1, Name: "a", Slots: 4, Once: []string{"/x", "/y"}}},
		{"bulk with such paths", &pb.Service{Schema: 1, Name: "a", Slots: 4, Bulk: true, Once: []string{"/x"}}},
	} {
		It("is lossless up to version 2 and back: "+tc.name, func() {
			down, err := codec.DowngradeService(codec.UpgradeService(tc.v1))
			Expect(err).NotTo(HaveOccurred())
			Expect(proto.Equal(down, tc.v1)).To(BeTrue(), "%v", down)
		})
	}
	for _, tc := range []struct {
		name string
		v2   *pb2.Service
	}{
		{"a retry budget other than the default", &pb2.Service{Schema: 2, Retry: 50, Queue: 256}},
		{"a route of a class other than that of its service", &pb2.Service{Schema: 2, Retry: 10, Queue: 256, Route: []*pb2.Route{{Path: "/a", Class: pb2.Class_BULK}}}},
	} {
		It("does not downgrade "+tc.name, func() {
			_, err := codec.DowngradeService(tc.v2)
			Expect(err).To(MatchError(codec.ErrLossy))
		})
	}
})

func FuzzRecords(f *testing.F) {
	f.Add([]byte(validRecords))
	f.Fuzz(func(_ *testing.T, data []byte) {
		if recs, err := codec.ReadRecords("r.toml", data); err == nil {
			_ = codec.CheckRecords("r.toml", recs, nil)
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add("sys/rec/service/a", []byte{10, 1, 65})
	f.Add("sys/member/a", []byte{10, 1, 65})
	f.Add("sys/move/a", []byte{})
	f.Fuzz(func(_ *testing.T, key string, data []byte) {
		_, _ = codec.Decode(item.Item{Key: key, Value: data})
		_, _ = codec.DecodeClaims(data)
	})
}
