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

// A call that a defective rule may be about must not get 404, which callers take as final.
var _ = Describe("A defective rule", func() {
	defective := func(name, host, path string) *rulrec.Rule {
		return &rulrec.Rule{Name: name, Host: host, Path: path, Defect: "unreadable"}
	}
	for _, tc := range []struct {
		name             string
		rule             *rulrec.Rule
		host, path, want string
	}{
		{"applies to its own calls", defective("d", "a.example", "/x/y/"), "a.example", "/x/y/1", "d"},
		{"leaves the other calls of its host", defective("d", "a.example", "/x/y/"), "a.example", "/x/1", "x"},
		{"leaves calls that no rule matches", defective("d", "a.example", "/x/y/"), "a.example", "/q", ""},
		{"without a path applies to calls of its host that no rule matches", defective("d", "a.example", ""), "a.example:80", "/q", "d"},
		{"without a path leaves the rules of its host", defective("d", "a.example", ""), "a.example", "/x/1", "x"},
		{"without a path leaves other hosts", defective("d", "a.example", ""), "b.example", "/q", ""},
		{"without a host applies to calls below its path that no rule matches", defective("d", "", "/q/"), "b.example", "/q/1", "d"},
		{"without a host leaves calls elsewhere", defective("d", "", "/q/"), "b.example", "/r/1", ""},
		{"without both applies to all calls that no rule matches", defective("d", "", ""), "b.example", "/q", "d"},
		{"that is valid and has no path applies to nothing", &rulrec.Rule{Name: "v", Host: "b.example"}, "b.example", "/q", ""},
	} {
		It(tc.name, func() {
			got := rules.New([]*rulrec.Rule{{Name: "x", Host: "a.example", Path: "/x/"}, tc.rule}).Find(tc.host, tc.path)
			if tc.want == "" {
				Expect(got).To(BeNil())
				return
			}
			Expect(got.Name).To(Equal(tc.want))
		})
	}
})
