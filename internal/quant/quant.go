package quant

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Summary is the middle and the tail of a distribution of answer times.
type Summary struct {
	P50  time.Duration `json:"p50"`
	P99  time.Duration `json:"p99"`
	P999 time.Duration `json:"p999"`
}

// Summarize reads a histogram of microseconds.
func Summarize(h *hdrhistogram.Histogram) Summary {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Summary{P50: at(50), P99: at(99), P999: at(99.9)}
}
