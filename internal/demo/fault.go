package demo

import (
	"context"
	"fmt"
	"sort"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/balsamvale/balsamvale/internal/codec"
	"github.com/balsamvale/balsamvale/internal/stats"
	"github.com/balsamvale/balsamvale/pkg/control/keys"
	"github.com/balsamvale/balsamvale/pkg/stored/phase"
)

// fault is something that goes wrong during a demo, and what must hold all the same.
type fault struct {
	help string
	// inject brings the fault about after a third of the time.
	inject func(ctx context.Context, d *Demo) error
	// verify checks what must hold at the end.
	verify func(d *Demo, r *stats.Summary)
	err    error
	done   chan struct{}
}

// drainGrace is the time in which an operator's word takes effect on new work.
const drainGrace = 3 * time.Second

func faults() map[string]*fault {
	return map[string]*fault{
		"":                  {inject: nothing, verify: func(*Demo, *stats.Summary) {}},
		"domain-out":        domainOut(),
		"store-down":        {help: "the store is down until the end", inject: storeDown, verify: idempotentServed},
		"entry-killed":      {help: "an entry is killed", inject: entryKilled, verify: answeredAtLeast(0.95)},
		"cold-upstream":     coldUpstream(),
		"bad-version":       {help: "a move to a version that fails; it must be taken back", inject: badVersion, verify: verifyRolledBack},
		"silent-connection": {help: "all open connections to the upstreams go silent", inject: blackholeConns, verify: answeredAtLeast(0.95)},
		"planned-stop":      {help: "an entry gets SIGTERM", inject: plannedStop, verify: verifyPlannedStop},
	}
}

// FaultHelp lists the names of the faults with a line of help each.
func FaultHelp() []string {
	var out []string
	for name, f := range faults() {
		if name != "" {
			out = append(out, fmt.Sprintf("%-18s %s", name, f.help))
		}
	}
	sort.Strings(out)
	return out
}

func findFault(name string) (*fault, error) {
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
	pause(d.clock, d.Duration/3)
	f.err = f.inject(ctx, d)
}

// verifyAfter checks what must hold at the end.
func (f *fault) verifyAfter(d *Demo, r *stats.Summary) {
	<-f.done
	r.Check(f.err == nil, fmt.Sprintf("the fault could not be brought about: %v", f.err))
	f.verify(d, r)
}

func nothing(context.Context, *Demo) error { return nil }

func answeredAtLeast(share float64) func(*Demo, *stats.Summary) {
	return func(_ *Demo, r *stats.Summary) {
		r.Check(float64(r.Answered) >= share*float64(r.Calls), fmt.Sprintf("fewer than %.0f%% of the calls were answered", 100*share))
	}
}

// idempotentServed checks that calls which need no claim are served as ever.
func idempotentServed(_ *Demo, r *stats.Summary) {
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

func blackholeConns(_ context.Context, d *Demo) error {
	for _, b := range d.upstreams {
		b.listener.blackhole()
	}
	return nil
}

func plannedStop(_ context.Context, d *Demo) error {
	d.entries[0].signal(syscall.SIGTERM)
	return nil
}

// verifyPlannedStop checks that the entry ended well and that no call was cut or lost.
func verifyPlannedStop(d *Demo, r *stats.Summary) {
	<-d.entries[0].done
	r.Check(d.entries[0].exitCode.Load() == 0, "the stopped entry did not exit with 0")
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
		inject: func(ctx context.Context, d *Demo) error {
			err := d.ApplyRecords(ctx, "[[domain]]\nschema = 1\nname = \"zone-1\"\nregion = \"demo\"\nout = true\n")
			d.loadGen.avoidDomain("zone-1")
			pause(d.clock, drainGrace)
			before = runs(d)
			return err
		},
		verify: func(d *Demo, r *stats.Summary) {
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
		inject: func(_ context.Context, d *Demo) error {
			d.loadGen.avoidDomain("zone-1")
			d.upstreams[0].Restart()
			pause(d.clock, warmTime/2)
			before = d.upstreams[0].ColdExcess()
			return nil
		},
		verify: func(d *Demo, r *stats.Summary) {
			r.Check(d.upstreams[0].ColdExcess() == before, "a cold upstream got more than it bears")
		},
	}
}

// badVersion starts upstreams of a version that fails, and a move to it.
func badVersion(ctx context.Context, d *Demo) error {
	start := d.clock.Now()
	text := fmt.Sprintf("[[move]]\nschema = 1\nname = %q\nservice = \"lookup\"\nfrom = \"v1\"\nto = \"v2\"\nstart = %s\ndeadline = %s\n",
		rolloutName, start.Format(time.RFC3339Nano), start.Add(rolloutTime).Format(time.RFC3339Nano))
	for i := range badUpstreams {
		b, err := d.startUpstream("lookup", fmt.Sprintf("lookup-new-%d", i+1), "v2", i)
		if err != nil {
			return err
		}
		b.Fail(true)
		text += upstreamRecord(b)
	}
	return d.ApplyRecords(ctx, text)
}

const (
	rolloutName  = "to-v2"
	rolloutTime  = 20 * time.Second
	badUpstreams = 4
)

// verifyRolledBack checks that the move was taken back and that few calls were exposed to it.
func verifyRolledBack(d *Demo, r *stats.Summary) {
	it, err := d.client.Get(context.Background(), keys.Rollout(rolloutName))
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
