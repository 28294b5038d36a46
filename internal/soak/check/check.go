package check

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/balsamvale/balsamvale/internal/soak/trail"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Promise -linecomment

// Promise is what callers, upstreams and operators may rely on.
type Promise int

// Values of Promise.
const (
	// RunsOnce means that a request that must run once does not run twice.
	RunsOnce Promise = iota // runs-once
	// StopKeepsAnswers means that a planned stop takes no answer from a request that was passed on.
	StopKeepsAnswers // stop-keeps-answers
	// OwnAnswer means that an answer is whole and belongs to its request.
	OwnAnswer // own-answer
	// EndsInTime means that a request ends by its deadline.
	EndsInTime // ends-in-time
	// TrueRefusal means that a request that was refused as not run has not run.
	TrueRefusal // true-refusal
	// RemovedIsLeft means that a removed upstream gets no more requests after a time.
	RemovedIsLeft // removed-is-left
	// StaysAlive means that no process exits by itself or panics.
	StaysAlive // stays-alive
	// StopsInTime means that a stopped process exits within a bound.
	StopsInTime // stops-in-time
	// ReadyInTime means that a process is ready within a time after its start.
	ReadyInTime // ready-in-time
	// NoGrowth means that a process does not use more and more.
	NoGrowth // no-growth
	// NoDenial means that no proper request is refused as wrong.
	NoDenial // no-denial
	// InForce means that a change of a record is in force in each process within a time.
	InForce // in-force
)

// Bounds of the promises.
const (
	// graceTime is the time that the platform gives a process after SIGTERM.
	graceTime = 6 * time.Second
	// exitBound is the time from SIGTERM to the exit. The project's settings put no limit on the handover of shards, which may take 3 s
	// after the drain timeout.
	exitBound = graceTime + 3*time.Second
	// stopTail is how long after its grace time a stop still counts.
	stopTail = time.Second
	// lateSend is the last time after SIGTERM at which a request that its upstream works on until the last sixth of the grace time
	// may lose its answer.
	lateSend = 3 * time.Second
	// contactTime is how long after a disturbance its effects excuse what happens.
	contactTime = 3 * time.Second
	// deadlineMargin is how long after its deadline a request may end.
	deadlineMargin = 500 * time.Millisecond
	// heldBound is the time, and heldShare the share of the time, for which processes may be held from the CPU during what a bound
	// limits.
	heldBound = deadlineMargin / 2
	heldShare = 8
	// readyBound is the time from the start of a process until it is ready.
	readyBound = 15 * time.Second
	// Growth of goroutines, descriptors and memory that an idle process may show over the most that it used under load.
	growthCount = 50
	growthBytes = 64 << 20
	// InForceBound is the time from a change of a record, or from the start of a process, until the change is in force in the process.
	InForceBound = 8 * time.Second
)

// Broken is a broken promise.
type Broken struct {
	Promise Promise
	// At is when the promise broke.
	At time.Time
	// Text says what happened.
	Text string
	// Late is how long the entry had been due to know better, if the promise is about that.
	Late time.Duration
	// Request and Runs are the request concerned and its runs, if any.
	Request *trail.Request
	Runs    []*trail.Run
}

// key identifies a request.
type key struct {
	call string
	try  int
}

// index is a record with what the checks look up.
type index struct {
	*trail.Trail
	runs     map[key][]*trail.Run
	requests map[key]*trail.Request
	lives    map[string]*trail.Life
}

// All returns the broken promises in a record by their time.
func All(t *trail.Trail) []Broken {
	x := newIndex(t)
	var out []Broken
	for _, c := range []func(*index) []Broken{runsOnce, stopKeepsAnswers, ownAnswer, endsInTime, trueRefusal, removedIsLeft, staysAlive, stopsInTime, readyInTime, noGrowth, noDenial, inForce} {
		out = append(out, c(x)...)
	}
	slices.SortStableFunc(out, func(a, b Broken) int { return a.At.Compare(b.At) })
	return out
}

func newIndex(t *trail.Trail) *index {
	x := &index{Trail: t, runs: map[key][]*trail.Run{}, requests: map[key]*trail.Request{}, lives: map[string]*trail.Life{}}
	for _, r := range t.Runs {
		k := key{r.Call, r.Try}
		x.runs[k] = append(x.runs[k], r)
	}
	for _, r := range t.Requests {
		x.requests[key{r.Call, r.Try}] = r
	}
	for _, l := range t.Lives {
		x.lives[l.Entry] = l
	}
	return x
}

func (x *index) runsOf(r *trail.Request) []*trail.Run { return x.runs[key{r.Call, r.Try}] }

// disturbed reports whether a subject was held from the CPU between two times, or a fault that is not planned hit it then, or so
// shortly before that its effects may last.
func (x *index) disturbed(subject string, from, to time.Time) bool {
	return x.disturbedSince(time.Time{}, subject, from, to)
}

// disturbedSince is disturbed without the faults that ended before the start of a process.
func (x *index) disturbedSince(start time.Time, subject string, from, to time.Time) bool {
	if x.held(subject, from, to) {
		return true
	}
	return slices.ContainsFunc(x.Faults, func(d *trail.Disturbance) bool {
		end := d.End
		if end.IsZero() {
			end = to
		}
		return !d.Planned && d.Subject == subject && end.After(start) && !d.Begin.After(to) && !end.Add(contactTime).Before(from)
	})
}

// held reports whether an entry, or the process of the callers and upstreams, was held from the CPU between two times for longer
// than heldBound and one part in heldShare of the time. On a busy machine this shows which delays are not the entry's own.
func (x *index) held(entry string, from, to time.Time) bool {
	var entryHeld, machineHeld time.Duration
	for _, s := range x.Stalls {
		begin := s.End.Add(-s.Took)
		if !begin.Before(to) || !s.End.After(from) {
			continue
		}
		switch s.Subject {
		case entry:
			entryHeld += s.Took
		case trail.Machine:
			machineHeld += s.Took
		}
	}
	return max(entryHeld, machineHeld) > max(heldBound, to.Sub(from)/heldShare)
}

// silenced reports whether the connection of a request was open when a fault that lasts for its connections hit its entry.
func (x *index) silenced(r *trail.Request) bool {
	return slices.ContainsFunc(x.Faults, func(d *trail.Disturbance) bool {
		return d.Lasting && d.Subject == entryName(r.Entry) && r.Opened.Before(d.End)
	})
}

// entryName returns the name of the entry of a process.
func entryName(process string) string {
	name, _, _ := strings.Cut(process, "/")
	return name
}

// broken returns a broken promise about a request.
func (x *index) broken(p Promise, r *trail.Request, at time.Time, format string, args ...any) Broken {
	return Broken{Promise: p, At: at, Text: fmt.Sprintf(format, args...), Request: r, Runs: x.runsOf(r)}
}

// runsOnce checks that the requests for a call that must run once do not run twice. A call that is sent again without an
// idempotency key is a new call.
func runsOnce(x *index) (out []Broken) {
	runs := map[string][]*trail.Run{}
	for _, r := range x.Runs {
		runs[r.Call] = append(runs[r.Call], r)
	}
	seen := map[string]bool{}
	for _, r := range x.Requests {
		if r.Kind == trail.Once && len(runs[r.Call]) > 1 && !seen[r.Call] {
			seen[r.Call] = true
			b := x.broken(RunsOnce, r, runs[r.Call][1].Begin, "%s ran %d times", r.Call, len(runs[r.Call]))
			b.Runs = runs[r.Call]
			out = append(out, b)
		}
	}
	return out
}

// fromUpstream reports whether the response is an upstream's, and whole.
func fromUpstream(r *trail.Request) bool { return r.Complete && r.Outcome == "answered" }

// stopKeepsAnswers checks that no request that was passed on loses its answer around a planned stop of its entry.
func stopKeepsAnswers(x *index) (out []Broken) {
	for _, r := range x.Requests {
		l := x.lives[r.Entry]
		if l == nil || l.Stopped.IsZero() || r.Ended.Before(l.Stopped) || r.Sent.After(l.Stopped.Add(graceTime+stopTail)) {
			continue
		}
		if fromUpstream(r) || r.GaveUp || !l.Killed.IsZero() || x.excusedAtStop(r, l) {
			continue
		}
		out = append(out, x.broken(StopKeepsAnswers, r, r.Ended, "passed on and not answered, sent %v after SIGTERM to %s", r.Sent.Sub(l.Stopped).Round(time.Millisecond), r.Entry))
	}
	return out
}

// excusedAtStop reports whether the request was not passed on, or may lose its answer in a planned stop.
func (x *index) excusedAtStop(r *trail.Request, l *trail.Life) bool {
	runs := x.runsOf(r)
	if len(runs) == 0 || x.disturbed(entryName(r.Entry), r.Sent, r.Ended) {
		return true
	}
	if r.Deadline > 0 && !r.Ended.Before(r.Sent.Add(r.Deadline)) {
		return true
	}
	for _, run := range runs {
		if run.Ending == trail.Broken || x.disturbed(run.Upstream, r.Sent, r.Ended) {
			return true
		}
		working := run.End.IsZero() || !run.End.Before(l.Stopped.Add(graceTime*5/6))
		if working && !r.Sent.After(l.Stopped.Add(lateSend)) {
			return true
		}
	}
	return false
}

// ownAnswer checks that each success is whole, signed by an upstream, and for the request that it answers.
func ownAnswer(x *index) (out []Broken) {
	for _, r := range x.Requests {
		if !r.Complete || r.Status != http.StatusOK {
			continue
		}
		switch {
		case !r.AnswerSound:
			out = append(out, x.broken(OwnAnswer, r, r.Ended, "a success that no upstream signed"))
		case r.AnswerCall != r.Call:
			out = append(out, x.broken(OwnAnswer, r, r.Ended, "the answer to %s", r.AnswerCall))
		case r.AnswerDigest != r.Digest:
			out = append(out, x.broken(OwnAnswer, r, r.Ended, "the upstream saw another request"))
		}
	}
	return out
}

// endsInTime checks that a request ends by its deadline. A request behind others is not read before their responses, so its time
// starts at a moment that the caller does not see.
func endsInTime(x *index) (out []Broken) {
	for _, r := range x.Requests {
		end := r.Ended
		if !r.Head.IsZero() {
			end = r.Head
		}
		if r.Deadline == 0 || r.Behind > 0 || end.Sub(r.Sent) <= r.Deadline+deadlineMargin || x.disturbed(entryName(r.Entry), r.Sent, end) || x.silenced(r) {
			continue
		}
		out = append(out, x.broken(EndsInTime, r, end, "ended after %v, deadline %v", end.Sub(r.Sent).Round(time.Millisecond), r.Deadline))
	}
	return out
}

// trueRefusal checks that a request that was refused as not run did not run.
func trueRefusal(x *index) (out []Broken) {
	for _, r := range x.Requests {
		if r.Outcome == "notrun" && len(x.runsOf(r)) > 0 {
			out = append(out, x.broken(TrueRefusal, r, r.Ended, "refused with %d (%s) as not run, and ran", r.Status, r.Reason))
		}
	}
	return out
}

// removedIsLeft checks that a removed upstream gets no requests later than the bound. The run of an upload begins with the end of
// its body, so an upload counts by the time at which it was sent.
func removedIsLeft(x *index) (out []Broken) {
	for _, m := range x.Removals {
		from := m.Acknowledged.Add(m.Bound)
		for _, run := range x.Runs {
			if run.Upstream != m.Upstream || !run.Begin.After(from) || !m.Restored.IsZero() && run.Begin.After(m.Restored) {
				continue
			}
			r := x.requests[key{run.Call, run.Try}]
			if r == nil || r.Kind == trail.Upload && !r.Sent.After(from) {
				continue
			}
			if x.disturbed("store", m.Acknowledged, run.Begin) || x.disturbed(entryName(r.Entry), m.Acknowledged, run.Begin) {
				continue
			}
			out = append(out, x.broken(RemovedIsLeft, r, run.Begin, "reached %s %v after its removal", m.Upstream, run.Begin.Sub(m.Acknowledged).Round(time.Millisecond)))
		}
	}
	return out
}

// staysAlive checks that processes exit only when they are told to, and do not panic.
func staysAlive(x *index) (out []Broken) {
	for _, l := range x.Lives {
		if !l.End.IsZero() && l.Stopped.IsZero() && l.Killed.IsZero() {
			out = append(out, Broken{Promise: StaysAlive, At: l.End, Text: fmt.Sprintf("%s exited by itself with %d", l.Entry, l.Code)})
		}
		if len(l.Panics) > 0 {
			out = append(out, Broken{Promise: StaysAlive, At: l.Begin, Text: fmt.Sprintf("%s: %s", l.Entry, l.Panics[0])})
		}
	}
	return out
}

// stopsInTime checks that a stopped process exits with 0 within the bound.
func stopsInTime(x *index) (out []Broken) {
	for _, l := range x.Lives {
		if l.Stopped.IsZero() || !l.Killed.IsZero() || x.disturbed(entryName(l.Entry), l.Stopped, l.Stopped.Add(exitBound)) {
			continue
		}
		switch took := l.End.Sub(l.Stopped); {
		case l.End.IsZero():
			out = append(out, Broken{Promise: StopsInTime, At: l.Stopped, Text: l.Entry + " did not exit"})
		case took > exitBound:
			out = append(out, Broken{Promise: StopsInTime, At: l.Stopped, Text: fmt.Sprintf("%s exited %v after SIGTERM", l.Entry, took)})
		case l.Code != 0:
			out = append(out, Broken{Promise: StopsInTime, At: l.End, Text: fmt.Sprintf("%s exited with %d after SIGTERM", l.Entry, l.Code)})
		}
	}
	return out
}

// readyInTime checks that a process is ready within the bound after its start, or after the first service if none was there, while
// it and the store are undisturbed.
func readyInTime(x *index) (out []Broken) {
	for _, l := range x.Lives {
		due := l.Begin.Add(readyBound)
		if first := x.firstService(); first.After(l.Begin) {
			due = first.Add(readyBound)
		}
		late := !l.Ready.IsZero() && l.Ready.After(due) || l.Ready.IsZero() && x.alive(l, due)
		if late && !x.disturbed(entryName(l.Entry), l.Begin, due) && !x.disturbed("store", l.Begin, due) {
			out = append(out, Broken{Promise: ReadyInTime, At: due, Text: fmt.Sprintf("%s is not ready %v after its start", l.Entry, readyBound)})
		}
	}
	return out
}

// alive reports whether a process ran, and was not told to exit, up to a time within the record.
func (x *index) alive(l *trail.Life, until time.Time) bool {
	var last time.Time
	for _, r := range x.Requests {
		if r.Sent.After(last) {
			last = r.Sent
		}
	}
	return !ended(l, until) && last.After(until)
}

// noGrowth checks that a process that no caller is connected to uses no more than it did under load in the first half of its
// samples.
func noGrowth(x *index) (out []Broken) {
	samples := map[string][]trail.Sample{}
	for _, s := range x.Samples {
		samples[s.Entry] = append(samples[s.Entry], s)
	}
	for entry, list := range samples {
		last := list[len(list)-1]
		if !last.Idle || len(list) < 8 {
			continue
		}
		var most trail.Sample
		for _, s := range list[:len(list)/2] {
			most.Goroutines = max(most.Goroutines, s.Goroutines)
			most.Files = max(most.Files, s.Files)
			most.MemoryBytes = max(most.MemoryBytes, s.MemoryBytes)
		}
		if last.Goroutines > most.Goroutines+growthCount || last.Files > most.Files+growthCount || last.MemoryBytes > 2*most.MemoryBytes+growthBytes {
			out = append(out, Broken{Promise: NoGrowth, At: last.At, Text: fmt.Sprintf("%s uses %+v when idle, and used at most %+v before", entry, last, most)})
		}
	}
	return out
}
