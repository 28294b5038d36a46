package soak

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/balsamvale/balsamvale/internal/build"
	"github.com/balsamvale/balsamvale/internal/soak/caller"
	"github.com/balsamvale/balsamvale/internal/soak/check"
	"github.com/balsamvale/balsamvale/internal/soak/fleet"
	"github.com/balsamvale/balsamvale/internal/soak/plan"
	"github.com/balsamvale/balsamvale/internal/soak/trail"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// ErrSoak is matched by the errors of a soak that could not run.
var ErrSoak = eris.New("the soak could not run")

// Soak is one run of a fleet under the faults of a plan.
type Soak struct {
	Clock clock.Clock
	Plan  *plan.Plan
	// Binary is the path of the program whose serve command runs an entry.
	Binary string
	// Logs is the directory for the settings and logs of the entries; a temporary one if empty.
	Logs string
}

// Report is the outcome of a soak.
type Report struct {
	Plan   *plan.Plan
	Trail  *trail.Trail
	Broken []check.Broken
	// Program describes the build and the settings of the entries, and the limits of the soak's process.
	Program string
}

const (
	// settleTime is the time between the last call and the samples of idle entries.
	settleTime = time.Second
	// entriesPerScale is the number of entries for each set of callers.
	entriesPerScale = 3
)

// Run runs the soak and checks its record; errors match ErrSoak.
func (s *Soak) Run(ctx context.Context) (*Report, error) {
	dir := s.Logs
	if dir == "" {
		temp, err := os.MkdirTemp("", "balsamvale-soak-")
		if err != nil {
			return nil, eris.Wrap(ErrSoak, err.Error())
		}
		dir = temp
		defer func() { _ = os.RemoveAll(temp) }()
	}
	t := &trail.Trail{Begin: s.Clock.Now()}
	f := &fleet.Fleet{Clock: s.Clock, Trail: t, Plan: s.Plan, Binary: s.Binary, Dir: dir}
	f.Crowd = &caller.Crowd{Clock: s.Clock, Trail: t, Pick: f.Pick, Services: fleet.Services, Timeout: fleet.Timeout, Scale: max(1, s.Plan.Size/entriesPerScale)}
	err := f.Start(ctx)
	if err == nil {
		t.Begin = s.Clock.Now()
		s.play(ctx, f)
	}
	f.Close()
	if err != nil {
		return nil, eris.Wrap(ErrSoak, err.Error())
	}
	program := build.New()
	program.UseFile(s.Binary)
	program.UseSettings(filepath.Join(dir, "entry-1.toml"))
	return &Report{Plan: s.Plan, Trail: t, Broken: check.All(t), Program: program.String()}, nil
}

// play runs the callers and the faults, and waits until all has ended.
func (s *Soak) play(ctx context.Context, f *fleet.Fleet) {
	callers, cancel := context.WithTimeout(ctx, time.Duration(s.Plan.Length))
	defer cancel()
	f.Inject(ctx)
	f.Crowd.Start(callers, s.Plan.Seed)
	f.Crowd.Wait()
	f.Wait()
	f.Settle()
	timer, stop := s.Clock.Timer(settleTime)
	defer stop()
	<-timer
	f.Sample()
}

// maxShrinks bounds the soaks of Shrink.
const maxShrinks = 60

// Shrink drops faults from the plan of a report as long as the first of its broken promises breaks again, and returns the
// report with the fewest faults; errors match ErrSoak.
func (s *Soak) Shrink(ctx context.Context, r *Report) (*Report, error) {
	promise, tries := r.Broken[0].Promise, 0
	for i := len(r.Plan.Fault) - 1; i >= 0 && tries < maxShrinks && ctx.Err() == nil; i-- {
		tries++
		next := &Soak{Clock: s.Clock, Plan: r.Plan.Without(i), Binary: s.Binary, Logs: s.Logs}
		smaller, err := next.Run(ctx)
		if err != nil {
			return r, err
		}
		if smaller.Breaks(promise) {
			r = smaller
		}
	}
	return r, nil
}

// Breaks reports whether a promise is broken.
func (r *Report) Breaks(p check.Promise) bool {
	for _, b := range r.Broken {
		if b.Promise == p {
			return true
		}
	}
	return false
}
