package meter_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/meter"
	"github.com/balsamvale/balsamvale/pkg/events/xkind"
)

// counted returns the counters of a set that are not 0, by labels, and their values.
func counted(set *metrics.Set) map[string]string {
	var b bytes.Buffer
	set.WritePrometheus(&b)
	out := map[string]string{}
	for _, m := range regexp.MustCompile(`(?m)^balsamvale_peer_bytes_total{(.*)} ([1-9]\d*)$`).FindAllStringSubmatch(b.String(), -1) {
		out[m[1]] = m[2]
	}
	return out
}

// Guards against figures that attribute the cost of the exchange to the wrong cause, or leave out heads and framing.
var _ = Describe("The meter", func() {
	for _, tc := range []struct {
		name  string
		http2 bool
		// requests are the kinds of the requests, of which the odd ones are to another failure domain.
		requests []xkind.Kind
	}{
		{"counts each request over HTTP/1.1 as of its kind", false, []xkind.Kind{xkind.Regular, xkind.Facts, xkind.Regular}},
		{"counts each request over HTTP/2 as of its kind", true, []xkind.Kind{xkind.Regular, xkind.Facts, xkind.Regular}},
	} {
		It(tc.name, func() {
			clientSet, serverSet := metrics.NewSet(), metrics.NewSet()
			client, server := meter.New(clientSet), meter.New(serverSet)
			served := 0
			srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				server.Received(r.Context(), tc.requests[served], served%2 == 1)
				served++
				_, _ = io.WriteString(w, strings.Repeat("y", 3000))
			}))
			srv.Listener = server.Listener(srv.Listener)
			srv.Config.ConnContext = server.ConnContext
			p := &http.Protocols{}
			p.SetHTTP1(!tc.http2)
			p.SetUnencryptedHTTP2(tc.http2)
			srv.Config.Protocols = p
			srv.Start()
			transport := &http.Transport{DialContext: client.Dialer((&net.Dialer{}).DialContext), Protocols: p}
			for i, kind := range tc.requests {
				ctx := client.Begin(context.Background(), kind, i%2 == 1)
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL, strings.NewReader(strings.Repeat("x", 2000)))
				Expect(err).NotTo(HaveOccurred())
				res, err := transport.RoundTrip(req)
				Expect(err).NotTo(HaveOccurred())
				_, err = io.Copy(io.Discard, res.Body)
				Expect(err).NotTo(HaveOccurred())
				Expect(res.Body.Close()).To(Succeed())
			}
			transport.CloseIdleConnections()
			srv.Close()
			all, remote := client.Total()
			Expect(all).To(And(BeNumerically(">", 3*5000), BeNumerically("<", 3*5600)))
			Expect(remote).To(And(BeNumerically(">", 5000), BeNumerically("<", 5600)))
			labels := counted(clientSet)
			for _, kind := range []xkind.Kind{xkind.Regular, xkind.Facts} {
				domain := map[xkind.Kind]string{xkind.Regular: "local", xkind.Facts: "remote"}[kind]
				for _, direction := range []string{"sent", "received"} {
					Expect(labels).To(HaveKey(fmt.Sprintf(`topic=%q,direction=%q,domain=%q`, kind, direction, domain)))
				}
			}
			if tc.http2 {
				return // the sides may end the connection before the other has read all of it
			}
			Expect(labels).To(HaveLen(4))
			serverAll, serverRemote := server.Total()
			Expect(serverAll).To(Equal(all))
			Expect(serverRemote).To(Equal(remote))
		})
	}
})
