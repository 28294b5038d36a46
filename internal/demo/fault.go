package demo

import (
	"context"
	"fmt"
	"sort"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/balsamvale/balsamvale/internal/codec"
	"github.com/balsamvale/balsamvale/internal/outcom"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/stored/phase"
)

// fault is something that goes wrong during a demo, and what must hold all the same.
type fault struct {
	help string
	// act brings the fault about after a third of the time.
	act func(ctx context.Context, d *Demo) error
	// verify checks what must hold at the end.
	verify func(d *Demo, r *outcom.Summary)
	err    error
	done   chan struct{}
}

// grace is the time in which an operator's word takes effect on new work.
const grace = 3 * time.Second

func faults() map[string]*fault {
	return map[string]*fault{
		"":                  {act: nothing, verify: func(*Demo, *outcom.Summary) {}},
		"domain-out":        domainOut(),
		"store-down":        {help: "the store is down until the end", act: storeDown, verify: idempotentServed},
		"entry-killed":      {help: "an entry is killed", act: entryKilled, verify: mostAnswered(0.95)},
		"cold-upstream":     coldUpstream(),
		"bad-version":       {help: "a move to a version that fails; it must be taken back", act: badVersion, verify: takenBack},
		"silent-connection": {help: "all open connections to the upstreams go silent", act: silence, verify: mostAnswered(0.95)},
		"planned-stop":      {help: "an entry gets SIGTERM", act: plannedStop, verify: stopped},
	}
}

// Faults lists the names of the faults with a line of help each.
func Faults() []string {
	var out []string
	for name, f := range faults() {
		if name != "" {
			out = append(out, fmt.Sprintf("%-18s %s", name, f.help))
		}
	}
	sort.Strings(out)
	return out
}

func pickFault(name string) (*fault, error) {
	f := faults()[name]
	if f == nil {
		return nil, eris.Wrapf(ErrDemo, "fault %q is not known", name)
	}
	f.done = make(chan struct{})
	return f, nil
}

// run brings the fault about after a third of the time.
func (f *fault) run(ctx context.Context, d *Demo) {
	defer close(f.done)
	pause(d.clock, d.For/3)
	f.err = f.act(ctx, d)
}

// judge checks what must hold at the end.
func (f *fault) judge(d *Demo, r *outcom.Summary) {
	<-f.done
	r.Check(f.err == nil, fmt.Sprintf("the fault could not be brought about: %v", f.err))
	f.verify(d, r)
}

func nothing(context.Context, *Demo) error { return nil }

func mostAnswered(share float64) func(*Demo, *outcom.Summary) {
	return func(_ *Demo, r *outcom.Summary) {
		r.Check(float64(r.Answered) >= share*float64(r.Calls), fmt.Sprintf("fewer than %.0f%% of the calls were answered", 100*share))
	}
}

// idempotentServed checks that calls which need no claim are served as ever.
func idempotentServed(_ *Demo, r *outcom.Summary) {
	r.Check(r.Unanswered*1000 <= r.Idempotent, fmt.Sprintf("%d of %d idempotent calls were not answered", r.Unanswered, r.Idempotent))
}

func storeDown(_ context.Context, d *Demo) error {
	d.kv.SetDown(true)
	return nil
}

func entryKilled(_ context.Context, d *Demo) error {
	d.entries[0].signal(syscall.SIGKILL)
	return nil
}

func silence(_ context.Context, d *Demo) error {
	for _, b := range d.upstreams {
		b.net.mute()
	}
	return nil
}

func plannedStop(_ context.Context, d *Demo) error {
	d.entries[0].signal(syscall.SIGTERM)
	return nil
}

// stopped checks that the entry ended well and that no call was cut or lost.
func stopped(d *Demo, r *outcom.Summary) {
	<-d.entries[0].done
	r.Check(d.entries[0].code.Load() == 0, "the stopped entry did not exit with 0")
	r.Check(r.Failed == 0 && r.Truncated == 0, "a call was cut by a planned stop")
}

// domainOut takes a failure domain out by its record.
func domainOut() *fault {
	before := map[string]int{}
	runs := func(d *Demo) map[string]int {
		out := map[string]int{}
		for _, b := range d.upstreams {
			for _, n := range b.Runs() {
				if b.domain == "zone-1" {
					out[b.Name] += n
				}
			}
		}
		return out
	}
	return &fault{
		help: "operators take a failure domain out; new work there must end within 3s",
		act: func(ctx context.Context, d *Demo) error {
			err := d.Apply(ctx, "[[domain]]\nschema = 1\nname = \"zone-1\"\nregion = \"demo\"\nout = true\n")
			d.load.steer("zone-1")
			pause(d.clock, grace)
			before = runs(d)
			return err
		},
		verify: func(d *Demo, r *outcom.Summary) {
			for name, n := range runs(d) {
				r.Check(n == before[name], fmt.Sprintf("%s got new work after its failure domain was out", name))
			}
		},
	}
}

// coldUpstream restarts an upstream without a word.
func coldUpstream() *fault {
	before := 0
	return &fault{
		help: "an upstream turns cold without warning; what it bears must not be exceeded once noticed",
		act: func(_ context.Context, d *Demo) error {
			d.load.steer("zone-1")
			d.upstreams[0].Restart()
			pause(d.clock, warmTime/2)
			before = d.upstreams[0].Over()
			return nil
		},
		verify: func(d *Demo, r *outcom.Summary) {
			r.Check(d.upstreams[0].Over() == before, "a cold upstream got more than it bears")
		},
	}
}

// badVersion starts upstreams of a version that fails, and a move to it.
func badVersion(ctx context.Context, d *Demo) error {
	start := d.clock.Now()
	text := fmt.Sprintf("[[move]]\nschema = 1\nname = %q\nservice = \"lookup\"\nfrom = \"v1\"\nto = \"v2\"\nstart = %s\ndeadline = %s\n",
		moveName, start.Format(time.RFC3339Nano), start.Add(moveTime).Format(time.RFC3339Nano))
	for i := range badUpstreams {
		b, err := d.newBackend("lookup", fmt.Sprintf("lookup-new-%d", i+1), "v2", i)
		if err != nil {
			return err
		}
		b.Fail(true)
		text += upstreamRecord(b)
	}
	return d.Apply(ctx, text)
}

const (
	moveName     = "to-v2"
	moveTime     = 20 * time.Second
	badUpstreams = 4
)

// takenBack checks that the move was taken back and that few calls were exposed to it.
func takenBack(d *Demo, r *outcom.Summary) {
	it, err := d.client.Get(context.Background(), keys.Rollout(moveName))
	v, derr := codec.Decode(it)
	reverted := err == nil && derr == nil && v.Progress != nil && v.Progress.Phase == phase.RolledBack
	r.Check(reverted, "the bad version was not taken back")
	exposed := 0
	for _, b := range d.upstreams {
		if b.Version == "v2" {
			exposed += len(b.Runs())
		}
	}
	r.Check(exposed*100 <= r.Calls, fmt.Sprintf("%d of %d calls ran on the bad version", exposed, r.Calls))
}
