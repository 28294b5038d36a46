package front_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"
)

// BenchmarkCall measures a call through an entry against a direct one, on one connection each.
func BenchmarkCall(b *testing.B) {
	up := httptest.NewServer(http.HandlerFunc(serveOK))
	b.Cleanup(up.Close)
	via := entryFor(up, b.Cleanup)
	for _, bc := range []struct{ name, url string }{{"direct", up.URL + "/a"}, {"entry", via.URL + "/s/a"}} {
		b.Run(bc.name, func(b *testing.B) {
			var took []time.Duration
			for b.Loop() {
				start := time.Now()
				get(b, bc.url)
				took = append(took, time.Since(start))
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
		})
		b.Run(bc.name+"-parallel", func(b *testing.B) {
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					get(b, bc.url)
				}
			})
		})
	}
}

func serveOK(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Balsamvale-Load", "busy=0&slots=4&boot=1&age=1h0m0s")
	_, _ = io.WriteString(w, "ok")
}

func get(b *testing.B, url string) {
	res, err := http.Get(url)
	if err != nil {
		b.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
}
