// Balsamvale is a load balancer for servers whose load shifts within milliseconds.
package main

import (
	"context"
	"os"

	"github.com/balsamvale/balsamvale/internal/cmds"
	"github.com/balsamvale/balsamvale/platform"
)

func main() {
	app := &cmds.App{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, OpenPlatform: platform.Adapter{}.Open}
	os.Exit(app.Run(context.Background(), os.Args))
}
