// Command bronzeturn is the command line for operators and for trials.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/bronzeturn/bronzeturn/cli"
	"github.com/bronzeturn/bronzeturn/demo"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr, cli.Commands{Demo: runDemo})
	stop()
	os.Exit(code)
}

func runDemo(ctx context.Context, w io.Writer, o cli.DemoOptions) error {
	return demo.Run(ctx, w, demo.Options{JSON: o.JSON, LogFile: o.LogFile})
}
