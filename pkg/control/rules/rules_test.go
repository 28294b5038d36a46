package rules_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/control/rules"
	"github.com/balsamvale/balsamvale/pkg/records/rulrec"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rules")
}

var _ = Describe("The routing rule for a call", func() {
	table := rules.New([]*rulrec.Rule{
		{Name: "root", Host: "a.example", Path: "/"},
		{Name: "x", Host: "a.example", Path: "/x/"},
		{Name: "deep", Host: "a.example", Path: "/x/y/z/"},
		{Name: "other", Host: "b.example", Path: "/only/"},
		{Name: "port", Host: "D.example:81", Path: "/"},
		{Name: "part", Host: "d.example:83", Path: "/p/"},
		{Name: "any port", Host: "d.example", Path: "/x/"},
	})
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/", "root"},
		{"a.example", "/q", "root"},
		{"a.example", "/x", "root"},
		{"a.example", "/x/", "x"},
		{"a.example", "/x/y/z", "x"},
		{"a.example", "/x/y/z/", "deep"},
		{"a.example", "/x/y/z/1/2", "deep"},
		{"A.Example:80", "/x/1", "x"},
		{"a.example", "/x%2fy", "root"},
		{"b.example", "/", ""},
		{"b.example", "/only/1", "other"},
		{"c.example", "/", ""},
		// A rule of a host with a port matched no call, which was ended with 404.
		{"d.example:81", "/q", "port"},
		{"d.Example:81", "/x/1", "port"},
		{"d.example:82", "/x/1", "any port"},
		{"d.example:83", "/p/1", "part"},
		{"d.example:83", "/x/1", "any port"},
		{"d.example", "/q", ""},
		{"a.example", "", ""},
	} {
		It(tc.host+tc.path, func() {
			r := table.Find(tc.host, tc.path)
			if tc.want == "" {
				Expect(r).To(BeNil())
				return
			}
			Expect(r.Name).To(Equal(tc.want))
		})
	}
})
