package accts_test

import (
	"crypto/sha256"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/control/accts"
	"github.com/balsamvale/balsamvale/pkg/records/accrec"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "accts")
}

// account returns an account with the given keys.
func account(name string, keys ...string) *accrec.Account {
	a := &accrec.Account{Name: name}
	for _, k := range keys {
		a.Digests = append(a.Digests, accts.Digest(k))
	}
	return a
}

// Guards against a call that is served for another account than that of its key, or without a key of any.
var _ = Describe("The account of a key", func() {
	table := accts.New([]*accrec.Account{account("a", "k1", "k2"), account("b", "k3", "k1", ""), account("none")})
	nearly := accts.Digest("k1")
	nearly[sha256.Size-1] ^= 1
	for _, tc := range []struct {
		name   string
		digest [sha256.Size]byte
		want   string
	}{
		{"a key of the first account", accts.Digest("k1"), "a"},
		{"another key of it", accts.Digest("k2"), "a"},
		{"a key of the second account", accts.Digest("k3"), "b"},
		{"an unknown key", accts.Digest("k4"), ""},
		{"the empty key, also if it is listed", accts.Digest(""), ""},
		{"a digest that differs in the last bit", nearly, ""},
		{"the zero digest", [sha256.Size]byte{}, ""},
	} {
		It("is that of the first account which lists it: "+tc.name, func() {
			found := table.Find(tc.digest)
			if tc.want == "" {
				Expect(found).To(BeNil())
				return
			}
			Expect(found.Name).To(Equal(tc.want))
		})
	}

	It("is needed as soon as there is an account, also without keys", func() {
		Expect(accts.New(nil)).To(BeNil())
		Expect(accts.New([]*accrec.Account{account("none")})).NotTo(BeNil())
		Expect(table.Accounts()).To(Equal(3))
		Expect(accts.New(nil).Accounts() + accts.New(nil).Keys()).To(BeZero())
	})
})

// BenchmarkFind shows that a look-up costs the same with 10 and with 10,000 accounts.
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10, 10_000} {
		var list []*accrec.Account
		for i := range n {
			list = append(list, account(fmt.Sprint("a", i), fmt.Sprint("k", i), fmt.Sprint("l", i)))
		}
		table := accts.New(list)
		for _, key := range []string{"k7", "unknown"} {
			b.Run(fmt.Sprintf("%d/%s", n, key), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					table.Find(accts.Digest(key))
				}
			})
		}
	}
}
