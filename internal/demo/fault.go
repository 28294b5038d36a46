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

// fault is a failure to inject during a demo, with a check of what must hold in spite of it.
type fault struct {
	help string
	// inject causes the failure; it is called after a third of the duration.
	inject func(ctx context.Context, d *Demo) error
	// verify checks what must hold at the end and records violations in the summary.
	verify func(d *Demo, r *stats.Summary)
	// err is the error of inject, valid once done is closed.
	err  error
	done chan struct{}
}

// drainGrace is the time within which an operator's change must apply to new calls.
const drainGrace = 3 * time.Second

// silentConnection is the name of the fault that needs relays in front of the upstreams.
const silentConnection = "silent-connection"

// faults returns all faults by name; the empty name stands for none.
func faults() map[string]*fault {
	return map[string]*fault{
		"":               {inject: injectNothing, verify: func(*Demo, *stats.Summary) {}},
		"domain-out":     domainDrainFault(),
		"store-down":     {help: "the store is down until the end", inject: injectStoreDown, verify: verifyIdempotentAnswered},
		"entry-killed":   {help: "an entry is killed", inject: injectEntryKill, verify: verifyAnsweredAtLeast(0.95)},
		"cold-upstream":  coldUpstreamFault(),
		"bad-version":    {help: "a move to a version that fails; it must be rolled back", inject: injectBadVersion, verify: verifyRolledBack},
		silentConnection: {help: "all open connections to the upstreams silently stop carrying data", inject: injectSilence, verify: verifyAnsweredAtLeast(0.95)},
		"planned-stop":   {help: "an entry gets SIGTERM; no call may fail", inject: injectPlannedStop, verify: verifyPlannedStop},
	}
}

// FaultHelp returns one line for each fault, with its name and help text, sorted by name.
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

// findFault returns the named fault, ready to run; errors match ErrDemo.
func findFault(name string) (*fault, error) {
	f := faults()[name]
	if f == nil {
		return nil, eris.Wrapf(ErrDemo, "unknown fault %q", name)
	}
	f.done = make(chan struct{})
	return f, nil
}

// run injects the fault after a third of the duration; it is a goroutine.
func (f *fault) run(ctx context.Context, d *Demo) {
	defer close(f.done)
	sleep(d.clock, d.Duration/3)
	f.err = f.inject(ctx, d)
}

// awaitAndVerify waits until the fault has been injected, and checks what must hold at the end.
func (f *fault) awaitAndVerify(d *Demo, r *stats.Summary) {
	<-f.done
	r.Check(f.err == nil, fmt.Sprintf("the fault could not be injected: %v", f.err))
	f.verify(d, r)
}

func injectNothing(context.Context, *Demo) error { return nil }

// verifyAnsweredAtLeast returns a check that at least the given fraction of the calls was answered.
func verifyAnsweredAtLeast(fraction float64) func(*Demo, *stats.Summary) {
	return func(_ *Demo, r *stats.Summary) {
		r.Check(float64(r.Answered) >= fraction*float64(r.Calls), fmt.Sprintf("fewer than %.0f%% of the calls were answered", 100*fraction))
	}
}

// verifyIdempotentAnswered checks that at most one in 1000 idempotent calls, which need no claim, went unanswered.
func verifyIdempotentAnswered(_ *Demo, r *stats.Summary) {
	r.Check(r.Unanswered*1000 <= r.Idempotent, fmt.Sprintf("%d of %d idempotent calls were not answered", r.Unanswered, r.Idempotent))
}

func injectStoreDown(_ context.Context, d *Demo) error {
	d.kv.SetDown(true)
	return nil
}

func injectEntryKill(_ context.Context, d *Demo) error {
	d.entries[0].Signal(syscall.SIGKILL)
	return nil
}

func injectSilence(_ context.Context, d *Demo) error {
	for _, u := range d.upstreams {
		u.relay.Silence(1)
	}
	return nil
}

func injectPlannedStop(_ context.Context, d *Demo) error {
	d.entries[0].Signal(syscall.SIGTERM)
	return nil
}

// verifyPlannedStop checks that the stopped entry exited with 0 and that no call failed or was truncated.
func verifyPlannedStop(d *Demo, r *stats.Summary) {
	<-d.entries[0].Done()
	r.Check(d.entries[0].ExitCode() == 0, "the stopped entry did not exit with 0")
	r.Check(r.Failed == 0 && r.Truncated == 0, "a call failed or was truncated during a planned stop")
}

// domainDrainFault drains a failure domain through its record, and checks that no new calls run there after drainGrace.
func domainDrainFault() *fault {
	runsBefore := map[string]int{}
	runs := func(d *Demo) map[string]int {
		out := map[string]int{}
		for _, u := range d.upstreams {
			for _, n := range u.Runs() {
				if u.domain == "zone-1" {
					out[u.Name] += n
				}
			}
		}
		return out
	}
	return &fault{
		help: "operators drain a failure domain; it must get no new calls after 3s",
		inject: func(ctx context.Context, d *Demo) error {
			err := d.ApplyRecords(ctx, "[[domain]]\nschema = 1\nname = \"zone-1\"\nregion = \"demo\"\nout = true\n")
			d.loadGen.avoidDomain("zone-1")
			sleep(d.clock, drainGrace)
			runsBefore = runs(d)
			return err
		},
		verify: func(d *Demo, r *stats.Summary) {
			for name, n := range runs(d) {
				r.Check(n == runsBefore[name], fmt.Sprintf("%s got new calls after its failure domain was drained", name))
			}
		},
	}
}

// coldUpstreamFault restarts an upstream without warning, and checks that half a warm-up later it gets no more calls
// than it can take while cold.
func coldUpstreamFault() *fault {
	excessBefore := 0
	return &fault{
		help: "an upstream turns cold without warning; it must not be overloaded once that is noticed",
		inject: func(_ context.Context, d *Demo) error {
			d.loadGen.avoidDomain("zone-1")
			d.upstreams[0].Restart()
			sleep(d.clock, warmup/2)
			excessBefore = d.upstreams[0].ColdExcess()
			return nil
		},
		verify: func(d *Demo, r *stats.Summary) {
			r.Check(d.upstreams[0].ColdExcess() == excessBefore, "a cold upstream got more calls at once than it can take")
		},
	}
}

// injectBadVersion starts upstreams of a version whose calls all fail, and a rollout to it.
func injectBadVersion(ctx context.Context, d *Demo) error {
	start := d.clock.Now()
	text := fmt.Sprintf("[[move]]\nschema = 1\nname = %q\nservice = \"lookup\"\nfrom = \"v1\"\nto = \"v2\"\nstart = %s\ndeadline = %s\n",
		rolloutName, start.Format(time.RFC3339Nano), start.Add(rolloutTime).Format(time.RFC3339Nano))
	for i := range badUpstreams {
		u, err := d.startUpstream("lookup", fmt.Sprintf("lookup-new-%d", i+1), "v2", i)
		if err != nil {
			return err
		}
		u.Fail(true)
		text += upstreamRecord(u)
	}
	return d.ApplyRecords(ctx, text)
}

const (
	rolloutName  = "to-v2"
	rolloutTime  = 20 * time.Second
	badUpstreams = 4
)

// verifyRolledBack checks that the rollout was rolled back and that at most 1% of the calls ran on the bad version.
func verifyRolledBack(d *Demo, r *stats.Summary) {
	it, err := d.client.Get(context.Background(), keys.Rollout(rolloutName))
	v, derr := codec.Decode(it)
	rolledBack := err == nil && derr == nil && v.Progress != nil && v.Progress.Phase == phase.RolledBack
	r.Check(rolledBack, "the move to the bad version was not rolled back")
	exposed := 0
	for _, u := range d.upstreams {
		if u.Version == "v2" {
			exposed += len(u.Runs())
		}
	}
	r.Check(exposed*100 <= r.Calls, fmt.Sprintf("%d of %d calls ran on the bad version", exposed, r.Calls))
}
