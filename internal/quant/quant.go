package quant

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Summary holds the median and the 99th and 99.9th percentile of a latency distribution.
type Summary struct {
	P50  time.Duration `json:"p50"`
	P99  time.Duration `json:"p99"`
	P999 time.Duration `json:"p999"`
}

// Summarize returns the quantiles of a histogram whose values are in microseconds.
func Summarize(h *hdrhistogram.Histogram) Summary {
	percentile := func(p float64) time.Duration { return time.Duration(h.ValueAtQuantile(p)) * time.Microsecond }
	return Summary{P50: percentile(50), P99: percentile(99), P999: percentile(99.9)}
}
