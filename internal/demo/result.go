package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what a demo saw.
type Result struct {
	Calls    int `json:"calls"`
	Answered int `json:"answered"`
	NotRun   int `json:"notrun"`
	Failed   int `json:"failed"`
	// Repeated counts the runs of calls that must not repeat beyond the first.
	Repeated int `json:"repeated"`
	// False counts the calls that were refused as not run and ran.
	False  int     `json:"false"`
	Mixed  int     `json:"mixed"`
	Cut    int     `json:"cut"`
	Direct Latency `json:"direct"`
	Via    Latency `json:"entry"`
	// Added is what the entry adds at the 99th percentile.
	Added time.Duration `json:"added"`
	// Busy is the processor time of all entries for each call, and Memory the most that one held in bytes.
	Busy   time.Duration `json:"busy"`
	Memory int64         `json:"memory"`
	Fault  string        `json:"fault,omitempty"`
	Broken []string      `json:"broken"`
}

// Latency is the distribution of answer times.
type Latency struct {
	P50  time.Duration `json:"p50"`
	P99  time.Duration `json:"p99"`
	P999 time.Duration `json:"p999"`
}

func latency(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Latency{P50: at(50), P99: at(99), P999: at(99.9)}
}

// result sums up the run.
func (l *load) result() *Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &Result{
		Calls: l.counts.calls, Answered: l.counts.answered, NotRun: l.counts.notRun, Failed: l.counts.failed,
		Mixed: l.counts.mixed, Cut: l.counts.cut, Direct: latency(l.direct), Via: latency(l.via),
		Fault: l.demo.Fault, Broken: []string{},
	}
	r.Added = r.Via.P99 - r.Direct.P99
	runs := map[string]int{}
	for _, b := range l.demo.upstreams {
		for name, n := range b.Runs() {
			if b.service == "payout" {
				runs[name] += n
			} else if n > 0 && l.notRun[name] {
				r.False++
			}
		}
	}
	for name, n := range runs {
		r.Repeated += n - 1
		if l.notRun[name] {
			r.False++
		}
	}
	r.check(r.Repeated == 0, "a call that must not repeat ran more than once")
	r.check(r.False == 0, "a refusal said \"not run\" of a call that ran")
	r.check(r.Mixed == 0, "a caller got the answer to another call")
	r.check(r.Calls > 0 && r.Answered > 0, "no call was answered")
	return r
}

// check notes a promise that was broken.
func (r *Result) check(kept bool, text string) {
	if !kept {
		r.Broken = append(r.Broken, text)
	}
}

// Table prints the result for a person.
func (r *Result) Table(w io.Writer) error {
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
