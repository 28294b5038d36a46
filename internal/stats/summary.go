package stats

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/balsamvale/balsamvale/internal/quant"
)

// Summary is the result of a demo run: counts of calls, latencies, resource use and violated guarantees.
type Summary struct {
	// Calls counts the calls through entries; each is one of Answered, NotRun and Failed.
	Calls    int `json:"calls"`
	Answered int `json:"answered"`
	// NotRun counts the calls that were refused with the outcome not run.
	NotRun int `json:"notrun"`
	Failed int `json:"failed"`
	// Idempotent counts the calls that may be sent again, and Unanswered those of them without an answer.
	Idempotent int `json:"idempotent"`
	Unanswered int `json:"unserved"`
	// DuplicateRuns counts the runs beyond the first of calls that must run at most once.
	DuplicateRuns int `json:"repeated"`
	// FalseNotRun counts the calls that were refused as not run although they had run.
	FalseNotRun int `json:"false"`
	// Mismatched counts the calls that got the answer to another call, and Truncated those whose answer was cut short.
	Mismatched int `json:"mixed"`
	Truncated  int `json:"cut"`
	// DirectLatency is the latency of GET calls sent to an upstream directly, and EntryLatency of those through an entry.
	DirectLatency quant.Summary `json:"direct"`
	EntryLatency  quant.Summary `json:"entry"`
	// AddedP99 is the latency that the entry adds at the 99th percentile.
	AddedP99 time.Duration `json:"added"`
	// CPUPerCall is the CPU time of all entries per call, and MaxMemoryBytes the largest resident size of one entry in bytes.
	CPUPerCall     time.Duration `json:"busy"`
	MaxMemoryBytes int64         `json:"memory"`
	// Fault is the name of the injected fault, empty for none.
	Fault string `json:"fault,omitempty"`
	// Program describes the build and the settings of the entries, and the limits of the process.
	Program string `json:"build"`
	// Violations describes each guarantee that did not hold.
	Violations []string `json:"broken"`
}

// Check records text as a violation unless ok is true.
func (r *Summary) Check(ok bool, text string) {
	if !ok {
		r.Violations = append(r.Violations, text)
	}
}

// WriteTable writes the summary as text tables.
func (r *Summary) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "calls\tanswered\trefused \"not run\"\tfailed\tduplicate runs\tfalse \"not run\"\t")
	fmt.Fprintf(tw, "%d\t%d\t%d\t%d\t%d\t%d\t\n\n", r.Calls, r.Answered, r.NotRun, r.Failed, r.DuplicateRuns, r.FalseNotRun)
	fmt.Fprintln(tw, "latency\tp50\tp99\tp99.9\t")
	fmt.Fprintf(tw, "direct\t%v\t%v\t%v\t\n", r.DirectLatency.P50, r.DirectLatency.P99, r.DirectLatency.P999)
	fmt.Fprintf(tw, "through an entry\t%v\t%v\t%v\t\n", r.EntryLatency.P50, r.EntryLatency.P99, r.EntryLatency.P999)
	fmt.Fprintf(tw, "added at p99\t\t%v\t\t\n", r.AddedP99)
	if err := tw.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "entries: %v of CPU time per call, including control; at most %d MiB of memory in one entry\n", r.CPUPerCall, r.MaxMemoryBytes>>20)
	fmt.Fprintln(w, "entries run", r.Program)
	for _, v := range r.Violations {
		fmt.Fprintln(w, "violated guarantee:", v)
	}
	if len(r.Violations) == 0 {
		fmt.Fprintln(w, "all guarantees held")
	}
	return nil
}
