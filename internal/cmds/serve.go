package cmds

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/balsamvale/balsamvale/internal/daemon"
	"github.com/balsamvale/balsamvale/internal/logs"
	"github.com/balsamvale/balsamvale/internal/option"
	"github.com/balsamvale/balsamvale/pkg/shared/clock"
)

func (a *App) serve() *cli.Command {
	return &cli.Command{
		Name: "serve", Usage: "run an entry until SIGTERM", ArgsUsage: "SETTINGS",
		Description: example("serve /etc/balsamvale/entry.toml"),
		Action:      a.doServe,
	}
}

func (a *App) doServe(ctx context.Context, cmd *cli.Command) error {
	if cmd.NArg() != 1 {
		return eris.Wrap(errInvalid, "serve takes one settings file")
	}
	o, err := option.Load(cmd.Args().First())
	if err != nil {
		return err
	}
	c := clock.Wall()
	log := logs.New(a.Err, o.Level, o.Sample)
	defer func() { _ = log.Close() }()
	stop, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer cancel()
	// The start time makes a start unlike any other of the same name.
	boot := uint64(c.Now().UnixNano())
	return daemon.New(o, c, log, boot).Run(stop)
}

func (a *App) version() *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print the release", Description: example("version"),
		Action: func(context.Context, *cli.Command) error {
			v := "(devel)"
			if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
				v = info.Main.Version
			}
			fmt.Fprintln(a.Out, "balsamvale", v)
			return nil
		},
	}
}
