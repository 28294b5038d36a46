package check_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/balsamvale/balsamvale/internal/soak/check"
	"github.com/balsamvale/balsamvale/internal/soak/trail"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time a number of milliseconds after the begin.
func at(millis int) time.Time { return begin.Add(time.Duration(millis) * time.Millisecond) }

// lookup is an answered request to a process that is stopped at 1 s, sent at 6 s, with its run.
func lookup(change func(r *trail.Request, run *trail.Run, l *trail.Life)) *trail.Trail {
	r := &trail.Request{
		Call: "a", Entry: "entry-1/1", Service: "lookup", Sent: at(6000), Head: at(6100), Ended: at(6100), Deadline: 2 * time.Second,
		Digest: "d", Status: 200, Outcome: "answered", Complete: true, AnswerSound: true, AnswerCall: "a", AnswerDigest: "d",
	}
	run := &trail.Run{Call: "a", Upstream: "lookup-1", Begin: at(6010), End: at(6090), Ending: trail.Whole}
	l := &trail.Life{Entry: "entry-1/1", Begin: at(-500), Ready: at(0), Stopped: at(1000), End: at(6500)}
	change(r, run, l)
	return &trail.Trail{Begin: begin, Requests: []*trail.Request{r}, Runs: []*trail.Run{run}, Lives: []*trail.Life{l}}
}

// cut takes the answer from a request.
func cut(r *trail.Request) {
	r.Status, r.Outcome, r.Complete, r.AnswerSound, r.AnswerCall, r.AnswerDigest, r.Head, r.Error = 0, "", false, false, "", "", time.Time{}, "EOF"
}

// with adds to a record.
func with(t *trail.Trail, add func(t *trail.Trail)) *trail.Trail {
	add(t)
	return t
}

// fault returns a disturbance from one time in milliseconds to another.
func fault(subject string, from, to int) func(t *trail.Trail) {
	return func(t *trail.Trail) {
		t.Faults = append(t.Faults, &trail.Disturbance{What: "pause", Subject: subject, Begin: at(from), End: at(to)})
	}
}

// stall returns a wait for the CPU that took and ended at some milliseconds.
func stall(subject string, took, end int) func(t *trail.Trail) {
	return func(t *trail.Trail) {
		t.Stalls = append(t.Stalls, trail.Stall{Subject: subject, End: at(end), Took: time.Duration(took) * time.Millisecond})
	}
}

// samples are what a process used at its polls, and at last when idle.
func samples(last trail.Sample, idle bool) *trail.Trail {
	t := &trail.Trail{Begin: begin}
	for i := range 10 {
		t.Samples = append(t.Samples, trail.Sample{Entry: "entry-1/1", At: at(1000 * i), Goroutines: 100, Files: 80, MemoryBytes: 50 << 20})
	}
	last.Entry, last.At, last.Idle = "entry-1/1", at(11000), idle
	t.Samples = append(t.Samples, last)
	return t
}

type row struct {
	name  string
	trail *trail.Trail
	want  []check.Promise
}

var rows = []row{
	{"an answered request", lookup(func(*trail.Request, *trail.Run, *trail.Life) {}), nil},

	{"two runs of a request that must run once", with(lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) { r.Kind = trail.Once }), func(t *trail.Trail) {
		t.Runs = append(t.Runs, &trail.Run{Call: "a", Upstream: "lookup-2", Begin: at(6050)})
	}), []check.Promise{check.RunsOnce}},
	{"two runs of an idempotent request", with(lookup(func(*trail.Request, *trail.Run, *trail.Life) {}), func(t *trail.Trail) {
		t.Runs = append(t.Runs, &trail.Run{Call: "a", Upstream: "lookup-2", Begin: at(6050)})
	}), nil},
	{"runs of two requests for one call", with(lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) { r.Kind = trail.Once }), func(t *trail.Trail) {
		again := *t.Requests[0]
		again.Try = 1
		t.Requests = append(t.Requests, &again)
		t.Runs = append(t.Runs, &trail.Run{Call: "a", Try: 1, Begin: at(6200)})
	}), []check.Promise{check.RunsOnce}},

	{"a request that loses its answer after SIGTERM", lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) { cut(r) }), []check.Promise{check.StopKeepsAnswers}},
	{"a request that gets a failure of the entry after SIGTERM", lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) {
		cut(r)
		r.Status, r.Outcome, r.Complete = 502, "unknown", true
	}), []check.Promise{check.StopKeepsAnswers}},
	{"sent before SIGTERM and cut after it", lookup(func(r *trail.Request, run *trail.Run, _ *trail.Life) {
		cut(r)
		r.Sent, r.Ended, run.Begin, run.End = at(900), at(1100), at(910), at(1050)
	}), []check.Promise{check.StopKeepsAnswers}},
	{"cut before SIGTERM", lookup(func(r *trail.Request, run *trail.Run, _ *trail.Life) {
		cut(r)
		r.Sent, r.Ended, run.Begin, run.End = at(700), at(900), at(710), at(800)
	}), nil},
	{"cut, and not passed on", with(lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) { cut(r) }), func(t *trail.Trail) { t.Runs = nil }), nil},
	{"cut, its upstream broke off", lookup(func(r *trail.Request, run *trail.Run, _ *trail.Life) {
		cut(r)
		run.Ending = trail.Broken
	}), nil},
	{"cut at its deadline", lookup(func(r *trail.Request, run *trail.Run, _ *trail.Life) {
		cut(r)
		r.Deadline, run.End = 100*time.Millisecond, at(6200)
	}), nil},
	{"cut in a stop that ends with a kill", lookup(func(r *trail.Request, _ *trail.Run, l *trail.Life) {
		cut(r)
		l.Killed = at(6050)
	}), nil},
	{"sent early, its upstream at work in the last sixth of the grace time", lookup(func(r *trail.Request, run *trail.Run, _ *trail.Life) {
		cut(r)
		r.Sent, run.Begin, run.End, r.Ended, r.Deadline = at(4000), at(4010), at(6010), at(6400), 0
	}), nil},
	{"sent late, its upstream at work in the last sixth of the grace time", lookup(func(r *trail.Request, run *trail.Run, _ *trail.Life) {
		cut(r)
		r.Sent, run.Begin, run.End, r.Ended, r.Deadline = at(4010), at(4020), at(6010), at(6400), 0
	}), []check.Promise{check.StopKeepsAnswers}},
	{"cut, the entry was paused", with(lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) { cut(r) }), fault("entry-1", 2000, 3500)), nil},
	{"cut, the entry was paused long before", with(lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) { cut(r) }), fault("entry-1", 1000, 2500)), []check.Promise{check.StopKeepsAnswers}},
	{"cut, another entry was paused", with(lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) { cut(r) }), fault("entry-2", 2000, 5500)), []check.Promise{check.StopKeepsAnswers}},
	{"cut, the store was disturbed", with(lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) { cut(r) }), fault("store", 2000, 5500)), []check.Promise{check.StopKeepsAnswers}},
	{"cut, its upstream was disturbed", with(lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) { cut(r) }), fault("lookup-1", 2000, 5500)), nil},

	{"a success without a signature", lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) { r.AnswerSound = false }), []check.Promise{check.OwnAnswer}},
	{"the answer to another call", lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) { r.AnswerCall = "b" }), []check.Promise{check.OwnAnswer}},
	{"a request that was changed on its way", lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) { r.AnswerDigest = "e" }), []check.Promise{check.OwnAnswer}},
	{"a failure without a signature", lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) { r.Status, r.AnswerSound = 500, false }), nil},

	{"an answer half a second after the deadline", lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) { r.Head, r.Ended = at(8501), at(8501) }), []check.Promise{check.EndsInTime}},
	{"a caller that gave up", with(lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) {
		cut(r)
		r.GaveUp, r.Ended = true, at(10000)
	}), func(t *trail.Trail) { t.Runs = nil }), []check.Promise{check.EndsInTime}},
	{"a slow reader", lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) { r.Ended = at(9000) }), nil},
	{"an upload without a deadline", lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) {
		r.Deadline, r.Head, r.Ended = 0, at(20000), at(20000)
	}), nil},
	{"a late answer behind another one", lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) { r.Behind, r.Head, r.Ended = 1, at(9000), at(9000) }), nil},
	{"a late answer of a paused entry", with(lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) { r.Head, r.Ended = at(9000), at(9000) }), fault("entry-1", 7000, 8000)), nil},

	{"a request on a connection that went silent", with(lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) {
		r.Opened, r.Head, r.Ended = at(1000), at(9000), at(9000)
	}), func(t *trail.Trail) {
		t.Faults = append(t.Faults, &trail.Disturbance{Subject: "entry-1", Lasting: true, Begin: at(2000), End: at(2000)})
	}), nil},
	{"a late answer on a connection that was opened later", with(lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) {
		r.Opened, r.Head, r.Ended = at(2001), at(9000), at(9000)
	}), func(t *trail.Trail) {
		t.Faults = append(t.Faults, &trail.Disturbance{Subject: "entry-1", Lasting: true, Begin: at(2000), End: at(2000)})
	}), []check.Promise{check.EndsInTime}},

	{"a late answer of an entry that got no CPU", with(lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) { r.Head, r.Ended = at(9000), at(9000) }), stall("entry-1", 376, 7000)), nil},
	{"a late answer to callers that got no CPU", with(lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) { r.Head, r.Ended = at(9000), at(9000) }), stall(trail.Machine, 376, 7000)), nil},
	{"a late answer, with a short wait for the CPU", with(lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) { r.Head, r.Ended = at(9000), at(9000) }), stall("entry-1", 375, 7000)), []check.Promise{check.EndsInTime}},
	{"a late answer, with a wait for the CPU before it", with(lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) { r.Head, r.Ended = at(9000), at(9000) }), stall("entry-1", 900, 5999)), []check.Promise{check.EndsInTime}},
	{"a late answer, with a wait of another entry for the CPU", with(lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) { r.Head, r.Ended = at(9000), at(9000) }), stall("entry-2", 900, 7000)), []check.Promise{check.EndsInTime}},

	{"a refusal of a request that has run", lookup(func(r *trail.Request, _ *trail.Run, l *trail.Life) {
		cut(r)
		r.Status, r.Outcome, r.Complete = 503, "notrun", true
		l.Stopped, l.End = time.Time{}, time.Time{}
	}), []check.Promise{check.TrueRefusal}},
	{"a refusal of a request that has not run", with(lookup(func(r *trail.Request, _ *trail.Run, _ *trail.Life) {
		cut(r)
		r.Status, r.Outcome, r.Complete = 503, "notrun", true
	}), func(t *trail.Trail) { t.Runs = nil }), nil},

	{"a request at a removed upstream", with(lookup(func(*trail.Request, *trail.Run, *trail.Life) {}), func(t *trail.Trail) {
		t.Removals = append(t.Removals, &trail.Removal{Upstream: "lookup-1", Acknowledged: at(4000), Bound: 2 * time.Second})
	}), []check.Promise{check.RemovedIsLeft}},
	{"a request within the bound", with(lookup(func(*trail.Request, *trail.Run, *trail.Life) {}), func(t *trail.Trail) {
		t.Removals = append(t.Removals, &trail.Removal{Upstream: "lookup-1", Acknowledged: at(4020), Bound: 2 * time.Second})
	}), nil},
	{"a request at a restored upstream", with(lookup(func(*trail.Request, *trail.Run, *trail.Life) {}), func(t *trail.Trail) {
		t.Removals = append(t.Removals, &trail.Removal{Upstream: "lookup-1", Acknowledged: at(2000), Restored: at(6000), Bound: 2 * time.Second})
	}), nil},
	{"a request at a removed upstream, the store was down", with(with(lookup(func(*trail.Request, *trail.Run, *trail.Life) {}), func(t *trail.Trail) {
		t.Removals = append(t.Removals, &trail.Removal{Upstream: "lookup-1", Acknowledged: at(4000), Bound: 2 * time.Second})
	}), fault("store", 4500, 5000)), nil},

	{"an exit without a signal", lookup(func(_ *trail.Request, _ *trail.Run, l *trail.Life) { l.Stopped, l.Code = time.Time{}, 1 }), []check.Promise{check.StaysAlive}},
	{"a panic in the log", lookup(func(_ *trail.Request, _ *trail.Run, l *trail.Life) { l.Panics = []string{"panic: x"} }), []check.Promise{check.StaysAlive}},
	{"an exit after SIGKILL", lookup(func(_ *trail.Request, _ *trail.Run, l *trail.Life) {
		l.Stopped, l.Killed, l.Code = time.Time{}, at(6400), -1
	}), nil},
	{"a stop that takes too long", lookup(func(_ *trail.Request, _ *trail.Run, l *trail.Life) { l.End = at(10001) }), []check.Promise{check.StopsInTime}},
	{"a stop that does not end", lookup(func(_ *trail.Request, _ *trail.Run, l *trail.Life) { l.End = time.Time{} }), []check.Promise{check.StopsInTime}},
	{"a stop with a failure", lookup(func(_ *trail.Request, _ *trail.Run, l *trail.Life) { l.Code = 1 }), []check.Promise{check.StopsInTime}},
	{"a stop that takes too long after a pause", with(lookup(func(_ *trail.Request, _ *trail.Run, l *trail.Life) { l.End = at(10001) }), fault("entry-1", 2000, 5000)), nil},

	{"a late readiness", lookup(func(_ *trail.Request, _ *trail.Run, l *trail.Life) { l.Ready = at(14501) }), []check.Promise{check.ReadyInTime}},
	{"a late readiness after an outage of the store", with(lookup(func(_ *trail.Request, _ *trail.Run, l *trail.Life) { l.Ready = at(14501) }), fault("store", 2000, 5000)), nil},

	{"no growth", samples(trail.Sample{Goroutines: 60, Files: 40, MemoryBytes: 60 << 20}, true), nil},
	{"more goroutines", samples(trail.Sample{Goroutines: 151}, true), []check.Promise{check.NoGrowth}},
	{"more descriptors", samples(trail.Sample{Files: 131}, true), []check.Promise{check.NoGrowth}},
	{"more memory", samples(trail.Sample{MemoryBytes: 165 << 20}, true), []check.Promise{check.NoGrowth}},
	{"more of all under load", samples(trail.Sample{Goroutines: 1000, Files: 1000}, false), nil},
}

var _ = Describe("All", func() {
	for _, r := range rows {
		It(fmt.Sprintf("finds %v in: %s", r.want, r.name), func() {
			var got []check.Promise
			for _, b := range check.All(r.trail) {
				got = append(got, b.Promise)
			}
			Expect(got).To(Equal(r.want))
		})
	}
})
