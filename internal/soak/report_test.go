package soak_test

import (
	"bytes"
	"encoding/xml"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/soak"
	"github.com/balsamvale/balsamvale/internal/soak/check"
	"github.com/balsamvale/balsamvale/internal/soak/plan"
	"github.com/balsamvale/balsamvale/internal/soak/trail"
)

var _ = Describe("a report", func() {
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(seconds int) time.Time { return begin.Add(time.Duration(seconds) * time.Second) }
	request := &trail.Request{Call: "caller-1.7", Habit: "kept", Method: "PUT", Service: "order", URI: "/p1?call=caller-1.7", Kind: trail.Once, Entry: "entry-1/1", Sent: at(3)}
	run := &trail.Run{Call: "caller-1.7", Upstream: "order-2", Begin: at(3), End: at(4), Ending: trail.Broken}
	r := &soak.Report{
		Program: "commit 0123abc, tree clean",
		Plan:    &plan.Plan{Seed: 7, Size: 1, Length: plan.Duration(9 * time.Second), Fault: []plan.Fault{{Kind: plan.Pause}}},
		Trail: &trail.Trail{
			Begin: begin, Requests: []*trail.Request{request}, Runs: []*trail.Run{run}, Lives: []*trail.Life{{Entry: "entry-1/1", Begin: at(0), Ready: at(1), Stopped: at(5)}},
			Faults: []*trail.Disturbance{{What: "pause at 2s", Subject: "entry-1", Begin: at(2), End: at(3)}},
		},
		Broken: []check.Broken{{Promise: check.RunsOnce, At: at(4), Text: "caller-1.7 ran 2 times", Request: request, Runs: []*trail.Run{run, run}}},
	}

	It("names faults, processes, and the requests and runs of broken promises", func() {
		var b bytes.Buffer
		Expect(r.Write(&b)).To(Succeed())
		for _, part := range []string{
			"seed 7, 1 entries, 9s, 1 faults\nentries run commit 0123abc, tree clean\n", "2.000  entry-1      pause at 2s", "entry-1/1     0.000", "broken promise: runs-once, 1 times, kept 1",
			"PUT /order/p1?call=caller-1.7 (once) to entry-1/1", "at order-2 from    3.000 to    4.000: broken",
		} {
			Expect(b.String()).To(ContainSubstring(part))
		}
		Expect(r.Breaks(check.RunsOnce)).To(BeTrue())
		Expect(r.Breaks(check.OwnAnswer)).To(BeFalse())
	})

	It("draws a timeline as SVG with a row for each", func() {
		var b bytes.Buffer
		Expect(r.WriteTimeline(&b)).To(Succeed())
		for _, label := range []string{"entry-1/1", "entry-1 pause at 2s", "broken: runs-once"} {
			Expect(b.String()).To(ContainSubstring(label))
		}
		d := xml.NewDecoder(&b)
		for {
			_, err := d.Token()
			if err == io.EOF {
				return
			}
			Expect(err).NotTo(HaveOccurred())
		}
	})
})
