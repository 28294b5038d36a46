package stats

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/balsamvale/balsamvale/internal/quant"
)

// Summary is what a demo saw.
type Summary struct {
	Calls    int `json:"calls"`
	Answered int `json:"answered"`
	NotRun   int `json:"notrun"`
	Failed   int `json:"failed"`
	// Idempotent counts the calls that may repeat, and Unserved those of them without an answer.
	Idempotent int `json:"idempotent"`
	Unanswered int `json:"unserved"`
	// DuplicateRuns counts the runs of calls that must not repeat beyond the first.
	DuplicateRuns int `json:"repeated"`
	// FalseNotRun counts the calls that were refused as not run and ran.
	FalseNotRun   int           `json:"false"`
	Mismatched    int           `json:"mixed"`
	Truncated     int           `json:"cut"`
	DirectLatency quant.Summary `json:"direct"`
	EntryLatency  quant.Summary `json:"entry"`
	// AddedP99 is what the entry adds at the 99th percentile.
	AddedP99 time.Duration `json:"added"`
	// CPUPerCall is the processor time of all entries for each call, and Memory the most that one held in bytes.
	CPUPerCall     time.Duration `json:"busy"`
	MaxMemoryBytes int64         `json:"memory"`
	Fault          string        `json:"fault,omitempty"`
	Violations     []string      `json:"broken"`
}

// Check notes a promise that was broken.
func (r *Summary) Check(kept bool, text string) {
	if !kept {
		r.Violations = append(r.Violations, text)
	}
}

// WriteTable prints the result for a person.
func (r *Summary) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "calls\tanswered\trefused \"not run\"\tfailed\truns beyond one\tfalse \"not run\"\t")
	fmt.Fprintf(tw, "%d\t%d\t%d\t%d\t%d\t%d\t\n\n", r.Calls, r.Answered, r.NotRun, r.Failed, r.DuplicateRuns, r.FalseNotRun)
	fmt.Fprintln(tw, "latency\tp50\tp99\tp99.9\t")
	fmt.Fprintf(tw, "direct\t%v\t%v\t%v\t\n", r.DirectLatency.P50, r.DirectLatency.P99, r.DirectLatency.P999)
	fmt.Fprintf(tw, "through an entry\t%v\t%v\t%v\t\n", r.EntryLatency.P50, r.EntryLatency.P99, r.EntryLatency.P999)
	fmt.Fprintf(tw, "added at p99\t\t%v\t\t\n", r.AddedP99)
	if err := tw.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "entries: %v of processor time for each call, control included; at most %d MiB in one\n", r.CPUPerCall, r.MaxMemoryBytes>>20)
	for _, b := range r.Violations {
		fmt.Fprintln(w, "broken promise:", b)
	}
	if len(r.Violations) == 0 {
		fmt.Fprintln(w, "no promise was broken")
	}
	return nil
}
