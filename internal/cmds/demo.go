package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/balsamvale/balsamvale/internal/demo"
)

// Defaults and limits of a demo.
const (
	demoEntries     = 4
	demoCallers     = 16
	maxEntries      = 32
	maxCallers      = 256
	maxDemoDuration = 10 * time.Minute
)

func (a *App) demo() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "run a store, upstreams, entries and callers on loopback",
		Description: example("demo --for 5s") + "\n   balsamvale demo --for 12s --fault domain-out",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Value: 5 * time.Second, Usage: "how long the callers make calls"},
			&cli.StringFlag{Name: "fault", Usage: "fault to inject after a third of the time; --faults lists them"},
			&cli.BoolFlag{Name: "faults", Usage: "list the faults and exit"},
			&cli.IntFlag{Name: "entries", Value: demoEntries, Usage: "number of entries, 1 to 32"},
			&cli.IntFlag{Name: "callers", Value: demoCallers, Usage: "number of callers, 1 to 256"},
			&cli.StringFlag{Name: "logs", Usage: "file for the entries' standard error"},
			outputFlag(),
		},
		Action: a.doDemo,
	}
}

func (a *App) doDemo(ctx context.Context, cmd *cli.Command) error {
	if cmd.Bool("faults") {
		fmt.Fprintln(a.Out, strings.Join(demo.FaultHelp(), "\n"))
		return nil
	}
	duration := cmd.Duration("for")
	if duration <= 0 || duration > maxDemoDuration {
		return eris.Wrapf(errInvalid, "--for %v; allowed: more than 0s, up to %v", duration, maxDemoDuration)
	}
	entries, callers := cmd.Int("entries"), cmd.Int("callers")
	if entries < 1 || entries > maxEntries || callers < 1 || callers > maxCallers {
		return eris.Wrapf(errInvalid, "--entries %d --callers %d; allowed: 1 to %d entries and 1 to %d callers", entries, callers, maxEntries, maxCallers)
	}
	binary, err := os.Executable()
	if err != nil {
		return eris.Wrapf(demo.ErrDemo, "find the path of this program: %v", err)
	}
	logs := io.Discard
	if file := cmd.String("logs"); file != "" {
		f, err := os.Create(file)
		if err != nil {
			return eris.Wrap(errInvalid, err.Error())
		}
		defer func() { _ = f.Close() }()
		logs = f
	}
	d := &demo.Demo{Duration: duration, Fault: cmd.String("fault"), Entries: entries, Callers: callers, Binary: binary, Logs: logs}
	r, err := d.Run(ctx)
	if err != nil {
		return err
	}
	if cmd.String("output") == "json" {
		err = json.NewEncoder(a.Out).Encode(r)
	} else {
		err = r.WriteTable(a.Out)
	}
	if err == nil && len(r.Violations) > 0 {
		err = eris.Wrap(errCheckFailed, r.Violations[0])
	}
	return err
}
