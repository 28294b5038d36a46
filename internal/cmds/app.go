package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/balsamvale/balsamvale/internal/option"
	"github.com/balsamvale/balsamvale/internal/seams"
	"github.com/balsamvale/balsamvale/internal/tomlpb"
)

// Exit codes of the commands.
const (
	exitOK      = 0
	exitFailed  = 1
	exitInvalid = 2
	exitRefused = 3
	exitStore   = 4
)

// Errors that the exit codes stand for.
var (
	errInvalid     = eris.New("invalid input")
	errRefused     = eris.New("refused")
	errStore       = eris.New("the store cannot be reached")
	errCheckFailed = eris.New("a promise was broken")
)

// App is the command line with its output streams.
type App struct {
	// In is what commands read that take their input from a pipe.
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// OpenPlatform reads a settings file of the users' platform, and joins an entry to it.
	OpenPlatform func(file string) (*option.Options, *seams.Seams, error)
}

const description = `Exit codes: 0 done; 1 failed; 2 invalid settings, records or arguments;
3 refused, as when another operator was faster; 4 the store cannot be reached.`

// Run carries out a command line and returns the exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	root := &cli.Command{
		Name:        "balsamvale",
		Usage:       "a load balancer for servers whose load shifts in milliseconds",
		Description: description,
		Writer:      a.Out,
		ErrWriter:   a.Err,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "trace", Usage: "print where an error arose"},
		},
		Commands: []*cli.Command{
			a.serve(), a.check(), a.apply(), a.get(), a.status(), a.wait(), a.explain(), a.demo(), a.replay(), a.version(),
		},
		// The exit code is this function's to choose.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	for _, c := range append(root.Commands, root) {
		c.OnUsageError = wrapUsageError
	}
	err := root.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	if root.Bool("trace") {
		fmt.Fprintln(a.Err, eris.ToString(err, true))
	} else {
		fmt.Fprintf(a.Err, "balsamvale: %s\n", err.Error())
	}
	return exitCode(err)
}

// wrapUsageError makes errors about flags count as invalid input.
func wrapUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return eris.Wrap(errInvalid, err.Error())
}

func exitCode(err error) int {
	switch {
	case errors.Is(err, errRefused):
		return exitRefused
	case errors.Is(err, errStore):
		return exitStore
	case errors.Is(err, errInvalid), errors.Is(err, tomlpb.ErrInvalid):
		return exitInvalid
	case errors.Is(err, errCheckFailed):
		return exitFailed
	}
	return exitFailed
}

// outputFlag chooses between text and JSON.
func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Value: "text", Usage: "text or json", Validator: func(s string) error {
		if s != "text" && s != "json" {
			return eris.Wrapf(errInvalid, "--output %q; allowed: text, json", s)
		}
		return nil
	}}
}

func example(line string) string { return "Example:\n   balsamvale " + line }
