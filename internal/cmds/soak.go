package cmds

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/balsamvale/balsamvale/internal/soak"
	"github.com/balsamvale/balsamvale/internal/soak/plan"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

// Defaults and limits of a soak.
const (
	soakEntries     = 3
	maxSoakDuration = time.Hour
)

func (a *App) soak() *cli.Command {
	return &cli.Command{
		Name: "soak", Usage: "run entries as processes under drawn faults and check what callers and upstreams saw",
		Description: example("soak --seed 7 --for 30s") + "\n   balsamvale soak --plan testdata/soak/NAME.toml",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the faults and calls"},
			&cli.DurationFlag{Name: "for", Value: 30 * time.Second, Usage: "how long the callers make calls"},
			&cli.IntFlag{Name: "size", Value: soakEntries, Usage: "number of entries, 1 to 32"},
			&cli.StringFlag{Name: "plan", Usage: "file with the faults to inject, instead of drawn ones"},
			&cli.BoolFlag{Name: "print", Usage: "print the drawn plan and exit"},
			&cli.BoolFlag{Name: "shrink", Usage: "when a promise breaks, drop faults while it breaks again, and print the plan that is left"},
			&cli.StringFlag{Name: "binary", Usage: "program that runs the entries; this one by default"},
			&cli.StringFlag{Name: "timeline", Usage: "file for a timeline of processes, faults and broken promises as SVG"},
			&cli.StringFlag{Name: "logs", Usage: "directory for the settings and logs of the entries"},
		},
		Action: a.doSoak,
	}
}

func (a *App) doSoak(ctx context.Context, cmd *cli.Command) error {
	p, err := soakPlan(cmd)
	if err != nil {
		return err
	}
	if cmd.Bool("print") {
		return a.printPlan(p)
	}
	binary := cmd.String("binary")
	if binary == "" {
		if binary, err = os.Executable(); err != nil {
			return eris.Wrapf(soak.ErrSoak, "find the path of this program: %v", err)
		}
	}
	s := &soak.Soak{Clock: clock.Wall(), Plan: p, Binary: binary, Logs: cmd.String("logs")}
	r, err := s.Run(ctx)
	if err != nil {
		return err
	}
	if cmd.Bool("shrink") && len(r.Broken) > 0 {
		if r, err = s.Shrink(ctx, r); err != nil {
			return err
		}
		if err := a.printPlan(r.Plan); err != nil {
			return err
		}
	}
	if err := r.Write(a.Out); err != nil {
		return err
	}
	if file := cmd.String("timeline"); file != "" {
		if err := writeTimeline(file, r); err != nil {
			return err
		}
	}
	if len(r.Broken) > 0 {
		return eris.Wrapf(errCheckFailed, "%d broken promises, the first is %v", len(r.Broken), r.Broken[0].Promise)
	}
	return nil
}

// writeTimeline writes the timeline of a report to a file.
func writeTimeline(file string, r *soak.Report) error {
	f, err := os.Create(file)
	if err != nil {
		return eris.Wrap(errInvalid, err.Error())
	}
	err = r.WriteTimeline(f)
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return err
}

// soakPlan reads or draws the plan of a soak; errors match errInvalid.
func soakPlan(cmd *cli.Command) (*plan.Plan, error) {
	if file := cmd.String("plan"); file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, eris.Wrap(errInvalid, err.Error())
		}
		p, err := plan.Parse(data)
		if err != nil {
			return nil, eris.Wrapf(errInvalid, "%s: %v", file, err)
		}
		return p, nil
	}
	length, size := cmd.Duration("for"), cmd.Int("size")
	if length <= 0 || length > maxSoakDuration || size < 1 || size > maxEntries {
		return nil, eris.Wrapf(errInvalid, "--for %v --size %d; allowed: up to %v, 1 to %d entries", length, size, maxSoakDuration, maxEntries)
	}
	return plan.Draw(cmd.Uint64("seed"), size, length), nil
}

// printPlan prints a plan as TOML.
func (a *App) printPlan(p *plan.Plan) error {
	text, err := p.Text()
	if err != nil {
		return eris.Wrap(errInvalid, err.Error())
	}
	fmt.Fprintln(a.Out, text)
	return nil
}
