package header_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/header"
	"github.com/balsamvale/balsamvale/pkg/calls/step"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "header")
}

// Retry-After holds whole seconds, and a caller must not come back before the time that it stands for.
var _ = Describe("Retry-After of a refusal", func() {
	for _, tc := range []struct {
		after time.Duration
		want  string
	}{
		{0, ""}, {time.Millisecond, "1"}, {time.Second, "1"}, {1500 * time.Millisecond, "2"}, {2 * time.Second, "2"},
	} {
		It("is rounded up: "+tc.after.String(), func() {
			h := http.Header{}
			header.Default().PrepareRefusal(h, &step.Step{}, tc.after)
			Expect(h.Get("Retry-After")).To(Equal(tc.want))
		})
	}
})
