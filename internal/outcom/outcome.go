package outcom

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/balsamvale/balsamvale/internal/quant"
)

// Outcome is what a demo saw.
type Outcome struct {
	Calls    int `json:"calls"`
	Answered int `json:"answered"`
	NotRun   int `json:"notrun"`
	Failed   int `json:"failed"`
	// Idempotent counts the calls that may repeat, and Unserved those of them without an answer.
	Idempotent int `json:"idempotent"`
	Unserved   int `json:"unserved"`
	// Repeated counts the runs of calls that must not repeat beyond the first.
	Repeated int `json:"repeated"`
	// False counts the calls that were refused as not run and ran.
	False  int         `json:"false"`
	Mixed  int         `json:"mixed"`
	Cut    int         `json:"cut"`
	Direct quant.Quant `json:"direct"`
	Via    quant.Quant `json:"entry"`
	// Added is what the entry adds at the 99th percentile.
	Added time.Duration `json:"added"`
	// Busy is the processor time of all entries for each call, and Memory the most that one held in bytes.
	Busy   time.Duration `json:"busy"`
	Memory int64         `json:"memory"`
	Fault  string        `json:"fault,omitempty"`
	Broken []string      `json:"broken"`
}

// Check notes a promise that was broken.
func (r *Outcome) Check(kept bool, text string) {
	if !kept {
		r.Broken = append(r.Broken, text)
	}
}

// Table prints the result for a person.
func (r *Outcome) Table(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "calls\tanswered\trefused \"not run\"\tfailed\truns beyond one\tfalse \"not run\"\t")
	fmt.Fprintf(tw, "%d\t%d\t%d\t%d\t%d\t%d\t\n\n", r.Calls, r.Answered, r.NotRun, r.Failed, r.Repeated, r.False)
	fmt.Fprintln(tw, "latency\tp50\tp99\tp99.9\t")
	fmt.Fprintf(tw, "direct\t%v\t%v\t%v\t\n", r.Direct.P50, r.Direct.P99, r.Direct.P999)
	fmt.Fprintf(tw, "through an entry\t%v\t%v\t%v\t\n", r.Via.P50, r.Via.P99, r.Via.P999)
	fmt.Fprintf(tw, "added at p99\t\t%v\t\t\n", r.Added)
	if err := tw.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "entries: %v of processor time for each call, control included; at most %d MiB in one\n", r.Busy, r.Memory>>20)
	for _, b := range r.Broken {
		fmt.Fprintln(w, "broken promise:", b)
	}
	if len(r.Broken) == 0 {
		fmt.Fprintln(w, "no promise was broken")
	}
	return nil
}
