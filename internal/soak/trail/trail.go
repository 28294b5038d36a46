package trail

import (
	"sync"
	"time"

	"github.com/balsamvale/balsamvale/pkg/stored/revno"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type Kind,Ending -linecomment

// Kind is a kind of service, which determines what a request may suffer.
type Kind int

// Values of Kind.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota // idempotent
	// Once requests run at most once.
	Once // once
	// Upload requests have bodies that take a while, and no timeout.
	Upload // upload
)

// Ending is how a run ended at its upstream.
type Ending int

// Values of Ending.
const (
	// Working means that the run has not ended.
	Working Ending = iota // working
	// Whole means that the upstream wrote the whole answer.
	Whole // whole
	// Broken means that the upstream broke off, or answered something else than it should.
	Broken // broken
	// Left means that the entry canceled the run or closed the connection.
	Left // left
)

// Request is one request of a caller, which sends a call again as a request of its own.
type Request struct {
	// Call identifies the call, and Try counts the requests for it.
	Call string
	Try  int
	// Service is the service requested, and Kind its kind.
	Service string
	Kind    Kind
	Method  string
	URI     string
	Habit   string
	// Headers are the optional headers that the caller sent.
	Headers []string
	// Entry names the process that the connection was opened to, such as entry-2/1.
	Entry string
	// Opened is when the connection was opened, Sent when the caller began to send, Head when the head of the response had come,
	// Ended when the result was known.
	Opened time.Time
	Sent   time.Time
	Head   time.Time
	Ended  time.Time
	// Deadline is how long the caller waits; 0 if its service has no timeout.
	Deadline time.Duration
	// Behind is the number of requests on the connection that were waiting for a response when this one was sent.
	Behind int
	// Digest is the digest of method, path and body.
	Digest string
	// Status is 0 if there was no response; Outcome and Reason are the headers of the entry.
	Status  int
	Outcome string
	Reason  string
	// Complete reports whether the whole response was read, and AnswerSound whether its checksum is right.
	Complete    bool
	AnswerSound bool
	// AnswerCall and AnswerDigest are what the upstream's signature in the response names.
	AnswerCall   string
	AnswerDigest string
	// GaveUp reports whether the caller closed the connection because it did not wait any longer.
	GaveUp bool
	// Error says why there is no whole response.
	Error string
}

// Run is one run of a request at an upstream.
type Run struct {
	Call     string
	Try      int
	Digest   string
	Upstream string
	Begin    time.Time
	End      time.Time
	Ending   Ending
}

// Life is the life of one process of an entry.
type Life struct {
	// Entry names the process, such as entry-2/1.
	Entry string
	// Begin is the start of the process, Ready the first time that it was ready, End its exit; zero if that did not happen.
	Begin time.Time
	Ready time.Time
	End   time.Time
	// Stopped and Killed are when the process first got SIGTERM and SIGKILL.
	Stopped time.Time
	Killed  time.Time
	// Code is the exit code, -1 after a signal.
	Code int
	// Panics are the log lines about panics, at most some.
	Panics []string
}

// Disturbance is a fault that was in effect for a time.
type Disturbance struct {
	// What describes the fault.
	What string
	// Subject is the entry (without the number of its process), the upstream or the store that suffers it.
	Subject string
	// Planned marks what operators and callers do, which excuses nothing.
	Planned bool
	// Lasting marks what lasts for the connections that were open, also after End.
	Lasting bool
	Begin   time.Time
	End     time.Time
}

// Removal is the removal of an upstream from the configuration.
type Removal struct {
	Upstream string
	// Acknowledged is when the store acknowledged it, and Restored when its restoration began; zero if it was not.
	Acknowledged time.Time
	Restored     time.Time
	// Bound is the time after which the upstream gets no more calls.
	Bound time.Duration
}

// Change is a change of an operator's record in the store.
type Change struct {
	// Record is the kind and name of the record, such as service/lookup.
	Record string
	// Gone reports whether the record was removed.
	Gone     bool
	Revision revno.Revision
	At       time.Time
}

// View is the configuration that a process had in force at one time.
type View struct {
	Entry string
	At    time.Time
	// Revision is 0 while there is none.
	Revision revno.Revision
}

// Sample is what a process used at one time.
type Sample struct {
	Entry       string
	At          time.Time
	Goroutines  int
	Files       int
	MemoryBytes int64
	// Idle reports whether no caller had a connection.
	Idle bool
}

// Machine is the subject of the stalls of the process that runs the callers and upstreams.
const Machine = "machine"

// Stall is a time for which a thread of a process was ready to run and got no CPU.
type Stall struct {
	// Subject is the entry, or Machine.
	Subject string
	End     time.Time
	Took    time.Duration
}

// Trail is the record of a soak; it is safe for concurrent use until its fields are read after the soak.
type Trail struct {
	Begin    time.Time
	Requests []*Request
	Runs     []*Run
	Lives    []*Life
	Faults   []*Disturbance
	Removals []*Removal
	// Changes lists the changes of records in their order.
	Changes []Change
	Views   []View
	Samples []Sample
	Stalls  []Stall

	mu sync.Mutex
}

// Update calls f with the lock held; f adds to the record or changes parts of it.
func (t *Trail) Update(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

// AddRun records the begin of a run and returns a function that records its end.
func (t *Trail) AddRun(r *Run) func(at time.Time, e Ending) {
	t.Update(func() { t.Runs = append(t.Runs, r) })
	return func(at time.Time, e Ending) {
		t.Update(func() { r.End, r.Ending = at, e })
	}
}
