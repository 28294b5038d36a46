package proxy_test

import (
	"bytes"
	"crypto/sha256"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"testing"
	"time"
)

// BenchmarkCall compares calls through an entry with direct calls: one after the other on one connection, and in parallel.
func BenchmarkCall(b *testing.B) {
	up := httptest.NewServer(http.HandlerFunc(serveOK))
	b.Cleanup(up.Close)
	entry := startEntryFor(up, 2*streamBytes, b.Cleanup)
	for _, bc := range []struct{ name, url string }{{"direct", up.URL + "/a"}, {"entry", entry.URL + "/s/a"}} {
		b.Run(bc.name, func(b *testing.B) {
			var latencies []time.Duration
			for b.Loop() {
				start := time.Now()
				get(b, bc.url)
				latencies = append(latencies, time.Since(start))
			}
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
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

// streamBytes is the size of the body that BenchmarkStream sends and gets back.
const streamBytes = 256 << 20

// pattern is an endless reader of a repeating byte sequence.
type pattern struct{ at byte }

func (p *pattern) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = p.at
		p.at++
	}
	return len(b), nil
}

// BenchmarkStream sends a large body through an entry to an upstream that echoes it, checks the response, and reports the
// growth of the heap.
func BenchmarkStream(b *testing.B) {
	up := httptest.NewServer(http.HandlerFunc(echo))
	b.Cleanup(up.Close)
	entry := startEntryFor(up, 2*streamBytes, b.Cleanup)
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		res, err := http.Post(entry.URL+"/s/up", "x/y", io.LimitReader(&pattern{}, streamBytes))
		if err != nil {
			b.Fatal(err)
		}
		sum, want := sha256.New(), sha256.New()
		n, err := io.Copy(sum, res.Body)
		_ = res.Body.Close()
		_, _ = io.Copy(want, io.LimitReader(&pattern{}, streamBytes))
		if err != nil || n != streamBytes || !bytes.Equal(sum.Sum(nil), want.Sum(nil)) {
			b.Fatalf("got %d bytes, error %v", n, err)
		}
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapSys)-float64(before.HeapSys), "heap-B")
	}
}
