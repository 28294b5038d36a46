package codec_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/balsamvale/balsamvale/internal/codec"
	"github.com/balsamvale/balsamvale/internal/tomlpb"
	"github.com/balsamvale/balsamvale/pkg/control/accts"
	"github.com/balsamvale/balsamvale/pkg/records/accrec"
)

// Digests of the keys "k1" and "k2".
const (
	digest1 = "6ab9f1eb8f7d3388f4f9d586f66e99fd54080df2c446f0e58668b09c08a16dd0"
	digest2 = "015f7e6bc5aeaf483724089e9252cc13b50951a6b69412522765cff4d780306e"
)

const accountRecords = `[[account]]
schema = 1
name = "a"
digest = ["` + digest1 + `"]
rank = 0
[[account]]
schema = 1
name = "b"
digest = ["` + digest2 + `"]
`

// Guards against a record that takes a key for its digest, and against a key of two accounts.
var _ = Describe("Records of client accounts", func() {
	It("are the same in the formatted text, with a priority only where one is set", func() {
		recs, err := readAndCheck(accountRecords)
		Expect(err).NotTo(HaveOccurred())
		text := ""
		var accounts []*accrec.Account
		for _, r := range recs {
			m, err := codec.UnwrapRecord(r)
			Expect(err).NotTo(HaveOccurred())
			text += tomlpb.Format(r.GetKind(), m)
			rec, err := codec.RecordFromProto(r)
			Expect(err).NotTo(HaveOccurred())
			accounts = append(accounts, rec.Account)
		}
		Expect(accounts[0].HasPriority).To(BeTrue())
		Expect(accounts[1].HasPriority).To(BeFalse())
		Expect(accts.New(accounts).Find(accts.Digest("k1")).Name).To(Equal("a"))
		again, err := readAndCheck(text)
		Expect(err).NotTo(HaveOccurred())
		for i := range recs {
			Expect(proto.Equal(again[i], recs[i])).To(BeTrue(), recs[i].GetName())
		}
	})

	for _, tc := range []struct{ name, old, replacement, want string }{
		{"a key in place of its digest", digest1, "k1-in-the-clear", `digest 0 of account "a" is not the SHA-256 of a key`},
		{"the digest of the empty key", digest1, "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855", `digest 0 of account "a" is not the SHA-256 of a key`},
		{"a digest twice", `"` + digest1 + `"`, `"` + digest1 + `","` + digest1 + `"`, `digest 1 of account "a" is there twice`},
		{"a key of two accounts", digest2, digest1, `digest 0 is that of a key of account "b"`},
		{"an account twice", `name = "b"`, `name = "a"`, `account "a" is defined twice`},
		{"a priority out of range", "rank = 0", "rank = 101", "101 is out of range"},
	} {
		It("are rejected with "+tc.name+", without the key in the error", func() {
			_, err := readAndCheck(strings.Replace(accountRecords, tc.old, tc.replacement, 1))
			Expect(err).To(MatchError(tomlpb.ErrInvalid))
			Expect(err.Error()).To(ContainSubstring(tc.want))
			Expect(err.Error()).NotTo(ContainSubstring("in-the-clear"))
		})
	}
})
