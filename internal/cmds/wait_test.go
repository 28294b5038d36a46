package cmds_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/cmds"
)

// The wait command once called the store again without a pause while it could not be reached.
var _ = Describe("wait", func() {
	for _, tc := range []struct {
		name    string
		respond func(w http.ResponseWriter)
	}{
		{"it breaks the connection", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }},
		{"it fails each request", func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }},
	} {
		It("pauses between requests and says that the store cannot be reached: "+tc.name, func() {
			var calls atomic.Int64
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls.Add(1)
				tc.respond(w)
			}))
			DeferCleanup(s.Close)
			var out, errOut bytes.Buffer
			app := &cmds.App{In: strings.NewReader(""), Out: &out, Err: &errOut}
			code := app.Run(context.Background(), []string{"balsamvale", "wait", "--store", strings.TrimPrefix(s.URL, "http://"), "--for", "1200ms", "m"})
			Expect(code).To(Equal(4))
			Expect(errOut.String()).To(ContainSubstring("the store cannot be reached"))
			Expect(calls.Load()).To(BeNumerically("<=", 6))
		})
	}
})
