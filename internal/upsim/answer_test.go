package upsim_test

import (
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/upsim"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

var _ = Describe("the answer of an upstream", func() {
	for _, tc := range []struct {
		how   upsim.Delivery
		end   upsim.End
		sound bool
	}{
		{upsim.Sound, upsim.Delivered, true}, {upsim.Lost, upsim.BrokenOff, false}, {upsim.Cut, upsim.BrokenOff, false},
		{upsim.Doubled, upsim.BrokenOff, true}, {upsim.Garbled, upsim.BrokenOff, false}, {upsim.Failed, upsim.Delivered, false},
	} {
		It("is sent as drawn: "+tc.how.String(), func() {
			ends := make(chan upsim.End, 1)
			u := &upsim.Upstream{
				Name: "a", Slots: 1, MeanRunTime: time.Millisecond, Clock: clock.Wall(), Draw: func() upsim.Delivery { return tc.how },
				Begin: func(*http.Request, string) func(upsim.End) { return func(e upsim.End) { ends <- e } },
			}
			u.Start(1)
			s := httptest.NewServer(u)
			DeferCleanup(s.Close)
			req, err := http.NewRequest(http.MethodPost, s.URL+"/x?call=c1&size=3000", strings.NewReader("body"))
			Expect(err).NotTo(HaveOccurred())
			sound := false
			if res, err := http.DefaultTransport.RoundTrip(req); err == nil {
				body, err := io.ReadAll(res.Body)
				_ = res.Body.Close()
				call, digest, ok := upsim.ReadAnswer(body)
				h := upsim.NewDigest(http.MethodPost, "/x?call=c1&size=3000")
				_, _ = io.WriteString(h, "body")
				sound = err == nil && ok && call == "c1" && digest == hex.EncodeToString(h.Sum(nil))
			}
			Expect(sound).To(Equal(tc.sound))
			Expect(ends).To(Receive(Equal(tc.end)))
		})
	}

	It("is not accepted when a byte differs", func() {
		_, _, ok := upsim.ReadAnswer([]byte("c1 d1\nabc"))
		Expect(ok).To(BeFalse())
	})
})
