package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/balsamvale/balsamvale/internal/build"
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

// Errors that exitCode maps to exit codes.
var (
	errInvalid     = eris.New("invalid input")
	errRefused     = eris.New("refused")
	errStore       = eris.New("the store cannot be reached")
	errCheckFailed = eris.New("check failed")
)

// App is the command line program with its input and output streams.
type App struct {
	// In is the input of the commands that read standard input.
	In io.Reader
	// Out receives the output of the commands, and the log of an entry.
	Out io.Writer
	// Err receives error messages.
	Err io.Writer
	// OpenPlatform loads a settings file of the users' platform, and returns the entry's options with the seams that
	// connect it to the platform.
	OpenPlatform func(file string) (*option.Options, *seams.Seams, error)
}

// description is the part of the help text about exit codes.
const description = `Exit codes: 0 success; 1 failure; 2 invalid settings, records or arguments;
3 refused, for example because a record was changed meanwhile; 4 the store cannot be reached.`

// Run executes a command line, whose first argument is the program name, and returns the exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	root := &cli.Command{
		Name:        "balsamvale",
		Usage:       "a load balancer for servers whose load shifts within milliseconds",
		Description: description,
		Version:     fmt.Sprintf("%s; %v", moduleVersion(), build.New()),
		Writer:      a.Out,
		ErrWriter:   a.Err,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "trace", Usage: "print the stack trace of an error"},
		},
		Commands: []*cli.Command{
			a.serve(), a.check(), a.apply(), a.get(), a.status(), a.wait(), a.explain(), a.demo(), a.soak(), a.replay(), a.version(),
		},
		// Run returns the exit code itself; the default handler may exit the process.
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

// wrapUsageError makes an error about flags match errInvalid.
func wrapUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return eris.Wrap(errInvalid, err.Error())
}

// exitCode returns the exit code for an error.
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

// outputFlag returns the flag that selects text or JSON output.
func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Value: "text", Usage: "output format: text or json", Validator: func(s string) error {
		if s != "text" && s != "json" {
			return eris.Wrapf(errInvalid, "--output %q; allowed: text, json", s)
		}
		return nil
	}}
}

// example returns the help text for an example command line.
func example(line string) string { return "Example:\n   balsamvale " + line }
