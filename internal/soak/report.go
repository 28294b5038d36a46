package soak

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/balsamvale/balsamvale/internal/soak/check"
	"github.com/balsamvale/balsamvale/internal/soak/trail"
)

// maxRecords bounds the records that the report prints for one promise.
const maxRecords = 5

// Write writes the report as text.
func (r *Report) Write(w io.Writer) error {
	fmt.Fprintf(w, "seed %d, %d entries, %v, %d faults\n", r.Plan.Seed, r.Plan.Size, time.Duration(r.Plan.Length), len(r.Plan.Fault))
	fmt.Fprintf(w, "entries run %s\n\n", r.Program)
	for _, d := range sortedFaults(r.Trail) {
		fmt.Fprintf(w, "%s  %-12s %s\n", r.at(d.Begin), d.Subject, d.What)
	}
	fmt.Fprintln(w)
	if err := r.writeLives(w); err != nil {
		return err
	}
	if err := r.writeCounts(w); err != nil {
		return err
	}
	r.writeStalls(w)
	byPromise := map[check.Promise][]check.Broken{}
	for _, b := range r.Broken {
		byPromise[b.Promise] = append(byPromise[b.Promise], b)
	}
	for _, p := range slices.Sorted(maps.Keys(byPromise)) {
		list := byPromise[p]
		fmt.Fprintf(w, "\nbroken promise: %v, %d times%s%s\n", p, len(list), latest(list), habits(list))
		for _, b := range list[:min(len(list), maxRecords)] {
			r.writeBroken(w, b)
		}
	}
	if len(r.Broken) == 0 {
		fmt.Fprintln(w, "\nall promises held")
	}
	return nil
}

// habits returns how many of the requests came from callers of each habit.
func habits(list []check.Broken) string {
	counts := map[string]int{}
	for _, b := range list {
		if b.Request != nil {
			counts[b.Request.Habit]++
		}
	}
	s := ""
	for _, h := range slices.Sorted(maps.Keys(counts)) {
		s += fmt.Sprintf(", %s %d", h, counts[h])
	}
	return s
}

// latest returns how late the last of the promises broke, if they are about that.
func latest(list []check.Broken) string {
	var late time.Duration
	for _, b := range list {
		late = max(late, b.Late)
	}
	if late == 0 {
		return ""
	}
	return fmt.Sprintf(", up to %v late", late.Round(time.Millisecond))
}

// at returns a time relative to the begin of the soak.
func (r *Report) at(t time.Time) string {
	if t.IsZero() {
		return "       -"
	}
	return fmt.Sprintf("%8.3f", t.Sub(r.Trail.Begin).Seconds())
}

func sortedFaults(t *trail.Trail) []*trail.Disturbance {
	return slices.SortedStableFunc(slices.Values(t.Faults), func(a, b *trail.Disturbance) int { return a.Begin.Compare(b.Begin) })
}

// writeLives writes the lives of the processes as a table.
func (r *Report) writeLives(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "process\tstart\tready\tSIGTERM\tSIGKILL\texit\tcode\t")
	for _, l := range r.Trail.Lives {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t\n", l.Entry, r.at(l.Begin), r.at(l.Ready), r.at(l.Stopped), r.at(l.Killed), r.at(l.End), l.Code)
	}
	return tw.Flush()
}

// writeCounts writes how the requests of each habit and service ended.
func (r *Report) writeCounts(w io.Writer) error {
	type group struct{ habit, kind string }
	type counts struct{ sent, answered, notRun, other, none int }
	groups := map[group]*counts{}
	for _, q := range r.Trail.Requests {
		g := group{q.Habit, q.Kind.String()}
		c := groups[g]
		if c == nil {
			c = &counts{}
			groups[g] = c
		}
		c.sent++
		switch {
		case q.Complete && q.Outcome == "answered":
			c.answered++
		case q.Outcome == "notrun":
			c.notRun++
		case q.Status != 0:
			c.other++
		default:
			c.none++
		}
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "\ncallers\tservices\trequests\tanswered\tnot run\tother\tno response\t")
	for _, g := range slices.SortedFunc(maps.Keys(groups), func(a, b group) int { return cmp.Or(cmp.Compare(a.habit, b.habit), cmp.Compare(a.kind, b.kind)) }) {
		c := groups[g]
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t\n", g.habit, g.kind, c.sent, c.answered, c.notRun, c.other, c.none)
	}
	return tw.Flush()
}

// writeStalls writes how long the processes were held from the CPU, which excuses late answers.
func (r *Report) writeStalls(w io.Writer) {
	held := map[string]time.Duration{}
	for _, s := range r.Trail.Stalls {
		held[s.Subject] += s.Took
	}
	for _, subject := range slices.Sorted(maps.Keys(held)) {
		fmt.Fprintf(w, "threads of %s waited for the CPU for %v, in waits of 0.1 s or more\n", subject, held[subject].Round(time.Millisecond))
	}
}

// writeBroken writes one broken promise with the record of its request.
func (r *Report) writeBroken(w io.Writer, b check.Broken) {
	fmt.Fprintf(w, "%s  %s\n", r.at(b.At), b.Text)
	if q := b.Request; q != nil {
		fmt.Fprintf(w, "    request %s/%d of a %s caller: %s /%s%s (%s) to %s, connection opened %s, sent %s behind %d, head %s, ended %s, deadline %v, status %d %s %s, gave up %v, %q, answer to %q, headers %q\n",
			q.Call, q.Try, q.Habit, q.Method, q.Service, q.URI, q.Kind, q.Entry, r.at(q.Opened), r.at(q.Sent), q.Behind, r.at(q.Head), r.at(q.Ended), q.Deadline, q.Status, q.Outcome, q.Reason, q.GaveUp, q.Error, q.AnswerCall, q.Headers)
	}
	for _, run := range b.Runs {
		fmt.Fprintf(w, "    run of %s/%d at %s from %s to %s: %v\n", run.Call, run.Try, run.Upstream, r.at(run.Begin), r.at(run.End), run.Ending)
	}
}
