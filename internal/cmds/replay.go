package cmds

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/balsamvale/balsamvale/internal/replay"
)

func (a *App) replay() *cli.Command {
	return &cli.Command{
		Name: "replay", Usage: "run traces in simulation and check their bounds", ArgsUsage: "FILE|FOLDER...",
		Description: "Prints a line for each bound, and exits with 1 if one does not hold.\n\n" + example("replay testdata/traces"),
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "compare", Usage: "compare all policies and an oracle on each trace instead of checking bounds"},
		},
		Action: a.doReplay,
	}
}

func (a *App) doReplay(_ context.Context, cmd *cli.Command) error {
	if cmd.NArg() == 0 {
		return eris.Wrap(errInvalid, "replay takes at least one trace or folder")
	}
	var files []string
	for _, path := range cmd.Args().Slice() {
		list, err := replay.Files(path)
		if err != nil {
			return eris.Wrap(errInvalid, err.Error())
		}
		files = append(files, list...)
	}
	if cmd.Bool("compare") {
		return compareAll(a.Out, files)
	}
	return checkAll(a.Out, files)
}

// checkAll checks the bounds of each trace, and prints how many passed and failed.
func checkAll(w io.Writer, files []string) error {
	passed, failed := 0, 0
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return eris.Wrap(errInvalid, err.Error())
		}
		t, err := replay.Load(file, data)
		if err != nil {
			return err
		}
		p, f, err := replay.Check(w, t)
		if err != nil {
			return err
		}
		passed, failed = passed+p, failed+f
	}
	fmt.Fprintf(w, "%d passed, %d failed\n", passed, failed)
	if failed > 0 {
		return eris.Wrapf(errCheckFailed, "%d bounds do not hold", failed)
	}
	return nil
}

// compareAll prints the figures of each trace under every policy and the oracle.
func compareAll(w io.Writer, files []string) error {
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return eris.Wrap(errInvalid, err.Error())
		}
		t, err := replay.Load(file, data)
		if err != nil {
			return err
		}
		if err := replay.Compare(w, t); err != nil {
			return err
		}
	}
	return nil
}
