package svcrec_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/pkg/records/route"
	"github.com/balsamvale/balsamvale/pkg/records/svcrec"
)

var _ = Describe("Route", func() {
	s := &svcrec.Service{Routes: []route.Route{{Path: "/a"}, {Path: "/a/b"}, {Path: "/c/"}}}
	for _, tc := range []struct{ path, want string }{
		{"/", "/"},
		{"/a", "/a"},
		{"/ab", "/"},
		{"/a/x", "/a"},
		{"/a/b/c", "/a/b"},
		{"/c/d", "/c/"},
	} {
		It("returns the longest matching prefix for "+tc.path, func() { Expect(s.Route(tc.path).Path).To(Equal(tc.want)) })
	}
})
