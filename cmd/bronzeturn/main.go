// Command bronzeturn is the command line for operators and for trying things.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/bronzeturn/bronzeturn/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr, cli.Commands{})
	stop()
	os.Exit(code)
}
