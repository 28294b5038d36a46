package cmds

import (
	"context"
	"fmt"
	stdlog "log"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/balsamvale/balsamvale/internal/build"
	"github.com/balsamvale/balsamvale/internal/daemon"
	"github.com/balsamvale/balsamvale/internal/logs"
	"github.com/balsamvale/balsamvale/internal/option"
	"github.com/balsamvale/balsamvale/internal/redial"
	"github.com/balsamvale/balsamvale/internal/seams"
	"github.com/balsamvale/balsamvale/internal/store"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
	"github.com/balsamvale/balsamvale/pkg/shared/tune"
)

func (a *App) serve() *cli.Command {
	return &cli.Command{
		Name: "serve", Usage: "run an entry until SIGTERM", ArgsUsage: "SETTINGS",
		Description: example("serve /etc/balsamvale/entry.toml"),
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "platform", Usage: "read SETTINGS in the platform's format, and use the platform's store and headers"},
		},
		Action: a.doServe,
	}
}

func (a *App) doServe(ctx context.Context, cmd *cli.Command) error {
	if cmd.NArg() != 1 {
		return eris.Wrap(errInvalid, "serve takes one settings file")
	}
	open := a.openDefault
	if cmd.Bool("platform") {
		open = a.OpenPlatform
	}
	o, s, err := open(cmd.Args().First())
	if err != nil {
		return err
	}
	if o.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(o.MemoryLimitBytes)
	}
	c := clock.Wall()
	log := logs.New(a.Out, c, o.Level, o.LogSampleEvery)
	defer log.Close()
	// net/http logs through the standard log package what it does not expect, such as bytes of an upstream behind a response.
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.LibraryWriter())
	defer stdlog.SetOutput(os.Stderr)
	stopCtx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer cancel()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	// By default, a write to standard output or standard error ends the process once the reader has gone, and the calls in
	// flight with it. The log counts the failed write instead.
	signal.Ignore(syscall.SIGPIPE)
	defer signal.Reset(syscall.SIGPIPE)
	// The start time identifies this start among all starts of an entry of this name.
	incarnation := uint64(c.Now().UnixNano())
	return daemon.New(o, c, log, incarnation, s).Run(stopCtx, hup)
}

// openDefault loads a settings file in the project's own format, and returns the options with seams that use the
// project's own store protocol.
func (a *App) openDefault(file string) (*option.Options, *seams.Seams, error) {
	o, err := option.Load(file)
	if err != nil {
		return nil, nil, err
	}
	return o, store.New(clock.Wall(), &http.Client{Transport: redial.New(tune.StoreConnIdle)}, o.Store).Seams(), nil
}

func (a *App) version() *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print the version, the build and the limits of the process", Description: example("version"),
		Action: func(context.Context, *cli.Command) error {
			fmt.Fprintf(a.Out, "balsamvale %s\n%v\n", moduleVersion(), build.New())
			return nil
		},
	}
}

// moduleVersion returns the version of the main module.
func moduleVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "(devel)"
}
